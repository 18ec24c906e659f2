//! Relays: which nodes renew the leases of their zone's members, and whom a node asks next.
//!
//! Every node works the plan out from its own list of members. Two lists may differ: a relay serves
//! whoever asks, within its bound, and a node that finds no relay asks the voters themselves.

use std::collections::BTreeMap;
use std::time::Duration;

use ridgeworks_domain::{MonotonicTime, NodeId, ZoneName};

use crate::quorum::Voters;
use crate::settings::{MEMBERS_PER_RELAY, Member, RELAY_PATIENCE};

/// Relays that a node tries one after the other before it asks the voters.
const RELAYS_TRIED: usize = 2;
/// How long a node whose relays failed asks the voters before it tries relays again.
const DIRECT_TIME: Duration = Duration::from_secs(10);

/// Whom a node asks to renew its lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RenewalTarget {
    /// All voters.
    Voters,
    /// One relay.
    Relay(NodeId),
}

/// The relays of all zones, in the order in which each node prefers them.
#[derive(Debug, Clone, Default)]
pub struct RelayPlan {
    zones: BTreeMap<ZoneName, Vec<NodeId>>,
    zone_of: BTreeMap<NodeId, ZoneName>,
}

impl RelayPlan {
    /// Chooses one relay for every [`MEMBERS_PER_RELAY`] members of a zone; voters are spared.
    pub fn new(members: &[Member], voters: &Voters) -> Self {
        let mut plan = Self::default();
        let mut zones: BTreeMap<ZoneName, Vec<NodeId>> = BTreeMap::new();
        for member in members {
            plan.zone_of.insert(member.node, member.zone.clone());
            if !voters.contains(member.node) {
                zones
                    .entry(member.zone.clone())
                    .or_default()
                    .push(member.node);
            }
        }
        for (zone, mut nodes) in zones {
            let count = nodes.len().div_ceil(MEMBERS_PER_RELAY);
            nodes.sort_by_key(|node| weight(zone.as_str().as_bytes(), *node));
            nodes.truncate(count);
            plan.zones.insert(zone, nodes);
        }
        plan
    }

    /// The relays of a node's zone, the one it prefers first; empty where it asks the voters.
    pub fn relays_for(&self, node: NodeId) -> Vec<NodeId> {
        let zone = self.zone_of.get(&node);
        let relays = zone.and_then(|zone| self.zones.get(zone));
        let mut relays = relays.cloned().unwrap_or_default();
        if relays.contains(&node) {
            return Vec::new();
        }
        relays.sort_by_key(|relay| weight(&node.0.to_le_bytes(), *relay));
        relays
    }
}

/// Rendezvous weight of `node` for `key`.
fn weight(key: &[u8], node: NodeId) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(key, node.0)
}

/// A node's way through its relays.
#[derive(Debug, Default)]
pub struct RelayChoice {
    relays: Vec<NodeId>,
    next: usize,
    asked: Option<MonotonicTime>,
    direct_since: Option<MonotonicTime>,
}

impl RelayChoice {
    /// Takes a new order of preference. The present relay is kept where it is still a relay.
    pub fn set_relays(&mut self, relays: Vec<NodeId>) {
        let present = self.relays.get(self.next).copied();
        let kept = relays.iter().position(|relay| Some(*relay) == present);
        self.next = kept.unwrap_or(0);
        self.relays = relays;
        self.asked = None;
        self.direct_since = None;
    }

    /// Whom to ask now. A relay that does not answer in time is left for the voters at once, since
    /// the lease is running out; the next renewal tries the next relay.
    pub fn target(&mut self, now: MonotonicTime) -> RenewalTarget {
        if self
            .asked
            .is_some_and(|asked| now.since(asked) >= RELAY_PATIENCE)
        {
            self.give_up_relay();
            return RenewalTarget::Voters;
        }
        match self.relays.get(self.next) {
            Some(relay) if self.next < RELAYS_TRIED => {
                self.asked.get_or_insert(now);
                RenewalTarget::Relay(*relay)
            }
            _ => self.ask_voters(now),
        }
    }

    /// Relays that failed are tried again after [`DIRECT_TIME`].
    fn ask_voters(&mut self, now: MonotonicTime) -> RenewalTarget {
        let since = *self.direct_since.get_or_insert(now);
        if now.since(since) >= DIRECT_TIME {
            self.direct_since = None;
            self.next = 0;
        }
        RenewalTarget::Voters
    }

    /// Whether a relay has been asked and has not answered yet.
    pub fn is_waiting(&self) -> bool {
        self.asked.is_some()
    }

    /// Notes that the relay answered.
    pub fn answered(&mut self) {
        self.asked = None;
    }

    /// Turns to the next relay.
    pub fn give_up_relay(&mut self) {
        self.next += 1;
        self.asked = None;
    }
}
