//! Where hollow nodes stand: regions, zones, one rack, disks and addresses.

use std::net::{Ipv4Addr, SocketAddr};

use serde::{Deserialize, Serialize};

/// Zones of each region, 19 in all.
const ZONES_OF_REGIONS: [usize; 6] = [4, 3, 3, 3, 3, 3];
/// One hollow node in so many has a disk: a few machines have one.
const NODES_PER_DISK: usize = 8;
/// The part of all nodes that stands in one rack.
const NODES_PER_RACK: f64 = 0.05;
const LINK_PORT: u16 = 7_400;
/// Hosts of one block of loopback addresses.
const HOSTS_PER_BLOCK: usize = 250;

/// One hollow node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HollowPlan {
    /// Its position among the hollow nodes.
    pub index: usize,
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Whether it carries the replica role.
    pub has_disk: bool,
    /// Where it listens for other nodes; 127.x.y.z, so that no outgoing connection takes its port.
    pub address: SocketAddr,
}

/// All hollow nodes.
#[derive(Debug, Clone)]
pub struct Layout {
    /// The nodes by their index.
    pub nodes: Vec<HollowPlan>,
}

impl Layout {
    /// Spreads nodes over all zones. `block` is the second byte of their loopback addresses, so that
    /// two runs on one machine do not meet.
    pub fn new(count: usize, block: u8) -> Self {
        let zones = all_zones();
        let plan = |index: usize| {
            let (region, zone) = &zones[index % zones.len()];
            HollowPlan {
                index,
                name: name_of(index),
                zone: zone.clone(),
                region: region.clone(),
                has_disk: index.is_multiple_of(NODES_PER_DISK),
                address: address_of(index, block),
            }
        };
        Self {
            nodes: (0..count).map(plan).collect(),
        }
    }

    /// Nodes of one zone.
    pub fn zone(&self, zone: &str) -> Vec<usize> {
        self.matching(|node| node.zone == zone)
    }

    /// Nodes of one region.
    pub fn region(&self, region: &str) -> Vec<usize> {
        self.matching(|node| node.region == region)
    }

    /// The nodes of one rack: 5% of all, which stand in the last region. A zone of the two-year size
    /// holds about as many, so that the rack takes the most of a zone and the rest of the next.
    pub fn rack(&self, all_nodes: usize) -> Vec<usize> {
        let size = (all_nodes as f64 * NODES_PER_RACK).round().max(1.0) as usize;
        let mut nodes = self.region(&Self::last_region());
        nodes.sort_by(|left, right| self.nodes[*left].zone.cmp(&self.nodes[*right].zone));
        nodes.truncate(size);
        nodes
    }

    /// The region that is cut off. No full process stands there.
    pub fn last_region() -> String {
        region_name(ZONES_OF_REGIONS.len())
    }

    /// The zone that is cut off, the last of that region.
    pub fn last_zone() -> String {
        let zones = ZONES_OF_REGIONS[ZONES_OF_REGIONS.len() - 1];
        zone_name(ZONES_OF_REGIONS.len(), zones)
    }

    fn matching(&self, matches: impl Fn(&HollowPlan) -> bool) -> Vec<usize> {
        let nodes = self.nodes.iter().filter(|node| matches(node));
        nodes.map(|node| node.index).collect()
    }
}

/// Name of a hollow node.
pub fn name_of(index: usize) -> String {
    format!("hollow-{index}")
}

/// Index of the hollow node of this name; `None` for a full process.
pub fn index_of(name: &str) -> Option<usize> {
    name.strip_prefix("hollow-")?.parse().ok()
}

fn all_zones() -> Vec<(String, String)> {
    let regions = ZONES_OF_REGIONS.iter().enumerate();
    let zones = regions.flat_map(|(region, zones)| {
        let pair = move |zone| (region_name(region + 1), zone_name(region + 1, zone + 1));
        (0..*zones).map(pair)
    });
    zones.collect()
}

fn region_name(region: usize) -> String {
    format!("region-{region}")
}

fn zone_name(region: usize, zone: usize) -> String {
    format!("region-{region}-zone-{zone}")
}

fn address_of(index: usize, block: u8) -> SocketAddr {
    let host = (index % HOSTS_PER_BLOCK + 1) as u8;
    let third = (index / HOSTS_PER_BLOCK) as u8;
    SocketAddr::from((Ipv4Addr::new(127, block, third, host), LINK_PORT))
}
