//! The keep-alive algorithms of Zhuang et al., "On Failure Detection Algorithms in Overlay Networks",
//! and indirect probing of random members, for comparison with the detector of this crate.
//!
//! All use the timeouts of this crate: quick probes every 100 ms until 850 ms have passed, so that a
//! pause of 500 ms is tolerated, and the same rate of probes per node.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ridgeworks_domain::MonotonicTime;

use crate::support::simulator::{Input, Output, Participant, Seen};

/// Probes that each node sends per second; an upper bound for the detector of this crate.
pub const PROBES_PER_SECOND: f64 = 10.0;
const QUICK_PROBE: Duration = Duration::from_millis(100);
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
const CONFIRM: Duration = Duration::from_millis(850);
/// Boosts from different nodes within the window after which a node is declared Dead (k in the paper).
const BOOSTS: usize = 3;
const BOOST_WINDOW: Duration = Duration::from_secs(1);
const INDIRECT_PROBES: usize = 3;
const GOSSIP_COPIES: u32 = 12;
/// Bytes of a probe of this crate without updates.
const PROBE_BYTES: usize = 32;
const UPDATE_BYTES: usize = 24;

/// Which information is shared, and with which nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sharing {
    /// Nothing: the paper's baseline.
    Nothing,
    /// Negative information with the node's neighbours (SN).
    Negative,
    /// Negative information with the target's back-pointers (SN+BPTR).
    NegativeToBackPointers,
    /// Negative and positive information with the target's back-pointers (SNP+BPTR).
    BothToBackPointers,
    /// Indirect probes by other nodes; declarations of Dead are gossiped on probes.
    Indirect,
}

#[derive(Debug, Clone)]
pub enum Message {
    Probe { dead_nodes: Vec<usize> },
    Ack { dead_nodes: Vec<usize> },
    Boost { target: usize },
    Positive { target: usize },
    IndirectProbe { target: usize },
    IndirectAck { target: usize },
}

/// Which nodes probe which, known to all nodes.
pub struct Neighbours {
    pub of: Vec<Vec<usize>>,
    pub back_pointers: Vec<Vec<usize>>,
}

impl Neighbours {
    /// Each of `nodes` nodes probes `degree` others, chosen at random.
    pub fn new(nodes: usize, degree: usize, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut of = Vec::new();
        let mut back_pointers = vec![Vec::new(); nodes];
        for node in 0..nodes {
            let others: Vec<usize> = (0..nodes).filter(|other| *other != node).collect();
            let chosen: Vec<usize> = others.sample(&mut rng, degree).copied().collect();
            for target in &chosen {
                back_pointers[*target].push(node);
            }
            of.push(chosen);
        }
        Self { of, back_pointers }
    }
}

struct Target {
    due: MonotonicTime,
    unanswered_since: Option<MonotonicTime>,
    indirect_probes_requested: bool,
    boosts: BTreeMap<usize, MonotonicTime>,
    dead: bool,
}

/// One node.
pub struct Peer {
    own: usize,
    sharing: Sharing,
    neighbours: Rc<Neighbours>,
    interval: Duration,
    targets: BTreeMap<usize, Target>,
    due: BTreeSet<(MonotonicTime, usize)>,
    gossip: BTreeMap<usize, u32>,
    indirect_probe_requests: Vec<(usize, usize)>,
    rng: ChaCha8Rng,
}

impl Peer {
    pub fn new(own: usize, sharing: Sharing, neighbours: Rc<Neighbours>, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ own as u64);
        let degree = neighbours.of[own].len();
        let interval = Duration::from_secs_f64(degree as f64 / PROBES_PER_SECOND);
        let mut peer = Self {
            own,
            sharing,
            neighbours: neighbours.clone(),
            interval,
            targets: BTreeMap::new(),
            due: BTreeSet::new(),
            gossip: BTreeMap::new(),
            indirect_probe_requests: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for target in &neighbours.of[own] {
            let first = interval.mul_f64(rng.random::<f64>());
            let due = MonotonicTime::ZERO + first;
            peer.due.insert((due, *target));
            let state = Target {
                due,
                unanswered_since: None,
                indirect_probes_requested: false,
                boosts: BTreeMap::new(),
                dead: false,
            };
            peer.targets.insert(*target, state);
        }
        peer
    }

    fn schedule(&mut self, target: usize, due: MonotonicTime) {
        if let Some(state) = self.targets.get_mut(&target) {
            self.due.remove(&(state.due, target));
            state.due = due;
            self.due.insert((due, target));
        }
    }

    fn run_due(&mut self, now: MonotonicTime, out: &mut Vec<Output<Message>>) {
        while let Some((due, target)) = self.due.first().copied() {
            if due > now {
                break;
            }
            self.probe(target, now, out);
        }
    }

    fn probe(&mut self, target: usize, now: MonotonicTime, out: &mut Vec<Output<Message>>) {
        let interval = self.interval;
        let Some(state) = self.targets.get_mut(&target) else {
            return;
        };
        let since = *state.unanswered_since.get_or_insert(now);
        let unanswered_for = now.since(since);
        let (is_dead, already_requested) = (state.dead, state.indirect_probes_requested);
        if unanswered_for >= CONFIRM {
            state.unanswered_since = None;
            state.indirect_probes_requested = false;
            if !is_dead {
                self.declare_dead(target, now, out);
                self.boost(target, out);
            }
            self.schedule(target, now + interval.max(QUICK_PROBE));
            return;
        }
        if self.sharing == Sharing::Indirect
            && unanswered_for >= PROBE_TIMEOUT
            && !already_requested
        {
            state.indirect_probes_requested = unanswered_for >= CONFIRM / 2;
            self.request_indirect_probes(target, out);
        }
        let dead_nodes = self.next_gossip();
        out.push(Output::Send {
            to: target,
            message: Message::Probe { dead_nodes },
        });
        let next = if is_dead { interval } else { QUICK_PROBE };
        if is_dead && let Some(state) = self.targets.get_mut(&target) {
            state.unanswered_since = None;
        }
        let deadline = since + CONFIRM;
        self.schedule(
            target,
            (now + next).min(deadline.max(now + Duration::from_millis(1))),
        );
    }

    fn declare_dead(&mut self, target: usize, now: MonotonicTime, out: &mut Vec<Output<Message>>) {
        let Some(state) = self.targets.get_mut(&target) else {
            return;
        };
        if state.dead {
            return;
        }
        state.dead = true;
        state.unanswered_since = None;
        state.boosts.clear();
        out.push(Output::Sees {
            subject: target,
            state: Seen::Dead,
        });
        if self.sharing == Sharing::Indirect {
            self.gossip.insert(target, GOSSIP_COPIES);
        }
        let next = now + self.interval;
        self.schedule(target, next);
    }

    fn boost(&mut self, target: usize, out: &mut Vec<Output<Message>>) {
        let receivers = match self.sharing {
            Sharing::Nothing | Sharing::Indirect => &Vec::new(),
            Sharing::Negative => &self.neighbours.of[self.own],
            _ => &self.neighbours.back_pointers[target],
        };
        self.send_to_all(receivers, target, Message::Boost { target }, out);
    }

    fn send_to_all(
        &self,
        to: &[usize],
        target: usize,
        message: Message,
        out: &mut Vec<Output<Message>>,
    ) {
        let receivers = to.iter().filter(|to| **to != self.own && **to != target);
        out.extend(receivers.map(|to| Output::Send {
            to: *to,
            message: message.clone(),
        }));
    }

    fn request_indirect_probes(&mut self, target: usize, out: &mut Vec<Output<Message>>) {
        let others = self.neighbours.of[self.own].sample(&mut self.rng, INDIRECT_PROBES);
        let others: Vec<usize> = others.copied().collect();
        self.send_to_all(&others, target, Message::IndirectProbe { target }, out);
    }

    fn next_gossip(&mut self) -> Vec<usize> {
        let chosen: Vec<usize> = self.gossip.keys().copied().take(6).collect();
        for target in &chosen {
            if let Some(copies) = self.gossip.get_mut(target) {
                *copies -= 1;
            }
        }
        self.gossip.retain(|_, copies| *copies > 0);
        chosen
    }

    fn apply_dead_nodes(
        &mut self,
        dead_nodes: &[usize],
        now: MonotonicTime,
        out: &mut Vec<Output<Message>>,
    ) {
        for target in dead_nodes {
            self.declare_dead(*target, now, out);
        }
    }

    fn record_alive(&mut self, target: usize, now: MonotonicTime, out: &mut Vec<Output<Message>>) {
        let next = now + self.interval;
        let Some(state) = self.targets.get_mut(&target) else {
            return;
        };
        state.unanswered_since = None;
        state.indirect_probes_requested = false;
        if std::mem::take(&mut state.dead) {
            out.push(Output::Sees {
                subject: target,
                state: Seen::Alive,
            });
        }
        let had_boosts = !state.boosts.is_empty();
        state.boosts.clear();
        if had_boosts && self.sharing == Sharing::BothToBackPointers {
            let receivers = &self.neighbours.back_pointers[target];
            self.send_to_all(receivers, target, Message::Positive { target }, out);
        }
        self.schedule(target, next);
    }

    fn record_boost(
        &mut self,
        from: usize,
        target: usize,
        now: MonotonicTime,
        out: &mut Vec<Output<Message>>,
    ) {
        let Some(state) = self.targets.get_mut(&target) else {
            return;
        };
        state.boosts.insert(from, now);
        state.boosts.retain(|_, at| now.since(*at) <= BOOST_WINDOW);
        if state.boosts.len() >= BOOSTS.min(self.neighbours.back_pointers[target].len() - 1) {
            self.declare_dead(target, now, out);
        }
    }

    fn on_message(
        &mut self,
        from: usize,
        message: Message,
        now: MonotonicTime,
        out: &mut Vec<Output<Message>>,
    ) {
        match message {
            Message::Probe { dead_nodes } => {
                self.apply_dead_nodes(&dead_nodes, now, out);
                let dead_nodes = self.next_gossip();
                let message = Message::Ack { dead_nodes };
                out.push(Output::Send { to: from, message });
            }
            Message::Ack { dead_nodes } => {
                self.apply_dead_nodes(&dead_nodes, now, out);
                self.record_alive(from, now, out);
                let indirect_probe_requests = std::mem::take(&mut self.indirect_probe_requests);
                for (requester, target) in indirect_probe_requests {
                    if target == from {
                        let message = Message::IndirectAck { target };
                        out.push(Output::Send {
                            to: requester,
                            message,
                        });
                    } else {
                        self.indirect_probe_requests.push((requester, target));
                    }
                }
            }
            Message::Boost { target } => self.record_boost(from, target, now, out),
            Message::Positive { target } => {
                if let Some(state) = self.targets.get_mut(&target) {
                    state.boosts.clear();
                }
            }
            Message::IndirectProbe { target } => {
                self.indirect_probe_requests.push((from, target));
                let dead_nodes = Vec::new();
                let message = Message::Probe { dead_nodes };
                out.push(Output::Send {
                    to: target,
                    message,
                });
            }
            Message::IndirectAck { target } => self.record_alive(target, now, out),
        }
    }
}

impl Participant for Peer {
    type Message = Message;

    fn handle(&mut self, input: Input<Message>, now: MonotonicTime) -> Vec<Output<Message>> {
        let mut out = Vec::new();
        if let Input::Message { from, message } = input {
            self.on_message(from, message, now, &mut out);
        }
        self.run_due(now, &mut out);
        out
    }

    fn next_timer(&self) -> MonotonicTime {
        let first = self.due.first().map(|(due, _)| *due);
        first.unwrap_or(MonotonicTime::from_micros(u64::MAX))
    }

    fn encoded_bytes(message: &Message) -> usize {
        match message {
            Message::Probe { dead_nodes } | Message::Ack { dead_nodes } => {
                PROBE_BYTES + dead_nodes.len() * UPDATE_BYTES
            }
            _ => PROBE_BYTES,
        }
    }
}
