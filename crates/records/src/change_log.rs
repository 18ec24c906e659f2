//! The order in which a replica's records changed.
//!
//! A copy takes a while, and records change meanwhile. Listing by the order of changes lets the
//! copying replica continue from its last position; a listing by key would have to start again.

use std::collections::BTreeMap;
use std::ops::Bound;

use rkyv::{Archive, Deserialize, Serialize};

use crate::identifiers::RecordKey;

/// A position in the change log of one replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ListPosition {
    /// Random identifier of the log: changes are numbered from one again whenever the replica has
    /// reopened its disk.
    pub log_id: u64,
    /// Number of the last change before the position.
    pub change: u64,
}

/// Number of the last change of one record; `None` before its first change.
pub(crate) type LastChange = Option<u64>;

/// The keys of all records in the order of their last changes.
#[derive(Debug, Clone, Default)]
pub(crate) struct ChangeLog {
    log_id: u64,
    newest: u64,
    keys: BTreeMap<u64, RecordKey>,
}

impl ChangeLog {
    pub fn with_id(log_id: u64) -> Self {
        Self {
            log_id,
            ..Self::default()
        }
    }

    /// Appends a change of the record with this key in place of its earlier one; `last` becomes the
    /// number of the change.
    pub fn log_change(&mut self, last: &mut LastChange, key: impl FnOnce() -> RecordKey) {
        let earlier = last.and_then(|last| self.keys.remove(&last));
        self.newest += 1;
        self.keys.insert(self.newest, earlier.unwrap_or_else(key));
        *last = Some(self.newest);
    }

    /// Removes the last change of a record that is deleted.
    pub fn remove_change(&mut self, last: LastChange) {
        if let Some(last) = last {
            self.keys.remove(&last);
        }
    }

    /// The keys of at most `limit` records that have changed since this position, earliest change
    /// first, and the position after them. A position of another log counts as the start.
    pub fn page(
        &self,
        after: Option<ListPosition>,
        limit: usize,
    ) -> (impl Iterator<Item = &RecordKey>, ListPosition) {
        let known = after.filter(|position| position.log_id == self.log_id);
        let known = known.map_or(0, |position| position.change);
        let bounds = (Bound::Excluded(known), Bound::Unbounded);
        let last = self.keys.range(bounds).take(limit).last();
        let change = last.map_or(known, |(number, _)| *number);
        let keys = self.keys.range(bounds).take(limit).map(|(_, key)| key);
        let log_id = self.log_id;
        (keys, ListPosition { log_id, change })
    }

    pub fn is_end(&self, position: ListPosition) -> bool {
        let after = (Bound::Excluded(position.change), Bound::Unbounded);
        self.keys.range(after).next().is_none()
    }
}
