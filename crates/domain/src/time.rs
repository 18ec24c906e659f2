//! Time as the decision logic sees it: always passed in, never read from a clock.

use std::ops::Add;
use std::time::Duration;

use rkyv::{Archive, Deserialize, Serialize};

/// Microseconds on one process's monotonic clock. Values of different processes are unrelated.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Archive,
    Serialize,
    Deserialize,
)]
pub struct MonotonicTime {
    /// Microseconds since the process's own start of time.
    pub micros: u64,
}

impl MonotonicTime {
    /// The process's start of time.
    pub const ZERO: Self = Self { micros: 0 };

    /// A time this many microseconds after the start.
    pub fn from_micros(micros: u64) -> Self {
        Self { micros }
    }

    /// Time since `earlier`, zero when `earlier` lies ahead.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.micros.saturating_sub(earlier.micros))
    }
}

impl Add<Duration> for MonotonicTime {
    type Output = Self;
    fn add(self, duration: Duration) -> Self {
        let added = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self {
            micros: self.micros.saturating_add(added),
        }
    }
}
