//! The event loop: network, faults, effects.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ridgeworks_domain::{
    BackendName, CallEnd, CallRequest, Cost, MonotonicTime, NodeId, Refusal, RefusalReason, RunId,
    Sequence,
};
use ridgeworks_run_log::{
    AttemptFate, AttemptOutcome, CallerAnswer, LogIndex, Opening, OwnerEffect, OwnerEvent,
    OwnerSettings, Reply, Request, RunOwner, StoreId,
};

use super::Weakening;
use super::backend::{Arrival, AttemptKey, SimulatedBackend};
use super::checks::{Answered, HistoryRead, Record, Violation};
use super::client::{Ask, Client, Next, Sent, Stage, request};
use super::disk::ReplicaNode;
use super::node::Node;

const MILLISECOND: u64 = 1_000;
const REPLICAS: usize = 3;
const NODES: usize = 5;
const BACKENDS: usize = 3;
const CLIENTS: usize = 2;
const CALLS: u64 = 4;
const TICK: u64 = 20 * MILLISECOND;
const FAULTS_END: u64 = 1_500 * MILLISECOND;
const END: u64 = 30_000 * MILLISECOND;

enum Event {
    Request {
        from: usize,
        to: usize,
        request: Request,
    },
    Reply {
        from: usize,
        to: usize,
        reply: Reply,
    },
    Flush {
        node: usize,
        incarnation: u32,
    },
    Tick {
        node: usize,
        incarnation: u32,
    },
    Effect {
        node: usize,
        incarnation: u32,
        run: RunId,
        effect: OwnerEffect,
    },
    Input {
        node: usize,
        incarnation: u32,
        run: RunId,
        event: OwnerEvent,
    },
    Ask {
        node: usize,
        client: usize,
        number: u64,
        ask: Ask,
    },
    Answer {
        client: usize,
        number: u64,
        answer: CallerAnswer,
    },
    Send {
        client: usize,
    },
    Timeout {
        client: usize,
        number: u64,
    },
    Arrive {
        backend: usize,
        key: AttemptKey,
        request: CallRequest,
        node: usize,
        incarnation: u32,
    },
    Finish {
        backend: usize,
        key: AttemptKey,
        node: usize,
        incarnation: u32,
    },
    Fence {
        backend: usize,
        key: AttemptKey,
        node: usize,
        incarnation: u32,
    },
    Crash {
        node: usize,
    },
    PowerOff {
        node: usize,
        on_at: u64,
    },
    Restart {
        node: usize,
        lose_disk: bool,
    },
    Pause {
        node: usize,
        until: u64,
    },
    Cut {
        from: usize,
        to: usize,
        until: u64,
    },
    TakeOver {
        node: usize,
        run: RunId,
    },
    BackendGone {
        backend: usize,
    },
}

/// What a schedule came to.
pub struct Outcome {
    pub violations: Vec<Violation>,
    pub events: u64,
    pub finished_calls: u64,
    pub executions: u64,
    pub takeovers: u64,
    pub replicas_changed: u64,
}

pub struct World {
    now: u64,
    order: u64,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<Event>>,
    rng: ChaCha8Rng,
    weakening: Option<Weakening>,
    nodes: Vec<Node>,
    backends: Vec<SimulatedBackend>,
    clients: Vec<Client>,
    record: Record,
    disk_lost: bool,
    /// Until when nothing passes from one node to another.
    cuts: BTreeMap<(usize, usize), u64>,
}

/// Runs one schedule.
pub fn run_schedule(seed: u64, weakening: Option<Weakening>) -> Outcome {
    World::new(seed, weakening).run()
}

impl World {
    fn new(seed: u64, weakening: Option<Weakening>) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let nodes: Vec<Node> = (0..NODES)
            .map(|index| {
                let id = NodeId(index as u64 + 1);
                let replica =
                    (index < REPLICAS).then(|| ReplicaNode::new(id, StoreId(rng.random())));
                Node::new(id, replica)
            })
            .collect();
        let clients = (0..CLIENTS)
            .map(|index| new_client(index, &mut rng))
            .collect();
        let mut world = Self {
            now: 0,
            order: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            rng,
            weakening,
            nodes,
            backends: (0..BACKENDS).map(|_| SimulatedBackend::default()).collect(),
            clients,
            record: Record::default(),
            disk_lost: false,
            cuts: BTreeMap::new(),
        };
        world.plan();
        world
    }

    fn plan(&mut self) {
        for node in 0..NODES {
            self.at(
                TICK,
                Event::Tick {
                    node,
                    incarnation: 0,
                },
            );
        }
        for client in 0..CLIENTS {
            self.at(MILLISECOND, Event::Send { client });
        }
        for _ in 0..self.rng.random_range(2..12) {
            let at = self.rng.random_range(0..FAULTS_END);
            match self.rng.random_range(0..10) {
                0 => self.plan_power_cut(at),
                _ => {
                    let fault = self.fault(at);
                    self.at(at, fault);
                }
            }
        }
    }

    /// All disks lose power while a node takes a run over whose appends don't get through.
    fn plan_power_cut(&mut self, at: u64) {
        let from = self.rng.random_range(0..NODES);
        let run = self.clients[self.rng.random_range(0..CLIENTS)].run;
        self.at(at, Event::TakeOver { node: from, run });
        let cut_at = at + self.rng.random_range(3..20) * MILLISECOND;
        let until = cut_at + self.rng.random_range(5..300) * MILLISECOND;
        for to in 0..REPLICAS {
            self.at(cut_at, Event::Cut { from, to, until });
        }
        let off_at = at + self.rng.random_range(3_000..25_000);
        let on_at = off_at + self.rng.random_range(1..10) * MILLISECOND;
        for node in (0..REPLICAS).filter(|node| *node != from) {
            self.at(off_at, Event::PowerOff { node, on_at });
        }
    }

    fn fault(&mut self, at: u64) -> Event {
        let node = self.rng.random_range(0..NODES);
        match self.rng.random_range(0..14) {
            0..=2 => Event::Crash { node },
            10..=13 => Event::Cut {
                from: node,
                to: self.rng.random_range(0..NODES),
                until: at + self.rng.random_range(20..800) * MILLISECOND,
            },
            3..=6 => Event::Pause {
                node,
                until: at + self.rng.random_range(10..600) * MILLISECOND,
            },
            7 | 8 => Event::TakeOver {
                node,
                run: self.clients[self.rng.random_range(0..CLIENTS)].run,
            },
            _ => Event::BackendGone {
                backend: self.rng.random_range(1..BACKENDS),
            },
        }
    }

    fn run(mut self) -> Outcome {
        let mut events = 0;
        while let Some(Reverse((at, _, slot))) = self.queue.pop() {
            let done = self
                .clients
                .iter()
                .all(|client| client.stage == Stage::Done);
            if at > END || (done && at > FAULTS_END) {
                break;
            }
            self.now = at;
            events += 1;
            if let Some(event) = self.events[slot].take() {
                self.step(event);
            }
        }
        let budgets: BTreeMap<RunId, Cost> = self
            .clients
            .iter()
            .map(|client| (client.run, client.budget))
            .collect();
        for answered in &mut self.record.answered {
            let sender = self
                .clients
                .iter()
                .find(|client| client.run == answered.run);
            let requests = sender.map(|client| client.requests_of(answered.call));
            answered.only_request = requests == Some(1);
        }
        self.record.check(&budgets);
        for client in self
            .clients
            .iter()
            .filter(|client| client.stage != Stage::Done)
        {
            self.record.violations.push(Violation::Stuck(client.run));
        }
        self.outcome(events)
    }

    fn outcome(self, events: u64) -> Outcome {
        use ridgeworks_run_log::Entry;
        let count = |wanted: fn(&Entry) -> bool| {
            self.record
                .committed
                .values()
                .filter(|entry| wanted(entry))
                .count() as u64
        };
        Outcome {
            events,
            finished_calls: count(|entry| matches!(entry, Entry::Finished { .. })),
            executions: self.record.executions.len() as u64,
            takeovers: count(|entry| matches!(entry, Entry::OwnerChanged { .. })),
            replicas_changed: count(|entry| matches!(entry, Entry::ReplicasChanged { .. })),
            violations: self.record.violations,
        }
    }

    fn time(&self) -> MonotonicTime {
        MonotonicTime::from_micros(self.now)
    }

    fn at(&mut self, at: u64, event: Event) {
        self.order += 1;
        self.queue
            .push(Reverse((at, self.order, self.events.len())));
        self.events.push(Some(event));
    }

    fn after(&mut self, delay: u64, event: Event) {
        self.at(self.now + delay, event);
    }

    fn faulty(&self) -> bool {
        self.now < FAULTS_END
    }

    fn delay(&mut self) -> u64 {
        let long = if self.faulty() { 0.06 } else { 0.0 };
        if self.rng.random_bool(long) {
            return self.rng.random_range(5..400) * MILLISECOND;
        }
        self.rng.random_range(300..3_000)
    }

    /// How many copies of a message arrive.
    fn copies(&mut self) -> u32 {
        match self.rng.random_range(0..100) {
            0..=4 if self.faulty() => 0,
            5..=7 => 2,
            _ => 1,
        }
    }

    /// Whether the event must wait for the node to wake up, or is lost with the node.
    fn hold(&self, event: &Event) -> Option<Option<u64>> {
        let (node, incarnation) = match event {
            Event::Request { to, .. } | Event::Reply { to, .. } => (*to, None),
            Event::Ask { node, .. } | Event::TakeOver { node, .. } => (*node, None),
            Event::Flush { node, incarnation }
            | Event::Tick { node, incarnation }
            | Event::Effect {
                node, incarnation, ..
            }
            | Event::Input {
                node, incarnation, ..
            } => (*node, Some(*incarnation)),
            _ => return None,
        };
        let held = &self.nodes[node];
        if !held.alive || incarnation.is_some_and(|incarnation| incarnation != held.incarnation) {
            return Some(None);
        }
        (held.paused_until > self.now).then_some(Some(held.paused_until))
    }

    fn is_cut(&self, event: &Event) -> bool {
        let (Event::Request { from, to, .. } | Event::Reply { from, to, .. }) = event else {
            return false;
        };
        let until = self.cuts.get(&(*from, *to));
        until.is_some_and(|until| *until > self.now)
    }

    fn step(&mut self, event: Event) {
        match self.hold(&event) {
            Some(None) => return,
            Some(Some(until)) => {
                let jitter = self.rng.random_range(0..2_000);
                return self.at(until + jitter, event);
            }
            None => {}
        }
        if self.is_cut(&event) {
            return;
        }
        match event {
            Event::Request { from, to, request } => self.replica_request(from, to, request),
            Event::Reply { from, to, reply } => {
                if let Some(run) = reply.run() {
                    let from = self.nodes[from].id;
                    self.tell(to, run, OwnerEvent::Reply { from, reply });
                }
            }
            Event::Flush { node, .. } => self.flush(node),
            Event::Tick { node, incarnation } => self.tick(node, incarnation),
            Event::Effect {
                node, run, effect, ..
            } => self.carry_out(node, run, effect),
            Event::Input {
                node, run, event, ..
            } => self.tell(node, run, event),
            Event::Ask {
                node,
                client,
                number,
                ask,
            } => self.asked(node, client, number, ask),
            Event::Answer {
                client,
                number,
                answer,
            } => self.answered(client, number, answer),
            Event::Send { client } => self.send(client),
            Event::Timeout { client, number } => {
                if self.clients[client].current == number {
                    self.move_on(client);
                    self.send(client);
                }
            }
            Event::Arrive {
                backend,
                key,
                request,
                node,
                incarnation,
            } => {
                self.arrive(backend, key, request, node, incarnation);
            }
            Event::Finish {
                backend,
                key,
                node,
                incarnation,
            } => {
                self.finish(backend, key, node, incarnation);
            }
            Event::Fence {
                backend,
                key,
                node,
                incarnation,
            } => {
                let fate = self.backends[backend].fence(key);
                let event = OwnerEvent::Fenced {
                    call: key.1,
                    attempt: key.2,
                    fate,
                };
                self.input(node, incarnation, key.0, event);
            }
            Event::Crash { node } => self.crash(node),
            Event::PowerOff { node, on_at } => self.power_off(node, on_at),
            Event::Restart { node, lose_disk } => self.restart(node, lose_disk),
            Event::Pause { node, until } => self.nodes[node].paused_until = until,
            Event::Cut { from, to, until } => {
                self.cuts.insert((from, to), until);
            }
            Event::TakeOver { node, run } => self.own(node, run),
            Event::BackendGone { backend } => self.backends[backend].gone = true,
        }
    }

    // Replicas.

    fn replica_request(&mut self, from: usize, to: usize, request: Request) {
        let now = self.time();
        let sender = self.nodes[from].id;
        let lower = self.weakening == Some(Weakening::LowerBallotAccepted);
        let Some(held) = self.nodes[to].replica.as_mut() else {
            return;
        };
        if let Request::Append { run, ballot, .. } = &request
            && lower
        {
            held.lower_promise(*run, *ballot, now);
        }
        let ready = held.replica.handle(sender, request, now, &held.tables);
        held.batch.push((ready.write_number, ready.writes));
        held.replies.extend(ready.replies_after_flush);
        if self.weakening == Some(Weakening::ReplyBeforeFlush) {
            let replies = std::mem::take(&mut held.replies);
            self.send_replies(to, replies);
        }
        let delay = self.rng.random_range(500..4_000);
        let node = &mut self.nodes[to];
        let incarnation = node.incarnation;
        if let Some(held) = node.replica.as_mut().filter(|held| !held.flush_due) {
            held.flush_due = true;
            self.after(
                delay,
                Event::Flush {
                    node: to,
                    incarnation,
                },
            );
        }
    }

    fn flush(&mut self, node: usize) {
        let Some(held) = self.nodes[node].replica.as_mut() else {
            return;
        };
        let replies = held.flush();
        self.send_replies(node, replies);
    }

    fn send_replies(&mut self, from: usize, replies: Vec<(NodeId, Reply)>) {
        for (to, reply) in replies {
            let reply = self.weaken_reply(from, reply);
            let to = to.0 as usize - 1;
            for _ in 0..self.copies() {
                let delay = self.delay();
                self.after(
                    delay,
                    Event::Reply {
                        from,
                        to,
                        reply: reply.clone(),
                    },
                );
            }
        }
    }

    /// Hides from new owners what was accepted and is not known to be committed.
    fn weaken_reply(&self, from: usize, mut reply: Reply) -> Reply {
        if self.weakening != Some(Weakening::AcceptedNotAdopted) {
            return reply;
        }
        let Some(held) = &self.nodes[from].replica else {
            return reply;
        };
        use ridgeworks_run_log::{LogPosition, LogStorage};
        match &mut reply {
            Reply::Promise {
                run,
                last,
                commit_index,
                ..
            } => {
                let committed = held.tables.entries(*run, *commit_index, 1);
                *last = committed
                    .first()
                    .filter(|_| *commit_index != LogIndex::NONE)
                    .map_or(LogPosition::NONE, |entry| entry.position());
            }
            Reply::Fetched { run, entries, .. } => {
                let commit = held.replica.head(*run).map(|head| head.commit_index);
                entries.retain(|entry| Some(entry.index) <= commit);
            }
            _ => {}
        }
        reply
    }

    // Owners.

    fn tell(&mut self, node: usize, run: RunId, event: OwnerEvent) {
        let now = self.time();
        let effects = self.nodes[node].handle(run, event, now, &mut self.record);
        self.schedule(node, run, effects);
    }

    fn input(&mut self, node: usize, incarnation: u32, run: RunId, event: OwnerEvent) {
        let delay = self.delay();
        self.after(
            delay,
            Event::Input {
                node,
                incarnation,
                run,
                event,
            },
        );
    }

    fn own(&mut self, node: usize, run: RunId) {
        let contacts: Vec<NodeId> = self.nodes[..REPLICAS].iter().map(|node| node.id).collect();
        let instance = self.rng.random_range(1..u64::MAX);
        let now = self.time();
        let effects = self.nodes[node].own(run, instance, &contacts, now);
        self.schedule(node, run, effects);
    }

    fn tick(&mut self, node: usize, incarnation: u32) {
        let runs: Vec<RunId> = self.nodes[node].owners.keys().copied().collect();
        for run in runs {
            self.tell(node, run, OwnerEvent::Tick);
        }
        self.after(TICK, Event::Tick { node, incarnation });
    }

    /// Effects take a moment, in which the node may be paused or die.
    fn schedule(&mut self, node: usize, run: RunId, effects: Vec<OwnerEffect>) {
        let incarnation = self.nodes[node].incarnation;
        for effect in effects {
            let delay = self.rng.random_range(1..50);
            self.after(
                delay,
                Event::Effect {
                    node,
                    incarnation,
                    run,
                    effect,
                },
            );
        }
    }

    fn carry_out(&mut self, node: usize, run: RunId, effect: OwnerEffect) {
        let incarnation = self.nodes[node].incarnation;
        match effect {
            OwnerEffect::SendToReplica { to, request } => self.send_request(node, to, request),
            OwnerEffect::RequestGrant {
                call,
                attempt,
                request,
            } => {
                self.grant(node, run, (call, attempt), request);
            }
            OwnerEffect::StartAttempt {
                call,
                attempt,
                backend,
                request,
                ..
            } => {
                if self.weakening != Some(Weakening::SentBeforeDispatched) {
                    let backend = backend_index(&backend);
                    self.start(node, backend, (run, call, attempt), request);
                }
            }
            OwnerEffect::FenceAttempt {
                call,
                attempt,
                backend,
                ..
            } => {
                let key = (run, call, attempt);
                if self.weakening == Some(Weakening::NotFenced) {
                    let fate = AttemptFate::NeverStarted;
                    let event = OwnerEvent::Fenced {
                        call,
                        attempt,
                        fate,
                    };
                    return self.input(node, incarnation, run, event);
                }
                let backend = backend_index(&backend);
                for _ in 0..self.copies() {
                    let delay = self.delay();
                    self.after(
                        delay,
                        Event::Fence {
                            backend,
                            key,
                            node,
                            incarnation,
                        },
                    );
                }
            }
            OwnerEffect::AnswerCaller { caller, answer } => {
                let Some((client, number)) = self.nodes[node].callers.remove(&caller) else {
                    return;
                };
                let delay = self.delay();
                self.after(
                    delay,
                    Event::Answer {
                        client,
                        number,
                        answer,
                    },
                );
            }
            OwnerEffect::InvalidLog { error, .. } => {
                self.record
                    .violations
                    .push(Violation::InvalidLog(run, error));
            }
            OwnerEffect::Ready { .. } => self.opened(node, run),
            OwnerEffect::ReturnGrant { .. }
            | OwnerEffect::ReleaseContext { .. }
            | OwnerEffect::SteppedDown { .. }
            | OwnerEffect::RunUnknown => {}
        }
    }

    fn send_request(&mut self, from: usize, to: NodeId, request: Request) {
        if self.weakening == Some(Weakening::NotConfirmed)
            && let Request::Append {
                run,
                ballot,
                replica,
                round,
                ..
            } = &request
        {
            let reply = Reply::Appended {
                run: *run,
                ballot: *ballot,
                replica: *replica,
                last_index: LogIndex::NONE,
                round: *round,
            };
            self.tell(from, *run, OwnerEvent::Reply { from: to, reply });
        }
        let to = to.0 as usize - 1;
        for _ in 0..self.copies() {
            let delay = self.delay();
            self.after(
                delay,
                Event::Request {
                    from,
                    to,
                    request: request.clone(),
                },
            );
        }
    }

    fn grant(&mut self, node: usize, run: RunId, asked: (Sequence, u32), request: CallRequest) {
        let (call, attempt) = asked;
        let incarnation = self.nodes[node].incarnation;
        if self.faulty() && self.rng.random_bool(0.03) {
            let refusal = Refusal::permanent(RefusalReason::NoBackend);
            let event = OwnerEvent::GrantRefused {
                call,
                attempt,
                refusal,
            };
            return self.input(node, incarnation, run, event);
        }
        let alive = (0..BACKENDS).filter(|backend| !self.backends[*backend].gone);
        let alive: Vec<usize> = alive.collect();
        let backend = alive[self.rng.random_range(0..alive.len())];
        if self.weakening == Some(Weakening::SentBeforeDispatched) {
            self.start(node, backend, (run, call, attempt), request);
        }
        let event = OwnerEvent::Granted {
            call,
            attempt,
            backend: BackendName::new(format!("backend-{backend}")).unwrap(),
            address: SocketAddr::from(([127, 0, 0, 1], 9)),
        };
        self.input(node, incarnation, run, event);
    }

    // Back ends.

    fn start(&mut self, node: usize, backend: usize, key: AttemptKey, request: CallRequest) {
        let incarnation = self.nodes[node].incarnation;
        if self.copies() == 0 {
            return self.lost(node, incarnation, key);
        }
        let delay = self.delay();
        self.after(
            delay,
            Event::Arrive {
                backend,
                key,
                request,
                node,
                incarnation,
            },
        );
    }

    fn lost(&mut self, node: usize, incarnation: u32, key: AttemptKey) {
        let event = OwnerEvent::AttemptFinished {
            call: key.1,
            attempt: key.2,
            outcome: AttemptOutcome::Lost,
        };
        self.input(node, incarnation, key.0, event);
    }

    fn arrive(
        &mut self,
        backend: usize,
        key: AttemptKey,
        request: CallRequest,
        node: usize,
        incarnation: u32,
    ) {
        let client = self
            .clients
            .iter()
            .find(|client| client.run == key.0)
            .unwrap();
        let reserve = client.calls[key.1.0 as usize - 1].reserve.0;
        let cost = Cost(self.rng.random_range(reserve / 2..=reserve));
        let now = self.now;
        let executions = &mut self.record.executions;
        match self.backends[backend].arrive(key, &request, cost, now, executions) {
            Arrival::Started => {
                let delay = self.rng.random_range(1_000..40_000);
                self.after(
                    delay,
                    Event::Finish {
                        backend,
                        key,
                        node,
                        incarnation,
                    },
                );
            }
            Arrival::Refused => {
                let (call, attempt) = (key.1, key.2);
                let outcome = AttemptOutcome::NotRun;
                let event = OwnerEvent::AttemptFinished {
                    call,
                    attempt,
                    outcome,
                };
                self.input(node, incarnation, key.0, event);
            }
            Arrival::Lost => self.lost(node, incarnation, key),
        }
    }

    fn finish(&mut self, backend: usize, key: AttemptKey, node: usize, incarnation: u32) {
        let Some((answer, spent)) = self.backends[backend].finish(key) else {
            return self.lost(node, incarnation, key);
        };
        if self.copies() == 0 {
            return self.lost(node, incarnation, key);
        }
        let event = OwnerEvent::AttemptFinished {
            call: key.1,
            attempt: key.2,
            outcome: AttemptOutcome::Finished { answer, spent },
        };
        self.input(node, incarnation, key.0, event);
    }

    // Faults.

    fn crash(&mut self, node: usize) {
        if !self.nodes[node].alive {
            return;
        }
        self.lose_memory(node);
        let lose_disk = node < REPLICAS && !self.disk_lost && self.rng.random_bool(0.4);
        self.disk_lost |= lose_disk;
        let delay = self.rng.random_range(5..500) * MILLISECOND;
        self.after(delay, Event::Restart { node, lose_disk });
    }

    fn power_off(&mut self, node: usize, on_at: u64) {
        if self.nodes[node].alive {
            self.lose_memory(node);
            let lose_disk = false;
            self.at(on_at, Event::Restart { node, lose_disk });
        }
    }

    fn lose_memory(&mut self, node: usize) {
        let now = self.time();
        let forget = self.weakening == Some(Weakening::PromiseNotDurable);
        let kept = self.rng.random_range(0..4);
        self.nodes[node].crash();
        if let Some(held) = self.nodes[node].replica.as_mut() {
            held.crash(kept, forget, now);
        }
    }

    fn restart(&mut self, node: usize, lose_disk: bool) {
        let now = self.time();
        let fresh = StoreId(self.rng.random());
        let keep = self.weakening == Some(Weakening::IdentityKept);
        let restarted = &mut self.nodes[node];
        restarted.alive = true;
        let incarnation = restarted.incarnation;
        if let Some(held) = restarted.replica.as_mut().filter(|_| lose_disk) {
            let store = if keep { held.store() } else { fresh };
            held.lose_disk(store, now);
        }
        self.after(TICK, Event::Tick { node, incarnation });
    }

    // Clients.

    fn send(&mut self, client: usize) {
        let Some(ask) = self.clients[client].ask() else {
            return;
        };
        let number = self.post(client, self.clients[client].node, ask.clone());
        self.clients[client].current = number;
        let timeout = self.rng.random_range(80..300) * MILLISECOND;
        self.after(timeout, Event::Timeout { client, number });
        if ask == Ask::Open {
            return;
        }
        let elsewhere = self.rng.random_range(0..NODES);
        if self.faulty() && self.rng.random_bool(0.1) {
            self.post(client, elsewhere, ask);
        } else if let Stage::Calling(call) = self.clients[client].stage
            && self.rng.random_bool(0.05)
            && let Some(early) = self.clients[client].calls.get(call as usize).cloned()
        {
            self.post(client, elsewhere, Ask::Call(early));
        }
    }

    fn post(&mut self, client: usize, node: usize, ask: Ask) -> u64 {
        let at = self.now;
        let sender = &mut self.clients[client];
        sender.next_number += 1;
        let number = sender.next_number;
        sender.sent.insert(
            number,
            Sent {
                ask: ask.clone(),
                at,
            },
        );
        let weak = self.weakening == Some(Weakening::NothingReserved);
        let ask = match ask {
            Ask::Call(mut request) if weak => {
                request.reserve = Cost::ZERO;
                Ask::Call(request)
            }
            ask => ask,
        };
        if self.copies() > 0 {
            let delay = self.delay();
            self.after(
                delay,
                Event::Ask {
                    node,
                    client,
                    number,
                    ask,
                },
            );
        }
        number
    }

    fn asked(&mut self, node: usize, client: usize, number: u64, ask: Ask) {
        let run = self.clients[client].run;
        if ask == Ask::Open {
            return self.open(node, client);
        }
        self.own(node, run);
        if let Some(event) = self.nodes[node].event_of(client, number, ask) {
            self.tell(node, run, event);
        }
    }

    fn open(&mut self, node: usize, client: usize) {
        let replicas = self.nodes[..REPLICAS].iter();
        let replicas = replicas.filter_map(|node| Some(node.replica.as_ref()?.replica.identity()));
        let opening = Opening {
            partner: ridgeworks_domain::PartnerName::new("partner").unwrap(),
            program: ridgeworks_domain::ProgramName::new("program").unwrap(),
            class: ridgeworks_domain::ClassName::new("class").unwrap(),
            budget: self.clients[client].budget,
            max_calls: CALLS,
            parent: None,
            replicas: replicas.collect(),
        };
        let run = self.clients[client].run;
        let (settings, now) = (OwnerSettings::default(), self.time());
        let id = self.nodes[node].id;
        let (owner, effects) = RunOwner::open(run, id, opening, settings, now);
        self.nodes[node].owners.insert(run, owner);
        self.schedule(node, run, effects);
    }

    fn opened(&mut self, node: usize, run: RunId) {
        let opener = self.clients.iter().position(|client| client.run == run);
        if let Some(client) = opener.filter(|c| self.clients[*c].stage == Stage::Opening) {
            self.clients[client].node = node;
            self.clients[client].stage = Stage::Calling(1);
            self.after(MILLISECOND, Event::Send { client });
        }
    }

    /// Gives up on a node. An opening is never repeated: another node takes the run over, if it exists.
    fn move_on(&mut self, client: usize) {
        let node = self.rng.random_range(0..NODES);
        let client = &mut self.clients[client];
        client.node = node;
        if client.stage == Stage::Opening {
            client.stage = Stage::Calling(1);
        }
    }

    fn answered(&mut self, index: usize, number: u64, answer: CallerAnswer) {
        let reads = self.rng.random_bool(0.5);
        let client = &mut self.clients[index];
        let Some(sent) = client.sent.get(&number).cloned() else {
            return;
        };
        let run = client.run;
        if let CallerAnswer::History(turns) = &answer {
            let turns = turns.clone();
            let invoked = sent.at;
            self.record.reads.push(HistoryRead {
                run,
                invoked,
                turns,
            });
        }
        if let Ask::Call(request) = &sent.ask {
            self.note_answer(index, request, sent.at, &answer);
        }
        let client = &mut self.clients[index];
        if client.current != number {
            return;
        }
        let next = client.take(&answer, reads);
        match next {
            Next::Nothing => {}
            Next::GoOn => {
                client.current = 0;
                // Readers often ask another node than the one that answered.
                if self.faulty() && self.rng.random_bool(0.2) {
                    self.move_on(index);
                }
                self.after(MILLISECOND, Event::Send { client: index });
            }
            Next::Elsewhere => {
                client.current = 0;
                self.move_on(index);
                let delay = self.rng.random_range(1..30) * MILLISECOND;
                self.after(delay, Event::Send { client: index });
            }
        }
    }

    fn note_answer(&mut self, index: usize, asked: &CallRequest, at: u64, answer: &CallerAnswer) {
        let client = &self.clients[index];
        let (run, call) = (client.run, asked.sequence);
        if let CallerAnswer::Ended(CallEnd::Finished { answer, .. }) = answer
            && client
                .acknowledged
                .get(&call)
                .is_some_and(|known| known != answer)
        {
            self.record.violations.push(Violation::Answer(run, call));
        }
        self.record.answered.push(Answered {
            run,
            call,
            invoked: at,
            at: self.now,
            answer: answer.clone(),
            only_request: false,
        });
    }
}

fn backend_index(name: &BackendName) -> usize {
    let digits = name.as_str().trim_start_matches("backend-");
    digits.parse().unwrap()
}

fn new_client(index: usize, rng: &mut ChaCha8Rng) -> Client {
    let run = RunId(index as u128 + 1);
    let calls = (1..=CALLS).map(|number| {
        let (repeatable, reserve) = (rng.random_bool(0.5), rng.random_range(10..40));
        request(run, number, repeatable, reserve)
    });
    Client {
        run,
        calls: calls.collect(),
        budget: Cost(rng.random_range(60..220)),
        stage: Stage::Opening,
        node: rng.random_range(0..NODES),
        current: 0,
        sent: BTreeMap::new(),
        acknowledged: BTreeMap::new(),
        next_number: 0,
    }
}
