//! What a gateway learns about one engine from the requests it sends there.

use std::time::Duration;

/// How long an engine rests after its first failure.
const FIRST_REST: Duration = Duration::from_millis(250);
/// The longest that an engine rests between two tries.
const LONGEST_REST: Duration = Duration::from_secs(2);
/// Weight of the newest sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Health of one engine. Times are since the start of the process.
#[derive(Debug, Clone, Default)]
pub struct EngineHealth {
    failures: u32,
    resting_until: Option<Duration>,
    step_ms: Option<f64>,
}

impl EngineHealth {
    /// A request failed in a way that speaks against the engine.
    pub fn on_failure(&mut self, now: Duration) {
        let doubled = FIRST_REST.saturating_mul(1 << self.failures.min(8));
        self.failures = self.failures.saturating_add(1);
        self.resting_until = Some(now + doubled.min(LONGEST_REST));
    }

    /// A request succeeded.
    pub fn on_success(&mut self) {
        self.failures = 0;
        self.resting_until = None;
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
}
