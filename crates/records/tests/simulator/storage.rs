//! A storage node: the replica's state in memory, its disk, and its copies.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use ridgeworks_records::{
    Change, Epoch, GroupId, Handled, IncompleteAppend, ListPosition, MARK_ENTRY, ProgramId,
    RecordKey, Replica, ReplicaGroups, ReplicaId, ReplicaReply, ReplicaRequest, ReplicaSet,
    ReplicaState, StoredRecord, TurnId, Wait,
};

use super::DisabledMechanism;
use super::world::Address;

const MAX_TOTAL_TURN_BYTES: usize = 1 << 30;

/// Key of a record on the simulated disk.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum DiskKey {
    /// Sorts first: restoring a ledger needs the replica sets to determine its program's group.
    Groups,
    Record(RecordKey),
}

impl DiskKey {
    /// The record, unless these are the replica sets.
    fn record(&self) -> Option<RecordKey> {
        match self {
            Self::Groups => None,
            Self::Record(key) => Some(key.clone()),
        }
    }
}

fn is_turn(key: &RecordKey) -> bool {
    matches!(key, RecordKey::Turn(_))
}

pub struct WaitingReply {
    pub batch: u64,
    pub to: Address,
    pub operation: u64,
    pub reply: ReplicaReply,
}

const REPAIR_TIMEOUT: u64 = 500;

/// Operation number of a copy or repair without a pending request.
pub const NO_REQUEST: u64 = u64::MAX;

/// Progress of a copy for a joint set, or for a set before it changes.
#[derive(Debug, Clone)]
pub struct CopyTask {
    pub group: GroupId,
    pub groups: ReplicaGroups,
    pub set: ReplicaSet,
    pub done: BTreeSet<ReplicaId>,
    pub source: Option<Replica>,
    /// Operation number of the pending request; replies to earlier ones are ignored.
    pub pending_request: u64,
    /// Next position and end flag of the page whose turns are being fetched.
    pub page: Option<(ListPosition, bool)>,
    /// Turns of the page that aren't here, each with its time to live.
    pub missing: BTreeMap<TurnId, u64>,
}

impl CopyTask {
    pub fn new(group: GroupId, groups: ReplicaGroups) -> Self {
        let set = groups.set(group).expect("the group exists").clone();
        Self {
            group,
            groups,
            set,
            done: BTreeSet::new(),
            source: None,
            pending_request: NO_REQUEST,
            page: None,
            missing: BTreeMap::new(),
        }
    }

    /// Whether the set isn't joint yet.
    pub fn is_preparing(&self) -> bool {
        self.set.incoming.is_none()
    }
}

/// An appended turn whose chain is being completed.
pub struct Repair {
    pub append: IncompleteAppend,
    pub to: Address,
    pub operation: u64,
    /// Operation number of the pending request for a missing turn.
    pub pending_request: u64,
    /// When the repair is given up.
    pub until: u64,
}

pub struct SimulatedNode {
    pub index: usize,
    pub incarnation: u64,
    pub running: bool,
    pub state: ReplicaState,
    disk: BTreeMap<DiskKey, StoredRecord>,
    unsynced: VecDeque<(u64, Vec<Change>)>,
    pub submitted: u64,
    pub durable: u64,
    pub waiting: VecDeque<WaitingReply>,
    pub copies: BTreeMap<GroupId, CopyTask>,
    pub repairs: Vec<Repair>,
    /// Whether the next step of the repairs is scheduled.
    pub is_repair_scheduled: bool,
    /// Keys of the records that are still to be restored, in order; ledgers come first.
    unrestored: VecDeque<RecordKey>,
    /// Position in the change log of each source.
    pub positions: BTreeMap<(GroupId, ReplicaId), ListPosition>,
    /// Copies requested before the set of a group changes: the epoch, and when the request expires.
    pub copy_requests: BTreeMap<GroupId, (Epoch, u64)>,
    /// For each group that this node is to join: the epoch of the set for which its latest complete
    /// copy from a read quorum of the voters was made, before the set changes.
    pub prepared: BTreeMap<GroupId, Epoch>,
    disabled: DisabledMechanism,
}

impl SimulatedNode {
    pub fn new(index: usize, id: u64, disabled: DisabledMechanism) -> Self {
        Self {
            index,
            incarnation: 0,
            running: true,
            state: ReplicaState::new(ReplicaId(id), MAX_TOTAL_TURN_BYTES),
            disk: BTreeMap::new(),
            unsynced: VecDeque::new(),
            submitted: 0,
            durable: 0,
            waiting: VecDeque::new(),
            copies: BTreeMap::new(),
            repairs: Vec::new(),
            is_repair_scheduled: false,
            unrestored: VecDeque::new(),
            positions: BTreeMap::new(),
            copy_requests: BTreeMap::new(),
            prepared: BTreeMap::new(),
            disabled,
        }
    }

    pub fn replica(&self) -> Replica {
        Replica {
            id: self.state.id(),
            node: format!("node-{}", self.index),
            address: self.index.to_string(),
            zone: format!("zone-{}", self.index % 3),
        }
    }

    /// Handles a request; returns the reply if it doesn't have to wait.
    pub fn request(
        &mut self,
        from: Address,
        operation: u64,
        to: ReplicaId,
        mut request: ReplicaRequest,
        now: u64,
    ) -> Option<ReplicaReply> {
        if to != self.state.id() {
            return Some(ReplicaReply::NotMember);
        }
        if self.disabled == DisabledMechanism::NoEpochs {
            self.ignore_epoch(&mut request);
        }
        while let Some(key) = self.state.unrestored_record(&request) {
            self.restore_for_change(key);
        }
        let mut handled = self.state.handle(request, now);
        let incomplete = handled.incomplete.take();
        let incomplete = incomplete.filter(|_| self.disabled != DisabledMechanism::NoChainRepair);
        let Some(append) = incomplete else {
            return self.commit_and_reply(handled, Some((from, operation)));
        };
        self.commit_and_reply(handled, None);
        self.repairs.push(Repair {
            append,
            to: from,
            operation,
            pending_request: NO_REQUEST,
            until: now + REPAIR_TIMEOUT,
        });
        None
    }

    /// Replaces the epoch of a request with the one known here.
    fn ignore_epoch(&self, request: &mut ReplicaRequest) {
        let Some(groups) = self.state.groups() else {
            return;
        };
        match request {
            ReplicaRequest::Charge { group, epoch, .. }
            | ReplicaRequest::Settle { group, epoch, .. }
            | ReplicaRequest::Append { group, epoch, .. }
            | ReplicaRequest::ReadChain { group, epoch, .. } => {
                *epoch = groups.set(*group).expect("the group exists").epoch;
            }
            _ => {}
        }
    }

    pub fn commit_and_reply(
        &mut self,
        handled: Handled,
        reply_to: Option<(Address, u64)>,
    ) -> Option<ReplicaReply> {
        if !handled.changes.is_empty() {
            self.submitted += 1;
            self.unsynced.push_back((self.submitted, handled.changes));
        }
        let (to, operation) = reply_to?;
        let waits = handled.wait != Wait::Nothing && self.disabled != DisabledMechanism::NoSync;
        if waits && self.durable < self.submitted {
            self.waiting.push_back(WaitingReply {
                batch: self.submitted,
                to,
                operation,
                reply: handled.reply,
            });
            return None;
        }
        Some(handled.reply)
    }

    /// Makes all batches up to this one durable and returns the replies that waited for them.
    pub fn sync(&mut self, batch: u64) -> Vec<WaitingReply> {
        while self.unsynced.front().is_some_and(|front| front.0 <= batch) {
            let (_, changes) = self.unsynced.pop_front().expect("the queue isn't empty");
            changes.into_iter().for_each(|change| self.apply(change));
        }
        self.durable = self.durable.max(batch);
        let ready = self.waiting.iter().filter(|reply| reply.batch <= batch);
        let ready = ready.count();
        self.waiting.drain(..ready).collect()
    }

    fn apply(&mut self, change: Change) {
        match change {
            Change::Put(record) => {
                let key = match &record {
                    StoredRecord::Turn(turn, _) | StoredRecord::GroupTurn(_, turn, _) => {
                        DiskKey::Record(RecordKey::Turn(turn.turn.clone()))
                    }
                    StoredRecord::Ledger(program, ..) => {
                        DiskKey::Record(RecordKey::Ledger(program.clone()))
                    }
                    StoredRecord::Set(_) | StoredRecord::Groups(_) => DiskKey::Groups,
                };
                self.disk.insert(key, record);
            }
            Change::Delete(key) => {
                self.disk.remove(&DiskKey::Record(key));
            }
        }
    }

    /// Crashes the process. Of the batches that aren't durable, the first `kept` reached the disk.
    pub fn crash(&mut self, kept: usize) {
        for _ in 0..kept {
            if let Some((_, changes)) = self.unsynced.pop_front() {
                changes.into_iter().for_each(|change| self.apply(change));
            }
        }
        self.running = false;
        self.incarnation += 1;
        self.unsynced.clear();
        self.waiting.clear();
        self.copies.clear();
        self.repairs.clear();
        self.is_repair_scheduled = false;
        self.unrestored.clear();
        self.positions.clear();
        self.copy_requests.clear();
        self.prepared.clear();
    }

    /// Drops records that have expired.
    pub fn expire(&mut self, now: u64) {
        let changes = self.state.expire(now);
        let handled = Handled::durable(changes, ReplicaReply::Done);
        self.commit_and_reply(handled, None);
    }

    /// Starts the process. The records of its disk are restored one by one, in random order.
    pub fn start(&mut self, random: &mut ChaCha8Rng) {
        let mut state = ReplicaState::new(self.state.id(), MAX_TOTAL_TURN_BYTES);
        if self.disabled != DisabledMechanism::NoLives {
            state.set_log_id(self.incarnation);
        }
        if let Some(groups) = self.disk.get(&DiskKey::Groups) {
            state.restore(groups.clone());
        }
        state.begin_restoring();
        self.state = state;
        let mut keys: Vec<RecordKey> = self.disk.keys().filter_map(DiskKey::record).collect();
        keys.shuffle(random);
        keys.sort_by_key(is_turn);
        self.unrestored = keys.into();
        self.submitted = 0;
        self.durable = 0;
        self.running = true;
    }

    /// Restores the next record; returns whether others follow.
    pub fn restore_next(&mut self) -> bool {
        if self.unrestored.front().is_none_or(is_turn) {
            self.state.finish_restoring_ledgers();
        }
        let Some(key) = self.unrestored.pop_front() else {
            self.state.finish_restoring();
            return false;
        };
        // Read as it is now: a change may have been written since the start.
        if let Some(record) = self.disk.get(&DiskKey::Record(key)) {
            self.state.restore(record.clone());
        }
        true
    }

    /// Restores the ledger of a program, which is to be changed.
    pub fn restore_ledger(&mut self, program: &ProgramId) {
        let request = ReplicaRequest::Charge {
            group: GroupId::default(),
            epoch: Epoch::default(),
            program: program.clone(),
            turn: TurnId(String::new()),
            entry: MARK_ENTRY,
            ttl_ms: 0,
        };
        if let Some(key) = self.state.unrestored_record(&request) {
            self.restore_for_change(key);
        }
    }

    /// Restores a record that a request needs before it is handled.
    fn restore_for_change(&mut self, key: RecordKey) {
        let is_looked_up = self.disabled != DisabledMechanism::NoRestoredLedgers || is_turn(&key);
        let record = self.disk.get(&DiskKey::Record(key.clone()));
        match record.filter(|_| is_looked_up) {
            Some(record) => self.state.restore(record.clone()),
            None => self.state.mark_absent(key),
        }
    }

    /// Loses the disk; the next start is that of another replica.
    pub fn wipe(&mut self, new_id: u64) {
        self.disk.clear();
        self.state = ReplicaState::new(ReplicaId(new_id), MAX_TOTAL_TURN_BYTES);
    }
}
