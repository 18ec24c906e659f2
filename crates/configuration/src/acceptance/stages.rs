//! States of a change in the coordinator, and of the coordinator's use of the platform.

use std::sync::Arc;

use ridgeworks_domain::MonotonicTime;

use crate::change::ChangeRequest;
use crate::effect::{OperatorAnswer, Ticket};
use crate::revision::{PlatformVersion, RequestId, Revision};
use crate::set::ConfigurationSet;

/// A change in the queue or in a write attempt.
#[derive(Debug)]
pub(super) struct OpenChange {
    pub ticket: Ticket,
    pub request: ChangeRequest,
    pub arrived: MonotonicTime,
    /// Whether the operator was already answered that the outcome is unknown.
    pub answered: bool,
}

/// A write of the document that may have taken effect or may still take effect.
#[derive(Debug)]
pub(super) struct Attempt {
    pub expected: PlatformVersion,
    pub base: Arc<ConfigurationSet>,
    pub next: Arc<ConfigurationSet>,
    pub changes: Vec<(OpenChange, OperatorAnswer)>,
}

/// An answer that is sent once a majority holds `required_revision`.
#[derive(Debug)]
pub(super) struct PendingAnswer {
    pub ticket: Ticket,
    pub answer: OperatorAnswer,
    pub required_revision: Revision,
    pub arrived: MonotonicTime,
}

/// The coordinator's platform operation.
#[derive(Debug, Clone, Copy)]
pub(super) enum Stage {
    /// No operation is in flight.
    Idle,
    /// Retry at this time.
    Backoff(MonotonicTime),
    /// The document is being read.
    Reading(PlatformCall),
    /// The document is being written.
    Swapping(PlatformCall),
}

/// A platform operation in flight.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlatformCall {
    pub request: RequestId,
    pub sent: MonotonicTime,
    /// Newest revision known when the operation was sent; an older document is refused.
    pub min_revision: Revision,
}
