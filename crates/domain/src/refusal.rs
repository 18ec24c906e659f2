//! Refusals: requests that were given up on, with the reason and when to come back.
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
    /// The body is larger than allowed.
    BodyTooLarge {
        /// Most bytes allowed.
        limit_bytes: u64,
    },
    /// The body ended early or took too long to arrive.
    BodyIncomplete,
    /// The body is not the JSON that the call takes.
    Malformed,
    /// A field or header is missing.
    MissingField {
        /// Its name.
        field: String,
    },
    /// A field or header holds a value that is not allowed.
    InvalidField {
        /// Its name.
        field: String,
    },
    /// No such path or method.
    UnknownRoute,
}

/// Why a request was refused. Every reason except [`RefusalReason::Unknown`] means that the call
/// did not run and can no longer run on behalf of this request.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The request could not be read.
    InvalidRequest(InvalidRequest),
    /// The token is missing or matches no partner.
    Unauthenticated,
    /// The object belongs to the other partner.
    Forbidden,
    /// No such program in the configuration in force.
    UnknownProgram,
    /// No such service in the configuration in force.
    UnknownService,
    /// No such run.
    UnknownRun,
    /// The run is closed.
    RunClosed,
    /// The same key came before with another body, service or sequence number.
    CallKeyConflict,
    /// Calls before this one are missing.
    SequenceGap {
        /// The number the run expects next.
        expected: Sequence,
    },
    /// A later call of the run has gone out already.
    SequencePassed {
        /// The number the run expects next.
        expected: Sequence,
    },
    /// The reserve does not fit in what is left of the budget.
    BudgetExceeded {
        /// What is left.
        remaining: Cost,
    },
    /// The call cannot be answered before its deadline.
    DeadlineCannotBeMet,
    /// The queue of the service is full.
    QueueFull,
    /// No back end serves the service now.
    NoBackend,
    /// The back end refused the call before running it.
    BackendRefused,
    /// The node is stopping.
    NodeStopping,
    /// The node cannot prove that its configuration is the newest one.
    ConfigurationStale,
    /// No majority of the run's replicas answered in time.
    NoQuorum,
    /// Another node owns the run now.
    NotOwner,
    /// Too many requests are open on this node.
    TooManyRequests,
    /// The call may have run; its end could not be learned.
    Unknown,
}

/// A typed refusal.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When coming back helps: after this many milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// A refusal for which coming back does not help.
    pub fn permanent(reason: RefusalReason) -> Self {
        Self {
            reason,
            retry_after_ms: None,
        }
    }

    /// A refusal after which the caller may come back.
    pub fn retry_after(reason: RefusalReason, delay: Duration) -> Self {
        let delay = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        Self {
            reason,
            retry_after_ms: Some(delay),
        }
    }

    /// Whether the call is known not to have run.
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
