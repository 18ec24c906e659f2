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
        let copies = CopiesSeen {
            prepared: self.prepared(),
            copied: self.copied(),
        };
        let set = self.storage[node].state.set().cloned();
        if set.is_none() && self.register.is_some() {
            return;
        }
        let step = plan_change(set.as_ref(), &seen, REPLICAS, &copies, waited < 800);
        let change = match step {
            Some(SetStep::Write(change)) => change,
            Some(SetStep::Prepare(newcomers)) => {
                let ids: BTreeSet<ReplicaId> = newcomers.iter().map(|new| new.id).collect();
                self.ask_to_prepare(&ids, set);
                return;
            }
            None => return,
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

    /// Asks newcomers to copy before the set changes; some never hear of it.
    fn ask_to_prepare(&mut self, newcomers: &BTreeSet<ReplicaId>, set: Option<ReplicaSet>) {
        let Some(set) = set else {
            return;
        };
        for node in 0..STORAGE_NODES {
            let is_cut = self.cut.contains(&node);
            let is_lost = self.random.random_bool(LOSS);
            let storage = &mut self.storage[node];
            if !storage.running || is_cut || is_lost || !newcomers.contains(&storage.state.id()) {
                continue;
            }
            let handled = storage.state.adopt(set.clone());
            storage.carry_out(handled, None);
            storage.wish = Some((set.epoch, self.now + WISH_TIME));
            let has_begun = storage
                .copy
                .as_ref()
                .is_some_and(|copy| copy.set.epoch >= set.epoch);
            if !has_begun {
                storage.copy = Some(CopyTask::new(set.clone()));
                let life = storage.life;
                self.schedule(1, Event::CopyStep { node, life });
            }
            self.schedule_sync(node);
        }
    }

    fn prepared(&self) -> BTreeSet<ReplicaId> {
        let epoch = self.register.as_ref().map(|set| set.epoch);
        let ready = self
            .storage
            .iter()
            .filter(|storage| storage.running && epoch.is_some() && storage.prepared == epoch);
        ready.map(|storage| storage.state.id()).collect()
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
            let is_early = self.weakening == Weakening::NoRest && storage.prepared.is_some();
            let is_copied = epoch.is_some() && storage.state.copied() == epoch;
            storage.running && (all || is_early || is_copied)
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
        let is_due = set.is_copier(id) && storage.state.copied() < Some(set.epoch);
        let has_begun = storage
            .copy
            .as_ref()
            .is_some_and(|copy| copy.set.epoch == set.epoch);
        if is_due && !has_begun {
            storage.copy = Some(CopyTask::new(set));
            let life = storage.life;
            self.schedule(1, Event::CopyStep { node, life });
        }
        self.schedule_sync(node);
    }

    pub(super) fn copy_step(&mut self, node: usize, life: u64) {
        let now = self.now;
        let storage = &mut self.storage[node];
        if storage.life != life || !storage.running {
            return;
        }
        let me = storage.state.id();
        let all_durable = storage.durable == storage.submitted;
        let wish = storage.wish.filter(|(_, until)| now < *until);
        let Some(copy) = storage.copy.as_mut() else {
            return;
        };
        if copy.is_preparing() && wish.map(|(epoch, _)| epoch) != Some(copy.set.epoch) {
            // Given up: the voter is back, or the set has changed.
            storage.copy = None;
            storage.prepared = None;
            return;
        }
        if all_durable && copy.set.voters.iter().any(|voter| voter.id == me) {
            copy.done.insert(me);
        }
        let mut pause = RETRY;
        if copy.set.has_read_quorum(&copy.done) {
            if all_durable && copy.is_preparing() {
                // Another round finds what has changed meanwhile.
                let set = copy.set.clone();
                storage.prepared = Some(set.epoch);
                storage.copy = Some(CopyTask::new(set));
                pause = 3 * RETRY;
            } else if all_durable {
                let epoch = copy.set.epoch;
                storage.copy = None;
                storage.prepared = None;
                storage.state.finish_copy(epoch);
                return;
            }
        } else {
            self.copy_ask(node);
        }
        self.schedule(pause, Event::CopyStep { node, life });
        self.schedule_sync(node);
    }

    /// Asks the present source for its next page or for turns that are missing.
    pub(super) fn copy_ask(&mut self, node: usize) {
        let me = self.storage[node].state.id();
        let pick = self.random.random::<u32>() as usize;
        let number = self.number();
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
            copy.page = None;
            copy.missing.clear();
        }
        copy.asked = number;
        let Some(source) = copy.source.clone() else {
            return;
        };
        let (set, missing) = (copy.set.clone(), copy.missing.clone());
        let request = if missing.is_empty() {
            ReplicaRequest::List {
                epoch: set.epoch,
                after: self.storage[node].positions.get(&source.id).copied(),
            }
        } else {
            ReplicaRequest::Fetch { turns: missing }
        };
        let target = source.address.parse().expect("addresses are numbers");
        let from = Address::Storage(node);
        let adopt = ReplicaRequest::Adopt { set };
        for (operation, request) in [(0, adopt), (number, request)] {
            self.send(Event::ToStorage {
                node: target,
                from,
                operation,
                to: source.id,
                request,
            });
        }
    }

    pub(super) fn copy_reply(
        &mut self,
        node: usize,
        from: ReplicaId,
        operation: u64,
        reply: ReplicaReply,
    ) {
        let storage = &mut self.storage[node];
        if !storage.running || self.cut.contains(&node) {
            return;
        }
        let Some(copy) = storage.copy.as_mut() else {
            return;
        };
        if copy.source.as_ref().map(|source| source.id) != Some(from) || copy.asked != operation {
            return;
        }
        let mut changes = Vec::new();
        match reply {
            ReplicaReply::Listed(listing) => {
                for (program, ledger, keep_ms) in listing.ledgers {
                    changes.extend(storage.state.copy_ledger(program, &ledger, keep_ms, 0));
                }
                let turns = listing.turns.into_iter().map(|(turn, _)| turn);
                copy.missing = turns.filter(|turn| !storage.state.has_turn(turn)).collect();
                copy.page = Some((listing.next, listing.is_end));
            }
            ReplicaReply::Fetched { records } => {
                let copied = if copy.is_preparing() {
                    &mut self.outcome.prepared_turns
                } else {
                    &mut self.outcome.copied_turns
                };
                *copied += records.len() as u64;
                for record in records {
                    copy.missing.retain(|turn| *turn != record.turn);
                    changes.extend(storage.state.copy_turn(record, KEEP_MS, 0));
                }
            }
            _ => return,
        }
        // One answer for one question: it may come twice.
        copy.asked = 0;
        if let Some((next, is_end)) = copy.page
            && copy.missing.is_empty()
        {
            storage.positions.insert(from, next);
            copy.page = None;
            if is_end {
                copy.done.insert(from);
                copy.source = None;
            }
        }
        let handled = Handled {
            changes,
            reply: ReplicaReply::Done,
            wait: Wait::Durable,
        };
        storage.carry_out(handled, None);
        self.schedule_sync(node);
    }
}
