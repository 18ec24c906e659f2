//! One storage node: the replica's state in memory, its disk, and the copy it makes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use ridgeworks_records::{
    Change, Epoch, GroupId, Handled, ListPosition, RecordKey, Replica, ReplicaGroups, ReplicaId,
    ReplicaReply, ReplicaRequest, ReplicaSet, ReplicaState, StoredRecord, TurnId, Wait,
};

use super::Weakening;
use super::world::Address;

const MAX_TURN_BYTES: usize = 1 << 30;
pub const KEEP_MS: u64 = 1 << 40;

/// Key of a record on the simulated disk.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum DiskKey {
    /// First, since ledgers are restored for the groups that are known.
    Groups,
    Record(RecordKey),
}

/// A reply that waits for the disk.
pub struct WaitingReply {
    pub batch: u64,
    pub to: Address,
    pub operation: u64,
    pub reply: ReplicaReply,
}

/// Number of no question.
pub const NOBODY_ASKED: u64 = u64::MAX;

/// Where a copy stands: for a set that is changing, or before the change for one that is not.
#[derive(Debug, Clone)]
pub struct CopyTask {
    pub group: GroupId,
    pub groups: ReplicaGroups,
    pub set: ReplicaSet,
    pub done: BTreeSet<ReplicaId>,
    pub source: Option<Replica>,
    /// Number of the question that is open: answers to earlier ones mean nothing.
    pub asked: u64,
    /// The page whose turns are being fetched.
    pub page: Option<(ListPosition, bool)>,
    pub missing: Vec<TurnId>,
}

impl CopyTask {
    pub fn new(group: GroupId, groups: ReplicaGroups) -> Self {
        let set = groups.set(group).expect("a group of the sets").clone();
        Self {
            group,
            groups,
            set,
            done: BTreeSet::new(),
            source: None,
            asked: NOBODY_ASKED,
            page: None,
            missing: Vec::new(),
        }
    }

    /// Whether the set is not changing yet.
    pub fn is_preparing(&self) -> bool {
        self.set.incoming.is_none()
    }
}

/// One storage node.
pub struct StorageNode {
    pub index: usize,
    pub life: u64,
    pub running: bool,
    pub state: ReplicaState,
    disk: BTreeMap<DiskKey, StoredRecord>,
    unsynced: VecDeque<(u64, Vec<Change>)>,
    pub submitted: u64,
    pub durable: u64,
    pub waiting: VecDeque<WaitingReply>,
    pub copies: BTreeMap<GroupId, CopyTask>,
    /// How far the changes of each source are known.
    pub positions: BTreeMap<(GroupId, ReplicaId), ListPosition>,
    /// Until when this node is to copy before the set of a group changes, and for which epoch.
    pub wishes: BTreeMap<GroupId, (Epoch, u64)>,
    /// The epoch of each group for which it holds what a read quorum held moments ago.
    pub prepared: BTreeMap<GroupId, Epoch>,
    weakening: Weakening,
}

impl StorageNode {
    pub fn new(index: usize, id: u64, weakening: Weakening) -> Self {
        Self {
            index,
            life: 0,
            running: true,
            state: ReplicaState::new(ReplicaId(id), MAX_TURN_BYTES),
            disk: BTreeMap::new(),
            unsynced: VecDeque::new(),
            submitted: 0,
            durable: 0,
            waiting: VecDeque::new(),
            copies: BTreeMap::new(),
            positions: BTreeMap::new(),
            wishes: BTreeMap::new(),
            prepared: BTreeMap::new(),
            weakening,
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

    /// Handles a request; returns a reply that may go out at once.
    pub fn request(
        &mut self,
        from: Address,
        operation: u64,
        to: ReplicaId,
        mut request: ReplicaRequest,
    ) -> Option<ReplicaReply> {
        if to != self.state.id() {
            return Some(ReplicaReply::NotMember);
        }
        if self.weakening == Weakening::NoEpochs {
            self.ignore_epoch(&mut request);
        }
        let handled = self.state.handle(request, 0);
        self.carry_out(handled, Some((from, operation)))
    }

    /// Makes any request look as if it came under the set that is known here.
    fn ignore_epoch(&self, request: &mut ReplicaRequest) {
        let Some(groups) = self.state.groups() else {
            return;
        };
        match request {
            ReplicaRequest::Charge { group, epoch, .. }
            | ReplicaRequest::Settle { group, epoch, .. }
            | ReplicaRequest::Append { group, epoch, .. }
            | ReplicaRequest::ReadChain { group, epoch, .. } => {
                *epoch = groups.set(*group).expect("a group of the sets").epoch;
            }
            _ => {}
        }
    }

    pub fn carry_out(
        &mut self,
        handled: Handled,
        answer: Option<(Address, u64)>,
    ) -> Option<ReplicaReply> {
        if !handled.changes.is_empty() {
            self.submitted += 1;
            self.unsynced.push_back((self.submitted, handled.changes));
        }
        let (to, operation) = answer?;
        let waits = handled.wait != Wait::No && self.weakening != Weakening::NoSync;
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
            let (_, changes) = self.unsynced.pop_front().expect("just seen");
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

    /// The process dies. Of what was not durable, the first `kept` batches reached the disk.
    pub fn crash(&mut self, kept: usize) {
        for _ in 0..kept {
            if let Some((_, changes)) = self.unsynced.pop_front() {
                changes.into_iter().for_each(|change| self.apply(change));
            }
        }
        self.running = false;
        self.life += 1;
        self.unsynced.clear();
        self.waiting.clear();
        self.copies.clear();
        self.positions.clear();
        self.wishes.clear();
        self.prepared.clear();
    }

    /// The process starts on its disk.
    pub fn start(&mut self) {
        let mut state = ReplicaState::new(self.state.id(), MAX_TURN_BYTES);
        if self.weakening != Weakening::NoLives {
            state.begin_life(self.life);
        }
        for record in self.disk.values() {
            state.restore(record.clone());
        }
        self.state = state;
        self.submitted = 0;
        self.durable = 0;
        self.running = true;
    }

    /// The disk is lost; the next start is another replica's.
    pub fn wipe(&mut self, new_id: u64) {
        self.disk.clear();
        self.state = ReplicaState::new(ReplicaId(new_id), MAX_TURN_BYTES);
    }
}
