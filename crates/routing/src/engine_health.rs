//! What a gateway learns about one engine from the requests it sends there.

use std::time::Duration;

/// How long an engine rests after its first failure.
const FIRST_REST: Duration = Duration::from_millis(250);
/// The longest that an engine rests between two tries.
const LONGEST_REST: Duration = Duration::from_secs(2);
/// Weight of the newest sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Time after which an outcome counts for a third. An engine that was repaired gets its share of requests
/// again within a few of these.
const OUTCOME_MEMORY: Duration = Duration::from_secs(4);

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
    failures: u32,
    resting_until: Option<Duration>,
    outcomes: OutcomeCounts,
    counted_at: Duration,
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

    /// Share of the requests that failed, if `prior` requests more had ended of which `share` failed. With few
    /// requests seen, an engine is taken to be like the others.
    pub fn failed_share(self, prior: f64, share: f64) -> f64 {
        (self.failed + prior * share) / (self.ended + prior)
    }

    fn after(self, age: Duration) -> Self {
        let left = (-age.as_secs_f64() / OUTCOME_MEMORY.as_secs_f64()).exp();
        Self {
            ended: self.ended * left,
            failed: self.failed * left,
        }
    }
}

impl EngineHealth {
    /// A request ended there.
    pub fn on_outcome(&mut self, outcome: Outcome, now: Duration) {
        match outcome {
            Outcome::Served => {
                self.failures = 0;
                self.resting_until = None;
                self.count(0.0, now);
            }
            Outcome::Failed => {
                self.rest(now);
                self.count(1.0, now);
            }
            Outcome::Unreachable => self.rest(now),
        }
    }

    /// How the requests of this gateway ended there lately.
    pub fn outcomes(&self, now: Duration) -> OutcomeCounts {
        self.outcomes.after(now.saturating_sub(self.counted_at))
    }

    /// Takes in a time that the engine needed for a unit of work, in milliseconds.
    pub fn on_step(&mut self, milliseconds: f64) {
        let average = self.step_ms.unwrap_or(milliseconds);
        self.step_ms = Some(average + SAMPLE_WEIGHT * (milliseconds - average));
    }

    /// Whether the engine should be left alone while there are others.
    pub fn rests(&self, now: Duration) -> bool {
        self.resting_until.is_some_and(|until| now < until)
    }

    /// Moving average of the time for a unit of work, in milliseconds.
    pub fn step_ms(&self) -> Option<f64> {
        self.step_ms
    }

    fn count(&mut self, failed: f64, now: Duration) {
        self.outcomes = self.outcomes(now);
        self.outcomes.ended += 1.0;
        self.outcomes.failed += failed;
        self.counted_at = now;
    }

    fn rest(&mut self, now: Duration) {
        let doubled = FIRST_REST.saturating_mul(1 << self.failures.min(8));
        self.failures = self.failures.saturating_add(1);
        self.resting_until = Some(now + doubled.min(LONGEST_REST));
    }
}
