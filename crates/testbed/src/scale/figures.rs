//! The figures of a run: what is measured at one size, and of a cut.

use serde::Serialize;

use super::analysis::{Spread, Verdicts};
use super::usage::WindowFigures;

/// What was learned, how fast.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Learned {
    /// Causes.
    pub causes: usize,
    /// Pairs of cause and observer.
    pub pairs: usize,
    /// Time until 95% of the pairs, in milliseconds.
    pub p95_ms: f64,
    /// Time until all that learned it, in milliseconds.
    pub all_ms: f64,
    /// Pairs that never did.
    pub missing: usize,
}

impl Learned {
    pub(super) fn of(causes: usize, spread: &Spread) -> Self {
        Self {
            causes,
            pairs: spread.times_ms.len() + spread.missing,
            p95_ms: spread.p95_ms(),
            all_ms: spread.all_ms(),
            missing: spread.missing,
        }
    }
}

/// Changes of configuration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct ChangeFigures {
    /// Longest time until an operator's answer, in milliseconds.
    pub answer_ms: f64,
    /// From the answer until in force on hollow nodes. A node may be ahead of the answer, which counts as 0.
    pub in_force: Learned,
}

/// Everything measured at one size.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct SizeFigures {
    /// Nodes, full processes among them.
    pub nodes: usize,
    /// Most hollow nodes that joined at once.
    pub joined_at_once: usize,
    /// Longest time until all agreed and had everything, in milliseconds; seen every 250 ms.
    pub join_ms: f64,
    /// Without any change.
    pub quiet: WindowFigures,
    /// Under the compressed day.
    pub day: WindowFigures,
    /// Failures: until seen Dead.
    pub failures: Learned,
    /// Planned departures: until seen Left.
    pub departures: Learned,
    /// New lives: until seen Alive.
    pub joins: Learned,
    /// Changes of the compressed day.
    pub changes: ChangeFigures,
    /// Fifty changes in a second.
    pub burst: ChangeFigures,
    /// A rack failed: until seen Dead.
    pub rack_lost: Learned,
    /// Its replacement: until seen Alive.
    pub rack_back: Learned,
    /// Verdicts.
    pub verdicts: Verdicts,
    /// Members suspected, all hollow nodes together, in their newest lives.
    pub suspicions: u64,
    /// Pauses of their own process that hollow nodes noticed.
    pub own_pauses: u64,
    /// Leases that ran out.
    pub leases_lapsed: u64,
    /// Open watches of the platform.
    pub platform_watchers: u64,
    /// Heads of runs that the busiest node holds.
    pub run_heads: usize,
    /// Machines that a node lists.
    pub machines: usize,
}

/// A zone or region was cut off.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct CutFigures {
    /// What.
    pub what: String,
    /// Hollow nodes inside.
    pub nodes: usize,
    /// Until those outside saw those inside Dead.
    pub lost: Learned,
    /// From the mending until those outside saw those inside Alive.
    pub back: Learned,
    /// From the mending until all tables were the same and all leases ran, in milliseconds.
    pub healed_ms: f64,
    /// Verdicts.
    pub verdicts: Verdicts,
}
