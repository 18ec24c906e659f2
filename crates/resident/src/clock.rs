//! Monotonic and wall clock of a process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The monotonic clock, counted from the start of the process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    /// The wall clock at the start, in milliseconds since the Unix epoch.
    start_unix_ms: u64,
}

impl Clock {
    /// Starts the clock at zero.
    pub fn start() -> Self {
        Self::start_at(unix_time_ms())
    }

    /// Starts the clock at zero, and takes this for the wall clock's time, in milliseconds since the Unix epoch.
    pub fn start_at(start_unix_ms: u64) -> Self {
        Self {
            start: Instant::now(),
            start_unix_ms,
        }
    }

    /// Time in milliseconds since the Unix epoch, by the wall clock at the start and the time since then. What is aged by it does not
    /// expire when the wall clock is set.
    pub fn unix_time_ms(&self) -> u64 {
        self.start_unix_ms.saturating_add(whole_ms(self.now()))
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// The moment `age` before now.
    pub fn ago(&self, age: Duration) -> Moment {
        let now = Moment::at(self.now());
        let since_start_us = now.since_start_us.saturating_sub(whole_us(age));
        Moment { since_start_us }
    }

    /// Time since a moment; zero where it is in the future.
    pub fn since(&self, moment: Moment) -> Duration {
        let now = Moment::at(self.now());
        let us = now.since_start_us.saturating_sub(moment.since_start_us);
        Duration::from_micros(u64::try_from(us).unwrap_or_default())
    }
}

/// A moment on the monotonic clock. It may lie before the start of the process, since other nodes send ages that are older than this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment {
    /// Microseconds since the start of the process.
    since_start_us: i64,
}

impl Moment {
    fn at(since_start: Duration) -> Self {
        Self {
            since_start_us: whole_us(since_start),
        }
    }
}

fn whole_us(duration: Duration) -> i64 {
    i64::try_from(duration.as_micros()).unwrap_or(i64::MAX)
}

/// Wall-clock time in milliseconds since the Unix epoch. The clocks of machines may differ.
pub fn unix_time_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

/// A duration in whole milliseconds, rounded down.
pub fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
