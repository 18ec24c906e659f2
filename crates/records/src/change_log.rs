//! In which order a replica's records changed, so that whoever copies them asks for the rest only.
//!
//! A copy under load takes seconds, and meanwhile as much is written. A listing by key would have to be made from the start
//! again once the set has changed; by the order of changes it goes on from where the copier stands.

use std::collections::BTreeMap;
use std::ops::Bound;

use rkyv::{Archive, Deserialize, Serialize};

use crate::identifiers::RecordKey;

/// How far the changes of one life of a replica's memory are known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ListPosition {
    /// The life: changes are numbered anew whenever the replica has read its disk back.
    pub log_id: u64,
    /// Number of the last change that is known.
    pub change: u64,
}

/// Number of the last change of one record; `None` before the first one.
pub(crate) type ChangeNumber = Option<u64>;

/// The keys of all records in the order of their last changes.
#[derive(Debug, Clone, Default)]
pub(crate) struct ChangeLog {
    log_id: u64,
    newest: u64,
    keys: BTreeMap<u64, RecordKey>,
}

impl ChangeLog {
    /// No changes of this life yet.
    pub fn of_life(log_id: u64) -> Self {
        Self {
            log_id,
            ..Self::default()
        }
    }

    /// Notes that a record has changed.
    pub fn note(&mut self, last: &mut ChangeNumber, key: impl FnOnce() -> RecordKey) {
        let earlier = last.and_then(|last| self.keys.remove(&last));
        self.newest += 1;
        self.keys.insert(self.newest, earlier.unwrap_or_else(key));
        *last = Some(self.newest);
    }

    /// Notes that a record is gone.
    pub fn forget(&mut self, last: ChangeNumber) {
        if let Some(last) = last {
            self.keys.remove(&last);
        }
    }

    /// The keys of records that have changed since this position, of the ones that changed first so many, and where that leads.
    /// Everything counts as changed for a position of another life.
    pub fn page(
        &self,
        after: Option<ListPosition>,
        most: usize,
    ) -> (impl Iterator<Item = &RecordKey>, ListPosition) {
        let known = after.filter(|position| position.log_id == self.log_id);
        let known = known.map_or(0, |position| position.change);
        let bounds = (Bound::Excluded(known), Bound::Unbounded);
        let last = self.keys.range(bounds).take(most).last();
        let change = last.map_or(known, |(number, _)| *number);
        let keys = self.keys.range(bounds).take(most).map(|(_, key)| key);
        let log_id = self.log_id;
        (keys, ListPosition { log_id, change })
    }

    /// Whether nothing has changed since this position.
    pub fn is_end(&self, position: ListPosition) -> bool {
        let after = (Bound::Excluded(position.change), Bound::Unbounded);
        self.keys.range(after).next().is_none()
    }
}
