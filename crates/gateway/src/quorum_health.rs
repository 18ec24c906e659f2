//! Whether a majority of each group's replicas answers this gateway.
//!
//! A gateway that has just failed to reach a majority knows that the next request that needs one cannot be
//! served: it is refused at once, and its client finds another gateway sooner (`docs/design/large-fleets.md`,
//! "Gateways that are cut off").

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use ridgeworks_records::GroupId;
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

/// What the last operations say of each group.
#[derive(Debug, Default)]
pub struct GroupHealth(RefCell<BTreeMap<GroupId, QuorumHealth>>);

impl GroupHealth {
    /// A majority of a group has answered. Says how long none did before, if that is over now.
    pub fn on_reached(&self, group: GroupId) -> Option<Duration> {
        let groups = self.0.borrow();
        groups.get(&group)?.on_reached()
    }

    /// An operation was given up after so long without a majority of its group. Says whether that is news.
    pub fn on_failed(&self, group: GroupId, waited: Duration) -> bool {
        let mut groups = self.0.borrow_mut();
        groups.entry(group).or_default().on_failed(waited)
    }

    /// Whether no majority of a group answers, as far as is known.
    pub fn is_lost(&self, group: GroupId) -> bool {
        let groups = self.0.borrow();
        groups.get(&group).is_some_and(QuorumHealth::is_lost)
    }

    /// Groups of which no majority answers.
    pub fn lost_count(&self) -> usize {
        let groups = self.0.borrow();
        groups.values().filter(|health| health.is_lost()).count()
    }

    /// For how long no majority of a group has answered; zero while one does.
    pub fn lost_for(&self, group: GroupId) -> Duration {
        let groups = self.0.borrow();
        groups
            .get(&group)
            .map_or(Duration::ZERO, QuorumHealth::lost_for)
    }
}
