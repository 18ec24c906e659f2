//! Errors of the callers' HTTP interface, in the format of OpenAI's API.

use ridgeworks_domain::{Cost, InvalidRequest, Refusal, RefusalReason, Sequence};
use serde::{Deserialize, Serialize};

use crate::connect::whole_seconds;
use crate::refusal_message::refusal_message;

/// Category of an error, sent as its `type`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorType {
    /// The request is invalid.
    InvalidRequestError,
    /// The token is missing or matches no partner.
    AuthenticationError,
    /// The object belongs to another partner.
    PermissionError,
    /// The requested object does not exist.
    NotFoundError,
    /// The request conflicts with the state of the run.
    ConflictError,
    /// The remaining budget is too small.
    InsufficientQuota,
    /// A queue or concurrency limit was reached.
    RateLimitError,
    /// The system is temporarily unable to serve the request.
    ServiceUnavailableError,
    /// The outcome of the call could not be determined.
    OutcomeUnknownError,
}

/// Machine-readable cause of an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// See [`InvalidRequest::BodyTooLarge`].
    BodyTooLarge,
    /// See [`InvalidRequest::BodyIncomplete`].
    BodyIncomplete,
    /// See [`InvalidRequest::Malformed`].
    MalformedBody,
    /// See [`InvalidRequest::MissingField`].
    MissingField,
    /// See [`InvalidRequest::InvalidField`].
    InvalidField,
    /// See [`InvalidRequest::UnknownRoute`].
    UnknownRoute,
    /// See [`RefusalReason::Unauthenticated`].
    InvalidToken,
    /// See [`RefusalReason::Forbidden`].
    Forbidden,
    /// See [`RefusalReason::UnknownProgram`].
    UnknownProgram,
    /// See [`RefusalReason::UnknownService`].
    UnknownService,
    /// See [`RefusalReason::UnknownRun`].
    UnknownRun,
    /// See [`RefusalReason::RunClosed`].
    RunClosed,
    /// See [`RefusalReason::CallKeyConflict`].
    CallKeyConflict,
    /// See [`RefusalReason::SequenceGap`].
    SequenceGap,
    /// See [`RefusalReason::SequencePassed`].
    SequencePassed,
    /// See [`RefusalReason::BudgetExceeded`].
    BudgetExceeded,
    /// See [`RefusalReason::DeadlineCannotBeMet`].
    DeadlineCannotBeMet,
    /// See [`RefusalReason::QueueFull`].
    QueueFull,
    /// See [`RefusalReason::NoBackend`].
    NoBackend,
    /// See [`RefusalReason::BackendRefused`].
    BackendRefused,
    /// See [`RefusalReason::NodeStopping`].
    NodeStopping,
    /// See [`RefusalReason::ConfigurationStale`].
    ConfigurationStale,
    /// See [`RefusalReason::NoQuorum`].
    NoQuorum,
    /// See [`RefusalReason::NotOwner`].
    NotOwner,
    /// See [`RefusalReason::TooManyRequests`].
    TooManyRequests,
    /// See [`RefusalReason::Unknown`].
    OutcomeUnknown,
}

/// Whether the call of a refused request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The call did not run and cannot run on behalf of this request later.
    NotRun,
    /// The call may have run.
    Unknown,
}

/// HTTP status, error type and error code of a refusal reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorMapping {
    /// HTTP status.
    pub status: u16,
    /// Category of the error.
    pub error_type: ErrorType,
    /// Machine-readable cause.
    pub code: ErrorCode,
}

impl ErrorMapping {
    const fn new(status: u16, error_type: ErrorType, code: ErrorCode) -> Self {
        Self {
            status,
            error_type,
            code,
        }
    }

    /// Returns the mapping of a reason.
    pub fn of(reason: &RefusalReason) -> Self {
        use ErrorType::{
            AuthenticationError, ConflictError, InsufficientQuota, NotFoundError,
            OutcomeUnknownError, PermissionError, RateLimitError, ServiceUnavailableError,
        };
        let (status, error_type, code) = match reason {
            RefusalReason::InvalidRequest(invalid) => return Self::of_invalid(invalid),
            RefusalReason::Unauthenticated => (401, AuthenticationError, ErrorCode::InvalidToken),
            RefusalReason::Forbidden => (403, PermissionError, ErrorCode::Forbidden),
            RefusalReason::UnknownProgram => (404, NotFoundError, ErrorCode::UnknownProgram),
            RefusalReason::UnknownService => (404, NotFoundError, ErrorCode::UnknownService),
            RefusalReason::UnknownRun => (404, NotFoundError, ErrorCode::UnknownRun),
            RefusalReason::RunClosed => (409, ConflictError, ErrorCode::RunClosed),
            RefusalReason::CallKeyConflict => (409, ConflictError, ErrorCode::CallKeyConflict),
            RefusalReason::SequenceGap { .. } => (409, ConflictError, ErrorCode::SequenceGap),
            RefusalReason::SequencePassed { .. } => (409, ConflictError, ErrorCode::SequencePassed),
            RefusalReason::BudgetExceeded { .. } => {
                (402, InsufficientQuota, ErrorCode::BudgetExceeded)
            }
            RefusalReason::DeadlineCannotBeMet => {
                (503, ServiceUnavailableError, ErrorCode::DeadlineCannotBeMet)
            }
            RefusalReason::QueueFull => (429, RateLimitError, ErrorCode::QueueFull),
            RefusalReason::NoBackend => (503, ServiceUnavailableError, ErrorCode::NoBackend),
            RefusalReason::BackendRefused => {
                (502, ServiceUnavailableError, ErrorCode::BackendRefused)
            }
            RefusalReason::NodeStopping => (503, ServiceUnavailableError, ErrorCode::NodeStopping),
            RefusalReason::ConfigurationStale => {
                (503, ServiceUnavailableError, ErrorCode::ConfigurationStale)
            }
            RefusalReason::NoQuorum => (503, ServiceUnavailableError, ErrorCode::NoQuorum),
            RefusalReason::NotOwner => (503, ServiceUnavailableError, ErrorCode::NotOwner),
            RefusalReason::TooManyRequests => (429, RateLimitError, ErrorCode::TooManyRequests),
            RefusalReason::Unknown => (504, OutcomeUnknownError, ErrorCode::OutcomeUnknown),
        };
        Self::new(status, error_type, code)
    }

    fn of_invalid(invalid: &InvalidRequest) -> Self {
        use ErrorType::{InvalidRequestError, NotFoundError};
        let (status, error_type, code) = match invalid {
            InvalidRequest::BodyTooLarge { .. } => {
                (413, InvalidRequestError, ErrorCode::BodyTooLarge)
            }
            InvalidRequest::BodyIncomplete => (400, InvalidRequestError, ErrorCode::BodyIncomplete),
            InvalidRequest::Malformed => (400, InvalidRequestError, ErrorCode::MalformedBody),
            InvalidRequest::MissingField { .. } => {
                (400, InvalidRequestError, ErrorCode::MissingField)
            }
            InvalidRequest::InvalidField { .. } => {
                (400, InvalidRequestError, ErrorCode::InvalidField)
            }
            InvalidRequest::UnknownRoute => (404, NotFoundError, ErrorCode::UnknownRoute),
        };
        Self::new(status, error_type, code)
    }
}

/// JSON body of a refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerErrorBody {
    /// Error object, nested as in OpenAI's API.
    pub error: CallerError,
}

/// The error in the body of a refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerError {
    /// Category of the error, sent as `type`.
    #[serde(rename = "type")]
    pub error_type: ErrorType,
    /// Machine-readable cause.
    pub code: ErrorCode,
    /// Human-readable message; programs should use the code.
    pub message: String,
    /// Field, header or path parameter that is missing or invalid.
    pub param: Option<String>,
    /// Whether the call may have run.
    pub outcome: Outcome,
    /// Retry delay in milliseconds; `None` if retrying does not help.
    pub retry_after_ms: Option<u64>,
    /// Sequence number that the run expects next.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected_sequence: Option<Sequence>,
    /// Remaining budget of the run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub remaining_budget: Option<Cost>,
}

/// A refusal for the HTTP edge to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRefusal {
    /// HTTP status.
    pub status: u16,
    /// Value of the `Retry-After` header, in seconds, rounded up.
    pub retry_after_seconds: Option<u64>,
    /// Value of the `x-should-retry` header: whether the same request may succeed later.
    pub should_retry: bool,
    /// Body to send as JSON.
    pub body: CallerErrorBody,
}

impl From<&Refusal> for CallerRefusal {
    fn from(refusal: &Refusal) -> Self {
        let mapping = ErrorMapping::of(&refusal.reason);
        let outcome = if refusal.is_not_run() {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        };
        let error = CallerError {
            error_type: mapping.error_type,
            code: mapping.code,
            message: refusal_message(&refusal.reason),
            param: parameter(&refusal.reason),
            outcome,
            retry_after_ms: refusal.retry_after_ms,
            expected_sequence: expected_sequence(&refusal.reason),
            remaining_budget: remaining_budget(&refusal.reason),
        };
        Self {
            status: mapping.status,
            retry_after_seconds: refusal.retry_after_ms.map(whole_seconds),
            should_retry: refusal.retry_after_ms.is_some(),
            body: CallerErrorBody { error },
        }
    }
}

fn parameter(reason: &RefusalReason) -> Option<String> {
    match reason {
        RefusalReason::InvalidRequest(
            InvalidRequest::MissingField { field } | InvalidRequest::InvalidField { field },
        ) => Some(field.clone()),
        _ => None,
    }
}

fn expected_sequence(reason: &RefusalReason) -> Option<Sequence> {
    match reason {
        RefusalReason::SequenceGap { expected } | RefusalReason::SequencePassed { expected } => {
            Some(*expected)
        }
        _ => None,
    }
}

fn remaining_budget(reason: &RefusalReason) -> Option<Cost> {
    match reason {
        RefusalReason::BudgetExceeded { remaining } => Some(*remaining),
        _ => None,
    }
}
