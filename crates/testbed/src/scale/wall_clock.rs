//! The clock that all processes of a run share.

use std::time::{SystemTime, UNIX_EPOCH};

/// The machine's wall clock, in microseconds since the Unix epoch.
pub fn wall_clock_us() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |elapsed| elapsed.as_micros() as u64)
}
