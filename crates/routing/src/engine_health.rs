//! What a gateway learns about one engine from the requests it sends there.

use std::time::Duration;

/// How long an engine rests after its first failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// The longest that an engine rests between two tries.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Weight of the newest sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Time after which an outcome counts for a third. An engine that was repaired gets its share of requests
/// again within a few of these.
const OUTCOME_DECAY_TIME: Duration = Duration::from_secs(4);

/// How a request ended at an engine, as far as it speaks for or against the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Served,
    /// The engine failed it, or nothing that could be passed on came of it.
    Failed,
    /// It did not reach the engine. It went to another one without much loss, so only the engine's rest
    /// speaks of it.
    Unreachable,
}

/// Requests that ended at an engine lately; the longer ago one ended, the less it counts.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OutcomeCounts {
    /// Requests that ended, however.
    pub ended: f64,
    /// Those that failed.
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
    /// These and others together.
    pub fn plus(self, other: Self) -> Self {
        Self {
            ended: self.ended + other.ended,
            failed: self.failed + other.failed,
        }
    }

    /// Share of the requests that failed, if `prior` requests more had ended of which `prior_share` failed. With few
    /// requests seen, an engine is taken to be like the others.
    pub fn failed_share(self, prior: f64, prior_share: f64) -> f64 {
        (self.failed + prior * prior_share) / (self.ended + prior)
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
    /// A request ended there.
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

    /// How the requests of this gateway ended there lately.
    pub fn outcomes(&self, now: Duration) -> OutcomeCounts {
        self.outcomes.decayed(now.saturating_sub(self.updated_at))
    }

    /// Takes in a time that the engine needed for a unit of work, in milliseconds.
    pub fn on_step_time(&mut self, milliseconds: f64) {
        let average = self.step_ms.unwrap_or(milliseconds);
        self.step_ms = Some(average + SAMPLE_WEIGHT * (milliseconds - average));
    }

    /// Whether the engine should be left alone while there are others.
    pub fn is_backing_off(&self, now: Duration) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    /// Moving average of the time for a unit of work, in milliseconds.
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
