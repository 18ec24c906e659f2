//! A deterministic simulator of nodes and links in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ridgeworks_domain::MonotonicTime;

/// The state in which a node sees another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Seen {
    Alive,
    Suspect,
    Leaving,
    Dead,
    Left,
}

/// An output of a participant.
#[derive(Debug, Clone)]
pub enum Output<M> {
    Send { to: usize, message: M },
    Sees { subject: usize, state: Seen },
}

/// An input of a participant.
#[derive(Debug, Clone)]
pub enum Input<M> {
    Timer,
    Message { from: usize, message: M },
    LinkClosed { node: usize },
    Leave,
    Left,
}

/// A state machine under test.
pub trait Participant {
    type Message: Clone;
    fn handle(
        &mut self,
        input: Input<Self::Message>,
        now: MonotonicTime,
    ) -> Vec<Output<Self::Message>>;
    fn next_timer(&self) -> MonotonicTime;
    fn encoded_bytes(message: &Self::Message) -> usize;
}

/// Bytes of Ethernet, IP and TCP headers and of the frame length, added to each message.
pub const HEADER_BYTES: usize = 70;

/// Consecutive timers without progress of time after which the state machine counts as stuck.
const MAX_STALLED_TIMERS: u32 = 20;

/// Behaviour of links.
#[derive(Debug, Clone)]
pub struct Network {
    pub delay_in_zone: Duration,
    pub delay_between_zones: Duration,
    /// Maximum random addition to each delay.
    pub jitter: Duration,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message is duplicated.
    pub duplication: f64,
}

impl Default for Network {
    fn default() -> Self {
        Self {
            delay_in_zone: Duration::from_micros(250),
            delay_between_zones: Duration::from_micros(1200),
            jitter: Duration::from_micros(500),
            loss: 0.0,
            duplication: 0.0,
        }
    }
}

/// One change of a node's view of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    pub at: MonotonicTime,
    pub observer: usize,
    pub subject: usize,
    pub state: Seen,
}

/// Resources used by one node.
#[derive(Debug, Clone, Copy, Default)]
pub struct Cost {
    pub messages: u64,
    pub bytes: u64,
    pub largest_message: usize,
    pub wall: Duration,
}

struct Node<P: Participant> {
    participant: Option<P>,
    zone: usize,
    incarnation: u32,
    paused_until: MonotonicTime,
    backlog: Vec<Input<P::Message>>,
    timer_at: MonotonicTime,
    stalled_timers: u32,
    cost: Cost,
    peers: BTreeSet<usize>,
}

enum Scheduled<M> {
    Timer { node: usize, incarnation: u32 },
    Arrival { to: usize, input: Input<M> },
    Resume { node: usize },
}

struct Queued<M> {
    at: MonotonicTime,
    order: u64,
    scheduled: Scheduled<M>,
}

impl<M> PartialEq for Queued<M> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl<M> Eq for Queued<M> {}
impl<M> PartialOrd for Queued<M> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl<M> Ord for Queued<M> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Nodes, links and virtual time.
pub struct Simulator<P: Participant> {
    pub now: MonotonicTime,
    pub network: Network,
    pub observations: Vec<Observation>,
    /// Whether messages are encoded to measure their size, which takes most of a run's time.
    pub counts_bytes: bool,
    nodes: Vec<Node<P>>,
    queue: BinaryHeap<Reverse<Queued<P::Message>>>,
    order: u64,
    rng: ChaCha8Rng,
    cut_zones: BTreeSet<(usize, usize)>,
}

impl<P: Participant> Simulator<P> {
    pub fn new(network: Network, seed: u64) -> Self {
        Self {
            now: MonotonicTime::ZERO,
            network,
            observations: Vec::new(),
            counts_bytes: false,
            nodes: Vec::new(),
            queue: BinaryHeap::new(),
            order: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            cut_zones: BTreeSet::new(),
        }
    }

    /// Adds a slot for a node in a zone; it is empty until [`Simulator::start`].
    pub fn add_slot(&mut self, zone: usize) -> usize {
        self.nodes.push(Node {
            participant: None,
            zone,
            incarnation: 0,
            paused_until: MonotonicTime::ZERO,
            backlog: Vec::new(),
            timer_at: MonotonicTime::ZERO,
            stalled_timers: 0,
            cost: Cost::default(),
            peers: BTreeSet::new(),
        });
        self.nodes.len() - 1
    }

    pub fn start(&mut self, node: usize, participant: P) {
        let timer_at = participant.next_timer();
        let slot = &mut self.nodes[node];
        slot.participant = Some(participant);
        slot.incarnation += 1;
        slot.timer_at = timer_at;
        let incarnation = slot.incarnation;
        self.push(timer_at, Scheduled::Timer { node, incarnation });
    }

    /// Kills a process. With `resets`, its machine stays up and closes the links.
    pub fn kill(&mut self, node: usize, resets: bool) {
        self.nodes[node].participant = None;
        self.nodes[node].backlog.clear();
        let peers = std::mem::take(&mut self.nodes[node].peers);
        for peer in peers {
            self.nodes[peer].peers.remove(&node);
            if resets && !self.is_cut(node, peer) {
                let at = self.now + self.delay(node, peer);
                let input = Input::LinkClosed { node };
                self.push(at, Scheduled::Arrival { to: peer, input });
            }
        }
    }

    pub fn pause(&mut self, node: usize, duration: Duration) {
        let until = self.now + duration;
        let slot = &mut self.nodes[node];
        slot.paused_until = slot.paused_until.max(until);
        let at = slot.paused_until;
        self.push(at, Scheduled::Resume { node });
    }

    /// Partitions a zone from all others.
    pub fn cut_off(&mut self, zone: usize) {
        for other in 0..self.zone_count() {
            self.cut(zone, other);
        }
    }

    pub fn cut(&mut self, left: usize, right: usize) {
        if left != right {
            self.cut_zones.insert((left, right));
            self.cut_zones.insert((right, left));
        }
    }

    pub fn heal(&mut self) {
        self.cut_zones.clear();
    }

    pub fn zone_count(&self) -> usize {
        self.nodes
            .iter()
            .map(|node| node.zone + 1)
            .max()
            .unwrap_or(0)
    }

    pub fn zone_of(&self, node: usize) -> usize {
        self.nodes[node].zone
    }

    pub fn is_running(&self, node: usize) -> bool {
        self.nodes[node].participant.is_some()
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|node| self.is_running(*node))
            .collect()
    }

    pub fn participant(&self, node: usize) -> Option<&P> {
        self.nodes[node].participant.as_ref()
    }

    pub fn cost(&self, node: usize) -> Cost {
        self.nodes[node].cost
    }

    pub fn reset_costs(&mut self) {
        for node in &mut self.nodes {
            node.cost = Cost::default();
        }
    }

    /// Delivers an input to a running node immediately.
    pub fn inject(&mut self, node: usize, input: Input<P::Message>) {
        self.push(self.now, Scheduled::Arrival { to: node, input });
    }

    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        self.run_until(end, |_| false);
    }

    /// Runs until `done` holds or `end` is reached; returns whether `done` held.
    pub fn run_until(&mut self, end: MonotonicTime, mut done: impl FnMut(&Self) -> bool) -> bool {
        let mut seen = usize::MAX;
        loop {
            if self.observations.len() != seen {
                seen = self.observations.len();
                if done(self) {
                    return true;
                }
            }
            match self.queue.peek() {
                Some(Reverse(next)) if next.at <= end => {}
                _ => break,
            }
            if let Some(Reverse(next)) = self.queue.pop() {
                self.now = self.now.max(next.at);
                self.carry_out(next.scheduled);
            }
        }
        self.now = end;
        done(self)
    }

    fn carry_out(&mut self, scheduled: Scheduled<P::Message>) {
        match scheduled {
            Scheduled::Timer { node, incarnation } => {
                let slot = &self.nodes[node];
                let is_current = slot.incarnation == incarnation && slot.timer_at <= self.now;
                if is_current && !self.is_paused(node) {
                    self.deliver(node, Input::Timer);
                }
            }
            Scheduled::Arrival { to, input } if self.is_paused(to) => {
                self.nodes[to].backlog.push(input);
            }
            Scheduled::Arrival { to, input } => self.deliver(to, input),
            Scheduled::Resume { node } if !self.is_paused(node) => {
                // A resumed process may run its timers before it reads the messages that arrived.
                self.deliver(node, Input::Timer);
                let backlog = std::mem::take(&mut self.nodes[node].backlog);
                for input in backlog {
                    self.deliver(node, input);
                }
            }
            Scheduled::Resume { .. } => {}
        }
    }

    fn is_paused(&self, node: usize) -> bool {
        self.now < self.nodes[node].paused_until
    }

    fn deliver(&mut self, node: usize, input: Input<P::Message>) {
        let now = self.now;
        let slot = &mut self.nodes[node];
        let Some(participant) = &mut slot.participant else {
            return;
        };
        let is_last = matches!(input, Input::Left);
        let is_timer = matches!(input, Input::Timer);
        let started = Instant::now();
        let outputs = participant.handle(input, now);
        slot.cost.wall += started.elapsed();
        let timer_at = participant.next_timer().max(now);
        let is_stalled = is_timer && timer_at <= now;
        slot.stalled_timers += 1;
        if !is_stalled {
            slot.stalled_timers = 0;
        }
        let is_stuck = slot.stalled_timers >= MAX_STALLED_TIMERS;
        assert!(!is_stuck, "timer of node {node} stands still at {now:?}");
        slot.timer_at = timer_at;
        let incarnation = slot.incarnation;
        self.push(timer_at, Scheduled::Timer { node, incarnation });
        for output in outputs {
            self.apply_output(node, output);
        }
        if is_last {
            self.kill(node, true);
        }
    }

    fn apply_output(&mut self, node: usize, output: Output<P::Message>) {
        match output {
            Output::Sees { subject, state } => self.observations.push(Observation {
                at: self.now,
                observer: node,
                subject,
                state,
            }),
            Output::Send { to, message } => self.transmit(node, to, message),
        }
    }

    fn transmit(&mut self, from: usize, to: usize, message: P::Message) {
        if self.counts_bytes {
            let bytes = P::encoded_bytes(&message);
            let cost = &mut self.nodes[from].cost;
            cost.messages += 1;
            cost.bytes += (bytes + HEADER_BYTES) as u64;
            cost.largest_message = cost.largest_message.max(bytes);
        }
        if self.is_cut(from, to) || self.rng.random_bool(self.network.loss) {
            return;
        }
        if self.is_running(to) {
            self.nodes[from].peers.insert(to);
            self.nodes[to].peers.insert(from);
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.network.duplication));
        for _ in 0..copies {
            let at = self.now + self.delay(from, to);
            let message = message.clone();
            let input = Input::Message { from, message };
            self.push(at, Scheduled::Arrival { to, input });
        }
    }

    fn delay(&mut self, from: usize, to: usize) -> Duration {
        let base = if self.nodes[from].zone == self.nodes[to].zone {
            self.network.delay_in_zone
        } else {
            self.network.delay_between_zones
        };
        base + self.network.jitter.mul_f64(self.rng.random::<f64>())
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let zones = (self.nodes[from].zone, self.nodes[to].zone);
        self.cut_zones.contains(&zones)
    }

    fn push(&mut self, at: MonotonicTime, scheduled: Scheduled<P::Message>) {
        self.order += 1;
        let order = self.order;
        self.queue.push(Reverse(Queued {
            at,
            order,
            scheduled,
        }));
    }
}
