//! Outcomes of requests at failing engines, as gateways report them to each other.
//!
//! In a large fleet each gateway sends an engine one request every few seconds, too few to tell a failing
//! engine from chance. So each gateway reports the outcomes of its own requests at *suspects*: engines for
//! which any gateway has reported a failure. One reported failure makes all other gateways report their
//! counts as well, also those that saw no failure, so the fraction of failures over all reports is unbiased
//! (`docs/design/decisions.md`, "Failing engines").

use rkyv::{Archive, Deserialize, Serialize};

use crate::engine_health::OutcomeCounts;

/// Suspects in one report; those with the most failures are kept.
pub const MAX_SUSPECTS: usize = 24;
const TENTHS_PER_REQUEST: f64 = 10.0;

/// Recent outcomes of one gateway's requests at an engine. Counts decay to fractions, so they are sent in
/// tenths of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ReportedOutcomes {
    /// Value of the engine's [`EngineKey`](crate::EngineKey).
    pub engine: u64,
    /// Tenths of requests that ended, with any outcome.
    pub ended: u32,
    /// Tenths of requests that failed.
    pub failed: u32,
}

/// Sums over the other gateways' reports about one engine, in tenths of a request.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReportedSums {
    ended: u64,
    failed: u64,
}

impl ReportedOutcomes {
    pub fn new(engine: u64, counts: OutcomeCounts) -> Self {
        Self {
            engine,
            ended: (counts.ended * TENTHS_PER_REQUEST).round() as u32,
            failed: (counts.failed * TENTHS_PER_REQUEST).round() as u32,
        }
    }
}

impl ReportedSums {
    /// Adds a report.
    pub fn add(&mut self, reported: &ReportedOutcomes) {
        self.ended = self.ended.saturating_add(u64::from(reported.ended));
        self.failed = self.failed.saturating_add(u64::from(reported.failed));
    }

    /// Subtracts a report that expired or was replaced.
    pub fn subtract(&mut self, reported: &ReportedOutcomes) {
        self.ended = self.ended.saturating_sub(u64::from(reported.ended));
        self.failed = self.failed.saturating_sub(u64::from(reported.failed));
    }

    pub fn is_empty(self) -> bool {
        self.ended == 0 && self.failed == 0
    }

    /// The counts as requests. Failures are capped at the requests that ended, since reports may be
    /// inconsistent.
    pub fn counts(self) -> OutcomeCounts {
        OutcomeCounts {
            ended: self.ended as f64 / TENTHS_PER_REQUEST,
            failed: self.failed.min(self.ended) as f64 / TENTHS_PER_REQUEST,
        }
    }
}
