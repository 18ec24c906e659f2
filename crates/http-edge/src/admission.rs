//! Bounds on the requests and refusals in progress.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

#[derive(Debug, Default)]
struct InProgress {
    requests: usize,
    refusals: usize,
}

/// Counts what is in progress, against two bounds.
#[derive(Debug)]
pub(crate) struct Admission {
    max_requests: usize,
    max_refusals: usize,
    in_progress: Mutex<InProgress>,
    changed: Condvar,
}

impl Admission {
    pub(crate) fn new(max_requests: usize, max_refusals: usize) -> Self {
        Self {
            max_requests,
            max_refusals: max_refusals.max(1),
            in_progress: Mutex::default(),
            changed: Condvar::new(),
        }
    }

    /// Takes a place for a request, if one is free.
    pub(crate) fn try_enter_request(&self) -> bool {
        let mut in_progress = self.lock();
        let free = in_progress.requests < self.max_requests;
        if free {
            in_progress.requests += 1;
        }
        free
    }

    /// Takes a place for a refusal, waiting for one.
    pub(crate) fn enter_refusal(&self) {
        let full = |in_progress: &mut InProgress| in_progress.refusals >= self.max_refusals;
        let mut in_progress = self
            .changed
            .wait_while(self.lock(), full)
            .unwrap_or_else(PoisonError::into_inner);
        in_progress.refusals += 1;
    }

    pub(crate) fn leave_request(&self) {
        self.lock().requests -= 1;
        self.changed.notify_all();
    }

    pub(crate) fn leave_refusal(&self) {
        self.lock().refusals -= 1;
        self.changed.notify_all();
    }

    /// Waits until nothing is in progress; false when the time is over before.
    pub(crate) fn wait_until_idle(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let mut in_progress = self.lock();
        while in_progress.requests + in_progress.refusals > 0 {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            in_progress = self
                .changed
                .wait_timeout(in_progress, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
        true
    }

    fn lock(&self) -> MutexGuard<'_, InProgress> {
        self.in_progress
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
