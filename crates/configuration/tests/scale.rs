//! Dissemination to 410 nodes in virtual time: traffic, readers of the platform, and the time until a
//! revision is in force everywhere.

#[path = "simulator/scenario.rs"]
mod scenario;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use ridgeworks_configuration::settings::MAX_WATCHERS;
use ridgeworks_configuration::update::Update;
use ridgeworks_configuration::{
    ChangeRequest, ConfigurationMessage, ConfigurationRole, ConfigurationSettings, Effect, Event,
    Machine, MachineState, Member, OperationId, OperatorAnswer, PlatformAnswer, PlatformOperation,
    PlatformVersion, Revision, Ticket,
};
use ridgeworks_domain::{MonotonicTime, NodeId, ZoneName};
use scenario::{initial_configuration, principal, put, service};

const NODES: usize = 410;
const VOTERS: usize = 5;
const ZONES: usize = 7;
const SECOND: u64 = 1_000_000;
const TICK: u64 = 50_000;
const DELAY: u64 = 1_500;
const BURST: u64 = 50;
/// Limit of control traffic per node and direction, in bytes per second.
const MAX_BYTES_PER_SECOND: u64 = 11_000;

enum Action {
    Tick(usize),
    Handle(usize, Event),
    Platform(
        usize,
        ridgeworks_configuration::RequestId,
        PlatformOperation,
    ),
}

/// Traffic of one node.
#[derive(Default, Clone, Copy)]
struct Traffic {
    bytes_sent: u64,
    bytes_received: u64,
    messages: u64,
}

struct Cluster {
    now: u64,
    order: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    actions: BTreeMap<u64, Action>,
    roles: Vec<Option<ConfigurationRole>>,
    traffic: Vec<Traffic>,
    version: u64,
    document: Vec<u8>,
    platform_readers: BTreeSet<usize>,
    accepted: BTreeMap<Revision, u64>,
    in_force: Vec<Vec<(Revision, u64)>>,
    lease_expirations: usize,
}

impl Cluster {
    fn new() -> Self {
        let mut cluster = Self {
            now: SECOND,
            order: 0,
            queue: BinaryHeap::new(),
            actions: BTreeMap::new(),
            roles: Vec::new(),
            traffic: vec![Traffic::default(); NODES],
            version: 1,
            document: initial_configuration().snapshot().to_document(),
            platform_readers: BTreeSet::new(),
            accepted: BTreeMap::new(),
            in_force: vec![Vec::new(); NODES],
            lease_expirations: 0,
        };
        for node in 0..NODES {
            let settings = ConfigurationSettings {
                node: NodeId(node as u64),
                voters: (0..VOTERS as u64).map(NodeId).collect(),
                seed: node as u64,
            };
            let now = MonotonicTime::from_micros(cluster.now);
            let role = ConfigurationRole::new(settings, None, now);
            cluster.roles.push(Some(role));
            cluster.handle(node, Event::Members(members()));
            // Starts of the nodes are spread over two seconds, as in a deployment.
            let first = cluster.now + node as u64 * 2 * SECOND / NODES as u64;
            cluster.schedule(first, Action::Tick(node));
        }
        cluster
    }

    fn schedule(&mut self, at: u64, action: Action) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order)));
        self.actions.insert(self.order, action);
    }

    fn run_for(&mut self, time: u64) {
        let end = self.now + time;
        while let Some(Reverse((at, order))) = self.queue.pop() {
            if at > end {
                self.queue.push(Reverse((at, order)));
                break;
            }
            self.now = at;
            let action = self.actions.remove(&order).expect("a scheduled action");
            self.act(action);
        }
        self.now = end;
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Tick(node) => {
                self.handle(node, Event::Tick);
                self.schedule(self.now + TICK, Action::Tick(node));
            }
            Action::Handle(node, event) => self.handle(node, event),
            Action::Platform(node, _, PlatformOperation::Watch) => {
                self.platform_readers.insert(node);
            }
            Action::Platform(node, request, operation) => {
                let answer = self.platform(node, operation);
                let event = Event::PlatformAnswer { request, answer };
                self.schedule(self.now + DELAY, Action::Handle(node, event));
            }
        }
    }

    fn platform(&mut self, node: usize, operation: PlatformOperation) -> PlatformAnswer {
        match operation {
            PlatformOperation::CompareAndSwap {
                expected, document, ..
            } => {
                if expected.0 != self.version {
                    return PlatformAnswer::VersionMismatch;
                }
                self.version += 1;
                self.document = document;
                PlatformAnswer::Swapped {
                    version: PlatformVersion(self.version),
                }
            }
            PlatformOperation::ListMachines => {
                self.platform_readers.insert(node);
                PlatformAnswer::Machines {
                    version: 1,
                    machines: machines(),
                }
            }
            PlatformOperation::Read | PlatformOperation::Watch => {
                self.platform_readers.insert(node);
                let version = PlatformVersion(self.version);
                let document = self.document.clone();
                PlatformAnswer::Document { version, document }
            }
        }
    }

    fn handle(&mut self, node: usize, event: Event) {
        let now = MonotonicTime::from_micros(self.now);
        let Some(role) = &mut self.roles[node] else {
            return;
        };
        let effects = role.handle(now, event);
        for effect in effects {
            self.carry_out(node, effect);
        }
    }

    fn carry_out(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.send(node, to.0 as usize, message),
            Effect::Platform { request, operation } => {
                self.schedule(self.now + DELAY, Action::Platform(node, request, operation));
            }
            Effect::Write { write, .. } => {
                let flushed = Action::Handle(node, Event::Flushed { write });
                self.schedule(self.now + 5_000, flushed);
            }
            Effect::Answer {
                answer: OperatorAnswer::Accepted { revision },
                ..
            } => {
                self.accepted.insert(revision, self.now);
            }
            Effect::Answer { answer, .. } => panic!("a change ended as {answer:?}"),
            Effect::InForce(set) => self.in_force[node].push((set.revision(), self.now)),
            Effect::Ready(ready) => self.lease_expirations += usize::from(!ready),
            Effect::Machines(_) => {}
        }
    }

    fn send(&mut self, from: usize, to: usize, message: ConfigurationMessage) {
        let bytes = rkyv::to_bytes::<rkyv::rancor::Error>(&message).expect("a message");
        self.traffic[from].bytes_sent += bytes.len() as u64;
        self.traffic[from].messages += 1;
        self.traffic[to].bytes_received += bytes.len() as u64;
        self.traffic[to].messages += 1;
        let from = NodeId(from as u64);
        let event = Event::Message { from, message };
        self.schedule(self.now + DELAY, Action::Handle(to, event));
    }

    /// Highest traffic per second of any node since the last call, for each counter.
    fn highest_traffic(&mut self, seconds: u64) -> Traffic {
        let traffic = std::mem::replace(&mut self.traffic, vec![Traffic::default(); NODES]);
        let highest =
            |part: fn(&Traffic) -> u64| traffic.iter().map(part).max().expect("nodes") / seconds;
        Traffic {
            bytes_sent: highest(|node| node.bytes_sent),
            bytes_received: highest(|node| node.bytes_received),
            messages: highest(|node| node.messages),
        }
    }

    fn live(&self) -> impl Iterator<Item = &ConfigurationRole> {
        self.roles.iter().flatten()
    }

    fn all_ready(&self) -> bool {
        let now = MonotonicTime::from_micros(self.now);
        self.live().all(|role| role.in_force(now).is_ok())
    }

    /// Longest time from the acceptance of a revision until it was in force on a node, in
    /// microseconds.
    fn slowest_in_force(&self) -> u64 {
        let mut slowest = 0;
        for (revision, accepted) in &self.accepted {
            for node in &self.in_force {
                let reached = node.iter().find(|(in_force, _)| in_force >= revision);
                let (_, at) = reached.expect("every node reaches every revision");
                slowest = slowest.max(at.saturating_sub(*accepted));
            }
        }
        slowest
    }

    fn change(&mut self, number: u64, node: usize) {
        let update = Update::from_document(&self.document).expect("a document");
        let revision = update.revision.0;
        let expected = if revision == 5 { 3 } else { revision };
        let request = ChangeRequest {
            operation: OperationId(u128::from(number) + 100),
            principal: principal(0),
            change: put(service(0, number), expected),
        };
        let ticket = Ticket(number);
        self.handle(node, Event::Change { ticket, request });
    }
}

fn members() -> Vec<Member> {
    let member = |node: usize| Member {
        node: NodeId(node as u64),
        zone: ZoneName::new(format!("zone-{}", node % ZONES)).expect("a valid name"),
    };
    (0..NODES).map(member).collect()
}

fn machines() -> Vec<Machine> {
    let machine = |index: usize| Machine {
        name: format!("machine-{index}"),
        incarnation: 1,
        state: MachineState::Live,
        backend: None,
    };
    (0..NODES).map(machine).collect()
}

#[test]
fn four_hundred_nodes_stay_up_to_date_within_the_traffic_limit() {
    let mut cluster = Cluster::new();
    cluster.run_for(10 * SECOND);
    assert!(cluster.all_ready());
    assert!(cluster.live().all(|role| role.machines().version() == 1));
    cluster.highest_traffic(1);

    cluster.run_for(20 * SECOND);
    let idle = cluster.highest_traffic(20);
    println!(
        "idle, busiest node: {} B/s sent, {} B/s received, {} messages/s",
        idle.bytes_sent, idle.bytes_received, idle.messages
    );
    assert!(idle.bytes_sent <= MAX_BYTES_PER_SECOND);
    assert!(idle.bytes_received <= MAX_BYTES_PER_SECOND);
    let watchers = (0..MAX_WATCHERS).collect::<BTreeSet<usize>>();
    let beyond: Vec<usize> = cluster
        .platform_readers
        .difference(&watchers)
        .copied()
        .collect();
    assert!(
        beyond.iter().all(|node| *node < VOTERS),
        "readers {beyond:?}"
    );

    for number in 0..BURST {
        cluster.change(number, 100 + number as usize * 3);
        cluster.run_for(SECOND / BURST);
    }
    let burst = cluster.highest_traffic(1);
    cluster.run_for(5 * SECOND);
    println!(
        "burst of {BURST} in a second, busiest node: {} B sent, {} B received, {} messages",
        burst.bytes_sent, burst.bytes_received, burst.messages
    );
    assert_eq!(cluster.accepted.len() as u64, BURST);
    let slowest = cluster.slowest_in_force();
    println!("slowest node in force {slowest} us after acceptance");
    assert!(slowest < SECOND);
    assert!(cluster.all_ready());
    assert_eq!(cluster.lease_expirations, 0);
}

#[test]
fn nodes_stay_ready_when_relays_and_voters_die() {
    let mut cluster = Cluster::new();
    cluster.run_for(10 * SECOND);
    let relays: Vec<usize> = (VOTERS..NODES)
        .filter(|node| {
            let role = cluster.roles[*node].as_ref();
            role.is_some_and(|role| role.client_count() > 0)
        })
        .collect();
    println!("{} relays", relays.len());
    assert!(relays.len() >= NODES / 32);
    for relay in relays.iter().step_by(2) {
        cluster.roles[*relay] = None;
    }
    cluster.roles[0] = None;
    cluster.roles[1] = None;
    cluster.run_for(15 * SECOND);
    assert!(cluster.all_ready());
    assert_eq!(cluster.lease_expirations, 0);
}
