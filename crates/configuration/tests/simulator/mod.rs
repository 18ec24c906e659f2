//! A deterministic simulator of nodes, the platform and concurrent operators in virtual time.
//!
//! Network: loss, duplication, reordering, long delays. Faults: crashes with and without loss of the
//! disk, pauses, partitions, and a platform that is down, slow, or loses answers after the effect.
//! Runs with a [`DisabledMechanism`] simulate the errors that the mechanism prevents, to verify that
//! the checks detect them.

#![allow(dead_code, reason = "each test binary uses its part of the simulator")]

mod faults;
pub mod history;
mod network;
pub mod operators;
pub mod platform;
pub mod scenario;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ridgeworks_configuration::settings::STALENESS_BOUND;
use ridgeworks_configuration::{
    ConfigurationMessage, ConfigurationRole, ConfigurationSettings, Effect, Event, MachineState,
    Member, OperatorAnswer, PlatformOperation, RequestId, Revision, StoredVoter, Ticket,
};
use ridgeworks_domain::{MonotonicTime, NodeId, ZoneName};

use operators::Operators;
use platform::Platform;

pub const NODES: usize = 7;
const VOTER_COUNTS: [usize; 4] = [3, 3, 3, 5];
const TICK: u64 = 50_000;
const SECOND: u64 = 1_000_000;
/// End of faults and new operations, in microseconds. The nodes must converge by [`RUN_END`].
const FAULTS_END: u64 = 14 * SECOND;
const RUN_END: u64 = FAULTS_END + 10 * SECOND;

/// A mechanism that is disabled in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DisabledMechanism {
    None,
    /// A coordinator waits for the acknowledgements of a majority. If disabled, it assumes that every
    /// voter has acknowledged.
    MajorityBeforeAccepted,
    /// The lease starts when the renewal is sent. If disabled, it starts when the answer arrives.
    LeaseFromSending,
    /// A voter restarts from its last durable state. If disabled, it restarts from an outdated one.
    DurableVoterState,
}

#[derive(Debug)]
pub enum Violation {
    NotLinearizable,
    WrongOutcome(String),
    Stale {
        node: usize,
        in_force: Revision,
        accepted: Revision,
    },
    WentBack {
        node: usize,
        from: Revision,
        to: Revision,
    },
    NotConverged {
        node: usize,
        ready: bool,
        in_force: Revision,
        store: Revision,
    },
    NoAnswer,
    MachinesNotConverged {
        node: usize,
    },
}

/// Counts of one run.
#[derive(Debug, Default, Clone, Copy)]
pub struct Report {
    pub operations: usize,
    pub accepted: usize,
    pub unknown: usize,
    pub faults: usize,
}

/// A fault at a chosen time, for runs with a script instead of random faults.
#[derive(Debug, Clone, Copy)]
pub enum ScriptedFault {
    Cut(usize, bool),
    PlatformDown,
    LoseDisk(usize),
    /// The platform's watch of this node reports no further events.
    EndWatch(usize),
    /// All messages between these two nodes are lost.
    CutLink(usize, usize),
    /// `Replicate` messages to this node are delayed by this many microseconds.
    DelayReplicate(usize, u64),
}

enum Action {
    Scripted(ScriptedFault),
    Handle {
        node: usize,
        incarnation: u64,
        event: Event,
    },
    Arrive {
        node: usize,
        incarnation: u64,
        request: RequestId,
        operation: PlatformOperation,
    },
    Flush {
        node: usize,
        incarnation: u64,
        write: u64,
        state: StoredVoter,
    },
    Tick {
        node: usize,
        incarnation: u64,
    },
    Start {
        node: usize,
    },
    Wake {
        node: usize,
    },
    Operate {
        operator: usize,
    },
    Fault,
}

struct Scheduled {
    at: u64,
    order: u64,
    action: Action,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

#[derive(Default)]
struct Node {
    role: Option<ConfigurationRole>,
    incarnation: u64,
    clock_offset: u64,
    paused: bool,
    cut: bool,
    deferred_events: Vec<Event>,
    disk: Option<StoredVoter>,
    /// The first stored state with an eligible voter, for [`DisabledMechanism::DurableVoterState`].
    first_eligible_disk: Option<StoredVoter>,
    highest_in_force: Revision,
    last_renewal: Option<RequestId>,
}

pub struct Simulation {
    pub now: u64,
    order: u64,
    queue: BinaryHeap<Reverse<Scheduled>>,
    random: ChaCha8Rng,
    disabled_mechanism: DisabledMechanism,
    voters: usize,
    nodes: Vec<Node>,
    platform: Platform,
    operators: Operators,
    watchers: BTreeMap<usize, u64>,
    down_until: u64,
    slow_until: u64,
    lose_until: u64,
    loss: f64,
    longest_delay: u64,
    scripted: bool,
    cut_links: Vec<(usize, usize)>,
    delayed_replicate: Option<(usize, u64)>,
    faults: usize,
    violation: Option<Violation>,
}

fn node_id(index: usize) -> NodeId {
    NodeId(index as u64 + 1)
}

fn index_of(node: NodeId) -> usize {
    node.0 as usize - 1
}

/// Runs the random schedule of this seed.
pub fn run(seed: u64, disabled_mechanism: DisabledMechanism) -> Result<Report, Violation> {
    let mut simulation = Simulation::new(seed, disabled_mechanism);
    simulation.run_to_end();
    simulation.verify()
}

/// Runs a schedule with scripted faults at times in milliseconds. The network is fast, and the first
/// three nodes are the voters.
pub fn run_script(seed: u64, script: &[(u64, ScriptedFault)]) -> Result<Report, Violation> {
    let mut simulation = Simulation::new(seed, DisabledMechanism::None);
    simulation.voters = 3;
    simulation.loss = 0.0;
    simulation.longest_delay = 5_000;
    simulation.scripted = true;
    for (milliseconds, fault) in script {
        simulation.schedule(milliseconds * 1_000, Action::Scripted(*fault));
    }
    simulation.schedule(FAULTS_END, Action::Fault);
    simulation.run_to_end();
    simulation.verify()
}

impl Simulation {
    fn new(seed: u64, disabled_mechanism: DisabledMechanism) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let loss = [0.0, 0.02, 0.15][random.random_range(0..3)];
        let longest_delay = [5_000, 50_000, 400_000, 2_500_000][random.random_range(0..4)];
        let voters = VOTER_COUNTS[random.random_range(0..VOTER_COUNTS.len())];
        let platform = Platform::new(&scenario::initial_configuration().snapshot());
        let mut simulation = Self {
            now: SECOND,
            order: 0,
            queue: BinaryHeap::new(),
            random,
            disabled_mechanism,
            voters,
            nodes: (0..NODES).map(|_| Node::default()).collect(),
            platform,
            operators: Operators::default(),
            watchers: BTreeMap::new(),
            down_until: 0,
            slow_until: 0,
            lose_until: 0,
            loss,
            longest_delay,
            scripted: false,
            cut_links: Vec::new(),
            delayed_replicate: None,
            faults: 0,
            violation: None,
        };
        for node in 0..NODES {
            simulation.schedule(simulation.now, Action::Start { node });
        }
        for operator in 0..operators::OPERATORS {
            simulation.schedule(2 * SECOND, Action::Operate { operator });
        }
        simulation.schedule(3 * SECOND, Action::Fault);
        simulation
    }

    fn schedule(&mut self, at: u64, action: Action) {
        self.order += 1;
        let order = self.order;
        self.queue.push(Reverse(Scheduled { at, order, action }));
    }

    fn run_to_end(&mut self) {
        while let Some(Reverse(scheduled)) = self.queue.pop() {
            if scheduled.at > RUN_END || self.violation.is_some() {
                break;
            }
            self.now = scheduled.at;
            self.act(scheduled.action);
        }
    }

    fn healed(&self) -> bool {
        self.now >= FAULTS_END
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Handle {
                node,
                incarnation,
                event,
            } => {
                // Messages may arrive after a restart of their receiver, as with datagrams.
                let is_message = matches!(event, Event::Message { .. });
                if is_message || self.nodes[node].incarnation == incarnation {
                    self.handle(node, event);
                }
            }
            Action::Arrive {
                node,
                incarnation,
                request,
                operation,
            } => {
                self.arrive(node, incarnation, request, operation);
            }
            Action::Flush {
                node,
                incarnation,
                write,
                state,
            } => self.flush(node, incarnation, write, state),
            Action::Tick { node, incarnation } => self.tick(node, incarnation),
            Action::Start { node } => self.start(node),
            Action::Wake { node } => self.wake(node),
            Action::Operate { operator } => self.operate(operator),
            Action::Fault => self.fault(),
            Action::Scripted(fault) => self.scripted_fault(fault),
        }
    }

    fn local(&self, node: usize) -> MonotonicTime {
        // The clocks drift apart by up to 1.5 percent.
        let drift = self.now / 200 * (node as u64 % 4);
        MonotonicTime::from_micros(self.now + drift + self.nodes[node].clock_offset)
    }

    fn start(&mut self, node: usize) {
        self.nodes[node].clock_offset = self.random.random_range(0..1000 * SECOND);
        let settings = ConfigurationSettings {
            node: node_id(node),
            voters: (0..self.voters).map(node_id).collect(),
            seed: self.random.random(),
        };
        let now = self.local(node);
        let mut disk = self.nodes[node].disk.clone();
        if self.disabled_mechanism == DisabledMechanism::DurableVoterState {
            disk = self.nodes[node].first_eligible_disk.clone();
        }
        let mut role = ConfigurationRole::new(settings, disk, now);
        let zone = |index: usize| ZoneName::new(["a", "b"][index % 2]).expect("a valid name");
        let members = (0..NODES).map(|index| Member {
            node: node_id(index),
            zone: zone(index),
        });
        let effects = role.handle(now, Event::Members(members.collect()));
        self.nodes[node].role = Some(role);
        let incarnation = self.nodes[node].incarnation;
        self.carry_out(node, effects);
        self.schedule(self.now, Action::Tick { node, incarnation });
    }

    fn tick(&mut self, node: usize, incarnation: u64) {
        if self.nodes[node].incarnation != incarnation {
            return;
        }
        self.schedule(self.now + TICK, Action::Tick { node, incarnation });
        if !self.nodes[node].paused {
            self.handle(node, Event::Tick);
        }
    }

    fn handle(&mut self, node: usize, mut event: Event) {
        if self.nodes[node].paused {
            self.nodes[node].deferred_events.push(event);
            return;
        }
        if self.disabled_mechanism == DisabledMechanism::LeaseFromSending {
            self.redirect_to_newest_renewal(node, &mut event);
        }
        self.check_node(node);
        let now = self.local(node);
        let Some(role) = &mut self.nodes[node].role else {
            return;
        };
        let effects = role.handle(now, event);
        self.check_node(node);
        self.carry_out(node, effects);
    }

    fn redirect_to_newest_renewal(&self, node: usize, event: &mut Event) {
        if let Event::Message { message, .. } = event
            && let ConfigurationMessage::Renewed { request, .. } = message
            && let Some(newest) = self.nodes[node].last_renewal
        {
            *request = newest;
        }
    }

    /// Checks that the configuration in force is neither stale nor older than before.
    fn check_node(&mut self, node: usize) {
        let now = self.local(node);
        let Some(role) = &self.nodes[node].role else {
            return;
        };
        let Ok(set) = role.in_force(now) else {
            return;
        };
        let in_force = set.revision();
        let highest = self.nodes[node].highest_in_force;
        let bound = STALENESS_BOUND.as_micros() as u64;
        let accepted = self.operators.accepted_by(self.now.saturating_sub(bound));
        if in_force < highest {
            let (from, to) = (highest, in_force);
            self.violation
                .get_or_insert(Violation::WentBack { node, from, to });
        } else if in_force < accepted {
            let stale = Violation::Stale {
                node,
                in_force,
                accepted,
            };
            self.violation.get_or_insert(stale);
        }
        self.nodes[node].highest_in_force = highest.max(in_force);
    }

    fn carry_out(&mut self, node: usize, effects: Vec<Effect>) {
        let incarnation = self.nodes[node].incarnation;
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.send(node, index_of(to), message),
                Effect::Platform { request, operation } => {
                    let at = self.now + self.platform_delay();
                    self.schedule(
                        at,
                        Action::Arrive {
                            node,
                            incarnation,
                            request,
                            operation,
                        },
                    );
                }
                Effect::Write { write, state } => {
                    let at = self.now + self.random.random_range(500..20_000);
                    self.schedule(
                        at,
                        Action::Flush {
                            node,
                            incarnation,
                            write,
                            state,
                        },
                    );
                }
                Effect::Answer { ticket, answer } => self.answer(ticket, answer),
                Effect::InForce(_) | Effect::Machines(_) | Effect::Ready(_) => {}
            }
        }
    }

    fn operate(&mut self, operator: usize) {
        self.operators.give_up(operator, self.now);
        let pause = self.random.random_range(30_000..600_000);
        self.schedule(self.now + pause, Action::Operate { operator });
        if self.operators.is_busy(operator) {
            return;
        }
        let node = self.random.random_range(0..NODES);
        let usable = self.nodes[node].role.is_some() && !self.nodes[node].cut;
        if !usable {
            return;
        }
        let may_start = !self.healed();
        let random = &mut self.random;
        let Some(event) = self
            .operators
            .next(operator, node, self.now, may_start, random)
        else {
            return;
        };
        let incarnation = self.nodes[node].incarnation;
        let at = self.now + self.random.random_range(100..3_000);
        self.schedule(
            at,
            Action::Handle {
                node,
                incarnation,
                event,
            },
        );
    }

    fn answer(&mut self, ticket: Ticket, answer: OperatorAnswer) {
        self.operators.answered(ticket, answer, self.now);
    }

    fn verify(mut self) -> Result<Report, Violation> {
        if let Some(violation) = self.violation.take() {
            return Err(violation);
        }
        let operations = &self.operators.operations;
        let log = &self.platform.log;
        history::check_outcomes(operations, log).map_err(Violation::WrongOutcome)?;
        if !history::is_linearizable(operations, log) {
            return Err(Violation::NotLinearizable);
        }
        for node in 0..NODES {
            self.verify_node(node)?;
        }
        let report = self.operators.report(self.faults);
        if report.accepted == 0 {
            return Err(Violation::NoAnswer);
        }
        Ok(report)
    }

    /// Checks that the node holds a lease and has converged to the platform's store.
    fn verify_node(&self, node: usize) -> Result<(), Violation> {
        let store = self.platform.revision;
        let role = self.nodes[node].role.as_ref().expect("a node that runs");
        let ready = role.in_force(self.local(node)).is_ok();
        let in_force = role.last_known().revision();
        if !ready || in_force != store {
            return Err(Violation::NotConverged {
                node,
                ready,
                in_force,
                store,
            });
        }
        let machine = role.machines().get("machine").map(|machine| machine.state);
        if role.machines().version() != self.platform.machines_version
            || machine == Some(MachineState::Gone)
        {
            return Err(Violation::MachinesNotConverged { node });
        }
        Ok(())
    }
}
