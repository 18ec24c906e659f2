//! Probing between zones, which a few relays of each zone do on its behalf.
//!
//! Each pair of zones is looked after by one relay on either side, chosen alike by both, so that either
//! one's probes serve both. When a relay falls silent the others of its zone are probed too, and when
//! all of them are silent, every member of that zone: a zone that is cut off so loses all its members
//! within one more confirmation time.

use std::collections::BTreeMap;

use ridgeworks_domain::{NodeId, ZoneName};
use xxhash_rust::xxh3::xxh3_64;

use crate::detector::ProbeRole;
use crate::topology::Topology;

/// The relays of other zones that `own_node` probes; none if it is not a relay.
pub fn targets_of(topology: &Topology, own_node: NodeId) -> BTreeMap<NodeId, ProbeRole> {
    let Some(own_zone) = topology.zone_of(own_node) else {
        return BTreeMap::new();
    };
    let other_zones = topology.zones().filter(|zone| *zone != own_zone);
    let looked_after = other_zones.filter(|other| {
        let relay = relay_towards(topology, own_zone, other);
        relay == Some(own_node)
    });
    let counterparts = looked_after.filter_map(|other| relay_towards(topology, other, own_zone));
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

/// The relay of `zone` that looks after its pair with `other`.
fn relay_towards(topology: &Topology, zone: &ZoneName, other: &ZoneName) -> Option<NodeId> {
    let relays = topology.relays(zone);
    let hash_of = |zone: &ZoneName| xxh3_64(zone.as_str().as_bytes());
    let pair = usize::try_from((hash_of(zone) ^ hash_of(other)) >> 32).unwrap_or(0);
    let index = pair.checked_rem(relays.len())?;
    relays.get(index).copied()
}
