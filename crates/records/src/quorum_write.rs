//! A write at a quorum of replicas, on the gateway's side.

use std::collections::BTreeSet;

use crate::groups::{GroupId, ReplicaGroups};
use crate::identifiers::ReplicaId;
use crate::ledger::ProgramLedger;
use crate::message::ReplicaReply;
use crate::replica_set::ReplicaSet;

/// State of a write after a reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteProgress {
    /// More replies are needed.
    Waiting,
    /// The write is durable at a quorum; holds the merged ledgers of the replies.
    Durable(ProgramLedger),
    /// The replica lacks the replica sets: send them, then repeat the request.
    SendReplicaSets,
    /// The replica can't take the write now; repeat the request later.
    RetryLater,
    /// There is a newer set; the write has to start again under it.
    Restart(ReplicaGroups),
}

#[derive(Debug, Clone)]
pub struct QuorumWrite {
    group: GroupId,
    set: ReplicaSet,
    durable: BTreeSet<ReplicaId>,
    ledger: ProgramLedger,
}

impl QuorumWrite {
    /// A write under this set of the group.
    pub fn new(group: GroupId, set: ReplicaSet) -> Self {
        Self {
            group,
            set,
            durable: BTreeSet::new(),
            ledger: ProgramLedger::default(),
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
                self.ledger.merge_ledger(&ledger);
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
