//! The stages that a change passes through, and those of the platform's document.

use std::sync::Arc;

use ridgeworks_domain::MonotonicTime;

use crate::change::ChangeRequest;
use crate::effect::{OperatorAnswer, Ticket};
use crate::revision::{PlatformVersion, RequestId, Revision};
use crate::set::ConfigurationSet;

/// A change that an operator waits for.
#[derive(Debug)]
pub(super) struct OpenChange {
    pub ticket: Ticket,
    pub request: ChangeRequest,
    pub arrived: MonotonicTime,
    /// Whether the operator was told that the end is unknown.
    pub answered: bool,
}

/// A write of the document that may have taken effect, or may still.
#[derive(Debug)]
pub(super) struct Attempt {
    pub expected: PlatformVersion,
    pub base: Arc<ConfigurationSet>,
    pub next: Arc<ConfigurationSet>,
    pub changes: Vec<(OpenChange, OperatorAnswer)>,
}

/// An answer that waits until a majority holds `needs`.
#[derive(Debug)]
pub(super) struct Settling {
    pub ticket: Ticket,
    pub answer: OperatorAnswer,
    pub needs: Revision,
    pub arrived: MonotonicTime,
}

/// What is under way between the coordinator and the platform.
#[derive(Debug, Clone, Copy)]
pub(super) enum Stage {
    /// Nothing is asked of the platform.
    Idle,
    /// Ask again at this time.
    Pausing(MonotonicTime),
    /// The document is being read.
    Reading(Asked),
    /// The document is being written.
    Swapping(Asked),
}

/// An operation that the platform was asked for.
#[derive(Debug, Clone, Copy)]
pub(super) struct Asked {
    pub request: RequestId,
    pub sent: MonotonicTime,
    /// The newest revision that was known to be held then.
    pub floor: Revision,
}
