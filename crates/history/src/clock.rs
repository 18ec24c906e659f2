//! The clock that all processes of one machine share.

use rustix::time::{ClockId, clock_gettime};

const MICROS_PER_SECOND: u64 = 1_000_000;
const NANOS_PER_MICRO: u64 = 1_000;

/// Reads `CLOCK_MONOTONIC`, which has the same origin in every process of one machine.
#[derive(Debug, Clone, Copy, Default)]
pub struct HistoryClock;

impl HistoryClock {
    /// Microseconds since the machine's own origin; [`crate::merge`] subtracts the run's start.
    pub fn now_micros(self) -> u64 {
        let time = clock_gettime(ClockId::Monotonic);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
        seconds * MICROS_PER_SECOND + nanos / NANOS_PER_MICRO
    }
}
