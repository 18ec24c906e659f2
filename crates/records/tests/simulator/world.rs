//! The simulated network and register, the faults, and the checks.

mod changes;
mod faults;
mod gateways;
mod nodes;
mod repairs;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ridgeworks_records::{
    ChainOutcome, CopyProgress, Epoch, GroupId, Handled, LedgerEntry, ProgramLedger, QuorumWrite,
    ReplicaGroups, ReplicaId, ReplicaReply, ReplicaRequest, ReplicaSet, SetStep, StorageNode,
    TurnId, TurnRecord, WriteProgress, Written, assign_groups, plan_change,
};

use super::gateway::{MAX_TURN_TOKENS, Operation, Purpose, StateMachine, program_id};
use super::storage::{CopyTask, NO_REQUEST, SimulatedNode};
use super::{DisabledMechanism, Outcome, Profile};

const STORAGE_NODES: usize = 4;
const REPLICAS: usize = 3;
const GATEWAYS: usize = 2;
const PROGRAMS: usize = 3;

// Times are in milliseconds of virtual time.
const END: u64 = 12_000;
const FAULTS_UNTIL: u64 = 8_000;
const EXPIRY_INTERVAL: u64 = 200;
const REPAIR_INTERVAL: u64 = 10;
const RETRY_INTERVAL: u64 = 60;
const COORDINATOR_INTERVAL: u64 = 150;
/// How long a request to copy before a set changes stays valid unless it is repeated.
const COPY_REQUEST_LIFETIME: u64 = 700;

const LOSS_PROBABILITY: f64 = 0.03;
/// Probability that a lost voter counts as lost for long, in each planning.
const LEAVE_OUT_PROBABILITY: f64 = 0.2;
const DUPLICATION_PROBABILITY: f64 = 0.03;

/// Sender or receiver of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Address {
    Gateway(usize),
    Storage(usize),
}

#[derive(Debug, Clone)]
enum Event {
    ToStorage {
        node: usize,
        from: Address,
        operation: u64,
        to: ReplicaId,
        request: ReplicaRequest,
    },
    Reply {
        to: Address,
        from: ReplicaId,
        operation: u64,
        reply: ReplicaReply,
    },
    Sync {
        node: usize,
        incarnation: u64,
        batch: u64,
    },
    Retry {
        operation: u64,
    },
    CopyStep {
        node: usize,
        incarnation: u64,
        group: GroupId,
    },
    Coordinate {
        node: usize,
    },
    StartTurn {
        gateway: usize,
    },
    Start {
        node: usize,
    },
    Restore {
        node: usize,
        incarnation: u64,
    },
    Fault,
    Heal {
        node: usize,
    },
    Expire {
        node: usize,
    },
    Repair {
        node: usize,
        incarnation: u64,
    },
}

struct Scheduled {
    at: u64,
    order: u64,
    event: Event,
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

struct Program {
    budget: u64,
    generated_tokens: u64,
    /// The newest turn that was answered completely, and when.
    newest: Option<(TurnId, u64)>,
    /// When the program last reserved tokens or was answered; it is over after a longer pause than its
    /// retention.
    active_at: u64,
}

impl Program {
    /// The newest turn, if it must still be kept.
    fn kept_turn(&self, now: u64, retention: u64) -> Option<TurnId> {
        let newest = self.newest.as_ref();
        let kept = newest.filter(|(_, answered_at)| now <= answered_at + retention);
        kept.map(|(turn, _)| turn.clone())
    }
}

/// State of one simulation.
pub struct World {
    random: ChaCha8Rng,
    now: u64,
    order: u64,
    queue: BinaryHeap<Reverse<Scheduled>>,
    storage: Vec<SimulatedNode>,
    partitioned: BTreeSet<usize>,
    /// Number of groups; each has its own replicas on the same nodes.
    group_count: usize,
    register: Option<ReplicaGroups>,
    known: Vec<Option<ReplicaGroups>>,
    /// When the set of each group last changed.
    changed_at: BTreeMap<GroupId, u64>,
    operations: BTreeMap<u64, Operation>,
    next_number: u64,
    programs: Vec<Program>,
    /// The programs that are under way.
    current: [usize; PROGRAMS],
    written: BTreeMap<TurnId, TurnRecord>,
    disabled: DisabledMechanism,
    profile: Profile,
    pub outcome: Outcome,
}

impl World {
    /// Runs the simulation of this seed.
    pub fn run(seed: u64, profile: Profile, disabled: DisabledMechanism) -> Outcome {
        let mut world = Self::new(seed, profile, disabled);
        while let Some(Reverse(next)) = world.queue.pop() {
            if next.at > END {
                break;
            }
            world.now = next.at;
            world.handle(next.event);
        }
        world.outcome
    }

    fn new(seed: u64, profile: Profile, disabled: DisabledMechanism) -> Self {
        let storage =
            (0..STORAGE_NODES).map(|index| SimulatedNode::new(index, 100 + index as u64, disabled));
        let mut world = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            order: 0,
            queue: BinaryHeap::new(),
            storage: storage.collect(),
            partitioned: BTreeSet::new(),
            group_count: 1 + usize::from(seed.is_multiple_of(2)),
            register: None,
            known: vec![None; GATEWAYS],
            changed_at: BTreeMap::new(),
            operations: BTreeMap::new(),
            next_number: 1_000,
            programs: Vec::new(),
            current: [0; PROGRAMS],
            written: BTreeMap::new(),
            disabled,
            profile,
            outcome: Outcome::default(),
        };
        for node in 0..STORAGE_NODES {
            world.schedule(node as u64 * 37, Event::Coordinate { node });
        }
        for slot in 0..PROGRAMS {
            world.begin_program(slot);
        }
        for node in 0..STORAGE_NODES {
            world.schedule(EXPIRY_INTERVAL + node as u64, Event::Expire { node });
        }
        for gateway in 0..GATEWAYS {
            world.schedule(500 + gateway as u64, Event::StartTurn { gateway });
        }
        world.schedule(800, Event::Fault);
        world
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.order += 1;
        let (at, order) = (self.now + delay, self.order);
        self.queue.push(Reverse(Scheduled { at, order, event }));
    }

    fn next_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    /// Sends a message over the network, which may delay, lose or duplicate it.
    fn send(&mut self, event: Event) {
        if self.random.random_bool(LOSS_PROBABILITY) {
            return;
        }
        let copies = if self.random.random_bool(DUPLICATION_PROBABILITY) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let slow = self.random.random_bool(0.05);
            let delay = self.random.random_range(1..if slow { 900 } else { 8 });
            self.schedule(delay, event.clone());
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::ToStorage {
                node,
                from,
                operation,
                to,
                request,
            } => {
                self.deliver(node, from, operation, to, request);
            }
            Event::Reply {
                to,
                from,
                operation,
                reply,
            } => match to {
                Address::Gateway(_) => self.gateway_reply(from, operation, reply),
                Address::Storage(node) => self.storage_reply(node, from, operation, reply),
            },
            Event::Sync {
                node,
                incarnation,
                batch,
            } => self.sync(node, incarnation, batch),
            Event::Retry { operation } => self.retry(operation),
            Event::CopyStep {
                node,
                incarnation,
                group,
            } => self.copy_step(node, incarnation, group),
            Event::Coordinate { node } => self.coordinate(node),
            Event::StartTurn { gateway } => self.start_turn(gateway),
            Event::Start { node } => self.start_node(node),
            Event::Restore { node, incarnation } => self.restore(node, incarnation),
            Event::Fault => self.fault(),
            Event::Heal { node } => {
                self.partitioned.remove(&node);
            }
            Event::Expire { node } => self.expire(node),
            Event::Repair { node, incarnation } => self.repair(node, incarnation),
        }
    }
}
