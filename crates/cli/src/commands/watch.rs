//! `watch`: shows changes of the configuration as they come, one a line.

use ridgeworks_api::v1;

use crate::arguments::WatchArguments;
use crate::commands::get;
use crate::error::CliError;
use crate::object_kind::kind_name;
use crate::output::state_name;
use crate::session::Session;

/// How long one request waits for changes, in milliseconds.
const POLL_MS: u64 = 25_000;

/// Shows changes until the asked revision, or without end.
pub fn run(session: &Session, arguments: &WatchArguments) -> Result<(), CliError> {
    let kind = arguments.kind.map(v1::ObjectKind::from);
    let mut after_revision = arguments.after;
    loop {
        let request = v1::WatchChangesRequest {
            after_revision,
            timeout_ms: POLL_MS,
        };
        let answer = session
            .client
            .watch_changes(&request)
            .map_err(CliError::Read)?;
        for change in &answer.changes {
            if kind.is_none_or(|kind| kind == kind_of(change)) {
                session.output.tell(change, text)?;
            }
        }
        // A node that lags behind another one must not bring the same changes again.
        after_revision = after_revision.max(answer.revision);
        if arguments.until.is_some_and(|until| after_revision >= until) {
            return Ok(());
        }
    }
}

fn kind_of(change: &v1::Change) -> v1::ObjectKind {
    let metadata = change
        .object
        .as_ref()
        .and_then(|object| object.metadata.as_ref());
    metadata.map_or(v1::ObjectKind::Unspecified, |metadata| metadata.kind())
}

fn text(change: &v1::Change) -> String {
    let object = change.object.clone().unwrap_or_default();
    let metadata = object.metadata.clone().unwrap_or_default();
    let details = object.specification.as_ref().map(get::details);
    format!(
        "{} {} {} {} {}",
        metadata.revision,
        state_name(change.kind().as_str_name(), "CHANGE_KIND_"),
        kind_name(metadata.kind()),
        metadata.name,
        details.unwrap_or_default()
    )
    .trim_end()
    .to_owned()
}
