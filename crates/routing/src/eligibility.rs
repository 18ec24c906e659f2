//! Which engines may get a request at all, whatever it would cost there.
//!
//! Each reason for which an engine is passed over is a rule of its own; the choice of an engine knows none of them.

use std::fmt;

use crate::engine_table::{Engine, EngineTable};
use crate::residency::{Residency, ZoneRegions};

/// Why an engine gets no request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Exclusion {
    /// Its region is none of those in which the request may be served.
    Residency,
    /// Its zone is drained.
    ZoneDrain,
    /// It warms up and has as much work as it bears meanwhile.
    WarmUp,
}

impl Exclusion {
    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Residency => "residency",
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

/// A reason for which engines are passed over.
pub trait EligibilityRule {
    /// Why this engine gets no request now; `None` if it may.
    fn exclusion(&self, engine: &Engine) -> Option<Exclusion>;
}

/// Keeps a request from engines outside the regions in which it may be served (`docs/design/regions.md`).
pub struct ResidencyRule<'a> {
    /// Where the request may be served.
    pub residency: &'a Residency,
    /// The regions of the engines' zones.
    pub regions: &'a ZoneRegions,
}

impl EligibilityRule for ResidencyRule<'_> {
    fn exclusion(&self, engine: &Engine) -> Option<Exclusion> {
        let is_allowed = self.regions.allows(self.residency, &engine.zone);
        (!is_allowed).then_some(Exclusion::Residency)
    }
}

/// Why an engine gets no request by any of these rules.
pub fn first_exclusion(rules: &[&dyn EligibilityRule], engine: &Engine) -> Option<Exclusion> {
    rules.iter().find_map(|rule| rule.exclusion(engine))
}

/// What keeps a request from all ready engines of a service; `None` if one may get it, or if there is no engine.
/// The least passing bar counts: a request that waits for it may be served.
pub fn service_exclusion(
    table: &EngineTable,
    service: &str,
    rules: &[&dyn EligibilityRule],
) -> Option<Exclusion> {
    let bars = table
        .ready(service)
        .map(|engine| first_exclusion(rules, engine));
    let bars: Option<Vec<Exclusion>> = bars.collect();
    bars?.into_iter().max()
}
