//! The working set of an engine: contexts of calls in flight and contexts under lease.
//!
//! If the contexts of all active runs exceed the cache capacity, each call evicts a context that
//! another one is about to need, and the engines thrash: they spend their time prefilling evicted
//! contexts. A call with at most half of its prompt cached at the engine therefore waits until its
//! context fits, unless it is urgent or has a deadline, or the engine is idle.

use ridgeworks_domain::RunId;

use crate::backends::{BackendIndex, BackendState};
use crate::retention::Retention;

/// Check whether a context fits into an engine's cache.
#[derive(Debug, Clone, Copy)]
pub struct WorkingSet<'a> {
    /// Contexts under lease.
    pub retention: &'a Retention,
    /// Fraction of the cache that the working set may occupy, in thousandths.
    pub permille: u64,
    /// Whether the bound is enforced.
    pub bounded: bool,
}

impl WorkingSet<'_> {
    /// Whether an uncached context of `tokens` fits beside those in use. An idle engine accepts any
    /// context, so that leases alone never block a call.
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
