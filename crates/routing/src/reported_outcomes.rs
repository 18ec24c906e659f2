//! What gateways tell each other of engines that fail requests.
//!
//! In a large fleet each gateway sends an engine a request every few seconds, too few to tell a failing engine
//! from bad luck. So each tells how its own requests ended at *suspects*: engines of which anybody has told a
//! failure. Whoever tells a failure draws the counts of all others after it, also those without one, and the
//! share of failures that they make together is fair to the engine (`docs/design/decisions.md`, "Failing engines").

use rkyv::{Archive, Deserialize, Serialize};

use crate::engine_health::OutcomeCounts;

/// Suspects that one report names; the ones that failed most.
pub const MAX_SUSPECTS: usize = 24;
const TENTHS_PER_REQUEST: f64 = 10.0;

/// How one gateway's requests ended at an engine lately. Counts fade, so they are told in tenths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ReportedOutcomes {
    /// Hash of the engine's instance.
    pub engine: u64,
    /// Tenths of requests that ended, however.
    pub ended: u32,
    /// Tenths of those that failed.
    pub failed: u32,
}

/// Sums of what other gateways tell of one engine, in tenths.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReportedSums {
    ended: u64,
    failed: u64,
}

impl ReportedOutcomes {
    /// These counts of an engine.
    pub fn new(engine: u64, counts: OutcomeCounts) -> Self {
        Self {
            engine,
            ended: (counts.ended * TENTHS_PER_REQUEST).round() as u32,
            failed: (counts.failed * TENTHS_PER_REQUEST).round() as u32,
        }
    }
}

impl ReportedSums {
    /// A report names the engine.
    pub fn add(&mut self, reported: &ReportedOutcomes) {
        self.ended = self.ended.saturating_add(u64::from(reported.ended));
        self.failed = self.failed.saturating_add(u64::from(reported.failed));
    }

    /// A report counts no longer.
    pub fn subtract(&mut self, reported: &ReportedOutcomes) {
        self.ended = self.ended.saturating_sub(u64::from(reported.ended));
        self.failed = self.failed.saturating_sub(u64::from(reported.failed));
    }

    /// Whether nothing is told.
    pub fn is_empty(self) -> bool {
        self.ended == 0 && self.failed == 0
    }

    /// The counts. No more can have failed than ended, whatever others tell.
    pub fn counts(self) -> OutcomeCounts {
        OutcomeCounts {
            ended: self.ended as f64 / TENTHS_PER_REQUEST,
            failed: self.failed.min(self.ended) as f64 / TENTHS_PER_REQUEST,
        }
    }
}
