//! Probing: reactions of the state machine to members that answer or do not answer.

use rand::seq::IndexedRandom;
use ridgeworks_domain::{MonotonicTime, NodeId, ZoneName};

use crate::detector::{DetectorAction, Evidence, ProbeRole};
use crate::member::{Claim, MemberState, NodeClaim};
use crate::member_table::Merge;
use crate::membership::{IndirectRequest, Membership};
use crate::message::{MembershipMessage, records_messages};
use crate::relay;

impl Membership {
    pub(crate) fn probe_due(&mut self, now: MonotonicTime) {
        let others = self.topology.len().saturating_sub(1);
        for action in self.detector.poll(now, others, &self.config) {
            match action {
                DetectorAction::Ping(node) => self.ping_target(node, now),
                DetectorAction::RequestIndirectPings(node, role) => {
                    self.request_indirect_pings(node, role)
                }
                DetectorAction::Suspect(node) => self.suspect(node, now),
                DetectorAction::Dead(node) => self.declare_dead(node, now),
            }
        }
        self.probe_unresponsive_zones(now);
    }

    /// Handles the fact that any message arrived from a node, which shows that it is alive.
    pub(crate) fn on_activity(&mut self, node: NodeId, now: MonotonicTime) {
        let state = self.table.get(node).map(|member| member.state);
        match state {
            Some(MemberState::Dead) => self.request_refutation(node, now),
            Some(MemberState::Left) | None => {}
            Some(_) => {
                self.detector.heard(node, now, &self.config);
                self.clear_suspicion(node);
            }
        }
    }

    /// Handles a link that was closed by the other end or could not be opened.
    pub(crate) fn on_link_closed(&mut self, node: NodeId, now: MonotonicTime) {
        let member = self.table.get(node);
        let is_present = member.is_some_and(|member| member.state.is_present());
        if is_present && node != self.own_node {
            self.detector.add_evidence(node, Evidence::LinkClosed, now);
        }
    }

    /// Handles another node's request to ping a member.
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
            self.send_all(requester, crate::anti_entropy::claim_messages(&[claimed]));
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
        self.detector.ping_now(target, now);
    }

    /// Handles the answer to a ping, and forwards it to the nodes that requested the ping.
    pub(crate) fn on_ack(&mut self, from: NodeId, own: Claim, now: MonotonicTime) {
        let claimed = NodeClaim {
            node: from,
            claim: own,
        };
        self.apply_claims(from, &[claimed], true, now);
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

    /// Handles the report that a member answered an indirect ping.
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
        self.apply_claims(from, &[claimed], true, now);
        self.detector.clear_suspicion(target, now, &self.config);
        self.clear_suspicion(target);
    }

    /// Verifies another node's claim that a member is Dead by probing the member.
    pub(crate) fn verify_death(&mut self, claimed: NodeClaim, now: MonotonicTime) {
        self.counters.dead_claims_verified += 1;
        self.unverified_deaths.insert(claimed.node, claimed.claim);
        if self.detector.probes(claimed.node) {
            self.detector.ping_now(claimed.node, now);
        } else {
            self.detector
                .add_evidence(claimed.node, Evidence::Unresponsive, now);
        }
    }

    /// Pings a Dead member that sent a message, so that it refutes the claim, and the other Dead
    /// members of its zone, which may have returned too.
    fn request_refutation(&mut self, node: NodeId, now: MonotonicTime) {
        let last = self.refutation_requested_at.get(&node);
        if last.is_some_and(|last| now.since(*last) < self.config.suspect_probe_interval) {
            return;
        }
        self.refutation_requested_at.insert(node, now);
        self.ping(node);
        let zone = self.table.get(node).map(|member| member.zone.clone());
        let Some(zone) = zone else { return };
        if !self.try_start_zone_probe(&zone, now) {
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

    fn clear_suspicion(&mut self, node: NodeId) {
        if self.table.clear_suspicion(node) {
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
        // The unverified claim may be about a later incarnation than the table's.
        let unverified = self
            .unverified_deaths
            .get(&node)
            .map(|claim| claim.incarnation);
        let claim = Claim {
            incarnation: held.incarnation.max(unverified.unwrap_or_default()),
            state: MemberState::Dead,
        };
        if let Merge::Changed {
            old_state,
            new_generation,
        } = self.table.merge_claim(NodeClaim { node, claim }, now)
        {
            self.counters.deaths_declared += 1;
            self.after_change(node, old_state, new_generation);
            self.disseminate(node, new_generation, now);
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

    /// Pings a member without piggybacked updates, which would be lost if the member has failed.
    pub(crate) fn ping(&mut self, node: NodeId) {
        self.send_ping(node, Vec::new());
    }

    fn send_ping(&mut self, node: NodeId, updates: Vec<NodeClaim>) {
        let unverified = self.unverified_deaths.get(&node).copied();
        let believed = unverified.or(self.table.published_claim_of(node));
        if let Some(believed) = believed {
            self.send(node, MembershipMessage::Ping { believed, updates });
        }
    }

    fn request_indirect_pings(&mut self, target: NodeId, role: ProbeRole) {
        let count = match role {
            ProbeRole::Monitor | ProbeRole::Relay => self.config.indirect_probes,
            // Many nodes may probe the same member temporarily, and its monitors probe it anyway.
            ProbeRole::Temporary => self.config.indirect_probes.min(2),
        };
        for helper in self.choose_helpers(target, count) {
            self.send(helper, MembershipMessage::IndirectPing { target });
        }
    }

    /// Chooses members that may reach the target: one of its monitors, a relay of a third zone, the
    /// other monitors, and random members.
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

    /// Probes all members of each zone whose relays are all unresponsive.
    fn probe_unresponsive_zones(&mut self, now: MonotonicTime) {
        let own_zone = self.topology.zone_of(self.own_node).cloned();
        let unresponsive: Vec<ZoneName> = self
            .topology
            .zones()
            .filter(|zone| Some(*zone) != own_zone.as_ref() && self.is_unresponsive(zone, now))
            .cloned()
            .collect();
        for zone in unresponsive {
            if self.try_start_zone_probe(&zone, now) {
                let members = self.topology.zone(&zone).to_vec();
                self.probe_at_once(members, now);
            }
        }
    }

    fn is_unresponsive(&self, zone: &ZoneName, now: MonotonicTime) -> bool {
        let relays = self.topology.relays(zone);
        let is_unresponsive = |node: &NodeId| {
            let since = self.detector.unresponsive_since(*node);
            since.is_some_and(|since| now.since(since) >= self.config.probe_timeout)
        };
        !relays.is_empty() && relays.iter().all(is_unresponsive)
    }

    fn try_start_zone_probe(&mut self, zone: &ZoneName, now: MonotonicTime) -> bool {
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
                self.detector
                    .add_evidence(node, Evidence::Unresponsive, now);
            }
        }
    }
}
