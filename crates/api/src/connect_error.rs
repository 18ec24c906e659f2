//! Errors of the operators' interface, before they are encoded.

use std::fmt;

use ridgeworks_domain::{InvalidRequest, Refusal, RefusalReason};

use crate::connect::BodyFormat;
use crate::connect_code::ConnectCode;
use crate::error_body::{ErrorBody, ErrorDetail, WireDetail};
use crate::field_error::FieldError;
use crate::v1;

const HTTP_UNSUPPORTED_MEDIA_TYPE: u16 = 415;

/// Why a request of an operator failed.
#[derive(Debug, Clone, PartialEq)]
pub enum ConnectError {
    /// The path does not name a method of the service.
    UnknownMethod,
    /// The body's media type is neither JSON nor protobuf.
    UnsupportedMediaType,
    /// The content encoding is neither gzip nor identity.
    UnsupportedEncoding,
    /// The request uses an unsupported version of the Connect protocol.
    UnsupportedProtocolVersion,
    /// The body exceeds the size limit.
    BodyTooLarge {
        /// Maximum size of the body, in bytes.
        limit_bytes: u64,
    },
    /// The body cannot be decoded as the method's message in this format.
    MalformedBody(BodyFormat),
    /// A field is missing or has an invalid value.
    InvalidField(FieldError),
    /// The token is missing or matches no partner.
    Unauthenticated,
    /// The object belongs to another partner.
    Forbidden,
    /// The object does not exist.
    ObjectNotFound {
        /// Requested kind.
        kind: v1::ObjectKind,
        /// Requested name.
        name: String,
    },
    /// The run does not exist or belongs to another partner.
    RunNotFound,
    /// The node does not exist.
    NodeNotFound,
    /// The version of the object differs from the expected one.
    VersionConflict(v1::VersionConflict),
    /// The operation identifier was already used for a different change.
    OperationIdReused,
    /// There is no open proposal for the pool split.
    NoProposal,
    /// The object cannot be deleted because other objects reference it.
    StillReferenced,
    /// The platform's store or a majority of the configuration's voters does not respond; nothing changed.
    StoreUnavailable {
        /// Retry delay, in milliseconds.
        retry_after_ms: u64,
    },
    /// The change may have taken effect; retrying the same request determines the outcome.
    ChangeOutcomeUnknown {
        /// Retry delay, in milliseconds.
        retry_after_ms: u64,
    },
    /// The node is not ready to serve the request.
    NotReady {
        /// Retry delay, in milliseconds.
        retry_after_ms: u64,
    },
    /// A refusal with a reason shared with the callers' interface.
    Refused(Refusal),
    /// The response could not be encoded.
    UnencodableResponse,
}

impl ConnectError {
    /// Returns the Connect code.
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
            Self::UnencodableResponse => ConnectCode::Internal,
        }
    }

    /// Returns the HTTP status of the response.
    pub fn http_status(&self) -> u16 {
        match self {
            Self::UnsupportedMediaType => HTTP_UNSUPPORTED_MEDIA_TYPE,
            other => other.code().http_status(),
        }
    }

    /// Returns the retry delay in milliseconds, or `None` if retrying does not help.
    pub fn retry_after_ms(&self) -> Option<u64> {
        match self {
            Self::StoreUnavailable { retry_after_ms }
            | Self::ChangeOutcomeUnknown { retry_after_ms }
            | Self::NotReady { retry_after_ms } => Some(*retry_after_ms),
            Self::Refused(refusal) => refusal.retry_after_ms,
            _ => None,
        }
    }

    /// Converts the error to its body on the wire.
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
            Self::UnencodableResponse => write!(formatter, "the answer could not be encoded"),
        }
    }
}

impl std::error::Error for ConnectError {}

/// Returns the Connect code of a refusal.
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
