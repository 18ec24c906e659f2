//! Which nodes probe and update each other, computed identically by every node from its table.
//!
//! Node identifiers are hashes of names, so their order forms a random ring. Within a zone, every
//! member is monitored by its predecessors on the zone's ring. These monitors are its back-pointers in
//! the sense of Zhuang et al., "On Failure Detection Algorithms in Overlay Networks": the nodes that a
//! suspicion of the member concerns first, which any node can compute without additional state.

use std::collections::{BTreeMap, BTreeSet};

use ridgeworks_domain::{NodeId, ZoneName};

use crate::member::Member;
use crate::rendezvous;

/// Rings and relays of the present members.
#[derive(Debug, Clone, Default)]
pub struct Topology {
    order: Vec<NodeId>,
    zone_of: BTreeMap<NodeId, ZoneName>,
    zones: BTreeMap<ZoneName, Vec<NodeId>>,
    relays: BTreeMap<ZoneName, Vec<NodeId>>,
}

impl Topology {
    /// Computes the topology; `members` must be the present members.
    pub fn of<'a>(members: impl Iterator<Item = &'a Member>, relays_per_zone: usize) -> Self {
        let members: Vec<&Member> = members.collect();
        let mut topology = Self::default();
        for member in &members {
            topology.order.push(member.node);
            topology.zone_of.insert(member.node, member.zone.clone());
            let zone = topology.zones.entry(member.zone.clone()).or_default();
            zone.push(member.node);
        }
        topology.order.sort_unstable();
        for nodes in topology.zones.values_mut() {
            nodes.sort_unstable();
        }
        for zone in topology.zones.keys() {
            let relays = rendezvous::relays_of(zone, members.iter().copied(), relays_per_zone);
            topology.relays.insert(zone.clone(), relays);
        }
        topology
    }

    /// Number of present members.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether no member is present.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Present members in ring order.
    pub fn order(&self) -> &[NodeId] {
        &self.order
    }

    /// Zone of a member; `None` if it is not present.
    pub fn zone_of(&self, node: NodeId) -> Option<&ZoneName> {
        self.zone_of.get(&node)
    }

    /// Present members of a zone in ring order.
    pub fn zone(&self, zone: &ZoneName) -> &[NodeId] {
        self.zones.get(zone).map_or(&[], Vec::as_slice)
    }

    /// All zones with present members.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneName> {
        self.zones.keys()
    }

    /// Relays of a zone, highest ranked first.
    pub fn relays(&self, zone: &ZoneName) -> &[NodeId] {
        self.relays.get(zone).map_or(&[], Vec::as_slice)
    }

    /// The nodes that monitor `node`: its predecessors on its zone's ring and, if the zone has too few
    /// members, predecessors on the ring of all members.
    pub fn monitors_of(&self, node: NodeId, count: usize) -> Vec<NodeId> {
        let Some(zone) = self.zone_of.get(&node) else {
            return Vec::new();
        };
        let mut monitors = predecessors(&self.zones[zone], node, count);
        if monitors.len() < count {
            let others = predecessors(&self.order, node, self.order.len());
            let foreign = others
                .into_iter()
                .filter(|other| self.zone_of[other] != *zone);
            monitors.extend(foreign.take(count - monitors.len()));
        }
        monitors
    }

    /// The nodes that `node` monitors; the inverse of [`Topology::monitors_of`].
    pub fn monitored_by(&self, node: NodeId, count: usize) -> BTreeSet<NodeId> {
        let Some(own_zone) = self.zone_of.get(&node) else {
            return BTreeSet::new();
        };
        let mut targets: BTreeSet<NodeId> = successors(&self.zones[own_zone], node, count)
            .into_iter()
            .collect();
        let small_zones = self.zones.values().filter(|nodes| nodes.len() <= count);
        for target in small_zones.flatten().filter(|target| **target != node) {
            if self.monitors_of(*target, count).contains(&node) {
                targets.insert(*target);
            }
        }
        targets
    }

    /// The members that `node` sends updates to: those at distances of powers of two on the ring of
    /// all members, so that an update reaches every member in a logarithmic number of hops.
    pub fn fingers_of(&self, node: NodeId) -> Vec<NodeId> {
        fingers(&self.order, node)
    }

    /// As [`Topology::fingers_of`], on the ring of the node's zone. Claims are sent to these as well,
    /// so that they spread within a zone that is partitioned off.
    pub fn zone_fingers_of(&self, node: NodeId) -> Vec<NodeId> {
        let zone = self.zone_of.get(&node);
        zone.map_or_else(Vec::new, |zone| fingers(&self.zones[zone], node))
    }
}

fn fingers(ring: &[NodeId], node: NodeId) -> Vec<NodeId> {
    let Ok(position) = ring.binary_search(&node) else {
        return Vec::new();
    };
    let size = ring.len();
    let distances = (0..usize::BITS).map(|bit| 1_usize << bit);
    distances
        .take_while(|distance| *distance < size)
        .map(|distance| ring[(position + distance) % size])
        .collect()
}

fn successors(ring: &[NodeId], node: NodeId, count: usize) -> Vec<NodeId> {
    let Ok(position) = ring.binary_search(&node) else {
        return Vec::new();
    };
    let size = ring.len();
    let distances = 1..size.min(count + 1);
    distances
        .map(|distance| ring[(position + distance) % size])
        .collect()
}

fn predecessors(ring: &[NodeId], node: NodeId, count: usize) -> Vec<NodeId> {
    let Ok(position) = ring.binary_search(&node) else {
        return Vec::new();
    };
    let size = ring.len();
    let distances = 1..size.min(count + 1);
    distances
        .map(|distance| ring[(position + size - distance) % size])
        .collect()
}
