//! Probing between zones, which a few relays of each zone do on its behalf.
//!
//! Relay number i of a zone probes relay number i of every other zone. When a relay falls silent the
//! others of its zone are probed too, and when all of them are silent, every member of that zone: a
//! zone that is cut off so loses all its members within one more confirmation time.

use std::collections::BTreeMap;

use ridgeworks_domain::{NodeId, ZoneName};

use crate::detector::ProbeRole;
use crate::topology::Topology;

/// The relays of other zones that `own_node` probes; none if it is not a relay.
pub fn targets_of(topology: &Topology, own_node: NodeId) -> BTreeMap<NodeId, ProbeRole> {
    let Some(own_zone) = topology.zone_of(own_node) else {
        return BTreeMap::new();
    };
    let own_relays = topology.relays(own_zone);
    let Some(index) = own_relays.iter().position(|relay| *relay == own_node) else {
        return BTreeMap::new();
    };
    let other_zones = topology.zones().filter(|zone| *zone != own_zone);
    let counterparts = other_zones.filter_map(|zone| counterpart(topology, zone, index));
    counterparts.map(|node| (node, ProbeRole::Relay)).collect()
}

/// A relay of a third zone, which may reach a member that `own_node` cannot reach.
pub fn third_zone_relays(topology: &Topology, own_node: NodeId, target: NodeId) -> Vec<NodeId> {
    let own_zone = topology.zone_of(own_node);
    let target_zone = topology.zone_of(target);
    let is_third = |zone: &&ZoneName| Some(*zone) != own_zone && Some(*zone) != target_zone;
    let zones = topology.zones().filter(is_third);
    let relays = zones.filter_map(|zone| topology.relays(zone).first());
    relays.copied().collect()
}

fn counterpart(topology: &Topology, zone: &ZoneName, index: usize) -> Option<NodeId> {
    let relays = topology.relays(zone);
    relays.get(index).or(relays.first()).copied()
}
