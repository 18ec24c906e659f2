//! Measures the extra latency of engines in other regions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::residency::ZoneRegions;

/// Minimum extra cost of another region, in milliseconds: for traffic, and before there are measurements.
const MIN_EXTRA_MS: f64 = 20.0;
/// Weights of samples below and above the current value. Load on an engine or gateway makes connections
/// slower, while nothing makes them faster than the network, so fast samples count more.
const FASTER_SAMPLE_WEIGHT: f64 = 0.5;
const SLOWER_SAMPLE_WEIGHT: f64 = 0.05;
/// Relative change of a latency above which it is logged again.
const REPORTED_CHANGE_FRACTION: f64 = 0.25;
const MS_PER_S: f64 = 1_000.0;

/// Latency to the engines of one region.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Latency {
    /// Round-trip time in milliseconds.
    round_trip_ms: f64,
    /// The round-trip time that [`RegionLatencies::changes`] returned last; 0 at first.
    reported_ms: f64,
}

/// Latencies from one gateway to the engines of each region. Zones are mapped to indices in advance, since
/// each choice looks up all engines.
#[derive(Debug, Clone)]
pub struct RegionLatencies {
    /// Names of the regions.
    regions: Vec<String>,
    /// Index into `regions` of each zone's region.
    region_by_zone: BTreeMap<String, usize>,
    /// Region of the gateway; `None` if its zone is not in the settings.
    own_region: Option<usize>,
    /// By region; `None` before the first connection.
    latencies: Vec<Option<Latency>>,
}

impl RegionLatencies {
    /// Latencies from a zone, none measured yet; `None` if the deployment has one region.
    pub fn new(regions: &ZoneRegions, zone: &str) -> Option<Self> {
        if !regions.has_multiple_regions() {
            return None;
        }
        let names: BTreeSet<&str> = regions.iter().map(|(_, region)| region).collect();
        let names: Vec<String> = names.into_iter().map(str::to_owned).collect();
        let region_index = |region: &str| names.iter().position(|name| name == region);
        let region_by_zone = regions.iter();
        let region_by_zone = region_by_zone
            .filter_map(|(zone, region)| Some((zone.to_owned(), region_index(region)?)));
        let region_by_zone: BTreeMap<String, usize> = region_by_zone.collect();
        Some(Self {
            own_region: region_by_zone.get(zone).copied(),
            region_by_zone,
            latencies: vec![None; names.len()],
            regions: names,
        })
    }

    /// Whether the zone is in the gateway's region.
    pub fn is_own_region(&self, zone: &str) -> bool {
        self.own_region.is_some() && self.region_by_zone.get(zone).copied() == self.own_region
    }

    /// Records the time that it took to connect to an engine in this zone.
    pub fn on_connected(&mut self, zone: &str, elapsed: Duration) {
        let Some(region) = self.region_by_zone.get(zone) else {
            return;
        };
        let elapsed_ms = elapsed.as_secs_f64() * MS_PER_S;
        let latency = self.latencies[*region].get_or_insert(Latency {
            round_trip_ms: elapsed_ms,
            reported_ms: 0.0,
        });
        let is_faster = elapsed_ms < latency.round_trip_ms;
        let weight = if is_faster {
            FASTER_SAMPLE_WEIGHT
        } else {
            SLOWER_SAMPLE_WEIGHT
        };
        latency.round_trip_ms += weight * (elapsed_ms - latency.round_trip_ms);
    }

    /// Extra cost of a request to this zone in relation to the gateway's own region, in milliseconds.
    pub fn extra_ms(&self, zone: &str) -> f64 {
        let region = self.region_by_zone.get(zone).copied();
        if region.is_some() && region == self.own_region {
            return 0.0;
        }
        let extra = self.round_trip_ms(region) - self.round_trip_ms(self.own_region);
        extra.max(MIN_EXTRA_MS)
    }

    /// 0 without a measurement.
    fn round_trip_ms(&self, region: Option<usize>) -> f64 {
        let latency = region.and_then(|region| self.latencies[region]);
        latency.map_or(0.0, |latency| latency.round_trip_ms)
    }

    /// Regions whose round-trip time differs from the one last returned for them (0 at first) by more than
    /// `REPORTED_CHANGE_FRACTION` of that value or of 1 ms, whichever is greater; each with its current
    /// round-trip time in milliseconds.
    pub fn changes(&mut self) -> Vec<(String, f64)> {
        let mut changes = Vec::new();
        for (region, latency) in self.regions.iter().zip(&mut self.latencies) {
            let Some(latency) = latency else {
                continue;
            };
            if (latency.round_trip_ms - latency.reported_ms).abs()
                > REPORTED_CHANGE_FRACTION * latency.reported_ms.max(1.0)
            {
                latency.reported_ms = latency.round_trip_ms;
                changes.push((region.clone(), latency.round_trip_ms));
            }
        }
        changes
    }
}
