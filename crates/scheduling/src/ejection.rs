//! Ejection of failing back ends: out for a while after some failures in a row, then a single
//! probe call, twice as long out when that fails too.

use std::time::Duration;

use ridgeworks_domain::MonotonicTime;

const MAX_DOUBLINGS: u32 = 16;

/// Limits of ejection, shared by all back ends.
#[derive(Debug, Clone, Copy)]
pub struct EjectionLimits {
    /// Failures in a row that eject.
    pub failures: u32,
    /// First time out.
    pub base: Duration,
    /// Longest time out.
    pub max: Duration,
}

/// Whether a back end may get calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// As many calls as it has slots.
    Healthy,
    /// None until the time given.
    Ejected(MonotonicTime),
    /// One call at a time, until one succeeds.
    Probing,
}

/// Failure record of one back end.
#[derive(Debug, Clone)]
pub struct Ejection {
    health: Health,
    failures_in_row: u32,
    ejections_in_row: u32,
}

impl Default for Ejection {
    fn default() -> Self {
        Self {
            health: Health::Healthy,
            failures_in_row: 0,
            ejections_in_row: 0,
        }
    }
}

impl Ejection {
    /// The present health.
    pub fn health(&self) -> Health {
        self.health
    }

    /// Records a success; a back end on probation is healthy again.
    pub fn record_success(&mut self) {
        if !matches!(self.health, Health::Ejected(_)) {
            *self = Self::default();
        }
    }

    /// Records a failure. Returns whether it ejected the back end.
    pub fn record_failure(&mut self, now: MonotonicTime, limits: EjectionLimits) -> bool {
        if matches!(self.health, Health::Ejected(_)) {
            return false;
        }
        self.failures_in_row += 1;
        if self.health == Health::Healthy && self.failures_in_row < limits.failures {
            return false;
        }
        let doublings = self.ejections_in_row.min(MAX_DOUBLINGS);
        let out = limits.base.saturating_mul(1 << doublings).min(limits.max);
        self.health = Health::Ejected(now + out);
        self.ejections_in_row += 1;
        self.failures_in_row = 0;
        true
    }

    /// Ends an ejection whose time is over. Returns whether probing begins now.
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
