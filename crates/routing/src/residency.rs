//! Residency: the regions in which requests may be served, and what they carry be kept.

use std::collections::{BTreeMap, BTreeSet};

use rkyv::{Archive, Deserialize, Serialize};

/// Regions in which something may be served and kept.
#[derive(Debug, Clone, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Residency {
    /// `None` where any region will do; none of them where those of two have nothing in common.
    regions: Option<BTreeSet<String>>,
}

impl Residency {
    /// Any region will do.
    pub fn anywhere() -> Self {
        Self::default()
    }

    /// These regions only.
    pub fn within(regions: impl IntoIterator<Item = String>) -> Self {
        Self {
            regions: Some(regions.into_iter().collect()),
        }
    }

    /// Whether any region will do.
    pub fn is_anywhere(&self) -> bool {
        self.regions.is_none()
    }

    /// Whether a region is allowed. One that is not known, `None`, is allowed only where any is.
    pub fn allows(&self, region: Option<&str>) -> bool {
        match &self.regions {
            None => true,
            Some(regions) => region.is_some_and(|region| regions.contains(region)),
        }
    }

    /// The regions that both allow.
    pub fn and(&self, other: &Self) -> Self {
        let regions = match (&self.regions, &other.regions) {
            (None, other) => other.clone(),
            (own, None) => own.clone(),
            (Some(own), Some(other)) => Some(own.intersection(other).cloned().collect()),
        };
        Self { regions }
    }

    /// The regions that are named; none where any will do.
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
    /// Zones with their regions.
    fn from(pairs: [(&str, &str); N]) -> Self {
        let pairs = pairs.map(|(zone, region)| (zone.to_owned(), region.to_owned()));
        Self::new(BTreeMap::from(pairs))
    }
}

impl ZoneRegions {
    /// Regions by the names of their zones.
    pub fn new(by_zone: BTreeMap<String, String>) -> Self {
        Self { by_zone }
    }

    /// The region of a zone; `None` for a zone that the settings do not name.
    pub fn region(&self, zone: &str) -> Option<&str> {
        self.by_zone.get(zone).map(String::as_str)
    }

    /// The zones with their regions.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        let pairs = self.by_zone.iter();
        pairs.map(|(zone, region)| (zone.as_str(), region.as_str()))
    }

    /// Whether the settings name no zone.
    pub fn is_empty(&self) -> bool {
        self.by_zone.is_empty()
    }

    /// How far a zone is from another: 0 for itself, 1 within a region or where one of the regions is not known, 2 beyond.
    pub fn distance(&self, one: &str, other: &str) -> u8 {
        if one == other {
            return 0;
        }
        let regions = self.region(one).zip(self.region(other));
        regions.map_or(1, |(one, other)| if one == other { 1 } else { 2 })
    }

    /// Whether something may be served or kept in a zone.
    pub fn allows(&self, residency: &Residency, zone: &str) -> bool {
        residency.allows(self.region(zone))
    }

    /// Whether something may be served in some region of the deployment.
    pub fn allows_any(&self, residency: &Residency) -> bool {
        let mut regions = self.by_zone.values();
        residency.is_anywhere() || regions.any(|region| residency.allows(Some(region)))
    }

    /// Whether something may be kept in all regions of the deployment.
    pub fn allows_all(&self, residency: &Residency) -> bool {
        let mut regions = self.by_zone.values();
        residency.is_anywhere()
            || !self.by_zone.is_empty() && regions.all(|region| residency.allows(Some(region)))
    }

    /// Whether the deployment stands in more than one region.
    pub fn has_multiple_regions(&self) -> bool {
        let mut regions = self.by_zone.values();
        let first = regions.next();
        regions.any(|region| Some(region) != first)
    }
}
