//! Counts bytes by purpose and distance, since traffic between zones and regions has its own price.
//!
//! The requester counts both the request and the reply, so that the sum over all nodes has each byte once. Nothing is counted
//! where the settings name no zones.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;
use ridgeworks_routing::ZoneRegions;

/// Maximum number of machines whose distances are kept; beyond it all are dropped and learned again.
const MAX_MACHINES: usize = 4_096;

/// What bytes are sent for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Bodies of requests to engines.
    EngineRequest,
    /// Bodies of engines' responses.
    EngineAnswer,
    /// Reservations of tokens.
    Reservation,
    /// Settlements of reservations with the tokens that were generated.
    Settlement,
    /// Writes of turns.
    Append,
    /// Reads of chains of turns.
    ChainRead,
    /// Copies of records between replicas.
    Copy,
    /// Rate limits of tenants and of engines that warm up.
    Limit,
    /// Configuration, engines, replica sets, members.
    View,
    /// Heartbeats.
    Heartbeat,
    /// The directory of prefills: which engine has processed which prompt.
    PrefillDirectory,
    /// Confirmations that a view is the newest.
    Confirmation,
    /// Replies that nobody waits for any more, and messages of unknown kinds.
    Unclaimed,
}

impl Purpose {
    const ALL: [Self; 13] = [
        Self::EngineRequest,
        Self::EngineAnswer,
        Self::Reservation,
        Self::Settlement,
        Self::Append,
        Self::ChainRead,
        Self::Copy,
        Self::Limit,
        Self::View,
        Self::Heartbeat,
        Self::PrefillDirectory,
        Self::Confirmation,
        Self::Unclaimed,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::EngineRequest => "engine_request",
            Self::EngineAnswer => "engine_answer",
            Self::Reservation => "reservation",
            Self::Settlement => "settlement",
            Self::Append => "append",
            Self::ChainRead => "chain",
            Self::Copy => "copy",
            Self::Limit => "limit",
            Self::View => "view",
            Self::Heartbeat => "heartbeat",
            Self::PrefillDirectory => "place",
            Self::Confirmation => "proof",
            Self::Unclaimed => "late",
        }
    }
}

/// Distance between the two ends of a transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Distance {
    /// Within one zone.
    SameZone,
    /// To another zone of the same region.
    OtherZone,
    /// To another region.
    OtherRegion,
    /// To a machine whose zone is not known yet.
    Unknown,
}

impl Distance {
    const ALL: [Self; 4] = [
        Self::SameZone,
        Self::OtherZone,
        Self::OtherRegion,
        Self::Unknown,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::SameZone => "zone",
            Self::OtherZone => "region",
            Self::OtherRegion => "beyond",
            Self::Unknown => "unknown",
        }
    }
}

/// Bytes by purpose and distance.
#[derive(Debug, Default)]
pub struct TrafficCounts([[AtomicU64; Distance::ALL.len()]; Purpose::ALL.len()]);

impl TrafficCounts {
    /// Bytes since the start of the process.
    pub fn get(&self, purpose: Purpose, distance: Distance) -> u64 {
        self.0[purpose as usize][distance as usize].load(Ordering::Relaxed)
    }

    fn add(&self, purpose: Purpose, distance: Distance, bytes: usize) {
        let count = &self.0[purpose as usize][distance as usize];
        count.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// Counts the bytes of one node.
#[derive(Debug)]
pub struct Traffic {
    zone: String,
    regions: ZoneRegions,
    machines: RefCell<HashMap<IpAddr, Distance>>,
    /// Shared with the [`TrafficCollector`].
    pub counts: Arc<TrafficCounts>,
}

impl Traffic {
    /// `zone` is the node's own zone; `None` where the settings name no zones.
    pub fn new(zone: &str, regions: ZoneRegions) -> Option<Self> {
        (!regions.is_empty()).then(|| Self {
            zone: zone.to_owned(),
            regions,
            machines: RefCell::default(),
            counts: Arc::default(),
        })
    }

    /// Records the zone of a machine; the first one recorded stays.
    pub fn set_machine_zone(&self, ip: IpAddr, zone: &str) {
        let mut machines = self.machines.borrow_mut();
        if machines.contains_key(&ip) {
            return;
        }
        if machines.len() >= MAX_MACHINES {
            machines.clear();
        }
        machines.insert(ip, self.distance_to(zone));
    }

    /// Counts bytes to or from another node.
    pub fn add(&self, purpose: Purpose, node: IpAddr, bytes: usize) {
        let distance = self.machines.borrow().get(&node).copied();
        self.counts
            .add(purpose, distance.unwrap_or(Distance::Unknown), bytes);
    }

    /// Counts bytes to or from an engine in this zone.
    pub fn add_for_zone(&self, purpose: Purpose, zone: &str, bytes: usize) {
        self.counts.add(purpose, self.distance_to(zone), bytes);
    }

    fn distance_to(&self, zone: &str) -> Distance {
        match self.regions.distance(&self.zone, zone) {
            0 => Distance::SameZone,
            1 => Distance::OtherZone,
            _ => Distance::OtherRegion,
        }
    }
}

/// Exports the counts as metrics.
#[derive(Debug)]
pub struct TrafficCollector(pub Arc<TrafficCounts>);

impl Collector for TrafficCollector {
    fn encode(&self, mut encoder: DescriptorEncoder) -> Result<(), std::fmt::Error> {
        let help = "Bytes asked and answered, by what they are for and how far they go";
        let mut family =
            encoder.encode_descriptor("traffic_bytes", help, None, MetricType::Counter)?;
        for purpose in Purpose::ALL {
            for distance in Distance::ALL {
                let bytes = self.0.get(purpose, distance);
                if bytes == 0 {
                    continue;
                }
                let labels = [("purpose", purpose.name()), ("reach", distance.name())];
                let metric = family.encode_family(&labels)?;
                ConstCounter::new(bytes).encode(metric)?;
            }
        }
        Ok(())
    }
}
