//! Splits a tenant's limit among limiters.

use std::time::Duration;

use ridgeworks_routing::RateLimit;

const SECONDS_PER_KS: f64 = 1_000.0;
/// Fraction of the headroom that all full buckets hold together.
const CAPACITY_FRACTION: f64 = 0.7;
/// Fraction of the headroom that the buckets of restarted limiters hold together. All limiters may restart
/// twice within a window while the tenant uses its whole limit.
const INITIAL_FRACTION: f64 = 0.15;

/// Guarantee for the limits of tenants: in every window a tenant makes at most
/// `(rate × window + burst) × (1 + overshoot) + slack` requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// Length of a sliding window.
    pub window: Duration,
    /// Fraction by which a limit may be exceeded.
    pub overshoot: f64,
    /// Requests by which a limit may be exceeded in addition.
    pub slack: f64,
}

impl QuotaBounds {
    /// Requests that a window may contain beyond the steady rate.
    fn headroom(&self, limit: RateLimit) -> f64 {
        let in_window = per_s(limit) * self.window.as_secs_f64() + limit.burst as f64;
        limit.burst as f64 + in_window * self.overshoot + self.slack
    }

    /// Most requests that a window may contain.
    pub fn most(&self, limit: RateLimit) -> f64 {
        per_s(limit) * self.window.as_secs_f64() + self.headroom(limit)
    }
}

fn per_s(limit: RateLimit) -> f64 {
    limit.per_ks as f64 / SECONDS_PER_KS
}

/// One limiter's share of a tenant's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// Refill rate in requests per second.
    pub per_s: f64,
    /// Requests that a full bucket grants at once.
    pub capacity: f64,
    /// Requests that a limiter grants at once if it does not know its recent grants.
    pub initial: f64,
}

impl Share {
    /// The share of one of several limiters. Together the full buckets of all limiters hold
    /// `CAPACITY_FRACTION` of the headroom, but at least the burst. The burst of a small tenant alone,
    /// divided among the limiters, could be less than one request each.
    pub fn new(limit: RateLimit, bounds: &QuotaBounds, limiters: usize) -> Self {
        let limiters = limiters.max(1) as f64;
        let headroom = bounds.headroom(limit);
        let capacity = (headroom * CAPACITY_FRACTION).max(limit.burst as f64);
        let initial = (headroom * INITIAL_FRACTION).min(headroom - capacity);
        Self {
            per_s: per_s(limit) / limiters,
            capacity: capacity / limiters,
            initial: initial.max(0.0).min(capacity) / limiters,
        }
    }
}
