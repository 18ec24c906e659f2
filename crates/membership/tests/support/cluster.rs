//! A simulated cluster of [`Membership`] state machines.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use ridgeworks_domain::{MonotonicTime, NodeId, RegionName, ZoneName};
use ridgeworks_membership::{
    Effect, Event, Incarnation, Member, MemberState, Membership, MembershipConfig,
    MembershipMessage,
};

use super::simulator::{Input, Network, Output, Participant, Seen, Simulator};

/// Number of zones per region.
const ZONES_PER_REGION: usize = 3;

pub fn name_of(index: usize) -> String {
    format!("node-{index}")
}

/// The record of node `index`, started at `start_ms`.
pub fn member(index: usize, zone: usize, start_ms: u64) -> Member {
    let name = name_of(index);
    Member {
        node: NodeId::from_name(&name),
        name,
        incarnation: Incarnation::at_start(start_ms),
        address: address(index),
        zone: ZoneName::new(format!("zone-{zone}")).unwrap(),
        region: RegionName::new(format!("region-{}", zone / ZONES_PER_REGION)).unwrap(),
        has_disk: index.is_multiple_of(2),
        state: MemberState::Alive,
    }
}

fn address(index: usize) -> SocketAddr {
    let port = 1000 + u16::try_from(index).unwrap();
    SocketAddr::from((Ipv4Addr::new(10, 0, 0, 1), port))
}

fn index_at(address: SocketAddr) -> usize {
    usize::from(address.port() - 1000)
}

fn seen(state: MemberState) -> Seen {
    match state {
        MemberState::Alive => Seen::Alive,
        MemberState::Suspect => Seen::Suspect,
        MemberState::Leaving => Seen::Leaving,
        MemberState::Dead => Seen::Dead,
        MemberState::Left => Seen::Left,
    }
}

/// Adapts [`Membership`] to the simulator.
pub struct Node {
    pub membership: Membership,
    index_of: BTreeMap<NodeId, usize>,
}

impl Participant for Node {
    type Message = MembershipMessage;

    fn handle(
        &mut self,
        input: Input<MembershipMessage>,
        now: MonotonicTime,
    ) -> Vec<Output<MembershipMessage>> {
        let event = match input {
            Input::Timer => Event::Timer,
            Input::Message { from, message } => Event::Message {
                from: NodeId::from_name(&name_of(from)),
                message,
            },
            Input::LinkClosed { node } => Event::LinkClosed {
                node: NodeId::from_name(&name_of(node)),
            },
            Input::Leave => Event::Leave,
            Input::Left => Event::Left,
        };
        let effects = self.membership.handle(event, now);
        effects
            .into_iter()
            .filter_map(|effect| self.output(effect))
            .collect()
    }

    fn next_timer(&self) -> MonotonicTime {
        self.membership.next_timer()
    }

    fn encoded_bytes(message: &MembershipMessage) -> usize {
        message.encode().unwrap().len()
    }
}

impl Node {
    fn output(&self, effect: Effect) -> Option<Output<MembershipMessage>> {
        match effect {
            Effect::Send {
                address, message, ..
            }
            | Effect::SendToSeed { address, message } => Some(Output::Send {
                to: index_at(address),
                message,
            }),
            Effect::MemberChanged { member, .. } => Some(Output::Sees {
                subject: self.index_of[&member.node],
                state: seen(member.state),
            }),
            Effect::MemberForgotten { .. } | Effect::Superseded { .. } => None,
        }
    }
}

/// Nodes spread evenly over zones.
pub struct Cluster {
    pub simulator: Simulator<Node>,
    pub config: MembershipConfig,
    slots: usize,
    seed: u64,
}

impl Cluster {
    /// Creates a cluster whose nodes are not started yet.
    pub fn new(slots: usize, zones: usize, network: Network, seed: u64) -> Self {
        let mut simulator = Simulator::new(network, seed);
        for index in 0..slots {
            simulator.add_slot(index % zones);
        }
        Self {
            simulator,
            config: MembershipConfig::default(),
            slots,
            seed,
        }
    }

    /// Creates a cluster in which all nodes have joined and their views agree.
    pub fn formed(slots: usize, zones: usize, network: Network, seed: u64) -> Self {
        let mut cluster = Self::formed_early(slots, zones, network, seed);
        cluster
            .simulator
            .run_for(MembershipConfig::default().newcomer_period);
        cluster.simulator.reset_costs();
        cluster
    }

    /// As [`Cluster::formed`], with nodes that are still within their newcomer period.
    pub fn formed_early(slots: usize, zones: usize, network: Network, seed: u64) -> Self {
        let loss = network.loss;
        let mut cluster = Self::new(slots, zones, network, seed);
        cluster.simulator.network.loss = 0.0;
        for index in 0..slots {
            cluster.start(index, &[0]);
            cluster.simulator.run_for(Duration::from_millis(3));
        }
        cluster.simulator.run_for(Duration::from_secs(1));
        let everyone: Vec<usize> = (0..slots).collect();
        for observer in &everyone {
            assert_eq!(
                cluster.seen_present(*observer),
                everyone,
                "view of {observer}, seed {seed}"
            );
        }
        cluster.simulator.network.loss = loss;
        cluster.simulator.observations.clear();
        cluster
    }

    /// Starts or restarts a node.
    pub fn start(&mut self, index: usize, seeds: &[usize]) {
        let now = self.simulator.now;
        let start_ms = 1_000_000 + now.micros / 1000;
        let member = member(index, self.simulator.zone_of(index), start_ms);
        let seeds = seeds.iter().filter(|seed| **seed != index);
        let seeds = seeds.map(|seed| address(*seed)).collect();
        let seed = self.seed.wrapping_mul(1_000_003).wrapping_add(index as u64) ^ start_ms;
        let membership = Membership::new(self.config.clone(), member, seeds, seed, now);
        let indices = 0..self.slots;
        let index_of = indices.map(|index| (NodeId::from_name(&name_of(index)), index));
        let node = Node {
            membership,
            index_of: index_of.collect(),
        };
        self.simulator.start(index, node);
    }

    pub fn membership(&self, index: usize) -> &Membership {
        &self.simulator.participant(index).unwrap().membership
    }

    /// The state in which one node sees another.
    pub fn sees(&self, observer: usize, subject: usize) -> Option<Seen> {
        view(&self.simulator, observer, subject)
    }

    /// The nodes that one node sees as present, in order of index.
    pub fn seen_present(&self, observer: usize) -> Vec<usize> {
        let subjects = 0..self.slots;
        subjects
            .filter(|subject| {
                let state = self.sees(observer, *subject);
                matches!(state, Some(Seen::Alive | Seen::Suspect | Seen::Leaving))
            })
            .collect()
    }

    /// Runs until all other running nodes see the subject in this state. Returns the elapsed time, or
    /// `None` if `limit` passed first.
    pub fn time_until_all_see(
        &mut self,
        subject: usize,
        state: Seen,
        limit: Duration,
    ) -> Option<Duration> {
        let started = self.simulator.now;
        let observers = self.simulator.running();
        let agreed = self.simulator.run_until(started + limit, |simulator| {
            let mut others = observers.iter().filter(|observer| **observer != subject);
            others.all(|observer| view(simulator, *observer, subject) == Some(state))
        });
        agreed.then(|| self.simulator.now.since(started))
    }

    /// Whether all running nodes see exactly the running nodes as present.
    pub fn views_agree(&self) -> bool {
        let running = self.simulator.running();
        running
            .iter()
            .all(|observer| self.seen_present(*observer) == running)
    }

    /// Observations of nodes as Dead, as (observer, subject).
    pub fn dead_observations(&self) -> Vec<(usize, usize)> {
        let observations = self.simulator.observations.iter();
        let dead = observations.filter(|observation| observation.state == Seen::Dead);
        dead.map(|observation| (observation.observer, observation.subject))
            .collect()
    }
}

fn view(simulator: &Simulator<Node>, observer: usize, subject: usize) -> Option<Seen> {
    let membership = &simulator.participant(observer)?.membership;
    let member = membership.member(NodeId::from_name(&name_of(subject)))?;
    Some(seen(member.state))
}
