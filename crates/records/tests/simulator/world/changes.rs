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
        let Some(groups) = self.storage[node].state.groups().cloned() else {
            self.found_groups(node);
            return;
        };
        for (group, set) in groups.iter() {
            self.change_set(node, group, set, &groups);
        }
    }

    /// Writes the first sets, unless somebody has.
    fn found_groups(&mut self, node: usize) {
        if self.register.is_none() {
            let seen: Vec<SeenNode> = self
                .storage
                .iter()
                .map(|storage| self.see(storage))
                .collect();
            let groups = deal_groups(&seen, REPLICAS, self.group_count);
            let is_empty = groups.iter().any(|(_, set)| set.voters.is_empty());
            self.register = (!is_empty).then_some(groups);
            self.outcome.set_changes += u64::from(!is_empty);
        }
        self.hear_register(node);
    }

    fn change_set(
        &mut self,
        node: usize,
        group: GroupId,
        set: &ReplicaSet,
        groups: &ReplicaGroups,
    ) {
        let seen: Vec<SeenNode> = self
            .storage
            .iter()
            .map(|storage| self.see(storage))
            .collect();
        let since = self.changed_at.get(&group).copied().unwrap_or_default();
        let is_patient = self.now - since < 800;
        let copies = CopiesSeen {
            prepared: self.prepared(group, set.epoch),
            copied: self.copied(group, set.epoch),
        };
        let change = match plan_change(set, &seen, REPLICAS, &copies, is_patient) {
            Some(SetStep::Write(change)) => change,
            Some(SetStep::Prepare { newcomers, .. }) => {
                let ids: BTreeSet<ReplicaId> = newcomers.iter().map(|new| new.id).collect();
                self.ask_to_prepare(&ids, group, groups);
                return;
            }
            None => return,
        };
        let Some(registered) = &self.register else {
            return;
        };
        if registered.set(group).map(|set| set.epoch) != Some(set.epoch) {
            return;
        }
        self.outcome.set_changes += 1;
        self.changed_at.insert(group, self.now);
        self.register = Some(registered.with_set(group, change));
        self.hear_register(node);
    }

    /// Asks newcomers to copy before the set of a group changes; some never hear of it.
    fn ask_to_prepare(
        &mut self,
        newcomers: &BTreeSet<ReplicaId>,
        group: GroupId,
        groups: &ReplicaGroups,
    ) {
        let until = self.now + WISH_TIME;
        for node in 0..STORAGE_NODES {
            let is_cut = self.cut.contains(&node);
            let is_lost = self.random.random_bool(LOSS);
            let storage = &mut self.storage[node];
            if !storage.running || is_cut || is_lost || !newcomers.contains(&storage.state.id()) {
                continue;
            }
            let handled = storage.state.adopt(groups.clone());
            storage.carry_out(handled, None);
            let task = CopyTask::new(group, groups.clone());
            storage.wishes.insert(group, (task.set.epoch, until));
            let begun = storage.copies.get(&group);
            if begun.is_none_or(|begun| begun.set.epoch < task.set.epoch) {
                self.begin_copy(node, task);
            }
            self.schedule_sync(node);
        }
    }

    fn begin_copy(&mut self, node: usize, task: CopyTask) {
        let storage = &mut self.storage[node];
        let (life, group) = (storage.life, task.group);
        storage.copies.insert(group, task);
        self.schedule(1, Event::CopyStep { node, life, group });
    }

    fn prepared(&self, group: GroupId, epoch: Epoch) -> BTreeSet<ReplicaId> {
        let ready = self
            .storage
            .iter()
            .filter(|storage| storage.running && storage.prepared.get(&group) == Some(&epoch));
        ready.map(|storage| storage.state.id()).collect()
    }

    pub(super) fn see(&self, storage: &StorageNode) -> SeenNode {
        SeenNode {
            replica: storage.replica(),
            alive: storage.running && !self.cut.contains(&storage.index),
            starting: false,
            retiring: false,
            groups: 0,
            joining: false,
        }
    }

    pub(super) fn copied(&self, group: GroupId, epoch: Epoch) -> BTreeSet<ReplicaId> {
        let finished = self.storage.iter().filter(|storage| {
            let all = self.weakening == Weakening::NoCopy;
            let is_early =
                self.weakening == Weakening::NoRest && storage.prepared.contains_key(&group);
            let is_copied = storage.state.copied(group) == Some(epoch);
            storage.running && (all || is_early || is_copied)
        });
        finished.map(|storage| storage.state.id()).collect()
    }

    /// A storage node adopts what the register holds, and begins copies where they are due.
    pub(super) fn hear_register(&mut self, node: usize) {
        let Some(groups) = self.register.clone() else {
            return;
        };
        let storage = &mut self.storage[node];
        let handled = storage.state.adopt(groups.clone());
        storage.carry_out(handled, None);
        let id = storage.state.id();
        for (group, set) in groups.iter() {
            let storage = &self.storage[node];
            let is_due = set.is_copier(id) && storage.state.copied(group) < Some(set.epoch);
            let begun = storage.copies.get(&group);
            if is_due && begun.is_none_or(|begun| begun.set.epoch != set.epoch) {
                self.begin_copy(node, CopyTask::new(group, groups.clone()));
            }
        }
        self.schedule_sync(node);
    }

    pub(super) fn copy_step(&mut self, node: usize, life: u64, group: GroupId) {
        let now = self.now;
        let storage = &mut self.storage[node];
        if storage.life != life || !storage.running {
            return;
        }
        let me = storage.state.id();
        let all_durable = storage.durable == storage.submitted;
        let wish = storage.wishes.get(&group).filter(|(_, until)| now < *until);
        let wish = wish.map(|(epoch, _)| *epoch);
        let Some(copy) = storage.copies.get_mut(&group) else {
            return;
        };
        if copy.is_preparing() && wish != Some(copy.set.epoch) {
            // Given up: the voter is back, or the set has changed.
            storage.copies.remove(&group);
            storage.prepared.remove(&group);
            return;
        }
        if all_durable && copy.set.voters.iter().any(|voter| voter.id == me) {
            copy.done.insert(me);
        }
        let mut pause = RETRY;
        if copy.set.has_read_quorum(&copy.done) {
            let epoch = copy.set.epoch;
            if all_durable && copy.is_preparing() {
                // Another round finds what has changed meanwhile.
                *copy = CopyTask::new(group, copy.groups.clone());
                storage.prepared.insert(group, epoch);
                pause = 3 * RETRY;
            } else if all_durable {
                storage.copies.remove(&group);
                storage.prepared.remove(&group);
                storage.state.finish_copy(group, epoch);
                return;
            }
        } else {
            self.copy_ask(node, group);
        }
        self.schedule(pause, Event::CopyStep { node, life, group });
        self.schedule_sync(node);
    }

    /// Asks the present source for its next page or for turns that are missing.
    pub(super) fn copy_ask(&mut self, node: usize, group: GroupId) {
        let me = self.storage[node].state.id();
        let pick = self.random.random::<u32>() as usize;
        let number = self.number();
        let Some(copy) = self.storage[node].copies.get_mut(&group) else {
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
        let (epoch, missing) = (copy.set.epoch, copy.missing.clone());
        let groups = copy.groups.clone();
        let request = if missing.is_empty() {
            let known = self.storage[node].positions.get(&(group, source.id));
            ReplicaRequest::List {
                group,
                epoch,
                after: known.copied(),
            }
        } else {
            ReplicaRequest::Fetch { turns: missing }
        };
        let target = source.address.parse().expect("addresses are numbers");
        let from = Address::Storage(node);
        let adopt = ReplicaRequest::Adopt { groups };
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
        let mut copies = storage.copies.values_mut();
        // An answer to an earlier question must not count: one under an earlier epoch once did, and a turn was lost.
        let Some(copy) = copies.find(|copy| copy.asked == operation) else {
            return;
        };
        if copy.source.as_ref().map(|source| source.id) != Some(from) {
            return;
        }
        let group = copy.group;
        let mut changes = Vec::new();
        match reply {
            ReplicaReply::Listed(listing) => {
                for (program, ledger, ttl_ms) in listing.ledgers {
                    let copied = storage
                        .state
                        .copy_ledger(group, program, &ledger, ttl_ms, 0);
                    changes.extend(copied);
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
                    let copied = storage.state.copy_turn(group, record, KEEP_MS, 0);
                    changes.extend(copied.expect("there is room"));
                }
            }
            _ => return,
        }
        // One answer for one question: it may come twice.
        copy.asked = NOBODY_ASKED;
        if let Some((next, is_end)) = copy.page
            && copy.missing.is_empty()
        {
            storage.positions.insert((group, from), next);
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
