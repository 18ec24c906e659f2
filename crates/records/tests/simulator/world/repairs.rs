//! Voters that complete chains before they acknowledge a turn.

use super::*;

impl World {
    /// Schedules the next step of a node's repairs, if there are any.
    pub(super) fn schedule_repair(&mut self, node: usize) {
        let storage = &mut self.storage[node];
        if !storage.repairs.is_empty() && !storage.is_repair_scheduled {
            storage.is_repair_scheduled = true;
            let incarnation = storage.incarnation;
            self.schedule(REPAIR_INTERVAL, Event::Repair { node, incarnation });
        }
    }

    /// Replies to turns whose chain is complete, and asks for the first missing turn of the others.
    pub(super) fn repair(&mut self, node: usize, incarnation: u64) {
        let now = self.now;
        let storage = &mut self.storage[node];
        if storage.incarnation != incarnation || !storage.running {
            return;
        }
        storage.is_repair_scheduled = false;
        let repairs = std::mem::take(&mut storage.repairs);
        for mut repair in repairs.into_iter().filter(|repair| now < repair.until) {
            let storage = &mut self.storage[node];
            let id = storage.state.id();
            if let Some(gap) = storage.state.chain_gap(&repair.append.turn) {
                repair.pending_request = self.ask_for_turn(node, repair.append.group, gap.missing);
                self.storage[node].repairs.push(repair);
                continue;
            }
            let handled = storage.state.finish_append(&repair.append);
            let reply = storage.commit_and_reply(handled, Some((repair.to, repair.operation)));
            if let Some(reply) = reply {
                let (to, operation) = (repair.to, repair.operation);
                self.send(Event::Reply {
                    to,
                    from: id,
                    operation,
                    reply,
                });
            }
        }
        self.schedule_repair(node);
        self.schedule_sync(node);
    }

    /// Asks any other voter; returns the number of the request.
    fn ask_for_turn(&mut self, node: usize, group: GroupId, missing: TurnId) -> u64 {
        let number = self.next_number();
        let state = &self.storage[node].state;
        let me = state.id();
        let set = state.groups().and_then(|groups| groups.set(group)).cloned();
        let voters = set.map(|set| set.voters).unwrap_or_default();
        let others: Vec<_> = voters.iter().filter(|voter| voter.id != me).collect();
        if others.is_empty() {
            return number;
        }
        let source = others[self.random.random_range(0..others.len())];
        let target = source.address.parse().expect("addresses are node indices");
        self.send(Event::ToStorage {
            node: target,
            from: Address::Storage(node),
            operation: number,
            to: source.id,
            request: ReplicaRequest::Fetch {
                turns: vec![missing],
            },
        });
        number
    }

    pub(super) fn repair_reply(&mut self, node: usize, operation: u64, reply: ReplicaReply) {
        let ReplicaReply::Fetched { records } = reply else {
            return;
        };
        let now = self.now;
        let storage = &mut self.storage[node];
        let mut repairs = storage.repairs.iter_mut();
        let Some(repair) = repairs.find(|repair| repair.pending_request == operation) else {
            return;
        };
        // The reply may be duplicated.
        repair.pending_request = NO_REQUEST;
        let group = repair.append.group;
        let mut changes = Vec::new();
        for record in records {
            self.outcome.repaired_turns += 1;
            let copied = storage.state.copy_turn(group, record, 0, now);
            changes.extend(copied.expect("the limit isn't reached"));
        }
        let handled = Handled::durable(changes, ReplicaReply::Done);
        storage.commit_and_reply(handled, None);
        self.schedule_sync(node);
    }
}
