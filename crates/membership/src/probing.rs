//! What the state machine does about members that answer or do not.

use rand::seq::IndexedRandom;
use ridgeworks_domain::{MonotonicTime, NodeId, ZoneName};

use crate::detector::{Evidence, ProbeRole, Verdict};
use crate::member::{Claim, MemberState, NodeClaim};
use crate::member_table::Merge;
use crate::membership::{IndirectRequest, Membership};
use crate::message::{MembershipMessage, records_messages};
use crate::relay;

impl Membership {
    pub(crate) fn probe_due(&mut self, now: MonotonicTime) {
        let others = self.topology.len().saturating_sub(1);
        for verdict in self.detector.poll(now, others, &self.config) {
            match verdict {
                Verdict::Ping(node) => self.ping_target(node, now),
                Verdict::AskOthers(node, role) => self.ask_others(node, role),
                Verdict::Suspect(node) => self.suspect(node, now),
                Verdict::Dead(node) => self.declare_dead(node, now),
            }
        }
        self.probe_silent_zones(now);
    }

    /// Any message from a node shows that it lives.
    pub(crate) fn on_sign_of_life(&mut self, node: NodeId, now: MonotonicTime) {
        let state = self.table.get(node).map(|member| member.state);
        match state {
            Some(MemberState::Dead) => self.challenge(node, now),
            Some(MemberState::Left) | None => {}
            Some(_) => {
                self.detector.heard(node, now, &self.config);
                self.trust(node);
            }
        }
    }

    /// The link to a member was closed by the other end or could not be dialled.
    pub(crate) fn on_link_closed(&mut self, node: NodeId, now: MonotonicTime) {
        let member = self.table.get(node);
        let is_present = member.is_some_and(|member| member.state.is_present());
        if is_present && node != self.own_node {
            self.detector.doubt(node, Evidence::LinkClosed, now);
        }
    }

    /// Another node asks to ping a member on its behalf.
    pub(crate) fn on_indirect_ping(
        &mut self,
        requester: NodeId,
        target: NodeId,
        now: MonotonicTime,
    ) {
        let Some(held) = self.table.published_claim_of(target) else {
            return;
        };
        if target == self.own_node {
            let claim = held;
            self.send(requester, MembershipMessage::IndirectAck { target, claim });
            return;
        }
        if !held.state.is_present() {
            let claimed = NodeClaim {
                node: target,
                claim: held,
            };
            self.send_all(requester, crate::anti_entropy::hearsay(&[claimed]));
            return;
        }
        self.indirect_requests
            .retain(|request| request.expires_at > now);
        self.indirect_requests.push(IndirectRequest {
            target,
            requester,
            expires_at: now + self.config.confirm_timeout,
        });
        self.ping(target);
        self.detector.expedite(target, now);
    }

    /// A member answered a ping: those who asked for it hear so.
    pub(crate) fn on_ack(&mut self, from: NodeId, own: Claim, now: MonotonicTime) {
        let claimed = NodeClaim {
            node: from,
            claim: own,
        };
        self.take_claims(from, &[claimed], true, now);
        let requests = std::mem::take(&mut self.indirect_requests);
        let (answered, waiting): (Vec<_>, Vec<_>) = requests
            .into_iter()
            .partition(|request| request.target == from);
        self.indirect_requests = waiting;
        for request in answered {
            let message = MembershipMessage::IndirectAck {
                target: from,
                claim: own,
            };
            self.send(request.requester, message);
        }
    }

    /// Another node got an answer from a member that this one asked it to ping.
    pub(crate) fn on_indirect_ack(
        &mut self,
        from: NodeId,
        target: NodeId,
        claim: Claim,
        now: MonotonicTime,
    ) {
        let claimed = NodeClaim {
            node: target,
            claim,
        };
        self.take_claims(from, &[claimed], true, now);
        self.detector.trust(target, now, &self.config);
        self.trust(target);
    }

    /// Pings a member of which another holds that it is Dead, before that is taken over.
    pub(crate) fn check_rumour(&mut self, claimed: NodeClaim, now: MonotonicTime) {
        self.counters.dead_claims_verified += 1;
        self.rumours.insert(claimed.node, claimed.claim);
        if self.detector.probes(claimed.node) {
            self.detector.expedite(claimed.node, now);
        } else {
            self.detector.doubt(claimed.node, Evidence::Silence, now);
        }
    }

    /// Asks a member that is held Dead, and yet spoke, to refute; and tries the others of its zone.
    fn challenge(&mut self, node: NodeId, now: MonotonicTime) {
        let last = self.challenged_at.get(&node);
        if last.is_some_and(|last| now.since(*last) < self.config.suspect_probe_interval) {
            return;
        }
        self.challenged_at.insert(node, now);
        self.ping(node);
        let zone = self.table.get(node).map(|member| member.zone.clone());
        let Some(zone) = zone else { return };
        if !self.may_probe_zone(&zone, now) {
            return;
        }
        let dead = self.table.iter().filter(|member| {
            member.state == MemberState::Dead && member.zone == zone && member.node != node
        });
        let dead: Vec<NodeId> = dead.map(|member| member.node).collect();
        for node in dead {
            self.ping(node);
        }
    }

    fn trust(&mut self, node: NodeId) {
        if self.table.trust(node) {
            self.report_state(node, MemberState::Suspect);
        }
    }

    fn suspect(&mut self, node: NodeId, now: MonotonicTime) {
        self.counters.suspicions += 1;
        if self.table.suspect(node) {
            self.report_state(node, MemberState::Alive);
        }
        let Some(zone) = self.topology.zone_of(node) else {
            return;
        };
        let relays = self.topology.relays(zone);
        let is_foreign = self.topology.zone_of(self.own_node) != Some(zone);
        if is_foreign && relays.contains(&node) {
            self.probe_at_once(relays.to_vec(), now);
        }
    }

    fn report_state(&mut self, node: NodeId, old_state: MemberState) {
        if let Some(member) = self.table.get(node) {
            self.report(member.clone(), Some(old_state));
        }
    }

    fn declare_dead(&mut self, node: NodeId, now: MonotonicTime) {
        self.detector.remove(node);
        let Some(held) = self.table.published_claim_of(node) else {
            return;
        };
        // A rumour may speak of a later incarnation than the one held.
        let rumoured = self.rumours.get(&node).map(|claim| claim.incarnation);
        let claim = Claim {
            incarnation: held.incarnation.max(rumoured.unwrap_or_default()),
            state: MemberState::Dead,
        };
        if let Merge::Changed {
            old_state,
            new_generation,
        } = self.table.merge_claim(NodeClaim { node, claim }, now)
        {
            self.counters.deaths_declared += 1;
            self.after_change(node, old_state, new_generation);
            self.pass_on(node, new_generation, now);
        }
    }

    fn ping_target(&mut self, node: NodeId, now: MonotonicTime) {
        if now.since(self.started_at) < self.config.newcomer_period {
            let own = self.published_records([self.own_node].into_iter());
            self.send_all(node, records_messages(own, true));
        }
        let updates = self.dissemination.piggyback();
        self.send_ping(node, updates);
    }

    /// Pings a member without updates, which a member that may be gone would swallow.
    pub(crate) fn ping(&mut self, node: NodeId) {
        self.send_ping(node, Vec::new());
    }

    fn send_ping(&mut self, node: NodeId, updates: Vec<NodeClaim>) {
        let rumoured = self.rumours.get(&node).copied();
        let believed = rumoured.or(self.table.published_claim_of(node));
        if let Some(believed) = believed {
            self.send(node, MembershipMessage::Ping { believed, updates });
        }
    }

    fn ask_others(&mut self, target: NodeId, role: ProbeRole) {
        let count = match role {
            ProbeRole::Monitor | ProbeRole::Relay => self.config.indirect_probes,
            // Many nodes may doubt the same member at once, and its monitors see to it anyway.
            ProbeRole::Temporary => self.config.indirect_probes.min(2),
        };
        for helper in self.choose_helpers(target, count) {
            self.send(helper, MembershipMessage::IndirectPing { target });
        }
    }

    /// Others that may reach the target: one of its monitors, one in a third zone, one near by, and
    /// more of its monitors.
    fn choose_helpers(&mut self, target: NodeId, count: usize) -> Vec<NodeId> {
        let others: Vec<NodeId> = self.topology.order().to_vec();
        let third = relay::third_zone_relays(&self.topology, self.own_node, target);
        let monitors = self.topology.monitors_of(target, self.config.monitors);
        let mut monitors: Vec<NodeId> = self.shuffled(&monitors);
        let mut candidates: Vec<NodeId> = monitors.pop().into_iter().collect();
        candidates.extend(third.choose(&mut self.rng));
        candidates.extend(monitors);
        candidates.extend(others.sample(&mut self.rng, count + 2));
        let mut helpers: Vec<NodeId> = Vec::new();
        for candidate in candidates {
            let is_usable = candidate != target && candidate != self.own_node;
            if helpers.len() < count && is_usable && !helpers.contains(&candidate) {
                helpers.push(candidate);
            }
        }
        helpers
    }

    fn shuffled(&mut self, nodes: &[NodeId]) -> Vec<NodeId> {
        nodes.sample(&mut self.rng, nodes.len()).copied().collect()
    }

    /// Probes every member of a zone all of whose relays are silent.
    fn probe_silent_zones(&mut self, now: MonotonicTime) {
        let own_zone = self.topology.zone_of(self.own_node).cloned();
        let silent: Vec<ZoneName> = self
            .topology
            .zones()
            .filter(|zone| Some(*zone) != own_zone.as_ref() && self.is_silent(zone, now))
            .cloned()
            .collect();
        for zone in silent {
            if self.may_probe_zone(&zone, now) {
                let members = self.topology.zone(&zone).to_vec();
                self.probe_at_once(members, now);
            }
        }
    }

    fn is_silent(&self, zone: &ZoneName, now: MonotonicTime) -> bool {
        let relays = self.topology.relays(zone);
        let is_silent = |node: &NodeId| {
            let since = self.detector.silent_since(*node);
            since.is_some_and(|since| now.since(since) >= self.config.probe_timeout)
        };
        !relays.is_empty() && relays.iter().all(is_silent)
    }

    fn may_probe_zone(&mut self, zone: &ZoneName, now: MonotonicTime) -> bool {
        let last = self.zone_probed_at.get(zone);
        let is_due = last.is_none_or(|last| now.since(*last) >= self.config.confirm_timeout);
        if is_due {
            self.zone_probed_at.insert(zone.clone(), now);
        }
        is_due
    }

    fn probe_at_once(&mut self, nodes: Vec<NodeId>, now: MonotonicTime) {
        for node in nodes {
            if !self.detector.probes(node) {
                self.detector.doubt(node, Evidence::Silence, now);
            }
        }
    }
}
