//! Methods that change the configuration.

use ridgeworks_api::ConnectError;
use ridgeworks_api::conversion::{DomainObject, shares_from_messages};
use ridgeworks_api::field_error::FieldError;
use ridgeworks_api::v1;
use ridgeworks_configuration::{
    Change, ConfigurationObject, ObjectVersion, OperationId, OperatorAnswer, Revision, Unavailable,
};
use xxhash_rust::xxh3::xxh3_128;

use super::desk::{OperatorReply, OperatorWork};
use super::error::{object_key, rejected};
use super::method::{Session, unexpected_reply};

const RETRY_AFTER_MS: u64 = 1_000;

/// Creates or replaces an object.
pub fn apply(
    session: &Session<'_>,
    request: &v1::ApplyRequest,
) -> Result<v1::ApplyResponse, ConnectError> {
    let message = request.object.as_ref().ok_or(missing("object"))?;
    let object = DomainObject::from_message(message).map_err(ConnectError::InvalidField)?;
    let change = Change::Put {
        object: configuration_object(object),
        expected: ObjectVersion(request.expected_version),
    };
    let revision = make(session, &request.operation_id, change)?;
    Ok(v1::ApplyResponse {
        version: revision.0,
        revision: revision.0,
    })
}

/// Deletes an object.
pub fn delete(
    session: &Session<'_>,
    request: &v1::DeleteRequest,
) -> Result<v1::DeleteResponse, ConnectError> {
    let change = Change::Delete {
        key: object_key(request.kind, &request.name)?,
        expected: ObjectVersion(request.expected_version),
    };
    let revision = make(session, &request.operation_id, change)?;
    Ok(v1::DeleteResponse {
        revision: revision.0,
    })
}

/// Proposes a split of the pool.
pub fn propose(
    session: &Session<'_>,
    request: &v1::ProposeSharesRequest,
) -> Result<v1::ProposeSharesResponse, ConnectError> {
    let shares =
        shares_from_messages("shares", &request.shares).map_err(ConnectError::InvalidField)?;
    let change = Change::Propose {
        shares,
        expected: ObjectVersion(request.expected_version),
    };
    let revision = make(session, &request.operation_id, change)?;
    Ok(v1::ProposeSharesResponse {
        version: revision.0,
        revision: revision.0,
    })
}

/// Consents to the open proposal.
pub fn consent(
    session: &Session<'_>,
    request: &v1::ConsentSharesRequest,
) -> Result<v1::ConsentSharesResponse, ConnectError> {
    let change = Change::Consent {
        expected: ObjectVersion(request.proposal_version),
    };
    let revision = make(session, &request.operation_id, change)?;
    Ok(v1::ConsentSharesResponse {
        version: revision.0,
        revision: revision.0,
        in_force: is_split_settled(session, revision),
    })
}

fn make(
    session: &Session<'_>,
    operation_id: &str,
    change: Change,
) -> Result<Revision, ConnectError> {
    if operation_id.is_empty() {
        return Err(missing("operation_id"));
    }
    let operation = OperationId(xxh3_128(operation_id.as_bytes()));
    let made = change.clone();
    match session.ask(OperatorWork::Change { operation, change })? {
        OperatorReply::Configuration { answer, .. } => outcome(answer, &made),
        _ => Err(unexpected_reply()),
    }
}

fn outcome(answer: OperatorAnswer, change: &Change) -> Result<Revision, ConnectError> {
    let retry_after_ms = RETRY_AFTER_MS;
    match answer {
        OperatorAnswer::Accepted { revision } => Ok(revision),
        OperatorAnswer::Rejected(error) => Err(rejected(error, change)),
        OperatorAnswer::Refused(Unavailable::TooManyRequests) => {
            Err(ConnectError::NotReady { retry_after_ms })
        }
        OperatorAnswer::Refused(_) => Err(ConnectError::StoreUnavailable { retry_after_ms }),
        OperatorAnswer::Unknown => Err(ConnectError::ChangeOutcomeUnknown { retry_after_ms }),
        OperatorAnswer::Newest(_) => Err(unexpected_reply()),
    }
}

/// Whether the split that the consent led to holds no proposal any more.
fn is_split_settled(session: &Session<'_>, revision: Revision) -> bool {
    match session.ask(OperatorWork::ReadNewest) {
        Ok(OperatorReply::Configuration {
            answer: OperatorAnswer::Newest(set),
            ..
        }) => {
            let split = set.pool_split();
            set.revision() >= revision && split.is_some_and(|split| split.proposed.is_none())
        }
        _ => false,
    }
}

fn configuration_object(object: DomainObject) -> ConfigurationObject {
    match object {
        DomainObject::Partner(partner) => ConfigurationObject::Partner(partner),
        DomainObject::PriorityClass(class) => ConfigurationObject::PriorityClass(class),
        DomainObject::Service(service) => ConfigurationObject::Service(service),
        DomainObject::Program(program) => ConfigurationObject::Program(program),
        DomainObject::PoolSplit(split) => ConfigurationObject::PoolSplit(split),
        DomainObject::Backend(backend) => ConfigurationObject::Backend(backend),
    }
}

fn missing(field: &'static str) -> ConnectError {
    ConnectError::InvalidField(FieldError::new(field, v1::FieldProblem::Missing))
}
