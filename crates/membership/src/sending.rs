//! The part of the membership state machine that sends and reports.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use rand::seq::IndexedRandom;
use ridgeworks_domain::NodeId;

use crate::dissemination::Batch;
use crate::event::Effect;
use crate::member::{Member, MemberState};
use crate::member_table::published;
use crate::membership::Membership;
use crate::message::{MAX_CLAIMS_PER_MESSAGE, MembershipMessage, records_messages};

impl Membership {
    /// Reports a member that changed.
    pub(crate) fn report(&mut self, member: Member, old_state: Option<MemberState>) {
        self.effects
            .push(Effect::MemberChanged { member, old_state });
    }

    /// Has something done.
    pub(crate) fn emit(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Sends a message to a member that is known.
    pub(crate) fn send(&mut self, to: NodeId, message: MembershipMessage) {
        let Some(member) = self.table.get(to) else {
            return;
        };
        let address = member.address;
        self.send_to(to, address, message);
    }

    /// Sends a message to a node at an address.
    pub(crate) fn send_to(&mut self, to: NodeId, address: SocketAddr, message: MembershipMessage) {
        self.counters.messages_sent += 1;
        self.effects.push(Effect::Send {
            to,
            address,
            message,
        });
    }

    /// Sends messages to a member that is known, in order.
    pub(crate) fn send_all(&mut self, to: NodeId, messages: Vec<MembershipMessage>) {
        for message in messages {
            self.send(to, message);
        }
    }

    /// The known ones of some members, as other nodes are told of them.
    pub(crate) fn published_records(&self, nodes: impl Iterator<Item = NodeId>) -> Vec<Member> {
        let members = nodes.filter_map(|node| self.table.get(node));
        members.cloned().map(published).collect()
    }

    /// Passes news on to this node's fingers; claims also to those in its zone.
    pub(crate) fn send_to_fingers(&mut self, batch: Batch) {
        let records = self.published_records(batch.records.iter().copied());
        let records = records_messages(records, true);
        let pages = batch.claims.chunks(MAX_CLAIMS_PER_MESSAGE);
        let updates: Vec<MembershipMessage> = pages
            .map(|claims| MembershipMessage::Updates {
                claims: claims.to_vec(),
            })
            .collect();
        let mut fingers = self.topology.fingers_of(self.own_node);
        if fingers.is_empty() {
            // A node that just left is no longer on the ring.
            fingers = self.any_present(self.config.monitors);
        }
        for finger in &fingers {
            self.send_all(*finger, records.clone());
        }
        fingers.extend(self.topology.zone_fingers_of(self.own_node));
        let receivers: BTreeSet<NodeId> = fingers.into_iter().collect();
        for receiver in receivers {
            self.send_all(receiver, updates.clone());
        }
    }

    /// Some other present members, chosen at random.
    pub(crate) fn any_present(&mut self, count: usize) -> Vec<NodeId> {
        let order = self.topology.order().iter().copied();
        let others: Vec<NodeId> = order.filter(|node| *node != self.own_node).collect();
        others.sample(&mut self.rng, count).copied().collect()
    }
}
