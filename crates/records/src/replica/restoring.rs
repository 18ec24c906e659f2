//! A replica that takes requests while the records of its disk are read back.

use super::{ReplicaState, StoredRecord, kept_ledger};
use crate::groups::{GroupId, ReplicaGroups};
use crate::identifiers::{ProgramId, RecordKey, TurnId};
use crate::message::ReplicaRequest;

impl ReplicaState {
    /// Numbers changes for this life of the memory, drawn anew whenever the disk is opened: positions that others had in an earlier
    /// one mean nothing.
    pub fn begin_life(&mut self, log_id: u64) {
        self.log_id = log_id;
    }

    /// Records of the disk are restored while requests are taken already: those that a request needs first
    /// ([`Self::needs`]), the others as they come. Until the end the replica does not say of a turn that it lacks it,
    /// unless it was looked for.
    pub fn begin_restoring(&mut self) {
        self.is_restoring = true;
        self.is_restoring_ledgers = true;
    }

    /// All ledgers of the disk are restored: a program that is not known has none, and need not be looked for. After a power
    /// loss at size turns took 9 to 19 s more than ledgers, and each new program would have been looked for meanwhile.
    pub fn finish_restoring_ledgers(&mut self) {
        self.is_restoring_ledgers = false;
    }

    /// Everything of the disk is restored.
    pub fn finish_restoring(&mut self) {
        self.is_restoring = false;
        self.is_restoring_ledgers = false;
        self.absent.clear();
    }

    /// Whether records are on the disk that were not restored yet.
    pub fn is_restoring(&self) -> bool {
        self.is_restoring
    }

    /// The next record that has to be restored, or found to be absent, before this request is taken.
    pub fn needs(&self, request: &ReplicaRequest) -> Option<RecordKey> {
        if !self.is_restoring {
            return None;
        }
        match request {
            ReplicaRequest::Charge { program, .. } => self.needs_ledger(program),
            ReplicaRequest::Settle { settlements, .. } => {
                let mut programs = settlements.iter().map(|settlement| &settlement.program);
                programs.find_map(|program| self.needs_ledger(program))
            }
            ReplicaRequest::ReadChain { turn, .. } => self.needs_turn(turn),
            _ => None,
        }
    }

    fn needs_ledger(&self, program: &ProgramId) -> Option<RecordKey> {
        let is_known = !self.is_restoring_ledgers || self.ledgers.contains_key(program);
        (!is_known).then(|| RecordKey::Ledger(program.clone()))
    }

    fn needs_turn(&self, newest: &TurnId) -> Option<RecordKey> {
        let mut next = Some(newest);
        while let Some(turn) = next {
            match self.turns.get(turn) {
                Some(kept) => next = kept.value.previous.as_ref(),
                None if self.absent.contains(turn) => return None,
                None => return Some(RecordKey::Turn(turn.clone())),
            }
        }
        None
    }

    /// A record that was looked for is not on the disk.
    pub fn note_absent(&mut self, key: RecordKey) {
        match key {
            RecordKey::Turn(turn) => {
                self.absent.insert(turn);
            }
            // Kept for no longer than an empty ledger is of use.
            RecordKey::Ledger(program) => {
                let group = self.group_of(&program);
                kept_ledger(&mut self.ledgers, group, program, 0);
            }
        }
    }

    /// Takes in a record that was read back from the disk.
    pub fn restore(&mut self, record: StoredRecord) {
        match record {
            StoredRecord::Turn(record, until_ms) => {
                self.put_turn(GroupId::default(), record, until_ms);
            }
            StoredRecord::GroupTurn(group, record, until_ms) => {
                self.put_turn(group, record, until_ms);
            }
            // Joined, since it may have changed while the disk was read.
            StoredRecord::Ledger(program, ledger, until_ms) => {
                let group = self.group_of(&program);
                self.join_ledger(group, &program, &ledger, until_ms);
            }
            StoredRecord::Set(set) => self.groups = Some(ReplicaGroups::single(set)),
            StoredRecord::Groups(groups) => self.groups = Some(groups),
        }
    }
}
