//! Waits until the configuration in force changes (long poll).

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use ridgeworks_api::ConnectError;
use ridgeworks_api::v1;
use ridgeworks_configuration::{ConfigurationSet, ObjectKey, Revision};
use ridgeworks_domain::PartnerName;

use super::desk::{OperatorReply, OperatorWork};
use super::error::message_kind;
use super::method::{Session, unexpected_reply};
use super::objects::message;

const LONGEST_WAIT: Duration = Duration::from_secs(30);
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Gives the changes after a revision, as soon as there are some.
pub fn watch(
    session: &Session<'_>,
    request: &v1::WatchChangesRequest,
) -> Result<v1::WatchChangesResponse, ConnectError> {
    let wait = Duration::from_millis(request.timeout_ms).min(LONGEST_WAIT);
    let until = Instant::now() + wait;
    let after = Revision(request.after_revision);
    loop {
        let (partner, configuration) = read_in_force(session)?;
        if configuration.revision() > after {
            return Ok(changes(&configuration, after, &partner));
        }
        if Instant::now() >= until {
            return Ok(v1::WatchChangesResponse {
                changes: Vec::new(),
                revision: configuration.revision().0,
                complete: false,
            });
        }
        thread::sleep(CHECK_INTERVAL);
    }
}

fn read_in_force(
    session: &Session<'_>,
) -> Result<(PartnerName, Arc<ConfigurationSet>), ConnectError> {
    match session.ask(OperatorWork::ReadInForce)? {
        OperatorReply::InForce {
            partner,
            configuration,
        } => Ok((partner, configuration)),
        _ => Err(unexpected_reply()),
    }
}

fn changes(
    configuration: &ConfigurationSet,
    after: Revision,
    viewer: &PartnerName,
) -> v1::WatchChangesResponse {
    let Some(update) = configuration.update_since(after) else {
        return v1::WatchChangesResponse::default();
    };
    let mut objects = update.objects;
    objects.sort_by_key(|versioned| versioned.version);
    let applied = objects.iter().map(|versioned| v1::Change {
        kind: v1::ChangeKind::Applied.into(),
        object: Some(message(versioned, viewer)),
    });
    let deleted = update.removed.iter().map(deletion);
    v1::WatchChangesResponse {
        changes: applied.chain(deleted).collect(),
        revision: update.revision.0,
        complete: update.base.is_none(),
    }
}

fn deletion(key: &ObjectKey) -> v1::Change {
    let metadata = v1::Metadata {
        kind: message_kind(key.kind).into(),
        name: key.name.clone(),
        ..v1::Metadata::default()
    };
    v1::Change {
        kind: v1::ChangeKind::Deleted.into(),
        object: Some(v1::Object {
            metadata: Some(metadata),
            specification: None,
        }),
    }
}
