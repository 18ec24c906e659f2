//! Which engines may get a request at all, whatever it would cost there.
//!
//! Each reason for which an engine is passed over is a rule of its own; the choice of an engine knows none of them.

use std::fmt;

use crate::engine_table::{Engine, EngineTable};
use crate::residency::{Residency, ZoneRegions};

/// Why an engine gets no request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Bar {
    /// Its region is none of those in which the request may be served.
    Residency,
    /// Its zone is drained.
    ZoneDrain,
    /// It warms up and has as much work as it bears meanwhile.
    WarmUp,
}

impl Bar {
    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Residency => "residency",
            Self::ZoneDrain => "zone_drain",
            Self::WarmUp => "warm_up",
        }
    }
}

impl fmt::Display for Bar {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// A reason for which engines are passed over.
pub trait EngineRule {
    /// Why this engine gets no request now; `None` if it may.
    fn bar(&self, engine: &Engine) -> Option<Bar>;
}

/// Keeps a request from engines outside the regions in which it may be served (`docs/design/regions.md`).
pub struct ResidencyRule<'a> {
    /// Where the request may be served.
    pub residency: &'a Residency,
    /// The regions of the engines' zones.
    pub regions: &'a ZoneRegions,
}

impl EngineRule for ResidencyRule<'_> {
    fn bar(&self, engine: &Engine) -> Option<Bar> {
        let is_allowed = self.regions.allows(self.residency, &engine.zone);
        (!is_allowed).then_some(Bar::Residency)
    }
}

/// Why an engine gets no request by any of these rules.
pub fn first_bar(rules: &[&dyn EngineRule], engine: &Engine) -> Option<Bar> {
    rules.iter().find_map(|rule| rule.bar(engine))
}

/// What keeps a request from all ready engines of a service; `None` if one may get it, or if there is no engine.
/// The least passing bar counts: a request that waits for it may be served.
pub fn service_bar(table: &EngineTable, service: &str, rules: &[&dyn EngineRule]) -> Option<Bar> {
    let bars = table.ready(service).map(|engine| first_bar(rules, engine));
    let bars: Option<Vec<Bar>> = bars.collect();
    bars?.into_iter().max()
}
