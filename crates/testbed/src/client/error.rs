//! How a request ended without an answer.

use std::fmt;

use ridgeworks_api::caller_error::{CallerError, Outcome};

/// Why one sending of a request brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransportFailure {
    /// No connection came about; the request was not sent.
    NotConnected,
    /// The connection broke or the time ran out after the request was sent.
    Broken,
    /// The answer is not in the interface's form.
    Malformed,
}

/// Why a request has no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallFailure {
    /// The system refused the request, and coming back does not help or took too long.
    Refused {
        /// HTTP status.
        status: u16,
        /// The refusal.
        error: Box<CallerError>,
        /// Whether an earlier sending of the same request may have run.
        may_have_run: bool,
    },
    /// No node gave an answer in time.
    Unreachable {
        /// The last failure.
        last: TransportFailure,
        /// Whether some node may have taken the request.
        may_have_run: bool,
    },
    /// A repeated request brought a different text than the part that had arrived before.
    AnswerChanged {
        /// What had arrived.
        before: String,
        /// What came then.
        after: String,
    },
}

impl CallFailure {
    /// Whether the call may have run.
    pub fn may_have_run(&self) -> bool {
        match self {
            Self::Refused {
                error,
                may_have_run,
                ..
            } => *may_have_run || error.outcome == Outcome::Unknown,
            Self::Unreachable { may_have_run, .. } => *may_have_run,
            Self::AnswerChanged { .. } => true,
        }
    }
}

impl fmt::Display for CallFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused { status, error, .. } => {
                write!(
                    formatter,
                    "refused with {status} {:?}: {}",
                    error.code, error.message
                )
            }
            Self::Unreachable { last, .. } => {
                write!(formatter, "no node answered, the last failure is {last:?}")
            }
            Self::AnswerChanged { .. } => {
                write!(formatter, "a repeated request brought a different answer")
            }
        }
    }
}

impl std::error::Error for CallFailure {}
