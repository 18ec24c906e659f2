//! Residency: the regions in which requests may be served and their data may be stored.

use std::collections::{BTreeMap, BTreeSet};

use rkyv::{Archive, Deserialize, Serialize};

/// The regions in which something may be served and stored.
#[derive(Debug, Clone, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Residency {
    /// `None` allows every region; an empty set, as from an intersection, allows none.
    regions: Option<BTreeSet<String>>,
}

impl Residency {
    /// Allows every region.
    pub fn anywhere() -> Self {
        Self::default()
    }

    /// Allows these regions only.
    pub fn within(regions: impl IntoIterator<Item = String>) -> Self {
        Self {
            regions: Some(regions.into_iter().collect()),
        }
    }

    /// Whether every region is allowed.
    pub fn is_anywhere(&self) -> bool {
        self.regions.is_none()
    }

    /// Whether a region is allowed. An unknown region, `None`, is allowed only without a restriction.
    pub fn allows(&self, region: Option<&str>) -> bool {
        match &self.regions {
            None => true,
            Some(regions) => region.is_some_and(|region| regions.contains(region)),
        }
    }

    /// The regions that both allow.
    pub fn intersection(&self, other: &Self) -> Self {
        let regions = match (&self.regions, &other.regions) {
            (None, other) => other.clone(),
            (own, None) => own.clone(),
            (Some(own), Some(other)) => Some(own.intersection(other).cloned().collect()),
        };
        Self { regions }
    }

    /// The allowed regions; empty also if every region is allowed.
    pub fn regions(&self) -> impl Iterator<Item = &str> {
        self.regions.iter().flatten().map(String::as_str)
    }
}

/// The region of each zone, from the node's settings.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ZoneRegions {
    by_zone: BTreeMap<String, String>,
}

impl<const N: usize> From<[(&str, &str); N]> for ZoneRegions {
    /// Pairs of a zone and its region.
    fn from(pairs: [(&str, &str); N]) -> Self {
        let pairs = pairs.map(|(zone, region)| (zone.to_owned(), region.to_owned()));
        Self::new(BTreeMap::from(pairs))
    }
}

impl ZoneRegions {
    /// Regions by zone.
    pub fn new(by_zone: BTreeMap<String, String>) -> Self {
        Self { by_zone }
    }

    /// The region of a zone; `None` if the settings do not name the zone.
    pub fn region(&self, zone: &str) -> Option<&str> {
        self.by_zone.get(zone).map(String::as_str)
    }

    /// Pairs of a zone and its region.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        let pairs = self.by_zone.iter();
        pairs.map(|(zone, region)| (zone.as_str(), region.as_str()))
    }

    /// Whether the settings name no zone.
    pub fn is_empty(&self) -> bool {
        self.by_zone.is_empty()
    }

    /// Distance between zones: 0 for the same zone, 1 in the same region or if a region is unknown, 2
    /// otherwise.
    pub fn distance(&self, one: &str, other: &str) -> u8 {
        if one == other {
            return 0;
        }
        let regions = self.region(one).zip(self.region(other));
        regions.map_or(1, |(one, other)| if one == other { 1 } else { 2 })
    }

    /// Whether the residency allows the region of the zone.
    pub fn allows(&self, residency: &Residency, zone: &str) -> bool {
        residency.allows(self.region(zone))
    }

    /// Whether the residency allows at least one region of the deployment; always true without a restriction.
    pub fn allows_any(&self, residency: &Residency) -> bool {
        let mut regions = self.by_zone.values();
        residency.is_anywhere() || regions.any(|region| residency.allows(Some(region)))
    }

    /// Whether the residency allows all regions of the deployment; always true without a restriction.
    pub fn allows_all(&self, residency: &Residency) -> bool {
        let mut regions = self.by_zone.values();
        residency.is_anywhere()
            || !self.by_zone.is_empty() && regions.all(|region| residency.allows(Some(region)))
    }

    pub fn has_multiple_regions(&self) -> bool {
        let mut regions = self.by_zone.values();
        let first = regions.next();
        regions.any(|region| Some(region) != first)
    }
}
