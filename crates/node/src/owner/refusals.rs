//! Refusals that pass by themselves: the gateway or the caller comes again later.

use ridgeworks_domain::{Refusal, RefusalReason};

use crate::RETRY_DELAY;

/// This node does not own the run; the gateway asks the next candidate.
pub fn not_owner() -> Refusal {
    Refusal::retry_after(RefusalReason::NotOwner, RETRY_DELAY)
}

/// No majority of the run's replicas is there.
pub fn no_quorum() -> Refusal {
    Refusal::retry_after(RefusalReason::NoQuorum, RETRY_DELAY)
}

/// The gateway's configuration holds what this node's does not, or the reverse.
pub fn configuration_behind() -> Refusal {
    Refusal::retry_after(RefusalReason::ConfigurationStale, RETRY_DELAY)
}

/// No back end can be asked for the call now.
pub fn no_backend() -> Refusal {
    Refusal::retry_after(RefusalReason::NoBackend, RETRY_DELAY)
}
