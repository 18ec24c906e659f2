//! Changes of the replica set, and the copies that they need.

use super::*;

impl World {
    pub(super) fn coordinate(&mut self, node: usize) {
        let pause = COORDINATOR_INTERVAL + self.random.random_range(0..COORDINATOR_INTERVAL);
        self.schedule(pause, Event::Coordinate { node });
        if !self.storage[node].running || self.cut.contains(&node) {
            return;
        }
        self.hear_register(node);
        let seen: Vec<SeenNode> = self
            .storage
            .iter()
            .map(|storage| self.see(storage))
            .collect();
        let waited = self.now - self.epoch_since.1;
        let copied = self.copied();
        let set = self.storage[node].state.set().cloned();
        if set.is_none() && self.register.is_some() {
            return;
        }
        let change = plan_change(set.as_ref(), &seen, REPLICAS, &copied, waited < 800);
        let Some(change) = change else {
            return;
        };
        let registered = self.register.as_ref().map(|set| set.epoch);
        if registered != set.map(|set| set.epoch) {
            return;
        }
        self.outcome.set_changes += 1;
        self.epoch_since = (change.epoch, self.now);
        self.register = Some(change);
        self.hear_register(node);
    }

    pub(super) fn see(&self, storage: &StorageNode) -> SeenNode {
        SeenNode {
            replica: storage.replica(),
            alive: storage.running && !self.cut.contains(&storage.index),
            awaited: false,
            retiring: false,
        }
    }

    pub(super) fn copied(&self) -> BTreeSet<ReplicaId> {
        let epoch = self.register.as_ref().map(|set| set.epoch);
        let finished = self.storage.iter().filter(|storage| {
            let all = self.weakening == Weakening::NoCopy;
            storage.running && (all || (epoch.is_some() && storage.state.copied() == epoch))
        });
        finished.map(|storage| storage.state.id()).collect()
    }

    /// A storage node adopts what the register holds, and begins a copy where one is due.
    pub(super) fn hear_register(&mut self, node: usize) {
        let Some(set) = self.register.clone() else {
            return;
        };
        let storage = &mut self.storage[node];
        let handled = storage.state.adopt(set.clone());
        storage.carry_out(handled, None);
        let id = storage.state.id();
        let is_due = set.is_incoming(id) && storage.state.copied() < Some(set.epoch);
        let has_begun = storage
            .copy
            .as_ref()
            .is_some_and(|copy| copy.set.epoch == set.epoch);
        if is_due && !has_begun {
            storage.copy = Some(CopyTask {
                set,
                done: BTreeSet::new(),
                source: None,
                after: None,
                missing: Vec::new(),
            });
            let life = storage.life;
            self.schedule(1, Event::CopyStep { node, life });
        }
        self.schedule_sync(node);
    }

    pub(super) fn copy_step(&mut self, node: usize, life: u64) {
        let storage = &mut self.storage[node];
        if storage.life != life || !storage.running {
            return;
        }
        let me = storage.state.id();
        let all_durable = storage.durable == storage.submitted;
        let Some(copy) = storage.copy.as_mut() else {
            return;
        };
        if all_durable && copy.set.voters.iter().any(|voter| voter.id == me) {
            copy.done.insert(me);
        }
        if copy.set.has_read_quorum(&copy.done) {
            if all_durable {
                let epoch = copy.set.epoch;
                storage.copy = None;
                storage.state.finish_copy(epoch);
                return;
            }
        } else {
            self.copy_ask(node);
        }
        self.schedule(RETRY, Event::CopyStep { node, life });
        self.schedule_sync(node);
    }

    /// Asks the present source for its next page or for turns that are missing.
    pub(super) fn copy_ask(&mut self, node: usize) {
        let me = self.storage[node].state.id();
        let pick = self.random.random::<u32>() as usize;
        let Some(copy) = self.storage[node].copy.as_mut() else {
            return;
        };
        if copy.source.is_none() || self.random.random_bool(0.2) {
            let open = copy.set.voters.iter();
            let open: Vec<_> = open
                .filter(|voter| voter.id != me && !copy.done.contains(&voter.id))
                .collect();
            if open.is_empty() {
                return;
            }
            copy.source = Some(open[pick % open.len()].clone());
            copy.after = None;
            copy.missing.clear();
        }
        let Some(source) = copy.source.clone() else {
            return;
        };
        let request = if copy.missing.is_empty() {
            ReplicaRequest::List {
                epoch: copy.set.epoch,
                after: copy.after.clone(),
            }
        } else {
            ReplicaRequest::Fetch {
                turns: copy.missing.clone(),
            }
        };
        let set = copy.set.clone();
        let target = source.address.parse().expect("addresses are numbers");
        let from = Address::Storage(node);
        let adopt = ReplicaRequest::Adopt { set };
        for request in [adopt, request] {
            self.send(Event::ToStorage {
                node: target,
                from,
                operation: 0,
                to: source.id,
                request,
            });
        }
    }

    pub(super) fn copy_reply(&mut self, node: usize, from: ReplicaId, reply: ReplicaReply) {
        let storage = &mut self.storage[node];
        if !storage.running || self.cut.contains(&node) {
            return;
        }
        let Some(copy) = storage.copy.as_mut() else {
            return;
        };
        if copy.source.as_ref().map(|source| source.id) != Some(from) {
            return;
        }
        let mut changes = Vec::new();
        match reply {
            ReplicaReply::Listed(listing) if copy.missing.is_empty() => {
                // A page that was asked for earlier may come late; taking it in does no harm, but only
                // one that starts where the copy stands moves it on.
                for (program, ledger, keep_ms) in listing.ledgers {
                    changes.extend(storage.state.copy_ledger(program, &ledger, keep_ms, 0));
                }
                let turns = listing.turns.into_iter().map(|(turn, _)| turn);
                copy.missing = turns.filter(|turn| !storage.state.has_turn(turn)).collect();
                copy.after = listing.next;
                if copy.after.is_none() && copy.missing.is_empty() {
                    copy.done.insert(from);
                    copy.source = None;
                }
            }
            ReplicaReply::Fetched { records } => {
                for record in records {
                    copy.missing.retain(|turn| *turn != record.turn);
                    changes.extend(storage.state.copy_turn(record, KEEP_MS, 0));
                }
                if copy.missing.is_empty() && copy.after.is_none() {
                    copy.done.insert(from);
                    copy.source = None;
                }
            }
            _ => return,
        }
        let reply = ReplicaReply::Done;
        let wait = Wait::Durable;
        let handled = Handled {
            changes,
            reply,
            wait,
        };
        storage.carry_out(handled, None);
        self.schedule_sync(node);
    }
}
