//! Decides which engines are eligible for a request, regardless of cost.
//!
//! Each reason for excluding an engine is a separate rule, and placement knows only the trait
//! [`EligibilityRule`].

use std::fmt;

use crate::engine_table::{Engine, EngineTable, SoftwareKey};
use crate::residency::{Residency, ZoneRegions};

/// Why an engine is excluded. Ordered: a later variant is more likely to stop applying while the request
/// waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Exclusion {
    /// The engine's region is not one in which the request may be served.
    Residency,
    /// The request's stream began at another software version.
    Software,
    /// The engine's zone is drained.
    ZoneDrain,
    /// The engine is warming up and at its rate limit.
    WarmUp,
}

impl Exclusion {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Residency => "residency",
            Self::Software => "software",
            Self::ZoneDrain => "zone_drain",
            Self::WarmUp => "warm_up",
        }
    }
}

impl fmt::Display for Exclusion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// A rule that excludes engines from a request.
pub trait EligibilityRule {
    /// Why the engine is excluded now; `None` if it is eligible.
    fn exclusion(&self, engine: &Engine) -> Option<Exclusion>;
}

/// Excludes engines outside the regions in which the request may be served (`docs/design/regions.md`).
pub struct ResidencyRule<'a> {
    pub residency: &'a Residency,
    pub regions: &'a ZoneRegions,
}

impl EligibilityRule for ResidencyRule<'_> {
    fn exclusion(&self, engine: &Engine) -> Option<Exclusion> {
        let is_allowed = self.regions.allows(self.residency, &engine.zone);
        (!is_allowed).then_some(Exclusion::Residency)
    }
}

/// Excludes engines of other software versions than the one at which a stream runs (`docs/design/resumed-streams.md`).
pub struct SoftwareRule(pub SoftwareKey);

impl EligibilityRule for SoftwareRule {
    fn exclusion(&self, engine: &Engine) -> Option<Exclusion> {
        (engine.software_key() != self.0).then_some(Exclusion::Software)
    }
}

/// Why the engine is excluded, by the first rule that excludes it; `None` if it is eligible.
pub fn first_exclusion(rules: &[&dyn EligibilityRule], engine: &Engine) -> Option<Exclusion> {
    rules.iter().find_map(|rule| rule.exclusion(engine))
}

/// Why all ready engines of a service are excluded; `None` if one is eligible or there is no engine. Of
/// several reasons the greatest counts, as the most temporary one: a request that waits until it no longer
/// applies may be served.
pub fn service_exclusion(
    table: &EngineTable,
    service: &str,
    rules: &[&dyn EligibilityRule],
) -> Option<Exclusion> {
    let exclusions = table
        .ready(service)
        .map(|engine| first_exclusion(rules, engine));
    let exclusions: Option<Vec<Exclusion>> = exclusions.collect();
    exclusions?.into_iter().max()
}
