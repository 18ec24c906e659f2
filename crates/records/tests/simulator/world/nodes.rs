//! Messages to storage nodes, and writes to their disks.

use super::*;

const SLOW_READ_PROBABILITY: f64 = 0.03;

impl World {
    pub(super) fn deliver(
        &mut self,
        node: usize,
        from: Address,
        operation: u64,
        to: ReplicaId,
        request: ReplicaRequest,
    ) {
        let is_partitioned = self.partitioned.contains(&node);
        let now = self.now;
        let storage = &mut self.storage[node];
        if !storage.running || is_partitioned {
            return;
        }
        let id = storage.state.id();
        let reply = storage.request(from, operation, to, request, now);
        self.schedule_sync(node);
        self.schedule_repair(node);
        if let Some(reply) = reply {
            self.send(Event::Reply {
                to: from,
                from: id,
                operation,
                reply,
            });
        }
    }

    pub(super) fn schedule_sync(&mut self, node: usize) {
        let (incarnation, batch, durable) = {
            let storage = &self.storage[node];
            (storage.incarnation, storage.submitted, storage.durable)
        };
        if batch > durable {
            let is_slow = self.random.random_bool(0.02);
            let delay = self.random.random_range(1..if is_slow { 700 } else { 6 });
            self.schedule(
                delay,
                Event::Sync {
                    node,
                    incarnation,
                    batch,
                },
            );
        }
    }

    pub(super) fn sync(&mut self, node: usize, incarnation: u64, batch: u64) {
        let storage = &mut self.storage[node];
        if storage.incarnation != incarnation || !storage.running {
            return;
        }
        let id = storage.state.id();
        for waiting in storage.sync(batch) {
            let (to, operation, reply) = (waiting.to, waiting.operation, waiting.reply);
            self.send(Event::Reply {
                to,
                from: id,
                operation,
                reply,
            });
        }
    }

    pub(super) fn expire(&mut self, node: usize) {
        self.schedule(EXPIRY_INTERVAL, Event::Expire { node });
        if self.storage[node].running {
            self.storage[node].expire(self.now);
            self.schedule_sync(node);
        }
    }

    pub(super) fn storage_reply(
        &mut self,
        node: usize,
        from: ReplicaId,
        operation: u64,
        reply: ReplicaReply,
    ) {
        if !self.storage[node].running || self.partitioned.contains(&node) {
            return;
        }
        let mut repairs = self.storage[node].repairs.iter();
        if repairs.any(|repair| repair.pending_request == operation) {
            self.repair_reply(node, operation, reply);
        } else {
            self.copy_reply(node, from, operation, reply);
        }
    }

    pub(super) fn start_node(&mut self, node: usize) {
        if self.storage[node].running {
            return;
        }
        self.storage[node].start(&mut self.random);
        let incarnation = self.storage[node].incarnation;
        self.schedule(0, Event::Restore { node, incarnation });
    }

    /// Restores records one by one, mostly fast.
    pub(super) fn restore(&mut self, node: usize, incarnation: u64) {
        let storage = &mut self.storage[node];
        if storage.incarnation != incarnation || !storage.running {
            return;
        }
        if storage.restore_next() {
            let is_slow = self.random.random_bool(SLOW_READ_PROBABILITY);
            let delay = self.random.random_range(0..if is_slow { 400 } else { 3 });
            self.schedule(delay, Event::Restore { node, incarnation });
        }
    }
}
