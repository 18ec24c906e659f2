//! The membership state machine: its parts and its timers.
//!
//! Nothing here survives a crash: a restarted process joins again with a later incarnation.

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

/// How often departed members are looked through for those to forget.
const FORGET_INTERVAL: Duration = Duration::from_secs(60);
/// The next timer of a member that has left.
const NEVER: MonotonicTime = MonotonicTime { micros: u64::MAX };

/// A ping that another node asked for.
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
    forget_at: MonotonicTime,
}

/// One node's view of the cluster, and its part in keeping the others' views right.
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
    /// Dead claims heard of members held present, which are being checked.
    pub(crate) rumours: BTreeMap<NodeId, Claim>,
    pub(crate) indirect_requests: Vec<IndirectRequest>,
    /// When a Dead member that spoke was last asked to refute.
    pub(crate) challenged_at: BTreeMap<NodeId, MonotonicTime>,
    /// When all members of a zone were last probed, since its relays were silent or came back.
    pub(crate) zone_probed_at: BTreeMap<ZoneName, MonotonicTime>,
    pub(crate) counters: Counters,
    topology_is_stale: bool,
    has_left: bool,
    pub(crate) effects: Vec<Effect>,
}

impl Membership {
    /// A node that knows itself and the addresses of some others. `seed` starts its generator of
    /// random numbers.
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
            forget_at: now + FORGET_INTERVAL,
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
            rumours: BTreeMap::new(),
            indirect_requests: Vec::new(),
            challenged_at: BTreeMap::new(),
            zone_probed_at: BTreeMap::new(),
            counters: Counters::default(),
            topology_is_stale: false,
            has_left: false,
            effects: Vec::new(),
        };
        membership.arrange(now);
        membership
    }

    /// Takes an event in and returns what must be done.
    pub fn handle(&mut self, event: Event, now: MonotonicTime) -> Vec<Effect> {
        if self.has_left {
            return Vec::new();
        }
        self.notice_pause(now);
        match event {
            Event::Timer => self.counters.timers += 1,
            Event::Message { from, message } => self.on_message(from, message, now),
            Event::PeerActivity { node } => self.on_sign_of_life(node, now),
            Event::LinkClosed { node } => self.on_link_closed(node, now),
            Event::Leave => self.set_own_state(MemberState::Leaving, now),
            Event::Left => self.leave(now),
        }
        self.run_due(now);
        std::mem::take(&mut self.effects)
    }

    /// When [`Event::Timer`] is due next.
    pub fn next_timer(&self) -> MonotonicTime {
        if self.has_left {
            return NEVER;
        }
        let schedule = &self.schedule;
        let timers = [
            Some(schedule.seeds_at),
            Some(schedule.anti_entropy_at),
            Some(schedule.reconnect_at),
            Some(schedule.forget_at),
            self.detector.next_timer(&self.config),
            self.dissemination.next_timer(),
        ];
        timers.into_iter().flatten().min().unwrap_or(NEVER)
    }

    /// This node's own record.
    pub fn own(&self) -> &Member {
        self.table
            .get(self.own_node)
            .expect("the own record is put in at the start and never departs before the node does")
    }

    /// All known members, this node among them, by node.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.iter()
    }

    /// One member, if it is known.
    pub fn member(&self, node: NodeId) -> Option<&Member> {
        self.table.get(node)
    }

    /// Known members, present or departed, that the replica hints of a run's identifier may mean, by
    /// hint in the order of the hints. A hint may match several members, or none any more.
    pub fn replicas_of(&self, run: RunId) -> Vec<Vec<&Member>> {
        let hints = run.replica_hints();
        let members_of = |hint: ridgeworks_domain::run_id::ReplicaHint| {
            let members = self.table.iter();
            members.filter(|member| hint.matches(member.node)).collect()
        };
        hints.into_iter().map(members_of).collect()
    }

    /// What was counted since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Hash of what is published of the present members: equal on nodes that agree.
    pub fn table_hash(&self) -> u64 {
        self.table.hash()
    }

    /// A timer that runs late by much shows that this process did not run, so that what stayed
    /// unanswered is nobody else's fault.
    fn notice_pause(&mut self, now: MonotonicTime) {
        let latest = self.next_timer() + self.config.pause_threshold;
        if now > latest {
            self.counters.own_pauses += 1;
            self.detector.forgive(now);
        }
    }

    fn run_due(&mut self, now: MonotonicTime) {
        self.arrange_if_stale(now);
        self.probe_due(now);
        self.contact_seeds_if_due(now);
        self.compare_tables_if_due(now);
        self.reconnect_if_due(now);
        self.forget_if_due(now);
        self.arrange_if_stale(now);
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

    fn arrange_if_stale(&mut self, now: MonotonicTime) {
        if std::mem::take(&mut self.topology_is_stale) {
            self.arrange(now);
        }
    }

    /// Works out rings, relays and the nodes to probe from the table.
    fn arrange(&mut self, now: MonotonicTime) {
        self.topology = Topology::of(self.table.present(), self.config.relays_per_zone);
        let mut targets = relay::targets_of(&self.topology, self.own_node);
        let monitored = self
            .topology
            .monitored_by(self.own_node, self.config.monitors);
        targets.extend(monitored.into_iter().map(|node| (node, ProbeRole::Monitor)));
        let interval = self.config.probe_interval;
        let rng = &mut self.rng;
        self.detector
            .set_targets(&targets, || now + interval.mul_f64(rng.random::<f64>()));
    }

    fn forget_if_due(&mut self, now: MonotonicTime) {
        if now < self.schedule.forget_at {
            return;
        }
        self.schedule.forget_at = now + FORGET_INTERVAL;
        for node in self.table.forget_departed(now, self.config.retention) {
            self.challenged_at.remove(&node);
            self.effects.push(Effect::MemberForgotten { node });
        }
    }

    /// Passes a change on to others.
    pub(crate) fn pass_on(&mut self, node: NodeId, new_generation: bool, now: MonotonicTime) {
        if new_generation {
            self.dissemination.add_record(node, now, &self.config);
        } else if let Some(claim) = self.table.published_claim_of(node) {
            let claimed = NodeClaim { node, claim };
            self.dissemination.add_claim(claimed, now, &self.config);
        }
    }

    /// Follows up on a change that merging made, and reports it.
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
        self.rumours.remove(&node);
        if claim.state.is_present() {
            self.challenged_at.remove(&node);
        } else {
            self.detector.remove(node);
        }
        if new_generation || old_state != Some(member.state) {
            self.report(member, old_state);
        }
    }
}
