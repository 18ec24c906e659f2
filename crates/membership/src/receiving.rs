//! Handling of received messages and the claims in them.

use ridgeworks_domain::{MonotonicTime, NodeId};

use crate::anti_entropy::{self, claim_messages, compare, digest_pages};
use crate::member::{Claim, Member, MemberState, NodeClaim};
use crate::member_table::Merge;
use crate::membership::Membership;
use crate::message::{MAX_NODES_PER_MESSAGE, MembershipMessage, records_messages};

impl Membership {
    pub(crate) fn on_message(
        &mut self,
        from: NodeId,
        message: MembershipMessage,
        now: MonotonicTime,
    ) {
        if from == self.own_node {
            return;
        }
        match message {
            MembershipMessage::Ping { believed, updates } => {
                self.on_ping(from, believed, &updates, now);
            }
            MembershipMessage::Ack { own, updates } => {
                self.on_ack(from, own, now);
                self.apply_claims(from, &updates, true, now);
            }
            MembershipMessage::IndirectPing { target } => self.on_indirect_ping(from, target, now),
            MembershipMessage::IndirectAck { target, claim } => {
                self.on_indirect_ack(from, target, claim, now);
            }
            MembershipMessage::Updates { claims } => self.apply_claims(from, &claims, true, now),
            MembershipMessage::Records { members, fresh } => {
                self.apply_records(members, fresh, now)
            }
            MembershipMessage::Join { member } => self.on_join(*member, now),
            MembershipMessage::TableHash { hash } => {
                if hash != self.table.hash() {
                    self.send_all(from, digest_pages(&self.table));
                }
            }
            MembershipMessage::Digest {
                first,
                last,
                claims,
            } => self.on_digest(from, first, last, &claims, now),
            MembershipMessage::Pull { nodes } => {
                let records = self.published_records(nodes.into_iter());
                self.send_all(from, records_messages(records, true));
            }
        }
        self.on_activity(from, now);
    }

    fn on_ping(
        &mut self,
        from: NodeId,
        believed: Claim,
        updates: &[NodeClaim],
        now: MonotonicTime,
    ) {
        self.handle_own_claim(believed, now);
        self.apply_claims(from, updates, true, now);
        let own = self.own().claim();
        let updates = self.dissemination.piggyback();
        self.send(from, MembershipMessage::Ack { own, updates });
    }

    fn on_join(&mut self, member: Member, now: MonotonicTime) {
        let (joining, address) = (member.node, member.address);
        if joining == self.own_node {
            return;
        }
        self.apply_records(vec![member], true, now);
        let records = self.published_records(self.known_nodes().into_iter());
        // The table holds the predecessor's address if the new member's clock is behind.
        for message in records_messages(records, false) {
            self.send_to(joining, address, message);
        }
    }

    fn known_nodes(&self) -> Vec<NodeId> {
        self.table.iter().map(|member| member.node).collect()
    }

    fn on_digest(
        &mut self,
        from: NodeId,
        first: NodeId,
        last: NodeId,
        claims: &[NodeClaim],
        now: MonotonicTime,
    ) {
        let comparison = compare(&self.table, first, last, claims);
        self.send_all(from, claim_messages(&comparison.newer_local));
        let records = self.published_records(comparison.missing_remote.into_iter());
        self.send_all(from, records_messages(records, true));
        self.apply_claims(from, &comparison.newer_remote, false, now);
    }

    /// Merges claims. `fresh` is false for claims from a comparison of tables: one that a present
    /// member is Dead is then verified first by probing the member.
    pub(crate) fn apply_claims(
        &mut self,
        from: NodeId,
        claims: &[NodeClaim],
        fresh: bool,
        now: MonotonicTime,
    ) {
        let mut missing = Vec::new();
        for claimed in claims {
            if claimed.node == self.own_node {
                self.handle_own_claim(claimed.claim, now);
            } else if !fresh && self.is_unverified_death(*claimed) {
                self.verify_death(*claimed, now);
            } else if self.merge_claim(*claimed, now) == Merge::RecordMissing {
                missing.push(claimed.node);
            }
        }
        for nodes in missing.chunks(MAX_NODES_PER_MESSAGE) {
            let nodes = nodes.to_vec();
            self.send(from, MembershipMessage::Pull { nodes });
        }
    }

    fn merge_claim(&mut self, claimed: NodeClaim, now: MonotonicTime) -> Merge {
        let is_known = self.table.get(claimed.node).is_some();
        // A claim that an unknown node departed is ignored.
        if !is_known && !claimed.claim.state.is_present() {
            return Merge::Same;
        }
        let merge = self.table.merge_claim(claimed, now);
        self.after_merge(claimed.node, merge, true, now);
        merge
    }

    /// Merges complete records. If `fresh` is false, they are not disseminated further, and a record
    /// that declares a present member Dead is verified first by probing the member.
    fn apply_records(&mut self, members: Vec<Member>, fresh: bool, now: MonotonicTime) {
        for member in members {
            let claimed = member.node_claim();
            if claimed.node == self.own_node {
                self.handle_own_claim(claimed.claim, now);
            } else if !fresh && self.is_unverified_death(claimed) {
                self.verify_death(claimed, now);
            } else {
                let merge = self.table.merge_record(member, now);
                self.after_merge(claimed.node, merge, fresh, now);
            }
        }
    }

    fn after_merge(&mut self, node: NodeId, merge: Merge, disseminate: bool, now: MonotonicTime) {
        if let Merge::Changed {
            old_state,
            new_generation,
        } = merge
        {
            self.after_change(node, old_state, new_generation);
            if disseminate {
                self.disseminate(node, new_generation, now);
            }
        }
    }

    /// Whether the claim would make a present member Dead without verification by this node.
    fn is_unverified_death(&self, claimed: NodeClaim) -> bool {
        let held = self.table.published_claim_of(claimed.node);
        let speaks_against = held.is_some_and(|held| {
            let same_generation =
                held.incarnation.generation() == claimed.claim.incarnation.generation();
            held.state.is_present() && claimed.claim > held && same_generation
        });
        speaks_against && anti_entropy::requires_verification(claimed.claim.state)
    }

    /// Refutes a false claim about this node, or reports that a later process supersedes it.
    pub(crate) fn handle_own_claim(&mut self, claim: Claim, now: MonotonicTime) {
        let own = self.own().claim();
        let is_later_generation = claim.incarnation.generation() > own.incarnation.generation();
        let is_newcomer = now.since(self.started_at) < self.config.newcomer_period;
        if is_later_generation && claim.state.is_present() && !is_newcomer {
            let by = claim.incarnation;
            self.emit(crate::event::Effect::Superseded { by });
            return;
        }
        let says_departed = !claim.state.is_present();
        let is_refutable = says_departed && claim.incarnation >= own.incarnation;
        if is_refutable || claim.incarnation > own.incarnation {
            self.counters.refutations += 1;
            // The record of a later generation may differ, so the refutation needs its own generation.
            let incarnation = if is_later_generation {
                claim.incarnation.next_generation()
            } else {
                claim.incarnation.next()
            };
            let state = own.state;
            let refutation = Claim { incarnation, state };
            self.set_own_claim(refutation, now);
        }
    }

    pub(crate) fn set_own_state(&mut self, state: MemberState, now: MonotonicTime) {
        let incarnation = self.own().incarnation;
        self.set_own_claim(Claim { incarnation, state }, now);
    }

    fn set_own_claim(&mut self, claim: Claim, now: MonotonicTime) {
        let mut own = self.own().clone();
        own.incarnation = claim.incarnation;
        own.state = claim.state;
        let merge = self.table.merge_record(own, now);
        self.after_merge(self.own_node, merge, true, now);
    }
}
