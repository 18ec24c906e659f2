//! Bytes by what they are for and how far they go: those between zones and regions have a price of their own.
//!
//! Whoever asks counts both its request and the answer, so the sum over all nodes has each byte once. Counted where the
//! settings name zones.

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

/// Machines whose zones are remembered.
const MAX_MACHINES: usize = 4_096;

/// What bytes are for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Bodies of requests to engines.
    EngineRequest,
    /// Bodies of their answers.
    EngineAnswer,
    /// Tokens that are reserved.
    Reservation,
    /// Tokens that turns generated.
    Settlement,
    /// Turns that are written.
    Append,
    /// Turns that are read.
    Chain,
    /// Records that replicas copy.
    Copy,
    /// Limits of tenants and of engines that warm up.
    Limit,
    /// Configuration, engines, replica sets, members.
    View,
    /// Heartbeats.
    Heartbeat,
    /// Where prompts were read.
    Place,
    /// Proofs of what is the newest.
    Proof,
    /// What nobody waits for any more, or knows.
    Late,
}

impl Purpose {
    const ALL: [Self; 13] = [
        Self::EngineRequest,
        Self::EngineAnswer,
        Self::Reservation,
        Self::Settlement,
        Self::Append,
        Self::Chain,
        Self::Copy,
        Self::Limit,
        Self::View,
        Self::Heartbeat,
        Self::Place,
        Self::Proof,
        Self::Late,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::EngineRequest => "engine_request",
            Self::EngineAnswer => "engine_answer",
            Self::Reservation => "reservation",
            Self::Settlement => "settlement",
            Self::Append => "append",
            Self::Chain => "chain",
            Self::Copy => "copy",
            Self::Limit => "limit",
            Self::View => "view",
            Self::Heartbeat => "heartbeat",
            Self::Place => "place",
            Self::Proof => "proof",
            Self::Late => "late",
        }
    }
}

/// How far bytes go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// Within a zone.
    Zone,
    /// To another zone of the region.
    Region,
    /// To another region.
    Beyond,
    /// To a machine whose zone is not known yet.
    Unknown,
}

impl Reach {
    const ALL: [Self; 4] = [Self::Zone, Self::Region, Self::Beyond, Self::Unknown];

    fn name(self) -> &'static str {
        match self {
            Self::Zone => "zone",
            Self::Region => "region",
            Self::Beyond => "beyond",
            Self::Unknown => "unknown",
        }
    }
}

/// Counted bytes.
#[derive(Debug, Default)]
pub struct TrafficCounts([[AtomicU64; Reach::ALL.len()]; Purpose::ALL.len()]);

impl TrafficCounts {
    /// Bytes so far.
    pub fn get(&self, purpose: Purpose, reach: Reach) -> u64 {
        self.0[purpose as usize][reach as usize].load(Ordering::Relaxed)
    }

    fn add(&self, purpose: Purpose, reach: Reach, bytes: usize) {
        let count = &self.0[purpose as usize][reach as usize];
        count.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// What one node knows of how far its bytes go.
#[derive(Debug)]
pub struct Traffic {
    zone: String,
    regions: ZoneRegions,
    machines: RefCell<HashMap<IpAddr, Reach>>,
    /// The counts.
    pub counts: Arc<TrafficCounts>,
}

impl Traffic {
    /// Nothing counted yet, at a node in this zone; `None` where the settings name no zones.
    pub fn new(zone: &str, regions: ZoneRegions) -> Option<Self> {
        (!regions.is_empty()).then(|| Self {
            zone: zone.to_owned(),
            regions,
            machines: RefCell::default(),
            counts: Arc::default(),
        })
    }

    /// A machine stands in this zone.
    pub fn on_machine(&self, ip: IpAddr, zone: &str) {
        let mut machines = self.machines.borrow_mut();
        if machines.contains_key(&ip) {
            return;
        }
        if machines.len() >= MAX_MACHINES {
            machines.clear();
        }
        machines.insert(ip, self.reach(zone));
    }

    /// Counts bytes to or from another node.
    pub fn add(&self, purpose: Purpose, node: IpAddr, bytes: usize) {
        let reach = self.machines.borrow().get(&node).copied();
        self.counts
            .add(purpose, reach.unwrap_or(Reach::Unknown), bytes);
    }

    /// Counts bytes to or from an engine in this zone.
    pub fn add_for_zone(&self, purpose: Purpose, zone: &str, bytes: usize) {
        self.counts.add(purpose, self.reach(zone), bytes);
    }

    fn reach(&self, zone: &str) -> Reach {
        match self.regions.distance(&self.zone, zone) {
            0 => Reach::Zone,
            1 => Reach::Region,
            _ => Reach::Beyond,
        }
    }
}

/// Tells the counts at each request for metrics.
#[derive(Debug)]
pub struct TrafficCollector(pub Arc<TrafficCounts>);

impl Collector for TrafficCollector {
    fn encode(&self, mut encoder: DescriptorEncoder) -> Result<(), std::fmt::Error> {
        let help = "Bytes asked and answered, by what they are for and how far they go";
        let mut family =
            encoder.encode_descriptor("traffic_bytes", help, None, MetricType::Counter)?;
        for purpose in Purpose::ALL {
            for reach in Reach::ALL {
                let bytes = self.0.get(purpose, reach);
                if bytes == 0 {
                    continue;
                }
                let labels = [("purpose", purpose.name()), ("reach", reach.name())];
                let metric = family.encode_family(&labels)?;
                ConstCounter::new(bytes).encode(metric)?;
            }
        }
        Ok(())
    }
}
