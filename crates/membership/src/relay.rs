//! Probing between zones by a few relays of each zone.
//!
//! Each pair of zones is served by one relay on either side, chosen identically by both, so that the
//! probes of either relay serve both. If a relay becomes unresponsive, the other relays of its zone
//! are probed too, and if all of them are unresponsive, all members of that zone. The members of a
//! zone that is partitioned off are thus declared Dead within one more confirmation timeout.

use std::collections::BTreeMap;

use ridgeworks_domain::{NodeId, ZoneName};
use xxhash_rust::xxh3::xxh3_64;

use crate::detector::ProbeRole;
use crate::topology::Topology;

/// The relays of other zones that `own_node` probes; empty if it is not a relay.
pub fn relay_targets(topology: &Topology, own_node: NodeId) -> BTreeMap<NodeId, ProbeRole> {
    let Some(own_zone) = topology.zone_of(own_node) else {
        return BTreeMap::new();
    };
    let other_zones = topology.zones().filter(|zone| *zone != own_zone);
    let served_zones = other_zones.filter(|other| {
        let relay = relay_towards(topology, own_zone, other);
        relay == Some(own_node)
    });
    let counterparts = served_zones.filter_map(|other| relay_towards(topology, other, own_zone));
    counterparts.map(|node| (node, ProbeRole::Relay)).collect()
}

/// One relay of each zone other than those of `own_node` and `target`. It may reach a target that
/// `own_node` cannot reach.
pub fn third_zone_relays(topology: &Topology, own_node: NodeId, target: NodeId) -> Vec<NodeId> {
    let own_zone = topology.zone_of(own_node);
    let target_zone = topology.zone_of(target);
    let is_third = |zone: &&ZoneName| Some(*zone) != own_zone && Some(*zone) != target_zone;
    let zones = topology.zones().filter(is_third);
    let relays = zones.filter_map(|zone| topology.relays(zone).first());
    relays.copied().collect()
}

/// The relay of `zone` that probes zone `other`.
fn relay_towards(topology: &Topology, zone: &ZoneName, other: &ZoneName) -> Option<NodeId> {
    let relays = topology.relays(zone);
    let hash_of = |zone: &ZoneName| xxh3_64(zone.as_str().as_bytes());
    let pair = usize::try_from((hash_of(zone) ^ hash_of(other)) >> 32).unwrap_or(0);
    let index = pair.checked_rem(relays.len())?;
    relays.get(index).copied()
}
