//! Time for the decision logic, which receives it as an argument and never reads a clock.

use std::ops::Add;
use std::time::Duration;

use rkyv::{Archive, Deserialize, Serialize};

/// A point in time on the monotonic clock of one process. Values of different processes are not
/// comparable.
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
    /// Microseconds since the origin of the process's clock.
    pub micros: u64,
}

impl MonotonicTime {
    /// The origin of the process's clock.
    pub const ZERO: Self = Self { micros: 0 };

    /// Creates a time that lies `micros` microseconds after the origin.
    pub fn from_micros(micros: u64) -> Self {
        Self { micros }
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than `self`.
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
