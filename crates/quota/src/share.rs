//! How much of a tenant's limit one limiter gives out by itself.

use std::time::Duration;

use ridgeworks_routing::RateLimit;

const SECONDS_PER_KS: f64 = 1_000.0;
/// Part of what may be used at once, beside the steady rate, that full buckets hold together.
const CAPACITY_FRACTION: f64 = 0.7;
/// Part of it that buckets hold together whose limiters know nothing of before: all may lose their memory twice in a window while a
/// tenant uses all that there is.
const INITIAL_FRACTION: f64 = 0.15;

/// What a deployment promises of the limits of its tenants: in every window a tenant makes no more requests than
/// `(rate × window + burst) × (1 + overshoot) + slack`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// Length of a window; every span of that length counts.
    pub window: Duration,
    /// Part of the limit by which it may be exceeded.
    pub overshoot: f64,
    /// Requests by which it may be exceeded besides.
    pub slack: f64,
}

impl QuotaBounds {
    /// Requests that a window may hold beyond the steady rate: the burst, and all by which the limit may be exceeded.
    fn headroom(&self, limit: RateLimit) -> f64 {
        let in_window = per_s(limit) * self.window.as_secs_f64() + limit.burst as f64;
        limit.burst as f64 + in_window * self.overshoot + self.slack
    }

    /// The most requests that a window may hold.
    pub fn most(&self, limit: RateLimit) -> f64 {
        per_s(limit) * self.window.as_secs_f64() + self.headroom(limit)
    }
}

fn per_s(limit: RateLimit) -> f64 {
    limit.per_ks as f64 / SECONDS_PER_KS
}

/// One limiter's part of a tenant's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// Requests a second.
    pub per_s: f64,
    /// Requests at once from a full bucket.
    pub capacity: f64,
    /// Requests at once from a limiter that does not know what was given out just before.
    pub initial: f64,
}

impl Share {
    /// The part of one of so many limiters. Together they hold the burst, and a part of what the deployment allows beyond it, so that a
    /// bucket of a small tenant holds whole requests.
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
