//! The process's monotonic clock, as the decision logic counts it.

use std::time::{Duration, Instant};

use ridgeworks_domain::MonotonicTime;

/// Converts between the system's clock and [`MonotonicTime`].
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The time now. Read anew, so that a pause of the process is seen at once.
    pub fn now(self) -> MonotonicTime {
        self.at(Instant::now())
    }

    /// The time at an instant.
    pub fn at(self, instant: Instant) -> MonotonicTime {
        let elapsed = instant.saturating_duration_since(self.start);
        MonotonicTime::ZERO + elapsed
    }

    /// The instant of a time.
    pub fn instant(self, time: MonotonicTime) -> Instant {
        self.start + Duration::from_micros(time.micros)
    }
}
