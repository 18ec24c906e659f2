//! A value that readers see only some time after it was set, as outside systems publish theirs.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// A value with its recent past.
#[derive(Debug)]
pub struct Lagging<T> {
    lag: Duration,
    published: T,
    pending: VecDeque<(Instant, T)>,
}

impl<T> Lagging<T> {
    /// A value that is published from the start, whose changes are published `lag` later.
    pub fn new(initial: T, lag: Duration) -> Self {
        Self {
            lag,
            published: initial,
            pending: VecDeque::new(),
        }
    }

    /// Sets the value as of `now`.
    pub fn set(&mut self, value: T, now: Instant) {
        self.publish(now);
        self.pending.push_back((now + self.lag, value));
    }

    /// The value as readers see it at `now`.
    pub fn published(&mut self, now: Instant) -> &T {
        self.publish(now);
        &self.published
    }

    /// When the next change will be published.
    pub fn next_publication(&self) -> Option<Instant> {
        self.pending.front().map(|(due, _)| *due)
    }

    fn publish(&mut self, now: Instant) {
        while self.next_publication().is_some_and(|due| due <= now) {
            if let Some((_, value)) = self.pending.pop_front() {
                self.published = value;
            }
        }
    }
}
