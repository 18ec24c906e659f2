//! Copying records between replicas.

use super::lifetimes::expiry_ms;
use super::{Change, LISTING_PAGE, MAX_FETCH_BYTES, NotRestored, ReplicaState, change_log};
use crate::change_log::ListPosition;
use crate::groups::{GroupId, ReplicaGroups};
use crate::identifiers::{Epoch, ProgramId, RecordKey, TurnId};
use crate::ledger::ProgramLedger;
use crate::message::{Listing, ReplicaReply};
use crate::turn::TurnRecord;

impl ReplicaState {
    /// The epoch of the last finished copy of a group.
    pub fn copied(&self, group: GroupId) -> Option<Epoch> {
        self.copied.get(&group).copied()
    }

    /// A group whose set is changing and whose copy is finished on this replica, with the set's
    /// epoch. If there are several, the others are reported after the set of the first has changed.
    pub fn copied_for_change(&self) -> Option<(GroupId, Epoch)> {
        let mut sets = self.groups.iter().flat_map(ReplicaGroups::iter);
        let changing = sets
            .find(|(group, set)| set.incoming.is_some() && self.copied(*group) == Some(set.epoch));
        changing.map(|(group, set)| (group, set.epoch))
    }

    /// Adds a turn copied from another replica; `None` if there is no room for it.
    pub fn copy_turn(
        &mut self,
        group: GroupId,
        record: TurnRecord,
        ttl_ms: u64,
        now_ms: u64,
    ) -> Option<Vec<Change>> {
        if self.turns.contains_key(&record.turn) {
            return Some(Vec::new());
        }
        self.add_turn(group, record, expiry_ms(now_ms, ttl_ms))
    }

    /// Merges a ledger copied from another replica. Fails if the disk may have more of it.
    pub fn copy_ledger(
        &mut self,
        group: GroupId,
        program: ProgramId,
        ledger: &ProgramLedger,
        ttl_ms: u64,
        now_ms: u64,
    ) -> Result<Vec<Change>, NotRestored> {
        let change = self.merge_ledger(group, &program, ledger, expiry_ms(now_ms, ttl_ms))?;
        Ok(change.into_iter().collect())
    }

    /// Notes that all records that a read quorum held at this epoch are copied.
    pub fn finish_copy(&mut self, group: GroupId, epoch: Epoch) {
        let copied = self.copied.entry(group).or_default();
        *copied = epoch.max(*copied);
    }

    pub(super) fn fetch(&self, turns: &[TurnId]) -> ReplicaReply {
        let mut records = Vec::new();
        let mut bytes = 0;
        for retained in turns.iter().filter_map(|turn| self.turns.get(turn)) {
            let record = &retained.value.record;
            bytes += record.weight();
            if bytes > MAX_FETCH_BYTES && !records.is_empty() {
                break;
            }
            records.push(record.clone());
        }
        ReplicaReply::Fetched { records }
    }

    pub(super) fn list(
        &mut self,
        group: GroupId,
        after: Option<ListPosition>,
        now_ms: u64,
    ) -> Listing {
        let log = change_log(&mut self.change_logs, self.log_id, group);
        let (keys, next) = log.page(after, LISTING_PAGE);
        let mut turns = Vec::new();
        let mut ledgers = Vec::new();
        for key in keys {
            match key {
                RecordKey::Turn(turn) => {
                    let retained = self.turns.get(turn);
                    turns.extend(retained.map(|retained| (turn.clone(), retained.ttl_ms(now_ms))));
                }
                RecordKey::Ledger(program) => {
                    let retained = self.ledgers.get(program);
                    let entry = retained.map(|retained| {
                        (
                            program.clone(),
                            retained.value.clone(),
                            retained.ttl_ms(now_ms),
                        )
                    });
                    ledgers.extend(entry);
                }
            }
        }
        Listing {
            turns,
            ledgers,
            next,
            is_end: log.is_end(next),
        }
    }
}
