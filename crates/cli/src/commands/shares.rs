//! `shares`: changes the split of the shared pool with the consent of every partner.

use ridgeworks_api::conversion::POOL_SPLIT_NAME;
use ridgeworks_api::v1::{self, ObjectKind};

use crate::arguments::{SharesConsentArguments, SharesProposeArguments};
use crate::error::CliError;
use crate::object_kind::kind_name;
use crate::operation_id;
use crate::output::{AcceptedChange, ChangeAction};
use crate::session::{Session, change_error, version_of};

/// Proposes a split.
pub fn propose(session: &Session, arguments: SharesProposeArguments) -> Result<(), CliError> {
    let expected_version = match arguments.expected_version {
        Some(version) => version,
        None => session
            .find(ObjectKind::PoolSplit, POOL_SPLIT_NAME)?
            .as_ref()
            .map_or(0, version_of),
    };
    let operation_id = operation_id::given_or_random(arguments.operation_id);
    let request = v1::ProposeSharesRequest {
        shares: arguments.shares.iter().map(v1::Share::from).collect(),
        expected_version,
        operation_id: operation_id.clone(),
    };
    let answer = session
        .client
        .propose_shares(&request)
        .map_err(change_error(&operation_id))?;
    tell(
        session,
        ChangeAction::Proposed,
        answer.version,
        answer.revision,
    )
}

/// Consents to a proposed split.
pub fn consent(session: &Session, arguments: SharesConsentArguments) -> Result<(), CliError> {
    let operation_id = operation_id::given_or_random(arguments.operation_id);
    let request = v1::ConsentSharesRequest {
        proposal_version: arguments.proposal_version,
        operation_id: operation_id.clone(),
    };
    let answer = session
        .client
        .consent_shares(&request)
        .map_err(change_error(&operation_id))?;
    let action = if answer.in_force {
        ChangeAction::InForce
    } else {
        ChangeAction::Consented
    };
    tell(session, action, answer.version, answer.revision)
}

fn tell(
    session: &Session,
    action: ChangeAction,
    version: u64,
    revision: u64,
) -> Result<(), CliError> {
    let change = AcceptedChange {
        kind: kind_name(ObjectKind::PoolSplit),
        name: POOL_SPLIT_NAME.to_owned(),
        action,
        version: Some(version),
        revision: Some(revision),
    };
    session.output.tell(&change, AcceptedChange::text)
}
