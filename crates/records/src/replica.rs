//! The state machine of one replica.
//!
//! It replies from memory. The caller makes the [`Change`]s durable in the order in which they are
//! returned, and holds a reply back until the changes that its [`Wait`] names are durable.

mod chains;
mod copying;
mod ledger_table;
mod lifetimes;
mod restoring;
mod room;

use std::collections::{BTreeMap, BTreeSet};

use self::chains::ChainedTurn;
pub use self::chains::{ChainGap, IncompleteAppend};
use self::ledger_table::LedgerTable;
pub use self::ledger_table::NotRestored;
use self::lifetimes::expiry_ms;
pub use self::room::RETENTION_MARGIN_MS;
use rkyv::{Archive, Deserialize, Serialize};

use crate::change_log::{ChangeLog, LastChange};
use crate::groups::{GroupId, ReplicaGroups};
use crate::identifiers::{Epoch, ProgramId, RecordKey, ReplicaId, TurnId};
use crate::ledger::{LedgerEntry, ProgramLedger};
use crate::message::{ReplicaReply, ReplicaRequest, Settlement};
use crate::replica_set::ReplicaSet;
use crate::turn::TurnRecord;

/// Entries of one page of a listing. A page has to be large: a busy replica takes 50 ms and more to
/// reply, and copying must be faster than records change, which may be 1,500 a second.
const LISTING_PAGE: usize = 1_024;
/// Bytes of records after which a reply takes no further record.
const MAX_FETCH_BYTES: usize = 4 * 1024 * 1024;
/// Most records of a chain in one reply; the reader requests the rest.
const MAX_CHAIN_RECORDS_PER_REPLY: usize = 256;

/// Newest version of the disk's format that this program reads, and the one that it writes
/// (`docs/design/versions.md`, "Disks").
pub const DISK_VERSION: u16 = 0;

/// A record as stored on the disk. Times of expiry are in milliseconds since 1970.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum StoredRecord {
    /// A turn of the first group, with its time of expiry; only read, from disks of versions
    /// without groups.
    Turn(TurnRecord, u64),
    /// A program's ledger, with its time of expiry.
    Ledger(ProgramId, ProgramLedger, u64),
    /// The newest replica set that the replica knows; only read, from disks of versions without
    /// groups.
    Set(ReplicaSet),
    /// The newest replica sets that the replica knows.
    Groups(ReplicaGroups),
    /// A turn of a group, with its time of expiry.
    GroupTurn(GroupId, TurnRecord, u64),
}

/// A change that the caller has to make durable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Writes a record, replacing any earlier one with the same key.
    Put(StoredRecord),
    Delete(RecordKey),
}

/// Result of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Handled {
    pub changes: Vec<Change>,
    pub reply: ReplicaReply,
    pub wait: Wait,
    /// An appended turn that must not be acknowledged yet; there is a reply to it only after the gap is closed
    /// ([`ReplicaState::finish_append`]).
    pub incomplete: Option<IncompleteAppend>,
}

/// What a reply has to wait for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wait {
    Nothing,
    /// All changes so far, which have to be written at once.
    Durable,
    /// All changes so far, which may be written together with later ones.
    DurableDeferred,
}

impl Handled {
    fn immediate(reply: ReplicaReply) -> Self {
        Self {
            changes: Vec::new(),
            reply,
            wait: Wait::Nothing,
            incomplete: None,
        }
    }

    /// A reply that waits until the changes are durable.
    pub fn durable(changes: Vec<Change>, reply: ReplicaReply) -> Self {
        Self {
            changes,
            reply,
            wait: Wait::Durable,
            incomplete: None,
        }
    }
}

/// A turn that is appended again is renewed if that adds so much to its lifetime.
const LEAST_RENEWAL_MS: u64 = 3_000;

#[derive(Debug, Clone)]
struct Retained<T> {
    value: T,
    expires_at_ms: u64,
    group: GroupId,
    last_change: LastChange,
}

impl<T> Retained<T> {
    /// Remaining time to live, in milliseconds.
    fn ttl_ms(&self, now_ms: u64) -> u64 {
        self.expires_at_ms.saturating_sub(now_ms)
    }
}

#[derive(Debug, Clone)]
pub struct ReplicaState {
    id: ReplicaId,
    log_id: u64,
    groups: Option<ReplicaGroups>,
    /// The epoch of the last finished copy of each group.
    copied: BTreeMap<GroupId, Epoch>,
    turns: BTreeMap<TurnId, Retained<ChainedTurn>>,
    ledgers: LedgerTable,
    change_logs: BTreeMap<GroupId, ChangeLog>,
    turn_bytes: usize,
    max_total_turn_bytes: usize,
    /// Before this time no room is made again.
    next_search_ms: u64,
    /// Turns that aren't here and that later turns name, with the time until which those need them.
    awaited: BTreeMap<TurnId, u64>,
    /// Whether some records of the disk aren't restored yet.
    is_restoring: bool,
    /// Turns that the disk doesn't have, as looked up while restoring.
    absent: BTreeSet<TurnId>,
}

impl ReplicaState {
    /// An empty replica that keeps at most this many bytes of turns.
    pub fn new(id: ReplicaId, max_total_turn_bytes: usize) -> Self {
        Self {
            id,
            log_id: 0,
            groups: None,
            copied: BTreeMap::new(),
            turns: BTreeMap::new(),
            ledgers: LedgerTable::default(),
            change_logs: BTreeMap::new(),
            turn_bytes: 0,
            max_total_turn_bytes,
            next_search_ms: 0,
            awaited: BTreeMap::new(),
            is_restoring: false,
            absent: BTreeSet::new(),
        }
    }

    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// The newest replica sets that the replica knows.
    pub fn groups(&self) -> Option<&ReplicaGroups> {
        self.groups.as_ref()
    }

    /// The sum of the epochs of all known sets; 0 if none is known.
    pub fn epoch(&self) -> Epoch {
        let groups = self.groups.as_ref();
        groups.map_or(Epoch::default(), ReplicaGroups::epoch)
    }

    /// Number of turns, and number of ledgers.
    pub fn turn_and_ledger_counts(&self) -> (usize, usize) {
        (self.turns.len(), self.ledgers.len())
    }

    pub fn turn_bytes(&self) -> usize {
        self.turn_bytes
    }

    pub fn has_turn(&self, turn: &TurnId) -> bool {
        self.turns.contains_key(turn)
    }

    /// Handles a request at this time, in milliseconds since 1970.
    pub fn handle(&mut self, request: ReplicaRequest, now_ms: u64) -> Handled {
        if let Some(rejection) = self.rejection(&request) {
            return Handled::immediate(rejection);
        }
        match request {
            ReplicaRequest::Charge {
                group,
                program,
                turn,
                entry,
                ttl_ms,
                ..
            } => self.charge(group, program, &turn, entry, expiry_ms(now_ms, ttl_ms)),
            ReplicaRequest::Settle {
                group, settlements, ..
            } => self.settle(group, settlements, now_ms),
            ReplicaRequest::Append {
                group,
                epoch,
                record,
                ttl_ms,
            } => self.append(group, epoch, record, ttl_ms, now_ms),
            ReplicaRequest::ReadChain { turn, .. } => Handled::immediate(self.read_chain(turn)),
            ReplicaRequest::Adopt { groups } => self.adopt(groups),
            ReplicaRequest::List { .. } | ReplicaRequest::Fetch { .. } if self.is_restoring => {
                Handled::immediate(ReplicaReply::Unavailable)
            }
            ReplicaRequest::List { group, after, .. } => {
                let listing = self.list(group, after, now_ms);
                Handled::durable(Vec::new(), ReplicaReply::Listed(listing))
            }
            ReplicaRequest::Fetch { turns } => Handled::immediate(self.fetch(&turns)),
            // Rate limits aren't part of the records; the node answers these requests itself.
            ReplicaRequest::Admit(_) => Handled::immediate(ReplicaReply::Unavailable),
        }
    }

    /// Adopts the replica sets if they are newer.
    pub fn adopt(&mut self, groups: ReplicaGroups) -> Handled {
        if groups.epoch() <= self.epoch() {
            return Handled::durable(Vec::new(), ReplicaReply::Done);
        }
        self.groups = Some(groups.clone());
        let change = Change::Put(StoredRecord::Groups(groups));
        Handled::durable(vec![change], ReplicaReply::Done)
    }

    /// Removes expired records.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Change> {
        self.awaited
            .retain(|_, expires_at_ms| *expires_at_ms > now_ms);
        // A later turn that needs it may still be on the disk only.
        let is_restoring = self.is_restoring;
        let mut changes =
            self.remove_turns(|_, expires_at_ms| !is_restoring && expires_at_ms <= now_ms);
        let logs = &mut self.change_logs;
        let mut remove_from_log = |group: GroupId, last_change: LastChange| {
            if let Some(log) = logs.get_mut(&group) {
                log.remove_change(last_change);
            }
        };
        self.ledgers.retain(|program, retained| {
            let keep = retained.expires_at_ms > now_ms;
            if !keep {
                remove_from_log(retained.group, retained.last_change);
                changes.push(Change::Delete(RecordKey::Ledger(program.clone())));
            }
            keep
        });
        changes
    }

    /// Removes the turns of which this is true, by their identifier and expiry.
    fn remove_turns(&mut self, is_removed: impl Fn(&TurnId, u64) -> bool) -> Vec<Change> {
        let mut changes = Vec::new();
        let turn_bytes = &mut self.turn_bytes;
        let logs = &mut self.change_logs;
        self.turns.retain(|turn, retained| {
            let is_removed = is_removed(turn, retained.expires_at_ms);
            if is_removed {
                if let Some(log) = logs.get_mut(&retained.group) {
                    log.remove_change(retained.last_change);
                }
                *turn_bytes -= retained.value.record.weight();
                changes.push(Change::Delete(RecordKey::Turn(turn.clone())));
            }
            !is_removed
        });
        changes
    }

    fn group_of(&self, program: &ProgramId) -> GroupId {
        let groups = self.groups.as_ref();
        groups.map_or(GroupId::default(), |groups| groups.group_of(Some(program)))
    }

    fn rejection(&self, request: &ReplicaRequest) -> Option<ReplicaReply> {
        if let ReplicaRequest::ReadChain { turn, .. } = request
            && self.turns.contains_key(turn)
        {
            // A record never changes, so it may be read at any epoch.
            return None;
        }
        let (group, epoch) = match request {
            ReplicaRequest::Charge { group, epoch, .. }
            | ReplicaRequest::Settle { group, epoch, .. }
            | ReplicaRequest::Append { group, epoch, .. }
            | ReplicaRequest::ReadChain { group, epoch, .. }
            | ReplicaRequest::List { group, epoch, .. } => (*group, *epoch),
            _ => return None,
        };
        let is_listing = matches!(request, ReplicaRequest::List { .. });
        self.epoch_rejection(group, epoch, is_listing)
    }

    /// The reply to a request under another epoch of the group than the one known here, or to a replica that isn't a member.
    fn epoch_rejection(
        &self,
        group: GroupId,
        epoch: Epoch,
        is_listing: bool,
    ) -> Option<ReplicaReply> {
        let Some(groups) = &self.groups else {
            return Some(ReplicaReply::Behind);
        };
        let Some(set) = groups.set(group) else {
            return Some(ReplicaReply::NotMember);
        };
        if epoch > set.epoch {
            return Some(ReplicaReply::Behind);
        }
        if epoch < set.epoch {
            let groups = groups.clone();
            return Some(ReplicaReply::Stale { groups });
        }
        (!is_listing && !set.has_member(self.id)).then_some(ReplicaReply::NotMember)
    }

    fn charge(
        &mut self,
        group: GroupId,
        program: ProgramId,
        turn: &TurnId,
        entry: LedgerEntry,
        expires_at_ms: u64,
    ) -> Handled {
        let Ok(change) = self.merge_entry(group, &program, turn, entry, expires_at_ms) else {
            return Handled::immediate(ReplicaReply::Unavailable);
        };
        let retained = self.ledgers.get(&program);
        let ledger = retained.map(|retained| retained.value.clone());
        let ledger = ledger.unwrap_or_default();
        let reply = ReplicaReply::Charged { ledger };
        Handled::durable(change.into_iter().collect(), reply)
    }

    fn settle(&mut self, group: GroupId, settlements: Vec<Settlement>, now_ms: u64) -> Handled {
        let mut changes = Vec::new();
        let mut programs = settlements.iter().map(|settlement| &settlement.program);
        if !programs.all(|program| self.ledgers.is_restored(program)) {
            return Handled::immediate(ReplicaReply::Unavailable);
        }
        for settlement in settlements {
            let Settlement {
                program,
                turn,
                entry,
                ttl_ms,
            } = settlement;
            let expires_at_ms = expiry_ms(now_ms, ttl_ms);
            let merged = self.merge_entry(group, &program, &turn, entry, expires_at_ms);
            changes.extend(merged.ok().flatten());
        }
        Handled {
            changes,
            reply: ReplicaReply::Done,
            wait: Wait::DurableDeferred,
            incomplete: None,
        }
    }

    /// Merges an entry into a ledger; returns the change to make durable, if any.
    fn merge_entry(
        &mut self,
        group: GroupId,
        program: &ProgramId,
        turn: &TurnId,
        entry: LedgerEntry,
        expires_at_ms: u64,
    ) -> Result<Option<Change>, NotRestored> {
        self.change_ledger(group, program, expires_at_ms, |ledger| {
            ledger.merge_entry(turn, entry)
        })
    }

    /// Merges another copy of a ledger; returns the change to make durable, if any.
    fn merge_ledger(
        &mut self,
        group: GroupId,
        program: &ProgramId,
        ledger: &ProgramLedger,
        expires_at_ms: u64,
    ) -> Result<Option<Change>, NotRestored> {
        self.change_ledger(group, program, expires_at_ms, |known| {
            known.merge_ledger(ledger)
        })
    }

    fn change_ledger(
        &mut self,
        group: GroupId,
        program: &ProgramId,
        expires_at_ms: u64,
        merge: impl FnOnce(&mut ProgramLedger) -> bool,
    ) -> Result<Option<Change>, NotRestored> {
        let retained = self.ledgers.changing(group, program, expires_at_ms)?;
        let has_changed = merge(&mut retained.value);
        retained.expires_at_ms = retained.expires_at_ms.max(expires_at_ms);
        if !has_changed {
            return Ok(None);
        }
        let key = || RecordKey::Ledger(program.clone());
        let log = change_log(&mut self.change_logs, self.log_id, retained.group);
        log.log_change(&mut retained.last_change, key);
        let stored = StoredRecord::Ledger(
            program.clone(),
            retained.value.clone(),
            retained.expires_at_ms,
        );
        Ok(Some(Change::Put(stored)))
    }

    fn append(
        &mut self,
        group: GroupId,
        epoch: Epoch,
        record: TurnRecord,
        ttl_ms: u64,
        now_ms: u64,
    ) -> Handled {
        let turn = record.turn.clone();
        let mut changes = self.make_room(record.weight(), now_ms);
        let Some(added) = self.add_turn(group, record, expiry_ms(now_ms, ttl_ms)) else {
            return Handled {
                changes,
                ..Handled::immediate(ReplicaReply::Unavailable)
            };
        };
        changes.extend(added);
        Handled {
            incomplete: self.incomplete_append(group, epoch, turn),
            ..Handled::durable(changes, ReplicaReply::Done)
        }
    }

    /// Adds a turn, or renews one that is here; `None` if there is no room for it.
    fn add_turn(
        &mut self,
        group: GroupId,
        record: TurnRecord,
        expires_at_ms: u64,
    ) -> Option<Vec<Change>> {
        let known = self.turns.get(&record.turn);
        let known_until_ms = known.map(|retained| retained.value.own_expires_at_ms);
        match known_until_ms {
            // Repeated for want of a reply.
            Some(until_ms) if expires_at_ms < until_ms + LEAST_RENEWAL_MS => {
                return Some(Vec::new());
            }
            Some(_) => {}
            None if self.turn_bytes + record.weight() > self.max_total_turn_bytes => return None,
            None => {}
        }
        self.put_turn(group, record.clone(), expires_at_ms);
        let change = Change::Put(StoredRecord::GroupTurn(group, record, expires_at_ms));
        Some(vec![change])
    }

    fn put_turn(&mut self, group: GroupId, record: TurnRecord, expires_at_ms: u64) {
        self.turn_bytes += record.weight();
        let turn = record.turn.clone();
        let previous = record.previous.clone();
        let own_expires_at_ms = expires_at_ms;
        let expires_at_ms = self.renewed_expiry(&turn, expires_at_ms);
        let mut last_change = self
            .turns
            .get(&turn)
            .and_then(|retained| retained.last_change);
        let key = || RecordKey::Turn(turn.clone());
        change_log(&mut self.change_logs, self.log_id, group).log_change(&mut last_change, key);
        let retained = Retained {
            value: ChainedTurn::new(record, own_expires_at_ms),
            expires_at_ms,
            group,
            last_change,
        };
        if let Some(earlier) = self.turns.insert(turn, retained) {
            self.turn_bytes -= earlier.value.record.weight();
        }
        self.renew_chain(previous.as_ref(), expires_at_ms);
    }

    fn read_chain(&self, newest: TurnId) -> ReplicaReply {
        let mut records: Vec<TurnRecord> = Vec::new();
        let mut next = Some(newest);
        while let Some(turn) = next.take() {
            let retained = self.turns.get(&turn);
            if retained.is_none() && self.is_restoring && !self.absent.contains(&turn) {
                return ReplicaReply::Unavailable;
            }
            let Some(retained) = retained.filter(|_| records.len() < MAX_CHAIN_RECORDS_PER_REPLY)
            else {
                let missing = Some(turn);
                return ReplicaReply::Chain { records, missing };
            };
            let record = &retained.value.record;
            records.push(record.clone());
            next = record.previous.clone();
        }
        let missing = None;
        ReplicaReply::Chain { records, missing }
    }
}

fn change_log(
    logs: &mut BTreeMap<GroupId, ChangeLog>,
    log_id: u64,
    group: GroupId,
) -> &mut ChangeLog {
    logs.entry(group)
        .or_insert_with(|| ChangeLog::with_id(log_id))
}
