//! Changes of replica sets, and the copies that they need.

use super::*;

impl World {
    pub(super) fn coordinate(&mut self, node: usize) {
        let pause = COORDINATOR_INTERVAL + self.random.random_range(0..COORDINATOR_INTERVAL);
        self.schedule(pause, Event::Coordinate { node });
        if !self.storage[node].running || self.partitioned.contains(&node) {
            return;
        }
        self.adopt_registered_sets(node);
        let Some(groups) = self.storage[node].state.groups().cloned() else {
            self.create_initial_sets(node);
            return;
        };
        for (group, set) in groups.iter() {
            self.change_set(node, group, set, &groups);
        }
    }

    /// Writes the initial sets unless they exist.
    fn create_initial_sets(&mut self, node: usize) {
        if self.register.is_none() {
            let observed: Vec<StorageNode> = self
                .storage
                .iter()
                .map(|storage| self.observe(storage))
                .collect();
            let groups = assign_groups(&observed, REPLICAS, self.group_count);
            let is_empty = groups.iter().any(|(_, set)| set.voters.is_empty());
            self.register = (!is_empty).then_some(groups);
            self.outcome.set_changes += u64::from(!is_empty);
        }
        self.adopt_registered_sets(node);
    }

    fn change_set(
        &mut self,
        node: usize,
        group: GroupId,
        set: &ReplicaSet,
        groups: &ReplicaGroups,
    ) {
        let observed: Vec<StorageNode> = self
            .storage
            .iter()
            .map(|storage| self.observe(storage))
            .collect();
        let since = self.changed_at.get(&group).copied().unwrap_or_default();
        let may_wait = self.now - since < 800;
        let copies = CopyProgress {
            prepared: self.prepared(group, set.epoch),
            copied: self.copied(group, set.epoch),
        };
        let change = match plan_change(set, &observed, REPLICAS, &copies, may_wait) {
            Some(SetStep::Write(change)) => change,
            Some(SetStep::LeaveOut(change)) if self.random.random_bool(LEAVE_OUT_PROBABILITY) => {
                change
            }
            Some(SetStep::LeaveOut(_)) => return,
            Some(SetStep::Prepare { new_members, .. }) => {
                let ids: BTreeSet<ReplicaId> = new_members.iter().map(|member| member.id).collect();
                self.request_copies(&ids, group, groups);
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
        self.adopt_registered_sets(node);
    }

    /// Asks new members to copy before the set of a group changes; some requests are lost.
    fn request_copies(
        &mut self,
        new_members: &BTreeSet<ReplicaId>,
        group: GroupId,
        groups: &ReplicaGroups,
    ) {
        let until = self.now + COPY_REQUEST_LIFETIME;
        for node in 0..STORAGE_NODES {
            let is_partitioned = self.partitioned.contains(&node);
            let is_lost = self.random.random_bool(LOSS_PROBABILITY);
            let storage = &mut self.storage[node];
            if !storage.running
                || is_partitioned
                || is_lost
                || !new_members.contains(&storage.state.id())
            {
                continue;
            }
            let handled = storage.state.adopt(groups.clone());
            storage.commit_and_reply(handled, None);
            let task = CopyTask::new(group, groups.clone());
            storage.copy_requests.insert(group, (task.set.epoch, until));
            let current = storage.copies.get(&group);
            if current.is_none_or(|current| current.set.epoch < task.set.epoch) {
                self.begin_copy(node, task);
            }
            self.schedule_sync(node);
        }
    }

    fn begin_copy(&mut self, node: usize, task: CopyTask) {
        let storage = &mut self.storage[node];
        let (incarnation, group) = (storage.incarnation, task.group);
        storage.copies.insert(group, task);
        self.schedule(
            1,
            Event::CopyStep {
                node,
                incarnation,
                group,
            },
        );
    }

    fn prepared(&self, group: GroupId, epoch: Epoch) -> BTreeSet<ReplicaId> {
        let prepared = self
            .storage
            .iter()
            .filter(|storage| storage.running && storage.prepared.get(&group) == Some(&epoch));
        prepared.map(|storage| storage.state.id()).collect()
    }

    pub(super) fn observe(&self, storage: &SimulatedNode) -> StorageNode {
        StorageNode {
            replica: storage.replica(),
            alive: storage.running && !self.partitioned.contains(&storage.index),
            starting: false,
            retiring: false,
            groups: 0,
            joining: false,
        }
    }

    pub(super) fn copied(&self, group: GroupId, epoch: Epoch) -> BTreeSet<ReplicaId> {
        let finished = self.storage.iter().filter(|storage| {
            let all = self.disabled == DisabledMechanism::NoCopy;
            let counts_prepared =
                self.disabled == DisabledMechanism::NoRest && storage.prepared.contains_key(&group);
            let is_copied = storage.state.copied(group) == Some(epoch);
            storage.running && (all || counts_prepared || is_copied)
        });
        finished.map(|storage| storage.state.id()).collect()
    }

    /// Has a storage node adopt the sets of the register and begin the copies that are due.
    pub(super) fn adopt_registered_sets(&mut self, node: usize) {
        let Some(groups) = self.register.clone() else {
            return;
        };
        let storage = &mut self.storage[node];
        let handled = storage.state.adopt(groups.clone());
        storage.commit_and_reply(handled, None);
        let id = storage.state.id();
        for (group, set) in groups.iter() {
            let storage = &self.storage[node];
            let is_due = set.is_copier(id) && storage.state.copied(group) < Some(set.epoch);
            let current = storage.copies.get(&group);
            if is_due && current.is_none_or(|current| current.set.epoch != set.epoch) {
                self.begin_copy(node, CopyTask::new(group, groups.clone()));
            }
        }
        self.schedule_sync(node);
    }

    pub(super) fn copy_step(&mut self, node: usize, incarnation: u64, group: GroupId) {
        let now = self.now;
        let storage = &mut self.storage[node];
        if storage.incarnation != incarnation || !storage.running {
            return;
        }
        let me = storage.state.id();
        let all_durable = storage.durable == storage.submitted;
        let request = storage
            .copy_requests
            .get(&group)
            .filter(|(_, until)| now < *until);
        let requested_epoch = request.map(|(epoch, _)| *epoch);
        let Some(copy) = storage.copies.get_mut(&group) else {
            return;
        };
        if copy.is_preparing() && requested_epoch != Some(copy.set.epoch) {
            // The copy is no longer requested: the voter is back, or the set has changed.
            storage.copies.remove(&group);
            storage.prepared.remove(&group);
            return;
        }
        if all_durable && copy.set.voters.iter().any(|voter| voter.id == me) {
            copy.done.insert(me);
        }
        let mut pause = RETRY_INTERVAL;
        if copy.set.has_read_quorum(&copy.done) {
            let epoch = copy.set.epoch;
            if all_durable && copy.is_preparing() {
                // Another round copies what has changed meanwhile.
                *copy = CopyTask::new(group, copy.groups.clone());
                storage.prepared.insert(group, epoch);
                pause = 3 * RETRY_INTERVAL;
            } else if all_durable {
                storage.copies.remove(&group);
                storage.prepared.remove(&group);
                storage.state.finish_copy(group, epoch);
                return;
            }
        } else {
            self.request_page_or_turns(node, group);
        }
        self.schedule(
            pause,
            Event::CopyStep {
                node,
                incarnation,
                group,
            },
        );
        self.schedule_sync(node);
    }

    /// Requests the next page or missing turns from the current source.
    pub(super) fn request_page_or_turns(&mut self, node: usize, group: GroupId) {
        let me = self.storage[node].state.id();
        let pick = self.random.random::<u32>() as usize;
        let number = self.next_number();
        let Some(copy) = self.storage[node].copies.get_mut(&group) else {
            return;
        };
        if copy.source.is_none() || self.random.random_bool(0.2) {
            let sources = copy.set.voters.iter();
            let sources: Vec<_> = sources
                .filter(|voter| voter.id != me && !copy.done.contains(&voter.id))
                .collect();
            if sources.is_empty() {
                return;
            }
            copy.source = Some(sources[pick % sources.len()].clone());
            copy.page = None;
            copy.missing.clear();
        }
        copy.pending_request = number;
        let Some(source) = copy.source.clone() else {
            return;
        };
        let epoch = copy.set.epoch;
        let missing: Vec<TurnId> = copy.missing.keys().cloned().collect();
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
        let target = source.address.parse().expect("addresses are node indices");
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
        let now = self.now;
        let storage = &mut self.storage[node];
        if let ReplicaReply::Listed(listing) = &reply {
            for (program, ..) in &listing.ledgers {
                storage.restore_ledger(program);
            }
        }
        let mut copies = storage.copies.values_mut();
        // A reply to an earlier request must not count: one under an earlier epoch may lack
        // records.
        let Some(copy) = copies.find(|copy| copy.pending_request == operation) else {
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
                        .copy_ledger(group, program, &ledger, ttl_ms, now)
                        .expect("a restored replica");
                    changes.extend(copied);
                }
                let turns = listing.turns.into_iter();
                copy.missing = turns
                    .filter(|(turn, _)| !storage.state.has_turn(turn))
                    .collect();
                copy.page = Some((listing.next, listing.is_end));
            }
            ReplicaReply::Fetched { records } => {
                let copied = if copy.is_preparing() {
                    &mut self.outcome.prepared_turns
                } else {
                    &mut self.outcome.copied_turns
                };
                *copied += records.len() as u64;
                let is_expired = records.is_empty();
                for record in records {
                    let ttl_ms = copy.missing.remove(&record.turn).unwrap_or_default();
                    let copied = storage.state.copy_turn(group, record, ttl_ms, now);
                    changes.extend(copied.expect("the limit isn't reached"));
                }
                if is_expired {
                    copy.missing.clear();
                }
            }
            _ => return,
        }
        // The reply may be duplicated, and counts once.
        copy.pending_request = NO_REQUEST;
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
        let handled = Handled::durable(changes, ReplicaReply::Done);
        storage.commit_and_reply(handled, None);
        self.schedule_sync(node);
    }
}
