//! Whether a majority of the replicas answers this gateway.
//!
//! A gateway that has just failed to reach a majority knows that the next request that needs one cannot be
//! served: it is refused at once, and its client finds another gateway sooner (`docs/design/large-fleets.md`,
//! "Gateways that are cut off").

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// An operation that was given up sooner says nothing of the replicas: its client had no more time.
const LEAST_WAIT: Duration = Duration::from_millis(300);

/// What the last operations say.
#[derive(Debug, Default)]
pub struct QuorumHealth {
    /// Since when no majority answers; `None` while one does.
    lost_since: Cell<Option<Instant>>,
}

impl QuorumHealth {
    /// A majority has answered. Says how long none did before, if that is over now.
    pub fn on_reached(&self) -> Option<Duration> {
        let since = self.lost_since.take()?;
        Some(since.elapsed())
    }

    /// An operation was given up after so long without a majority. Says whether that is news.
    pub fn on_failed(&self, waited: Duration) -> bool {
        if waited < LEAST_WAIT || self.is_lost() {
            return false;
        }
        let now = Instant::now();
        self.lost_since
            .set(Some(now.checked_sub(waited).unwrap_or(now)));
        true
    }

    /// Whether no majority answers, as far as is known.
    pub fn is_lost(&self) -> bool {
        self.lost_since.get().is_some()
    }

    /// For how long none has answered; zero while one does.
    pub fn lost_for(&self) -> Duration {
        self.lost_since
            .get()
            .map_or(Duration::ZERO, |since| since.elapsed())
    }
}
