//! Hands out one share of each tenant's limit.

use std::time::Duration;

use ridgeworks_routing::RateLimit;

use crate::bucket::{Bucket, Buckets};
use crate::share::{QuotaBounds, Share};

/// Progress of the program that a request belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ProgramProgress {
    /// The request may be the program's first.
    Beginning,
    /// The program has made requests before.
    UnderWay,
}

/// A limiter's decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimiterDecision {
    /// The request may run.
    Granted,
    /// The limiter has no token for the request.
    Exhausted {
        /// Time until the next request can be granted.
        next: Duration,
        /// Time until this request can be granted if all requests that were refused before it retry first.
        retry: Duration,
    },
}

/// Hands out one share of each tenant's limit. Times are since the start of the process.
#[derive(Debug)]
pub struct Limiter {
    bounds: QuotaBounds,
    /// Limiters that share each limit.
    limiters: usize,
    /// Time since which this limiter knows all of its grants.
    known_since: Duration,
    buckets: Buckets,
}

impl Limiter {
    /// A limiter that knows nothing of grants before `now`, such as after a restart.
    pub fn new(bounds: QuotaBounds, limiters: usize, now: Duration) -> Self {
        Self {
            bounds,
            limiters,
            known_since: now,
            buckets: Buckets::default(),
        }
    }

    /// Decides on a request of a tenant. `version` is that of the configuration that sets the limit; a limit
    /// of an earlier version than a known one is ignored.
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

    /// The bucket of a tenant without known grants. Until a window has passed since the start, it may hold
    /// less than its capacity, since earlier grants are not known.
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

    /// If there are too many full buckets, discards those of the oldest configuration versions. The others
    /// are kept so that a gateway with an older configuration cannot put an outdated limit into force again.
    /// Does nothing until a window has passed since the start, since earlier grants are not known.
    pub fn clean_up(&mut self, now: Duration) {
        if now.saturating_sub(self.known_since) < self.bounds.window {
            return;
        }
        self.buckets.clean_up(now);
    }

    /// Tenants with recent grants.
    pub fn len(&self) -> usize {
        self.buckets.non_full_count()
    }

    /// Whether no tenant has recent grants.
    pub fn is_empty(&self) -> bool {
        self.buckets.non_full_count() == 0
    }

    /// Tenants whose limits are known.
    pub fn retained(&self) -> usize {
        self.buckets.count()
    }
}
