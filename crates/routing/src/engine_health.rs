//! Health of one engine, as learned from the requests that this gateway sends to it.

use std::time::Duration;

/// Backoff after the first failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Weight of the newest sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Time constant of the decay of outcomes: one that is this old counts for 1/e. An engine that recovered gets
/// its share of requests again within a few of these times.
const OUTCOME_DECAY_TIME: Duration = Duration::from_secs(4);

/// How a request ended, as far as it tells about the engine's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The engine answered.
    Served,
    /// The engine failed, or its answer was unusable.
    Failed,
    /// The request did not reach the engine. Another engine can take it at little cost, so this outcome only
    /// makes the engine back off and does not count as a failed request.
    Unreachable,
}

/// Decaying counts of the requests that ended at an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OutcomeCounts {
    /// Requests that ended, with any outcome.
    pub ended: f64,
    /// Requests that failed.
    pub failed: f64,
}

/// Health of one engine. Times are since the start of the process.
#[derive(Debug, Clone, Default)]
pub struct EngineHealth {
    consecutive_failures: u32,
    backoff_until: Option<Duration>,
    outcomes: OutcomeCounts,
    updated_at: Duration,
    step_ms: Option<f64>,
}

impl OutcomeCounts {
    pub fn plus(self, other: Self) -> Self {
        Self {
            ended: self.ended + other.ended,
            failed: self.failed + other.failed,
        }
    }

    /// Fraction of requests that failed, with `prior` more requests assumed of which `prior_fraction` failed.
    /// An engine with few requests is thus assumed to be like the others.
    pub fn failed_fraction(self, prior: f64, prior_fraction: f64) -> f64 {
        (self.failed + prior * prior_fraction) / (self.ended + prior)
    }

    fn decayed(self, age: Duration) -> Self {
        let remaining = (-age.as_secs_f64() / OUTCOME_DECAY_TIME.as_secs_f64()).exp();
        Self {
            ended: self.ended * remaining,
            failed: self.failed * remaining,
        }
    }
}

impl EngineHealth {
    pub fn on_outcome(&mut self, outcome: Outcome, now: Duration) {
        match outcome {
            Outcome::Served => {
                self.consecutive_failures = 0;
                self.backoff_until = None;
                self.record(0.0, now);
            }
            Outcome::Failed => {
                self.back_off(now);
                self.record(1.0, now);
            }
            Outcome::Unreachable => self.back_off(now),
        }
    }

    /// Decayed counts of this gateway's requests.
    pub fn outcomes(&self, now: Duration) -> OutcomeCounts {
        self.outcomes.decayed(now.saturating_sub(self.updated_at))
    }

    /// Records the time that the engine took for one decode step, in milliseconds.
    pub fn on_step_time(&mut self, milliseconds: f64) {
        let average = self.step_ms.unwrap_or(milliseconds);
        self.step_ms = Some(average + SAMPLE_WEIGHT * (milliseconds - average));
    }

    /// Whether the engine should be avoided while others are available.
    pub fn is_backing_off(&self, now: Duration) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    /// Moving average of the time of a decode step, in milliseconds; `None` before the first sample.
    pub fn step_ms(&self) -> Option<f64> {
        self.step_ms
    }

    fn record(&mut self, failed: f64, now: Duration) {
        self.outcomes = self.outcomes(now);
        self.outcomes.ended += 1.0;
        self.outcomes.failed += failed;
        self.updated_at = now;
    }

    fn back_off(&mut self, now: Duration) {
        let backoff = INITIAL_BACKOFF.saturating_mul(1 << self.consecutive_failures.min(8));
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.backoff_until = Some(now + backoff.min(MAX_BACKOFF));
    }
}
