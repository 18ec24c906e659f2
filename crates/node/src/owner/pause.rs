//! Notices that the process did not run for a time. What was in its sockets meanwhile has an unknown age.

use std::time::{Duration, Instant};

/// A grant is used no later than this after it came; the dispatcher takes it back after twice that.
pub const GRANT_VALIDITY: Duration = Duration::from_secs(1);
/// Messages that come within this time after a pause may have been waiting through it.
pub const SETTLING_TIME: Duration = Duration::from_millis(200);

/// Notices pauses by ticks that come late.
#[derive(Debug, Clone, Copy)]
pub struct PauseDetector {
    last_tick: Instant,
    unsettled_until: Option<Instant>,
}

impl PauseDetector {
    /// A process that runs since `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            last_tick: now,
            unsettled_until: None,
        }
    }

    /// Takes a tick; they come every few milliseconds.
    pub fn tick(&mut self, now: Instant) {
        if self.is_late(now) {
            self.unsettled_until = Some(now + SETTLING_TIME);
        }
        self.last_tick = now;
    }

    /// Whether a message that is handled now may be older than a grant's validity.
    pub fn may_be_stale(&self, now: Instant) -> bool {
        self.is_late(now) || self.unsettled_until.is_some_and(|until| now < until)
    }

    fn is_late(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_tick) >= GRANT_VALIDITY
    }
}
