//! What the way to engines of other regions costs, as one gateway measures it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::residency::ZoneRegions;

/// Least extra cost of another region, in milliseconds: before any connection has told, and for the price of the bytes.
const LEAST_MS: f64 = 20.0;
/// Weight of a connection that was quicker than the way was taken to be, and of one that was slower: a busy engine or gateway makes a
/// connection slow, nothing makes it quicker than its way.
const QUICKER_WEIGHT: f64 = 0.5;
const SLOWER_WEIGHT: f64 = 0.05;
/// Part by which a way has to change to be told again.
const NEWS_SHARE: f64 = 0.25;
const MS_PER_S: f64 = 1_000.0;

/// The way to the engines of one region.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Way {
    /// There and back, in milliseconds.
    round_ms: f64,
    /// What was told last.
    told_ms: f64,
}

/// The ways from one gateway to the engines of each region.
#[derive(Debug, Clone)]
pub struct RegionWays {
    regions: ZoneRegions,
    /// Region of the gateway.
    own: Option<String>,
    ways: BTreeMap<String, Way>,
}

impl RegionWays {
    /// The ways from a zone, none measured yet; `None` where the deployment stands in one region.
    pub fn new(regions: ZoneRegions, zone: &str) -> Option<Self> {
        regions.has_many().then(|| Self {
            own: regions.region(zone).map(str::to_owned),
            regions,
            ways: BTreeMap::new(),
        })
    }

    /// Whether a zone stands in the gateway's region.
    pub fn is_own(&self, zone: &str) -> bool {
        self.own.is_some() && self.regions.region(zone) == self.own.as_deref()
    }

    /// A connection to an engine in this zone took so long.
    pub fn on_connected(&mut self, zone: &str, taken: Duration) {
        let Some(region) = self.regions.region(zone) else {
            return;
        };
        let taken_ms = taken.as_secs_f64() * MS_PER_S;
        if let Some(way) = self.ways.get_mut(region) {
            let is_quicker = taken_ms < way.round_ms;
            let weight = if is_quicker {
                QUICKER_WEIGHT
            } else {
                SLOWER_WEIGHT
            };
            way.round_ms += weight * (taken_ms - way.round_ms);
            return;
        }
        let way = Way {
            round_ms: taken_ms,
            told_ms: 0.0,
        };
        self.ways.insert(region.to_owned(), way);
    }

    /// What a request loses by the way to a zone beyond that to the gateway's own region, in milliseconds.
    pub fn extra_ms(&self, zone: &str) -> f64 {
        if self.is_own(zone) {
            return 0.0;
        }
        let round_ms = |region: &str| self.ways.get(region).map(|way| way.round_ms);
        let there = self.regions.region(zone).and_then(round_ms);
        let own = self.own.as_deref().and_then(round_ms);
        let extra = there.unwrap_or_default() - own.unwrap_or_default();
        extra.max(LEAST_MS)
    }

    /// Ways that have changed since they were last told, in milliseconds there and back.
    pub fn news(&mut self) -> Vec<(String, f64)> {
        let mut news = Vec::new();
        for (region, way) in &mut self.ways {
            if (way.round_ms - way.told_ms).abs() > NEWS_SHARE * way.told_ms.max(1.0) {
                way.told_ms = way.round_ms;
                news.push((region.clone(), way.round_ms));
            }
        }
        news
    }
}
