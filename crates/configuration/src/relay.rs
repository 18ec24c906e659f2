//! Relays: which nodes renew leases for the members of their zone, and where a node sends its renewal.
//!
//! Every node computes the assignment from its own list of members. The lists may differ: a relay
//! serves any node up to its limit of clients, and a node without a working relay asks the voters.

use std::collections::BTreeMap;
use std::time::Duration;

use ridgeworks_domain::{MonotonicTime, NodeId, ZoneName};

use crate::quorum::Voters;
use crate::settings::{MEMBERS_PER_RELAY, Member, RELAY_TIMEOUT};

/// Number of relays that a node tries before it asks the voters.
const MAX_RELAY_ATTEMPTS: usize = 2;
/// How long a node asks the voters after its relays failed, before it tries relays again.
const RELAY_COOLDOWN: Duration = Duration::from_secs(10);

/// Where a node sends the renewal of its lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RenewalTarget {
    /// All voters.
    Voters,
    /// One relay.
    Relay(NodeId),
}

/// The relays of all zones.
#[derive(Debug, Clone, Default)]
pub struct RelayAssignment {
    zones: BTreeMap<ZoneName, Vec<NodeId>>,
    zone_of: BTreeMap<NodeId, ZoneName>,
}

impl RelayAssignment {
    /// Assigns one relay for every [`MEMBERS_PER_RELAY`] members of a zone. Voters are never relays.
    pub fn new(members: &[Member], voters: &Voters) -> Self {
        let mut assignment = Self::default();
        let mut zones: BTreeMap<ZoneName, Vec<NodeId>> = BTreeMap::new();
        for member in members {
            assignment.zone_of.insert(member.node, member.zone.clone());
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
            assignment.zones.insert(zone, nodes);
        }
        assignment
    }

    /// The relays of a node's zone in the node's order of preference; empty if it asks the voters.
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

/// Selects the relay that a node uses, with failover to the voters.
#[derive(Debug, Default)]
pub struct RelaySelector {
    relays: Vec<NodeId>,
    next: usize,
    requested_at: Option<MonotonicTime>,
    using_voters_since: Option<MonotonicTime>,
}

impl RelaySelector {
    /// Sets a new order of preference. The current relay is kept if it is still in the list.
    pub fn set_relays(&mut self, relays: Vec<NodeId>) {
        let current = self.relays.get(self.next).copied();
        let kept = relays.iter().position(|relay| Some(*relay) == current);
        self.next = kept.unwrap_or(0);
        self.relays = relays;
        self.requested_at = None;
        self.using_voters_since = None;
    }

    /// Where to send a renewal now. If the relay does not answer within [`RELAY_TIMEOUT`], this
    /// renewal goes to the voters, since the lease is about to expire; the next one tries the next
    /// relay.
    pub fn target(&mut self, now: MonotonicTime) -> RenewalTarget {
        if self
            .requested_at
            .is_some_and(|requested_at| now.since(requested_at) >= RELAY_TIMEOUT)
        {
            self.skip_relay();
            return RenewalTarget::Voters;
        }
        match self.relays.get(self.next) {
            Some(relay) if self.next < MAX_RELAY_ATTEMPTS => {
                self.requested_at.get_or_insert(now);
                RenewalTarget::Relay(*relay)
            }
            _ => self.ask_voters(now),
        }
    }

    /// Tries the relays again after [`RELAY_COOLDOWN`].
    fn ask_voters(&mut self, now: MonotonicTime) -> RenewalTarget {
        let since = *self.using_voters_since.get_or_insert(now);
        if now.since(since) >= RELAY_COOLDOWN {
            self.using_voters_since = None;
            self.next = 0;
        }
        RenewalTarget::Voters
    }

    /// Whether a renewal to a relay is unanswered.
    pub fn is_waiting(&self) -> bool {
        self.requested_at.is_some()
    }

    /// Records that the relay answered.
    pub fn answered(&mut self) {
        self.requested_at = None;
    }

    /// Switches to the next relay.
    pub fn skip_relay(&mut self) {
        self.next += 1;
        self.requested_at = None;
    }
}
