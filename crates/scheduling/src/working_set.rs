//! The working set of an engine: contexts of calls in flight and contexts under lease.
//!
//! When more runs are under way than their contexts fit into the caches, each call evicts a context
//! that another one is about to need, and the engines spend their time on rebuilding. A context that
//! is not cached therefore waits until it fits.

use ridgeworks_domain::RunId;

use crate::backends::{BackendIndex, BackendState};
use crate::retention::Retention;

/// What the decision rests on.
#[derive(Debug, Clone, Copy)]
pub struct WorkingSet<'a> {
    /// Contexts under lease.
    pub retention: &'a Retention,
    /// Most of the cache that may be taken, in thousandths.
    pub permille: u64,
    /// Whether the bound holds at all.
    pub bounded: bool,
}

impl WorkingSet<'_> {
    /// Whether a context of `tokens` that is not cached fits beside those in use. An engine that
    /// runs nothing takes any, so that leases alone never hold a call back.
    pub fn fits(&self, run: RunId, tokens: u64, index: BackendIndex, state: &BackendState) -> bool {
        let idle = state.in_flight == 0;
        if !self.bounded || idle || tokens == 0 {
            return true;
        }
        let own = self.retention.leased_tokens_of(run, index);
        let leased = self.retention.leased_tokens(index) - own;
        let taken = state.reserved_tokens + leased;
        taken + tokens <= state.cache_capacity * self.permille / 1000
    }
}
