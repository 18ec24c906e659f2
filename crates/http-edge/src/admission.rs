//! Limits the number of in-flight requests and refusals.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

#[derive(Debug, Default)]
struct InFlight {
    requests: usize,
    refusals: usize,
}

/// Counts in-flight requests and refusals against their limits.
#[derive(Debug)]
pub(crate) struct Admission {
    max_requests: usize,
    max_refusals: usize,
    in_flight: Mutex<InFlight>,
    changed: Condvar,
}

impl Admission {
    pub(crate) fn new(max_requests: usize, max_refusals: usize) -> Self {
        Self {
            max_requests,
            max_refusals: max_refusals.max(1),
            in_flight: Mutex::default(),
            changed: Condvar::new(),
        }
    }

    /// Acquires a permit for a request; returns false if none is available.
    pub(crate) fn try_acquire_request(&self) -> bool {
        let mut in_flight = self.lock();
        let available = in_flight.requests < self.max_requests;
        if available {
            in_flight.requests += 1;
        }
        available
    }

    /// Acquires a permit for a refusal; blocks until one is available.
    pub(crate) fn acquire_refusal(&self) {
        let full = |in_flight: &mut InFlight| in_flight.refusals >= self.max_refusals;
        let mut in_flight = self
            .changed
            .wait_while(self.lock(), full)
            .unwrap_or_else(PoisonError::into_inner);
        in_flight.refusals += 1;
    }

    pub(crate) fn release_request(&self) {
        self.lock().requests -= 1;
        self.changed.notify_all();
    }

    pub(crate) fn release_refusal(&self) {
        self.lock().refusals -= 1;
        self.changed.notify_all();
    }

    /// Waits until nothing is in flight; returns false after `timeout`.
    pub(crate) fn wait_until_idle(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let mut in_flight = self.lock();
        while in_flight.requests + in_flight.refusals > 0 {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            in_flight = self
                .changed
                .wait_timeout(in_flight, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
        true
    }

    fn lock(&self) -> MutexGuard<'_, InFlight> {
        self.in_flight
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
