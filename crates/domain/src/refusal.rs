//! Refusals: why a request was rejected, and when to retry it.
#![allow(
    missing_docs,
    reason = "the resolvers that rkyv derives carry undocumented fields"
)]

use std::fmt;
use std::time::Duration;

use rkyv::{Archive, Deserialize, Serialize};

use crate::identifiers::Sequence;
use crate::units::Cost;

/// What is wrong with a request.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum InvalidRequest {
    /// The body exceeds the size limit.
    BodyTooLarge {
        /// Maximum size of the body, in bytes.
        limit_bytes: u64,
    },
    /// The whole body was not received: the connection ended, or reading timed out or failed.
    BodyIncomplete,
    /// The body is not valid JSON of the expected structure.
    Malformed,
    /// A field or header is missing.
    MissingField {
        /// Name of the field or header.
        field: String,
    },
    /// A field, header or path parameter has an invalid value.
    InvalidField {
        /// Name of the field, header or path parameter.
        field: String,
    },
    /// No such path or method.
    UnknownRoute,
}

/// Why a request was refused. Every reason except [`RefusalReason::Unknown`] guarantees that the call
/// did not run and cannot run on behalf of this request later.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The request is malformed or incomplete.
    InvalidRequest(InvalidRequest),
    /// The token is missing or matches no partner.
    Unauthenticated,
    /// The object belongs to another partner.
    Forbidden,
    /// The program is not in the current configuration.
    UnknownProgram,
    /// The service is not in the current configuration.
    UnknownService,
    /// The run does not exist.
    UnknownRun,
    /// The run is closed.
    RunClosed,
    /// The call key was used before with a different body, service or sequence number.
    CallKeyConflict,
    /// The sequence number is higher than the next expected one.
    SequenceGap {
        /// Sequence number that the run expects next.
        expected: Sequence,
    },
    /// A later call of the run was already dispatched.
    SequencePassed {
        /// Sequence number that the run expects next.
        expected: Sequence,
    },
    /// The reserve exceeds the remaining budget.
    BudgetExceeded {
        /// Remaining budget of the run.
        remaining: Cost,
    },
    /// The call cannot be answered before its deadline.
    DeadlineCannotBeMet,
    /// The queue of the service is full.
    QueueFull,
    /// No back end of the service is available.
    NoBackend,
    /// The back end refused the call before running it.
    BackendRefused,
    /// The node is stopping.
    NodeStopping,
    /// The node cannot prove that its configuration is current.
    ConfigurationStale,
    /// No majority of the run's replicas answered in time.
    NoQuorum,
    /// Another node owns the run.
    NotOwner,
    /// The node has reached its limit of in-flight requests.
    TooManyRequests,
    /// The call may have run; its outcome could not be determined.
    Unknown,
}

/// A refused request, with the reason and the retry delay.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: RefusalReason,
    /// Delay after which a retry may succeed, in milliseconds; `None` if retrying does not help.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal that a retry cannot resolve.
    pub fn permanent(reason: RefusalReason) -> Self {
        Self {
            reason,
            retry_after_ms: None,
        }
    }

    /// Creates a refusal that may be retried after `delay`.
    pub fn retry_after(reason: RefusalReason, delay: Duration) -> Self {
        let delay = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        Self {
            reason,
            retry_after_ms: Some(delay),
        }
    }

    /// Returns whether the call is known not to have run.
    pub fn is_not_run(&self) -> bool {
        self.reason != RefusalReason::Unknown
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}", self.reason)
    }
}

impl std::error::Error for Refusal {}
