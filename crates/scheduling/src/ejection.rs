//! Ejection of failing backends. A backend gets no calls for a time after several consecutive
//! failures, then a single probe call. If the probe fails too, the ejection time doubles.

use std::time::Duration;

use ridgeworks_domain::MonotonicTime;

/// Maximum number of doublings of the ejection time, so that `1 << doublings` does not overflow.
const MAX_DOUBLINGS: u32 = 16;

/// Thresholds of ejection, shared by all backends.
#[derive(Debug, Clone, Copy)]
pub struct EjectionLimits {
    /// Consecutive failures after which a healthy backend is ejected.
    pub failures: u32,
    /// Duration of the first ejection.
    pub base: Duration,
    /// Maximum duration of an ejection.
    pub max: Duration,
}

/// Health of a backend, which limits the calls that it gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// Gets as many concurrent calls as it has slots.
    Healthy,
    /// Gets no calls until this time.
    Ejected(MonotonicTime),
    /// Gets one call at a time until one succeeds.
    Probing,
}

/// Failure record of one backend.
#[derive(Debug, Clone)]
pub struct Ejection {
    health: Health,
    consecutive_failures: u32,
    consecutive_ejections: u32,
}

impl Default for Ejection {
    fn default() -> Self {
        Self {
            health: Health::Healthy,
            consecutive_failures: 0,
            consecutive_ejections: 0,
        }
    }
}

impl Ejection {
    /// Current health.
    pub fn health(&self) -> Health {
        self.health
    }

    /// Records a successful call. A probed backend becomes healthy; an ejected one stays ejected.
    pub fn record_success(&mut self) {
        if !matches!(self.health, Health::Ejected(_)) {
            *self = Self::default();
        }
    }

    /// Records a failed call. Returns whether it ejected the backend.
    pub fn record_failure(&mut self, now: MonotonicTime, limits: EjectionLimits) -> bool {
        if matches!(self.health, Health::Ejected(_)) {
            return false;
        }
        self.consecutive_failures += 1;
        if self.health == Health::Healthy && self.consecutive_failures < limits.failures {
            return false;
        }
        let doublings = self.consecutive_ejections.min(MAX_DOUBLINGS);
        let ejection_time = limits.base.saturating_mul(1 << doublings).min(limits.max);
        self.health = Health::Ejected(now + ejection_time);
        self.consecutive_ejections += 1;
        self.consecutive_failures = 0;
        true
    }

    /// Ends an expired ejection. Returns whether probing begins now.
    pub fn advance(&mut self, now: MonotonicTime) -> bool {
        match self.health {
            Health::Ejected(until) if until <= now => {
                self.health = Health::Probing;
                true
            }
            _ => false,
        }
    }
}
