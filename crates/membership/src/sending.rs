//! Sending of messages and reporting of changes.

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
    /// Reports a changed member to the host.
    pub(crate) fn report(&mut self, member: Member, old_state: Option<MemberState>) {
        self.effects
            .push(Effect::MemberChanged { member, old_state });
    }

    pub(crate) fn emit(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Sends a message to a member; does nothing if it is not known.
    pub(crate) fn send(&mut self, to: NodeId, message: MembershipMessage) {
        let Some(member) = self.table.get(to) else {
            return;
        };
        let address = member.address;
        self.send_to(to, address, message);
    }

    /// Sends a message to a node at this address instead of the table's.
    pub(crate) fn send_to(&mut self, to: NodeId, address: SocketAddr, message: MembershipMessage) {
        self.counters.messages_sent += 1;
        self.effects.push(Effect::Send {
            to,
            address,
            message,
        });
    }

    /// Sends messages to a member in order; does nothing if it is not known.
    pub(crate) fn send_all(&mut self, to: NodeId, messages: Vec<MembershipMessage>) {
        for message in messages {
            self.send(to, message);
        }
    }

    /// The records of those `nodes` that are known, as sent to other nodes.
    pub(crate) fn published_records(&self, nodes: impl Iterator<Item = NodeId>) -> Vec<Member> {
        let members = nodes.filter_map(|node| self.table.get(node));
        members.cloned().map(published).collect()
    }

    /// Sends updates to this node's fingers; claims also to its fingers within its zone.
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
            fingers = self.random_present(self.config.monitors);
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

    /// Up to `count` other present members, chosen at random.
    pub(crate) fn random_present(&mut self, count: usize) -> Vec<NodeId> {
        let order = self.topology.order().iter().copied();
        let others: Vec<NodeId> = order.filter(|node| *node != self.own_node).collect();
        others.sample(&mut self.rng, count).copied().collect()
    }
}
