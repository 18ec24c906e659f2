//! Errors of the operators' interface, as the node knows them.

use std::fmt;

use ridgeworks_domain::{InvalidRequest, Refusal, RefusalReason};

use crate::connect::BodyFormat;
use crate::connect_code::ConnectCode;
use crate::error_body::{ErrorBody, ErrorDetail, WireDetail};
use crate::field_error::FieldError;
use crate::v1;

const HTTP_UNSUPPORTED_MEDIA_TYPE: u16 = 415;

/// Why a request of an operator failed, as the node knows it.
#[derive(Debug, Clone, PartialEq)]
pub enum ConnectError {
    /// The path names no method of the service.
    UnknownMethod,
    /// The body's media type is neither JSON nor protobuf.
    UnsupportedMediaType,
    /// The body is packed in another way than gzip.
    UnsupportedEncoding,
    /// The request asks for another version of the Connect protocol.
    UnsupportedProtocolVersion,
    /// The body is longer than allowed.
    BodyTooLarge {
        /// Most bytes allowed.
        limit_bytes: u64,
    },
    /// The body is not the message of the method in this format.
    MalformedBody(BodyFormat),
    /// A field holds what is not allowed.
    InvalidField(FieldError),
    /// The token is missing or matches no partner.
    Unauthenticated,
    /// The object belongs to the other partner.
    Forbidden,
    /// No such object.
    ObjectNotFound {
        /// Kind that was asked for.
        kind: v1::ObjectKind,
        /// Name that was asked for.
        name: String,
    },
    /// No such run, or none of this partner.
    RunNotFound,
    /// No such node.
    NodeNotFound,
    /// The object has another version than the request expected.
    VersionConflict(v1::VersionConflict),
    /// The operation identifier was used before for a different change.
    OperationIdReused,
    /// No proposal for the pool's split is open.
    NoProposal,
    /// The object cannot be deleted, because other objects name it.
    StillReferenced,
    /// The platform's store or the configuration's majority does not answer; nothing was changed.
    StoreUnavailable {
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// The change may have taken effect; the same request resolves it.
    ChangeOutcomeUnknown {
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// The node cannot answer yet.
    NotReady {
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// A refusal that callers get as well.
    Refused(Refusal),
    /// The answer could not be encoded.
    UnencodableAnswer,
}

impl ConnectError {
    /// The Connect code.
    pub fn code(&self) -> ConnectCode {
        match self {
            Self::UnknownMethod | Self::UnsupportedEncoding => ConnectCode::Unimplemented,
            Self::UnsupportedMediaType
            | Self::UnsupportedProtocolVersion
            | Self::MalformedBody(_)
            | Self::InvalidField(_) => ConnectCode::InvalidArgument,
            Self::BodyTooLarge { .. } => ConnectCode::ResourceExhausted,
            Self::Unauthenticated => ConnectCode::Unauthenticated,
            Self::Forbidden => ConnectCode::PermissionDenied,
            Self::ObjectNotFound { .. } | Self::RunNotFound | Self::NodeNotFound => {
                ConnectCode::NotFound
            }
            Self::VersionConflict(_) => ConnectCode::Aborted,
            Self::OperationIdReused => ConnectCode::AlreadyExists,
            Self::NoProposal | Self::StillReferenced => ConnectCode::FailedPrecondition,
            Self::StoreUnavailable { .. }
            | Self::ChangeOutcomeUnknown { .. }
            | Self::NotReady { .. } => ConnectCode::Unavailable,
            Self::Refused(refusal) => refusal_code(&refusal.reason),
            Self::UnencodableAnswer => ConnectCode::Internal,
        }
    }

    /// The HTTP status of the answer.
    pub fn http_status(&self) -> u16 {
        match self {
            Self::UnsupportedMediaType => HTTP_UNSUPPORTED_MEDIA_TYPE,
            other => other.code().http_status(),
        }
    }

    /// When coming back helps: after this many milliseconds.
    pub fn retry_after_ms(&self) -> Option<u64> {
        match self {
            Self::StoreUnavailable { retry_after_ms }
            | Self::ChangeOutcomeUnknown { retry_after_ms }
            | Self::NotReady { retry_after_ms } => Some(*retry_after_ms),
            Self::Refused(refusal) => refusal.retry_after_ms,
            _ => None,
        }
    }

    /// The body on the wire.
    pub fn to_body(&self) -> ErrorBody {
        ErrorBody {
            code: self.code(),
            message: self.to_string(),
            details: self.details().iter().map(WireDetail::from).collect(),
        }
    }

    fn details(&self) -> Vec<ErrorDetail> {
        let mut details = Vec::new();
        match self {
            Self::VersionConflict(conflict) => {
                details.push(ErrorDetail::VersionConflict(conflict.clone()));
            }
            Self::InvalidField(field) => {
                details.push(ErrorDetail::FieldViolation(field.to_violation()));
            }
            _ => {}
        }
        if let Some(retry_after_ms) = self.retry_after_ms() {
            details.push(ErrorDetail::RetryAfter(v1::RetryAfter { retry_after_ms }));
        }
        if self.is_outcome_unknown() {
            details.push(ErrorDetail::ChangeOutcome(v1::ChangeOutcome {
                unknown: true,
            }));
        }
        details
    }

    fn is_outcome_unknown(&self) -> bool {
        match self {
            Self::ChangeOutcomeUnknown { .. } => true,
            Self::Refused(refusal) => !refusal.is_not_run(),
            _ => false,
        }
    }
}

impl From<Refusal> for ConnectError {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

impl From<FieldError> for ConnectError {
    fn from(error: FieldError) -> Self {
        Self::InvalidField(error)
    }
}

impl fmt::Display for ConnectError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownMethod => write!(formatter, "no such method"),
            Self::UnsupportedMediaType => write!(formatter, "media type is not supported"),
            Self::UnsupportedEncoding => write!(formatter, "content encoding is not supported"),
            Self::UnsupportedProtocolVersion => {
                write!(formatter, "protocol version is not supported")
            }
            Self::BodyTooLarge { limit_bytes } => {
                write!(formatter, "body is longer than {limit_bytes} bytes")
            }
            Self::MalformedBody(format) => write!(formatter, "body is not the message in {format}"),
            Self::InvalidField(field) => write!(formatter, "{field}"),
            Self::Unauthenticated => write!(formatter, "token is missing or matches no partner"),
            Self::Forbidden => write!(formatter, "object belongs to another partner"),
            Self::ObjectNotFound { kind, name } => {
                write!(
                    formatter,
                    "no object {name:?} of kind {}",
                    kind.as_str_name()
                )
            }
            Self::RunNotFound => write!(formatter, "no such run"),
            Self::NodeNotFound => write!(formatter, "no such node"),
            Self::VersionConflict(conflict) => write!(
                formatter,
                "{:?} has version {}, expected was {}",
                conflict.name, conflict.actual_version, conflict.expected_version
            ),
            Self::OperationIdReused => {
                write!(
                    formatter,
                    "operation identifier was used for another change"
                )
            }
            Self::NoProposal => write!(formatter, "no proposal is open"),
            Self::StillReferenced => write!(formatter, "other objects name this object"),
            Self::StoreUnavailable { .. } => {
                write!(formatter, "the store does not answer; nothing was changed")
            }
            Self::ChangeOutcomeUnknown { .. } => write!(
                formatter,
                "the change may have taken effect; repeat it with the same operation identifier"
            ),
            Self::NotReady { .. } => write!(formatter, "the node is not ready"),
            Self::Refused(refusal) => write!(formatter, "{refusal}"),
            Self::UnencodableAnswer => write!(formatter, "the answer could not be encoded"),
        }
    }
}

impl std::error::Error for ConnectError {}

/// The Connect code of a refusal.
pub fn refusal_code(reason: &RefusalReason) -> ConnectCode {
    match reason {
        RefusalReason::InvalidRequest(InvalidRequest::BodyTooLarge { .. })
        | RefusalReason::BudgetExceeded { .. }
        | RefusalReason::QueueFull
        | RefusalReason::TooManyRequests => ConnectCode::ResourceExhausted,
        RefusalReason::InvalidRequest(InvalidRequest::UnknownRoute) => ConnectCode::Unimplemented,
        RefusalReason::InvalidRequest(_) => ConnectCode::InvalidArgument,
        RefusalReason::Unauthenticated => ConnectCode::Unauthenticated,
        RefusalReason::Forbidden => ConnectCode::PermissionDenied,
        RefusalReason::UnknownProgram
        | RefusalReason::UnknownService
        | RefusalReason::UnknownRun => ConnectCode::NotFound,
        RefusalReason::RunClosed | RefusalReason::SequenceGap { .. } => {
            ConnectCode::FailedPrecondition
        }
        RefusalReason::CallKeyConflict => ConnectCode::AlreadyExists,
        RefusalReason::SequencePassed { .. } => ConnectCode::OutOfRange,
        RefusalReason::DeadlineCannotBeMet => ConnectCode::DeadlineExceeded,
        RefusalReason::NoBackend
        | RefusalReason::BackendRefused
        | RefusalReason::NodeStopping
        | RefusalReason::ConfigurationStale
        | RefusalReason::NoQuorum
        | RefusalReason::NotOwner => ConnectCode::Unavailable,
        RefusalReason::Unknown => ConnectCode::Unknown,
    }
}
