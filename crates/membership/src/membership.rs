//! The membership state machine: its components and timers.
//!
//! No state is durable: a restarted process joins again with a later incarnation.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ridgeworks_domain::{MonotonicTime, NodeId, RunId, ZoneName};

use crate::config::MembershipConfig;
use crate::counters::Counters;
use crate::detector::{Detector, ProbeRole};
use crate::dissemination::Dissemination;
use crate::event::{Effect, Event};
use crate::member::{Claim, Member, MemberState, NodeClaim};
use crate::member_table::{MemberTable, published_claim};
use crate::relay;
use crate::topology::Topology;

/// Time between removals of departed members whose retention time has passed.
const REMOVE_DEPARTED_INTERVAL: Duration = Duration::from_secs(60);
/// Result of [`Membership::next_timer`] after this node has left.
const NEVER: MonotonicTime = MonotonicTime { micros: u64::MAX };

/// A ping that another node requested.
#[derive(Debug)]
pub(crate) struct IndirectRequest {
    pub(crate) target: NodeId,
    pub(crate) requester: NodeId,
    pub(crate) expires_at: MonotonicTime,
}

/// When each periodic activity is due.
#[derive(Debug)]
pub(crate) struct Schedule {
    pub(crate) seeds_at: MonotonicTime,
    pub(crate) anti_entropy_at: MonotonicTime,
    pub(crate) reconnect_at: MonotonicTime,
    remove_departed_at: MonotonicTime,
}

/// The membership protocol of one node, with the node's view of the cluster.
#[derive(Debug)]
pub struct Membership {
    pub(crate) config: MembershipConfig,
    pub(crate) own_node: NodeId,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) started_at: MonotonicTime,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) table: MemberTable,
    pub(crate) topology: Topology,
    pub(crate) detector: Detector,
    pub(crate) dissemination: Dissemination,
    pub(crate) schedule: Schedule,
    /// Dead claims about present members that are being verified.
    pub(crate) unverified_deaths: BTreeMap<NodeId, Claim>,
    pub(crate) indirect_requests: Vec<IndirectRequest>,
    /// When a Dead member that sent a message was last asked to refute the claim.
    pub(crate) refutation_requested_at: BTreeMap<NodeId, MonotonicTime>,
    /// When all members of a zone were last probed because its relays became unresponsive or returned.
    pub(crate) zone_probed_at: BTreeMap<ZoneName, MonotonicTime>,
    pub(crate) counters: Counters,
    topology_is_stale: bool,
    has_left: bool,
    pub(crate) effects: Vec<Effect>,
}

impl Membership {
    /// Creates the state machine of a node that knows only itself and the addresses of some seeds.
    /// `seed` initialises the random number generator.
    pub fn new(
        config: MembershipConfig,
        own: Member,
        seeds: Vec<SocketAddr>,
        seed: u64,
        now: MonotonicTime,
    ) -> Self {
        let own_node = own.node;
        let mut table = MemberTable::default();
        table.merge_record(own, now);
        let schedule = Schedule {
            seeds_at: now,
            anti_entropy_at: now + config.newcomer_anti_entropy_interval,
            reconnect_at: now + config.reconnect_interval,
            remove_departed_at: now + REMOVE_DEPARTED_INTERVAL,
        };
        let mut membership = Self {
            config,
            own_node,
            seeds,
            started_at: now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            table,
            topology: Topology::default(),
            detector: Detector::default(),
            dissemination: Dissemination::default(),
            schedule,
            unverified_deaths: BTreeMap::new(),
            indirect_requests: Vec::new(),
            refutation_requested_at: BTreeMap::new(),
            zone_probed_at: BTreeMap::new(),
            counters: Counters::default(),
            topology_is_stale: false,
            has_left: false,
            effects: Vec::new(),
        };
        membership.rebuild_topology(now);
        membership
    }

    /// Handles one event and returns the effects to carry out, in order.
    pub fn handle(&mut self, event: Event, now: MonotonicTime) -> Vec<Effect> {
        if self.has_left {
            return Vec::new();
        }
        self.detect_own_pause(now);
        match event {
            Event::Timer => self.counters.timers += 1,
            Event::Message { from, message } => self.on_message(from, message, now),
            Event::PeerActivity { node } => self.on_activity(node, now),
            Event::LinkClosed { node } => self.on_link_closed(node, now),
            Event::Leave => self.set_own_state(MemberState::Leaving, now),
            Event::Left => self.leave(now),
        }
        self.run_due(now);
        std::mem::take(&mut self.effects)
    }

    /// When the host must send [`Event::Timer`] next.
    pub fn next_timer(&self) -> MonotonicTime {
        if self.has_left {
            return NEVER;
        }
        let schedule = &self.schedule;
        let timers = [
            Some(schedule.seeds_at),
            Some(schedule.anti_entropy_at),
            Some(schedule.reconnect_at),
            Some(schedule.remove_departed_at),
            self.detector.next_timer(&self.config),
            self.dissemination.next_timer(),
        ];
        timers.into_iter().flatten().min().unwrap_or(NEVER)
    }

    /// This node's own record.
    pub fn own(&self) -> &Member {
        self.table.get(self.own_node).expect(
            "the own record is inserted at the start and is never removed while the node runs",
        )
    }

    /// All known members, including this node, in order of node.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.iter()
    }

    /// The record of one member, if it is known.
    pub fn member(&self, node: NodeId) -> Option<&Member> {
        self.table.get(node)
    }

    /// Known members, present or departed, that match each replica hint in a run's identifier, in the
    /// order of the hints. A hint may match several members or none.
    pub fn replicas_of(&self, run: RunId) -> Vec<Vec<&Member>> {
        let hints = run.replica_hints();
        let members_of = |hint: ridgeworks_domain::run_id::ReplicaHint| {
            let members = self.table.iter();
            members.filter(|member| hint.matches(member.node)).collect()
        };
        hints.into_iter().map(members_of).collect()
    }

    /// Counts since the start of the process.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Hash of the published claims about the present members; equal on nodes whose views agree.
    pub fn table_hash(&self) -> u64 {
        self.table.hash()
    }

    /// Detects a pause of this process by a late timer, and restarts all timeouts: missing answers are
    /// then no evidence against other members.
    fn detect_own_pause(&mut self, now: MonotonicTime) {
        let latest = self.next_timer() + self.config.pause_threshold;
        if now > latest {
            self.counters.own_pauses += 1;
            self.detector.restart_timeouts(now);
        }
    }

    fn run_due(&mut self, now: MonotonicTime) {
        self.rebuild_topology_if_stale(now);
        self.probe_due(now);
        self.contact_seeds_if_due(now);
        self.compare_tables_if_due(now);
        self.reconnect_if_due(now);
        self.remove_departed_if_due(now);
        self.rebuild_topology_if_stale(now);
        if let Some(batch) = self.dissemination.take_due(now) {
            self.send_to_fingers(batch);
        }
    }

    fn leave(&mut self, now: MonotonicTime) {
        self.set_own_state(MemberState::Left, now);
        let batch = self.dissemination.take_all();
        self.send_to_fingers(batch);
        self.has_left = true;
    }

    fn rebuild_topology_if_stale(&mut self, now: MonotonicTime) {
        if std::mem::take(&mut self.topology_is_stale) {
            self.rebuild_topology(now);
        }
    }

    /// Recomputes rings, relays and the nodes to probe from the table.
    fn rebuild_topology(&mut self, now: MonotonicTime) {
        self.topology = Topology::of(self.table.present(), self.config.relays_per_zone);
        let mut targets = relay::relay_targets(&self.topology, self.own_node);
        let monitored = self
            .topology
            .monitored_by(self.own_node, self.config.monitors);
        targets.extend(monitored.into_iter().map(|node| (node, ProbeRole::Monitor)));
        let interval = self.config.probe_interval;
        let rng = &mut self.rng;
        self.detector
            .set_targets(&targets, || now + interval.mul_f64(rng.random::<f64>()));
    }

    fn remove_departed_if_due(&mut self, now: MonotonicTime) {
        if now < self.schedule.remove_departed_at {
            return;
        }
        self.schedule.remove_departed_at = now + REMOVE_DEPARTED_INTERVAL;
        for node in self.table.remove_departed(now, self.config.retention) {
            self.refutation_requested_at.remove(&node);
            self.effects.push(Effect::MemberForgotten { node });
        }
    }

    /// Queues a change for dissemination.
    pub(crate) fn disseminate(&mut self, node: NodeId, new_generation: bool, now: MonotonicTime) {
        if new_generation {
            self.dissemination.add_record(node, now, &self.config);
        } else if let Some(claim) = self.table.published_claim_of(node) {
            let claimed = NodeClaim { node, claim };
            self.dissemination.add_claim(claimed, now, &self.config);
        }
    }

    /// Updates dependent state after a merge that changed the table, and reports the change.
    pub(crate) fn after_change(
        &mut self,
        node: NodeId,
        old_state: Option<MemberState>,
        new_generation: bool,
    ) {
        let Some(member) = self.table.get(node) else {
            return;
        };
        let member = member.clone();
        let claim = published_claim(&member);
        let was_present = old_state.is_some_and(MemberState::is_present);
        self.topology_is_stale |= new_generation || was_present != claim.state.is_present();
        self.unverified_deaths.remove(&node);
        if claim.state.is_present() {
            self.refutation_requested_at.remove(&node);
        } else {
            self.detector.remove(node);
        }
        if new_generation || old_state != Some(member.state) {
            self.report(member, old_state);
        }
    }
}
