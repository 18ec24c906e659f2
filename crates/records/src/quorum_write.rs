//! One write at a majority of the replicas, as the gateway sees it.

use std::collections::BTreeSet;

use crate::groups::{GroupId, ReplicaGroups};
use crate::identifiers::ReplicaId;
use crate::ledger::ProgramLedger;
use crate::message::ReplicaReply;
use crate::replica_set::ReplicaSet;

/// Where a write stands after an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteProgress {
    /// More answers are needed.
    Waiting,
    /// The write is durable at a majority; the union of the ledgers that came back.
    Durable(ProgramLedger),
    /// The replica has to be told the set, then asked again.
    SendReplicaSets,
    /// The replica cannot take it now; it may be asked again later.
    RetryLater,
    /// There is a newer set; the write starts anew under it.
    Restart(ReplicaGroups),
}

/// State of one write.
#[derive(Debug, Clone)]
pub struct QuorumWrite {
    group: GroupId,
    set: ReplicaSet,
    durable: BTreeSet<ReplicaId>,
    ledger: ProgramLedger,
}

impl QuorumWrite {
    /// A write under this set of a group.
    pub fn new(group: GroupId, set: ReplicaSet) -> Self {
        Self {
            group,
            set,
            durable: BTreeSet::new(),
            ledger: ProgramLedger::default(),
        }
    }

    /// The set under which answers are counted.
    pub fn set(&self) -> &ReplicaSet {
        &self.set
    }

    /// Takes the answer of one replica.
    pub fn on_reply(&mut self, from: ReplicaId, reply: ReplicaReply) -> WriteProgress {
        match reply {
            ReplicaReply::Charged { ledger } => {
                self.ledger.join_all(&ledger);
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
            WriteProgress::Durable(self.ledger.clone())
        } else {
            WriteProgress::Waiting
        }
    }
}
