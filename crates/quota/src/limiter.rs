//! Gives out one share of each tenant's limit.

use std::time::Duration;

use ridgeworks_routing::RateLimit;

use crate::bucket::{Bucket, Buckets};
use crate::share::{QuotaBounds, Share};

/// How far the program of a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ProgramProgress {
    /// The request may be its first one.
    Beginning,
    /// It is under way.
    UnderWay,
}

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimiterDecision {
    /// It may run.
    Granted,
    /// This limiter has nothing left.
    Exhausted {
        /// Until the next request can be granted.
        next: Duration,
        /// Until this one can, if all that were turned away before it come back first.
        retry: Duration,
    },
}

/// Gives out one share of each tenant's limit. Times are since the start of the process.
#[derive(Debug)]
pub struct Limiter {
    bounds: QuotaBounds,
    /// Limiters that a limit is split among.
    limiters: usize,
    /// Since when it is known what this limiter has given out.
    known_since: Duration,
    buckets: Buckets,
}

impl Limiter {
    /// A limiter that knows nothing of what was given out before now.
    pub fn new(bounds: QuotaBounds, limiters: usize, now: Duration) -> Self {
        Self {
            bounds,
            limiters,
            known_since: now,
            buckets: Buckets::default(),
        }
    }

    /// Whether a request of a tenant may run, whose limit this version of the configuration sets. A limit of an earlier version than
    /// one that was heard of changes nothing.
    pub fn admit(
        &mut self,
        tenant: &str,
        progress: ProgramProgress,
        limit: RateLimit,
        version: u64,
        now: Duration,
    ) -> LimiterDecision {
        let fresh = self.new_bucket(limit, version, now);
        self.buckets
            .take(tenant, fresh, progress, self.bounds.window)
    }

    /// A bucket of which nothing was taken since it is known what was given out. What was given out before that
    /// does not count any more once a window has passed.
    fn new_bucket(&self, limit: RateLimit, version: u64, now: Duration) -> Bucket {
        let share = Share::new(limit, &self.bounds, self.limiters);
        let known = now.saturating_sub(self.known_since);
        let level = if known >= self.bounds.window {
            share.capacity
        } else {
            let filled = share.initial + known.as_secs_f64() * share.per_s;
            filled.min(share.capacity)
        };
        Bucket::new(share, level, version, now)
    }

    /// Lets go of full buckets beyond those that are kept so that no gateway brings an earlier limit than the newest one that was heard of.
    pub fn clean_up(&mut self, now: Duration) {
        if now.saturating_sub(self.known_since) < self.bounds.window {
            return;
        }
        self.buckets.clean_up(now);
    }

    /// Tenants of whom something was taken lately.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Whether nothing was taken lately.
    pub fn is_empty(&self) -> bool {
        self.buckets.len() == 0
    }

    /// Tenants whose limits are kept.
    pub fn retained(&self) -> usize {
        self.buckets.retained()
    }
}
