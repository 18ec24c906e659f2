//! Reading a turn with all before it, as the gateway sees it.
//!
//! Records never change, so any one replica that has a record may answer for it. Only that a turn does
//! not exist takes a majority of the voters: it has one that knows of any later set, and refuses.

use std::collections::BTreeSet;

use crate::identifiers::{ReplicaId, TurnId};
use crate::replica_set::{Replica, ReplicaSet};
use crate::turn::TurnRecord;

/// How a read ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChainOutcome {
    /// The whole chain, oldest first.
    Complete(Vec<TurnRecord>),
    /// A majority has no record of this turn.
    NoSuchTurn(TurnId),
}

/// State of one read.
#[derive(Debug, Clone)]
pub struct ChainRead {
    set: ReplicaSet,
    next_turn: TurnId,
    denied: BTreeSet<ReplicaId>,
    newest_first: Vec<TurnRecord>,
}

impl ChainRead {
    /// A read of the chain that ends with this turn.
    pub fn new(set: ReplicaSet, turn: TurnId) -> Self {
        Self {
            set,
            next_turn: turn,
            denied: BTreeSet::new(),
            newest_first: Vec::new(),
        }
    }

    /// The set under which answers are counted.
    pub fn set(&self) -> &ReplicaSet {
        &self.set
    }

    /// The turn to ask for next.
    pub fn next_turn(&self) -> &TurnId {
        &self.next_turn
    }

    /// The voters that have not yet said that they lack the wanted turn.
    pub fn candidates(&self) -> Vec<Replica> {
        let voters = self.set.voters.iter();
        let open = voters.filter(|voter| !self.denied.contains(&voter.id));
        open.cloned().collect()
    }

    /// Takes the answer of one replica about the wanted turn.
    pub fn on_chain(
        &mut self,
        from: ReplicaId,
        records: Vec<TurnRecord>,
        missing: Option<TurnId>,
    ) -> Option<ChainOutcome> {
        if !records.is_empty() {
            self.denied.clear();
        }
        self.newest_first.extend(records);
        let Some(missing) = missing else {
            let mut chain = std::mem::take(&mut self.newest_first);
            chain.reverse();
            return Some(ChainOutcome::Complete(chain));
        };
        self.next_turn = missing;
        self.denied.insert(from);
        let certain = self.set.has_voter_majority(&self.denied);
        certain.then(|| ChainOutcome::NoSuchTurn(self.next_turn.clone()))
    }
}
