//! Event loop of the simulator: network, faults, effects. Times are in microseconds.

mod clients;
mod event;
mod faults;
mod owners;
mod replicas;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ridgeworks_domain::{Cost, MonotonicTime, NodeId, RunId};
use ridgeworks_run_log::{Entry, OwnerEvent, StoreId};

use super::Weakening;
use super::backend::SimulatedBackend;
use super::checks::{Record, Violation};
use super::client::{Client, Stage};
use super::disk::ReplicaNode;
use super::node::Node;
use clients::{make_child, new_client};
use event::Event;

const MILLISECOND: u64 = 1_000;
const REPLICAS: usize = 3;
const NODES: usize = 5;
const BACKENDS: usize = 3;
const CLIENTS: usize = 2;
const CALLS: u64 = 4;
const TICK: u64 = 20 * MILLISECOND;
const FAULTS_END: u64 = 1_500 * MILLISECOND;
const SCHEDULE_END: u64 = 30_000 * MILLISECOND;

/// Result of one schedule.
pub struct Outcome {
    pub violations: Vec<Violation>,
    pub events: u64,
    pub finished_calls: u64,
    pub executions: u64,
    pub takeovers: u64,
    pub replicas_changed: u64,
    pub children_closed: u64,
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
    /// Whether the second client's run is a child of the first client's run.
    has_child: bool,
    record: Record,
    disk_lost: bool,
    /// End time of each one-way network partition, by sender and receiver.
    partitions: BTreeMap<(usize, usize), u64>,
}

/// Runs the schedule of one seed.
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
        let mut clients: Vec<Client> = (0..CLIENTS)
            .map(|index| new_client(index, &mut rng))
            .collect();
        let has_child = rng.random_bool(0.5);
        if has_child {
            make_child(&mut clients, weakening, &mut rng);
        }
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
            has_child,
            record: Record::default(),
            disk_lost: false,
            partitions: BTreeMap::new(),
        };
        world.schedule_faults();
        world
    }

    fn run(mut self) -> Outcome {
        let mut events = 0;
        while let Some(Reverse((at, _, slot))) = self.queue.pop() {
            let done = self
                .clients
                .iter()
                .all(|client| client.stage == Stage::Done);
            if at > SCHEDULE_END || (done && at > FAULTS_END) {
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
        let parent = self.clients[0].run;
        let child = self.has_child.then(|| self.clients[1].run);
        self.record.check(&budgets, parent, child);
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
            children_closed: count(|entry| matches!(entry, Entry::ChildClosed { .. })),
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

    fn in_fault_period(&self) -> bool {
        self.now < FAULTS_END
    }

    fn delay(&mut self) -> u64 {
        let long = if self.in_fault_period() { 0.06 } else { 0.0 };
        if self.rng.random_bool(long) {
            return self.rng.random_range(5..400) * MILLISECOND;
        }
        self.rng.random_range(300..3_000)
    }

    /// Draws how many copies of a message arrive.
    fn copies(&mut self) -> u32 {
        match self.rng.random_range(0..100) {
            0..=4 if self.in_fault_period() => 0,
            5..=7 => 2,
            _ => 1,
        }
    }

    /// `None` if the event is delivered now, `Some(None)` if it is dropped because its node is down or has restarted, and
    /// `Some(Some(time))` if it is delayed until the end of a pause.
    fn delivery_constraint(&self, event: &Event) -> Option<Option<u64>> {
        let (node, incarnation) = match event {
            Event::Request { to, .. } | Event::Reply { to, .. } => (*to, None),
            Event::ClientRequest { node, .. } | Event::TakeOver { node, .. } => (*node, None),
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

    fn is_partitioned(&self, event: &Event) -> bool {
        let (Event::Request { from, to, .. } | Event::Reply { from, to, .. }) = event else {
            return false;
        };
        let until = self.partitions.get(&(*from, *to));
        until.is_some_and(|until| *until > self.now)
    }

    fn step(&mut self, event: Event) {
        match self.delivery_constraint(&event) {
            Some(None) => return,
            Some(Some(until)) => {
                let jitter = self.rng.random_range(0..2_000);
                return self.at(until + jitter, event);
            }
            None => {}
        }
        if self.is_partitioned(&event) {
            return;
        }
        match event {
            Event::Request { from, to, request } => self.replica_request(from, to, request),
            Event::Reply { from, to, reply } => {
                if let Some(run) = reply.run() {
                    let from = self.nodes[from].id;
                    self.deliver_event(to, run, OwnerEvent::Reply { from, reply });
                }
            }
            Event::Flush { node, .. } => self.flush(node),
            Event::Tick { node, incarnation } => self.tick(node, incarnation),
            Event::Effect {
                node, run, effect, ..
            } => self.execute_effect(node, run, effect),
            Event::Input {
                node, run, event, ..
            } => self.deliver_event(node, run, event),
            Event::ClientRequest {
                node,
                client,
                number,
                client_request,
            } => self.handle_client_request(node, client, number, client_request),
            Event::Answer {
                client,
                number,
                answer,
            } => self.answered(client, number, answer),
            Event::Send { client } => self.send(client),
            Event::Timeout { client, number } => {
                if self.clients[client].current_request == number {
                    self.switch_node(client);
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
                let executions = &mut self.record.executions;
                let resolution = self.backends[backend].fence(key, executions);
                let event = OwnerEvent::Fenced {
                    call: key.1,
                    attempt: key.2,
                    resolution,
                };
                self.schedule_input(node, incarnation, key.0, event);
            }
            Event::Crash { node } => self.crash(node),
            Event::PowerOff { node, on_at } => self.power_off(node, on_at),
            Event::Restart { node, lose_disk } => self.restart(node, lose_disk),
            Event::Pause { node, until } => self.nodes[node].paused_until = until,
            Event::Partition { from, to, until } => {
                self.partitions.insert((from, to), until);
            }
            Event::TakeOver { node, run } => self.ensure_owner(node, run),
            Event::BackendGone { backend } => self.backends[backend].gone = true,
        }
    }
}
