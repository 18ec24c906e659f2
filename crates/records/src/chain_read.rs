//! Reads a turn with all turns before it, on the gateway's side.
//!
//! Records never change, so any replica that has a record may return it. A turn
//! counts as missing only once a majority of the voters has returned it as missing, and in a joint
//! set a majority of the incoming replicas too: under the set that follows, turns are written to
//! these alone. If there is a later set, at least one replica of any such majorities knows it and
//! rejects the request.

use std::collections::BTreeSet;

use crate::identifiers::{ReplicaId, TurnId};
use crate::replica_set::{Replica, ReplicaSet};
use crate::turn::TurnRecord;

/// Result of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChainOutcome {
    /// The complete chain, oldest turn first.
    Complete(Vec<TurnRecord>),
    /// A majority of the voters, and of the incoming replicas, returned this turn as missing.
    NoSuchTurn(TurnId),
}

#[derive(Debug, Clone)]
pub struct ChainRead {
    set: ReplicaSet,
    next_turn: TurnId,
    /// Replicas that returned the next turn as missing.
    reported_missing: BTreeSet<ReplicaId>,
    newest_first: Vec<TurnRecord>,
}

impl ChainRead {
    pub fn new(set: ReplicaSet, turn: TurnId) -> Self {
        Self {
            set,
            next_turn: turn,
            reported_missing: BTreeSet::new(),
            newest_first: Vec::new(),
        }
    }

    /// The set whose majorities are counted.
    pub fn set(&self) -> &ReplicaSet {
        &self.set
    }

    pub fn next_turn(&self) -> &TurnId {
        &self.next_turn
    }

    /// The replicas that haven't returned the next turn as missing, voters first.
    pub fn candidates(&self) -> Vec<Replica> {
        let members = self.set.members().into_iter();
        let remaining = members.filter(|member| !self.reported_missing.contains(&member.id));
        remaining.cloned().collect()
    }

    /// Handles the reply of one replica to a request for the next turn; `None` while the read goes
    /// on.
    pub fn on_chain(
        &mut self,
        from: ReplicaId,
        records: Vec<TurnRecord>,
        missing: Option<TurnId>,
    ) -> Option<ChainOutcome> {
        if !records.is_empty() {
            self.reported_missing.clear();
        }
        self.newest_first.extend(records);
        let Some(missing) = missing else {
            let mut chain = std::mem::take(&mut self.newest_first);
            chain.reverse();
            return Some(ChainOutcome::Complete(chain));
        };
        self.next_turn = missing;
        self.reported_missing.insert(from);
        let is_certain = self.set.has_write_quorum(&self.reported_missing);
        is_certain.then(|| ChainOutcome::NoSuchTurn(self.next_turn.clone()))
    }
}
