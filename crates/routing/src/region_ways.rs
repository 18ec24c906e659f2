//! What the way to engines of other regions costs, as one gateway measures it.

use std::collections::{BTreeMap, BTreeSet};
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

/// The ways from one gateway to the engines of each region. Each choice asks for all engines, so that a zone is looked up once.
#[derive(Debug, Clone)]
pub struct RegionLatencies {
    /// Names of the regions.
    regions: Vec<String>,
    /// Place of each zone's region among them.
    by_zone: BTreeMap<String, usize>,
    /// Region of the gateway.
    own: Option<usize>,
    /// The way to each region, once a connection has told.
    ways: Vec<Option<Way>>,
}

impl RegionLatencies {
    /// The ways from a zone, none measured yet; `None` where the deployment stands in one region.
    pub fn new(regions: &ZoneRegions, zone: &str) -> Option<Self> {
        if !regions.has_multiple_regions() {
            return None;
        }
        let names: BTreeSet<&str> = regions.iter().map(|(_, region)| region).collect();
        let names: Vec<String> = names.into_iter().map(str::to_owned).collect();
        let place = |region: &str| names.iter().position(|name| name == region);
        let by_zone = regions.iter();
        let by_zone = by_zone.filter_map(|(zone, region)| Some((zone.to_owned(), place(region)?)));
        let by_zone: BTreeMap<String, usize> = by_zone.collect();
        Some(Self {
            own: by_zone.get(zone).copied(),
            by_zone,
            ways: vec![None; names.len()],
            regions: names,
        })
    }

    /// Whether a zone stands in the gateway's region.
    pub fn is_own(&self, zone: &str) -> bool {
        self.own.is_some() && self.by_zone.get(zone).copied() == self.own
    }

    /// A connection to an engine in this zone took so long.
    pub fn on_connected(&mut self, zone: &str, taken: Duration) {
        let Some(region) = self.by_zone.get(zone) else {
            return;
        };
        let taken_ms = taken.as_secs_f64() * MS_PER_S;
        let way = self.ways[*region].get_or_insert(Way {
            round_ms: taken_ms,
            told_ms: 0.0,
        });
        let is_quicker = taken_ms < way.round_ms;
        let weight = if is_quicker {
            QUICKER_WEIGHT
        } else {
            SLOWER_WEIGHT
        };
        way.round_ms += weight * (taken_ms - way.round_ms);
    }

    /// What a request loses by the way to a zone beyond that to the gateway's own region, in milliseconds.
    pub fn extra_ms(&self, zone: &str) -> f64 {
        let region = self.by_zone.get(zone).copied();
        if region.is_some() && region == self.own {
            return 0.0;
        }
        let extra = self.round_ms(region) - self.round_ms(self.own);
        extra.max(LEAST_MS)
    }

    /// 0 while nothing is known.
    fn round_ms(&self, region: Option<usize>) -> f64 {
        let way = region.and_then(|region| self.ways[region]);
        way.map_or(0.0, |way| way.round_ms)
    }

    /// Ways that have changed since they were last told, in milliseconds there and back.
    pub fn news(&mut self) -> Vec<(String, f64)> {
        let mut news = Vec::new();
        for (region, way) in self.regions.iter().zip(&mut self.ways) {
            let Some(way) = way else {
                continue;
            };
            if (way.round_ms - way.told_ms).abs() > NEWS_SHARE * way.told_ms.max(1.0) {
                way.told_ms = way.round_ms;
                news.push((region.clone(), way.round_ms));
            }
        }
        news
    }
}
