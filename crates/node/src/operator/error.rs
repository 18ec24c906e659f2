//! Rejections of changes in the operators' words.

use ridgeworks_api::ConnectError;
use ridgeworks_api::field_error::FieldError;
use ridgeworks_api::v1;
use ridgeworks_configuration::validation::{Allowed, Field, InvalidObject};
use ridgeworks_configuration::{Change, ChangeError, ObjectKey, ObjectKind};

/// Why a change was rejected.
pub fn rejected(error: ChangeError, change: &Change) -> ConnectError {
    match error {
        ChangeError::Conflict { current } => {
            let key = change.key();
            ConnectError::VersionConflict(v1::VersionConflict {
                kind: message_kind(key.kind).into(),
                name: key.name,
                expected_version: change.expected().0,
                actual_version: current.0,
            })
        }
        ChangeError::Forbidden { .. } => ConnectError::Forbidden,
        ChangeError::Invalid(invalid) => ConnectError::InvalidField(field_error(&invalid)),
        ChangeError::Referenced { .. } => ConnectError::StillReferenced,
        ChangeError::NoProposal => ConnectError::NoProposal,
    }
}

/// The schema's kind.
pub fn message_kind(kind: ObjectKind) -> v1::ObjectKind {
    match kind {
        ObjectKind::Partner => v1::ObjectKind::Partner,
        ObjectKind::PriorityClass => v1::ObjectKind::PriorityClass,
        ObjectKind::Service => v1::ObjectKind::Service,
        ObjectKind::Program => v1::ObjectKind::Program,
        ObjectKind::PoolSplit => v1::ObjectKind::PoolSplit,
        ObjectKind::Backend => v1::ObjectKind::Backend,
    }
}

/// The key that a request names.
pub fn object_key(kind: i32, name: &str) -> Result<ObjectKey, ConnectError> {
    let kind = match v1::ObjectKind::try_from(kind) {
        Ok(v1::ObjectKind::Partner) => ObjectKind::Partner,
        Ok(v1::ObjectKind::PriorityClass) => ObjectKind::PriorityClass,
        Ok(v1::ObjectKind::Service) => ObjectKind::Service,
        Ok(v1::ObjectKind::Program) => ObjectKind::Program,
        Ok(v1::ObjectKind::PoolSplit) => ObjectKind::PoolSplit,
        Ok(v1::ObjectKind::Backend) => ObjectKind::Backend,
        Ok(v1::ObjectKind::Unspecified) | Err(_) => {
            let problem = v1::FieldProblem::Missing;
            return Err(ConnectError::InvalidField(FieldError::new("kind", problem)));
        }
    };
    Ok(ObjectKey::new(kind, name))
}

fn field_error(invalid: &InvalidObject) -> FieldError {
    let problem = match invalid.allowed {
        Allowed::Range(_) | Allowed::Sum(_) => v1::FieldProblem::OutOfRange,
        Allowed::LowerHexadecimal { .. } | Allowed::HostAddress => v1::FieldProblem::Malformed,
        Allowed::Existing(_) => v1::FieldProblem::UnknownReference,
        Allowed::SameOwner(_) | Allowed::Unique => v1::FieldProblem::Contradictory,
    };
    FieldError::new(field_path(invalid.field), problem)
}

fn field_path(field: Field) -> &'static str {
    match field {
        Field::TokenSha256 => "object.partner.token_sha256",
        Field::LatencyWeight => "object.partner.latency_weight",
        Field::Partner => "object.metadata.partner",
        Field::Price => "object.service.price",
        Field::AttemptTimeoutMs => "object.service.attempt_timeout_ms",
        Field::MaxAttempts => "object.service.max_attempts",
        Field::Class => "object.program.class",
        Field::Service => "object.program.services",
        Field::Budget => "object.program.budget",
        Field::MaxCalls => "object.program.max_calls",
        Field::Shares => "shares",
        Field::Address => "object.backend.address",
        Field::Slots => "object.backend.slots",
    }
}
