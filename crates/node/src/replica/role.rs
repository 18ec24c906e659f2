//! Actor of the replica role.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use ridgeworks_domain::{NodeId, RunId, ServiceName};
use ridgeworks_run_log::message::{Message, Reply, Request};
use ridgeworks_run_log::replica::{Replica, ReplicaReady};
use ridgeworks_run_log::storage::RestoredStore;
use ridgeworks_storage::StoreError;
use stakker::{CX, Fwd, MaxTimerKey, fail, timer_max};

use super::log_store::{StoredLog, operation};
use super::store::{NodeStore, WriteOwner};
use super::sweep::RunSweeps;
use crate::clock::Clock;
use crate::message::NodeMessage;
use crate::metrics::Metrics;
use crate::router::{Incoming, Outgoing};

/// Closed runs are forgotten two such times after their end.
const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);
const SWEEP_LIMIT: usize = 1_000;

/// Replies that wait until their write is durable.
struct PendingReplies {
    write: u64,
    replies: Vec<(NodeId, Reply)>,
}

/// The replica role of a node with a disk.
pub struct ReplicaRole {
    pub(super) clock: Clock,
    pub(super) store: NodeStore,
    pub(super) replica: Replica,
    pending: VecDeque<PendingReplies>,
    pub(super) outgoing: Fwd<Outgoing>,
    metrics: Arc<Metrics>,
    sweep_timer: MaxTimerKey,
    pub(super) sweeps: RunSweeps,
}

impl ReplicaRole {
    /// Starts the role on what the store held.
    pub fn init(
        cx: CX![],
        node: NodeId,
        store: NodeStore,
        restored: RestoredStore,
        outgoing: Fwd<Outgoing>,
        metrics: Arc<Metrics>,
        sweeps: RunSweeps,
    ) -> Option<Self> {
        let clock = sweeps.clock();
        let mut role = Self {
            clock,
            store,
            replica: Replica::restore(node, restored, clock.now()),
            pending: VecDeque::new(),
            outgoing,
            metrics,
            sweep_timer: MaxTimerKey::default(),
            sweeps,
        };
        role.schedule_sweep(cx);
        role.find_owners(cx);
        Some(role)
    }

    /// Takes a message from an owner.
    pub fn receive(&mut self, _cx: CX![], incoming: Incoming) {
        let from = incoming.from;
        match incoming.message {
            NodeMessage::RunLog(Message::Request(request)) => self.request(from, request),
            NodeMessage::EndedRunsQuery { service, runs } => {
                self.answer_ended_runs(from, service, &runs);
            }
            _ => {}
        }
    }

    /// Takes the news that a write is durable. A failed write ends the process: what reached the
    /// disk is not known, and a replica must never promise what it may not keep.
    pub fn handle_write_result(&mut self, cx: CX![], write: u64, result: Result<(), StoreError>) {
        if let Err(error) = result {
            fail!(cx, error);
            return;
        }
        self.replica.flushed(write);
        while self
            .pending
            .front()
            .is_some_and(|first| first.write <= write)
        {
            if let Some(first) = self.pending.pop_front() {
                self.send(first.replies);
            }
        }
    }

    /// Tells a dispatcher which runs have ended. What is not durable yet is no end.
    fn answer_ended_runs(&self, from: NodeId, service: ServiceName, runs: &[RunId]) {
        let (mut ended, mut unknown) = (Vec::new(), Vec::new());
        for run in runs {
            match self.replica.head(*run) {
                Some(head) if head.is_closed() => ended.push(*run),
                Some(_) => {}
                None => unknown.push(*run),
            }
        }
        if ended.is_empty() && unknown.is_empty() {
            return;
        }
        let message = NodeMessage::EndedRunsAnswer {
            service,
            ended,
            unknown,
        };
        self.outgoing.fwd(Outgoing { to: from, message });
    }

    fn request(&mut self, from: NodeId, request: Request) {
        let now = self.clock.now();
        self.metrics.replica_requests.inc();
        let stored = StoredLog(&self.store);
        let ready = self.replica.handle(from, request, now, &stored);
        self.carry_out(ready);
    }

    fn carry_out(&mut self, ready: ReplicaReady) {
        let runs = i64::try_from(self.replica.run_count()).unwrap_or(i64::MAX);
        self.metrics.replica_runs.set(runs);
        let ReplicaReady {
            writes,
            replies_after_flush,
            write_number,
        } = ready;
        if writes.is_empty() && self.pending.is_empty() {
            self.send(replies_after_flush);
            return;
        }
        self.pending.push_back(PendingReplies {
            write: write_number,
            replies: replies_after_flush,
        });
        self.metrics.replica_writes.inc();
        let operations = writes.into_iter().map(operation).collect();
        self.store
            .submit(operations, WriteOwner::Replica, write_number);
    }

    fn send(&mut self, replies: Vec<(NodeId, Reply)>) {
        for (to, reply) in replies {
            let message = NodeMessage::RunLog(Message::Reply(reply));
            self.outgoing.fwd(Outgoing { to, message });
        }
    }

    fn schedule_sweep(&mut self, cx: CX![]) {
        let at = cx.now() + SWEEP_INTERVAL;
        timer_max!(&mut self.sweep_timer, at, [cx], sweep());
    }

    fn sweep(&mut self, cx: CX![]) {
        let now = self.clock.now();
        let ready = self.replica.sweep(now, RETENTION, SWEEP_LIMIT);
        self.carry_out(ready);
        self.schedule_sweep(cx);
    }
}
