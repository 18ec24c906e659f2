//! The weight store: transfers share one rate, one after the other.

use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// The weight store. It moves no bytes, it only takes the time.
#[derive(Debug)]
pub struct WeightStore {
    bytes_per_second: u64,
    busy_until: Mutex<Instant>,
}

impl WeightStore {
    /// An idle store with this rate.
    pub fn new(bytes_per_second: u64) -> Self {
        Self {
            bytes_per_second: bytes_per_second.max(1),
            busy_until: Mutex::new(Instant::now()),
        }
    }

    /// Waits until a transfer of this many bytes is through.
    pub fn transfer(&self, bytes: u64) {
        let seconds = bytes as f64 / self.bytes_per_second as f64;
        let done = {
            let mut busy_until = self.busy_until.lock().expect("no holder panics");
            *busy_until = (*busy_until).max(Instant::now()) + Duration::from_secs_f64(seconds);
            *busy_until
        };
        thread::sleep(done.saturating_duration_since(Instant::now()));
    }
}
