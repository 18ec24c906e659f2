//! Faults of processes, links and disks.

use super::*;

impl World {
    pub(super) fn fault(&mut self) {
        let pause = self.random.random_range(100..900);
        if self.now + pause < FAULTS_UNTIL {
            self.schedule(pause, Event::Fault);
        }
        let node = self.random.random_range(0..STORAGE_NODES);
        match self.random.random_range(0..10) {
            0..=2 => self.crash(node, 400),
            3..=4 => {
                self.partitioned.insert(node);
                let heal = self.random.random_range(100..2_500);
                self.schedule(heal, Event::Heal { node });
            }
            5 => (0..STORAGE_NODES).for_each(|node| self.crash(node, 300)),
            6..=7 => self.wipe(node),
            _ => self.crash_gateway(),
        }
    }

    /// Crashes a running node; it starts again after 20 ms to four times `downtime_scale`.
    pub(super) fn crash(&mut self, node: usize, downtime_scale: u64) {
        if !self.storage[node].running {
            return;
        }
        let kept = self.random.random_range(0..3);
        self.storage[node].crash(kept);
        let down = self.random.random_range(20..downtime_scale * 4);
        self.schedule(down, Event::Start { node });
    }

    /// Loses a disk, unless an earlier loss is still being repaired.
    pub(super) fn wipe(&mut self, node: usize) {
        let Some(groups) = &self.register else {
            return;
        };
        let replica_ids: BTreeSet<ReplicaId> = self
            .storage
            .iter()
            .map(|storage| storage.state.id())
            .collect();
        let is_complete = |set: &ReplicaSet| {
            set.incoming.is_none()
                && set.voters.len() == REPLICAS
                && set
                    .voters
                    .iter()
                    .all(|voter| replica_ids.contains(&voter.id))
        };
        if !groups.iter().all(|(_, set)| is_complete(set)) {
            return;
        }
        self.outcome.wipes += 1;
        self.crash(node, 300);
        let id = self.next_number();
        self.storage[node].wipe(id);
    }

    /// Crashes a gateway with all its operations.
    pub(super) fn crash_gateway(&mut self) {
        let gateway = self.random.random_range(0..GATEWAYS);
        self.operations
            .retain(|_, operation| operation.gateway != gateway);
        self.known[gateway] = None;
    }
}
