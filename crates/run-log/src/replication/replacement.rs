//! Replaces a replica by two changes of the replica set: a removal, then an addition.

use ridgeworks_domain::MonotonicTime;
use ridgeworks_domain::run_id::REPLICAS_PER_RUN;

use super::Replication;
use super::progress::Progress;
use crate::entry::{Entry, ReplicaId};

impl Replication {
    /// Appends the next change of the replica set, once the previous one is committed.
    pub(super) fn advance_replacement(&mut self, now: MonotonicTime) {
        let own_committed = self.is_own(self.commit_index);
        if !own_committed || self.members_index > self.commit_index || self.higher_ballot.is_some()
        {
            return;
        }
        if self.members.len() == REPLICAS_PER_RUN {
            self.remove_replaced(now);
        } else {
            self.add_replacement(now);
        }
    }

    fn remove_replaced(&mut self, now: MonotonicTime) {
        let Some((old, new)) = self.replacement else {
            return;
        };
        if old == new || !self.members.contains(&old) {
            self.replacement = None;
            return;
        }
        let mut replicas = self.members.clone();
        replicas.retain(|replica| *replica != old);
        self.append(vec![Entry::ReplicasChanged { replicas }], now);
    }

    fn add_replacement(&mut self, now: MonotonicTime) {
        let wanted = self.replacement.map(|(_, new)| new);
        let is_new = |spare: &ReplicaId| !self.members.iter().any(|m| m.node == spare.node);
        let spare = wanted.into_iter().chain(self.spares.iter().copied());
        let Some(new) = spare.into_iter().find(is_new) else {
            return;
        };
        self.replacement = None;
        let mut replicas = self.members.clone();
        replicas.push(new);
        self.append(vec![Entry::ReplicasChanged { replicas }], now);
    }

    pub(super) fn sync_progress(&mut self, now: MonotonicTime) {
        let members = self.members.clone();
        self.progress
            .retain(|_, progress| members.contains(&progress.replica));
        for member in members {
            self.progress
                .entry(member.node)
                .or_insert_with(|| Progress::new(member, now));
        }
    }
}
