//! Periodic activities: contacting seeds, comparing tables and pinging Dead members.

use rand::seq::IndexedRandom;
use ridgeworks_domain::{MonotonicTime, NodeId};

use crate::event::Effect;
use crate::member::MemberState;
use crate::membership::Membership;
use crate::message::MembershipMessage;

impl Membership {
    /// Sends join requests to the seeds that are not present members: frequently while this node is
    /// alone, otherwise rarely, so that groups of nodes that started separately merge.
    pub(crate) fn contact_seeds_if_due(&mut self, now: MonotonicTime) {
        if now < self.schedule.seeds_at {
            return;
        }
        let is_alone = self.topology.len() <= 1;
        let interval = if is_alone {
            self.config.join_retry_interval
        } else {
            self.config.seed_interval
        };
        self.schedule.seeds_at = now + interval;
        let own = self.own().clone();
        let is_present = |address| {
            let mut present = self.table.present();
            present.any(|member| member.address == address)
        };
        let absent = self.seeds.iter().filter(|address| !is_present(**address));
        let absent: Vec<_> = absent.copied().collect();
        for address in absent {
            self.counters.messages_sent += 1;
            let member = Box::new(own.clone());
            let message = MembershipMessage::Join { member };
            self.emit(Effect::SendToSeed { address, message });
        }
    }

    /// Sends the hash of the table to one other member.
    pub(crate) fn compare_tables_if_due(&mut self, now: MonotonicTime) {
        if now < self.schedule.anti_entropy_at {
            return;
        }
        let is_newcomer = now.since(self.started_at) < self.config.newcomer_period;
        let interval = if is_newcomer {
            self.config.newcomer_anti_entropy_interval
        } else {
            self.config.anti_entropy_interval
        };
        self.schedule.anti_entropy_at = now + interval;
        let fingers = self.topology.fingers_of(self.own_node);
        if let Some(partner) = fingers.choose(&mut self.rng).copied() {
            let hash = self.table.hash();
            self.send(partner, MembershipMessage::TableHash { hash });
        }
    }

    /// Pings one Dead member to detect the end of a network partition.
    pub(crate) fn reconnect_if_due(&mut self, now: MonotonicTime) {
        if now < self.schedule.reconnect_at {
            return;
        }
        self.schedule.reconnect_at = now + self.config.reconnect_interval;
        let members = self.table.iter();
        let dead = members.filter(|member| member.state == MemberState::Dead);
        let dead: Vec<NodeId> = dead.map(|member| member.node).collect();
        if let Some(node) = dead.choose(&mut self.rng).copied() {
            self.ping(node);
        }
    }
}
