//! A write at a quorum of replicas, on the gateway's side.
//!
//! A ledger's entries are written to a majority each, not always the same one, and a replica drops a ledger that it hears
//! nothing more of. So the gateway writes back what a replica of the newest majority lacks: that majority has all entries, for as
//! long as the program lives.

use std::collections::{BTreeMap, BTreeSet};

use crate::groups::{GroupId, ReplicaGroups};
use crate::identifiers::{ReplicaId, TurnId};
use crate::ledger::{LedgerEntry, ProgramLedger};
use crate::message::ReplicaReply;
use crate::replica_set::ReplicaSet;

/// State of a write after a reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteProgress {
    /// More replies are needed.
    Waiting,
    /// The write is durable at a quorum.
    Durable(Written),
    /// The replica lacks the replica sets: send them, then repeat the request.
    SendReplicaSets,
    /// The replica can't take the write now; repeat the request later.
    RetryLater,
    /// There is a newer set; the write has to start again under it.
    Restart(ReplicaGroups),
}

/// What a quorum replied to a write.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Written {
    /// The merged ledgers of the replies.
    pub ledger: ProgramLedger,
    /// Entries that a replica of the quorum lacks, to be written again. None while the set changes: new members copy all
    /// records.
    pub lagging: BTreeMap<TurnId, LedgerEntry>,
}

#[derive(Debug, Clone)]
pub struct QuorumWrite {
    group: GroupId,
    set: ReplicaSet,
    durable: BTreeSet<ReplicaId>,
    /// The ledgers of the replies.
    ledgers: Vec<ProgramLedger>,
}

impl QuorumWrite {
    /// A write under this set of the group.
    pub fn new(group: GroupId, set: ReplicaSet) -> Self {
        Self {
            group,
            set,
            durable: BTreeSet::new(),
            ledgers: Vec::new(),
        }
    }

    /// The set whose quorum is counted.
    pub fn set(&self) -> &ReplicaSet {
        &self.set
    }

    /// Handles the reply of one replica.
    pub fn on_reply(&mut self, from: ReplicaId, reply: ReplicaReply) -> WriteProgress {
        match reply {
            ReplicaReply::Charged { ledger } => {
                self.ledgers.push(ledger);
                self.count(from)
            }
            ReplicaReply::Done => self.count(from),
            ReplicaReply::Stale { groups } if self.is_newer(&groups) => {
                WriteProgress::Restart(groups)
            }
            ReplicaReply::Behind => WriteProgress::SendReplicaSets,
            _ => WriteProgress::RetryLater,
        }
    }

    fn is_newer(&self, groups: &ReplicaGroups) -> bool {
        let known = groups.set(self.group);
        known.is_some_and(|set| set.epoch > self.set.epoch)
    }

    fn count(&mut self, from: ReplicaId) -> WriteProgress {
        self.durable.insert(from);
        if self.set.has_write_quorum(&self.durable) {
            WriteProgress::Durable(self.written())
        } else {
            WriteProgress::Waiting
        }
    }

    fn written(&self) -> Written {
        let mut ledger = ProgramLedger::default();
        for reply in &self.ledgers {
            ledger.merge_ledger(reply);
        }
        let is_lagging = |turn: &TurnId, entry: &LedgerEntry| {
            let mut known = self.ledgers.iter().map(|reply| reply.entries.get(turn));
            known.any(|known| known != Some(entry))
        };
        let lagging = if self.set.incoming.is_none() {
            let entries = ledger.entries.iter();
            let lagging = entries.filter(|(turn, entry)| is_lagging(turn, entry));
            lagging
                .map(|(turn, entry)| (turn.clone(), *entry))
                .collect()
        } else {
            BTreeMap::new()
        };
        Written { ledger, lagging }
    }
}
