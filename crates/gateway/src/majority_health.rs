//! Tracks whether a majority of each group's replicas is reachable.
//!
//! While a group's majority is unreachable, requests that need it are refused at once, so that
//! their clients find another gateway sooner (`docs/design/large-fleets.md`, "Gateways that are cut
//! off").

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use ridgeworks_records::GroupId;
use tokio::time::Instant;

/// Shortest wait after which an operation without a majority counts as a loss of the majority. One
/// that is abandoned sooner says nothing about the replicas: its client ran out of time.
const MIN_WAIT: Duration = Duration::from_millis(300);

/// Reachability of one group's majority, judged by the last operations.
#[derive(Debug, Default)]
pub struct MajorityHealth {
    /// When the majority became unreachable; `None` while it is reachable.
    lost_since: Cell<Option<Instant>>,
}

impl MajorityHealth {
    /// Records that a majority answered. Returns how long it was unreachable if this ends the loss.
    pub fn on_reached(&self) -> Option<Duration> {
        let since = self.lost_since.take()?;
        Some(since.elapsed())
    }

    /// Records an operation that was abandoned after `waited` without a majority. Returns whether
    /// the majority is newly lost.
    pub fn on_failed(&self, waited: Duration) -> bool {
        if waited < MIN_WAIT || self.is_lost() {
            return false;
        }
        let now = Instant::now();
        self.lost_since
            .set(Some(now.checked_sub(waited).unwrap_or(now)));
        true
    }

    /// Whether the majority is believed to be unreachable.
    pub fn is_lost(&self) -> bool {
        self.lost_since.get().is_some()
    }

    /// How long the majority has been unreachable; zero while it is reachable.
    pub fn lost_for(&self) -> Duration {
        self.lost_since
            .get()
            .map_or(Duration::ZERO, |since| since.elapsed())
    }
}

/// Reachability of each group's majority. Groups without a recorded failure count as reachable.
#[derive(Debug, Default)]
pub struct GroupHealth(RefCell<BTreeMap<GroupId, MajorityHealth>>);

impl GroupHealth {
    /// Records that a majority of a group answered. Returns how long it was unreachable if this
    /// ends the loss.
    pub fn on_reached(&self, group: GroupId) -> Option<Duration> {
        let groups = self.0.borrow();
        groups.get(&group)?.on_reached()
    }

    /// Records an operation that was abandoned after `waited` without a majority. Returns whether
    /// the group's majority is newly lost.
    pub fn on_failed(&self, group: GroupId, waited: Duration) -> bool {
        let mut groups = self.0.borrow_mut();
        groups.entry(group).or_default().on_failed(waited)
    }

    /// Whether the group's majority is believed to be unreachable.
    pub fn is_lost(&self, group: GroupId) -> bool {
        let groups = self.0.borrow();
        groups.get(&group).is_some_and(MajorityHealth::is_lost)
    }

    /// Number of groups whose majority is unreachable.
    pub fn lost_count(&self) -> usize {
        let groups = self.0.borrow();
        groups.values().filter(|health| health.is_lost()).count()
    }

    /// How long the group's majority has been unreachable; zero while it is reachable.
    pub fn lost_for(&self, group: GroupId) -> Duration {
        let groups = self.0.borrow();
        groups
            .get(&group)
            .map_or(Duration::ZERO, MajorityHealth::lost_for)
    }
}
