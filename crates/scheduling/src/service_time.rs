//! Service-time model, fitted to completed attempts.
//!
//! Time of an attempt = prefill time × tokens missing in the cache + step time × generated tokens.
//! The two factors are fitted by least squares with exponential decay of older samples, regularised
//! towards a prior that dominates while there are few samples.

use std::time::Duration;

use crate::event::TokenUsage;

/// Factor applied to all earlier samples at each new one.
const DECAY: f64 = 0.998;
const PRIOR_PREFILL_MICROS: f64 = 100.0;
const PRIOR_STEP_MICROS: f64 = 25_000.0;
const PRIOR_PREFILL_WEIGHT: f64 = 1.0e6;
const PRIOR_STEP_WEIGHT: f64 = 1.0e4;
const PRIOR_OUTPUT_RATIO: f64 = 0.5;
const PRIOR_CALL_MICROS: f64 = 200_000.0;
/// Weight of a new sample in the moving averages.
const AVERAGE_GAIN: f64 = 0.02;

/// Service-time model of one group of backends.
#[derive(Debug, Clone)]
pub struct ServiceTimeModel {
    // Exponentially decayed sums, over all samples, of products of missing tokens, generated tokens and
    // the time in microseconds.
    missing_squared_sum: f64,
    output_squared_sum: f64,
    missing_by_output_sum: f64,
    missing_by_time_sum: f64,
    output_by_time_sum: f64,
    prefill_micros: f64,
    step_micros: f64,
    output_ratio: f64,
    mean_micros: f64,
}

impl Default for ServiceTimeModel {
    fn default() -> Self {
        Self {
            missing_squared_sum: 0.0,
            output_squared_sum: 0.0,
            missing_by_output_sum: 0.0,
            missing_by_time_sum: 0.0,
            output_by_time_sum: 0.0,
            prefill_micros: PRIOR_PREFILL_MICROS,
            step_micros: PRIOR_STEP_MICROS,
            output_ratio: PRIOR_OUTPUT_RATIO,
            mean_micros: PRIOR_CALL_MICROS,
        }
    }
}

impl ServiceTimeModel {
    /// Adds a completed attempt that took `took` and updates the model.
    pub fn record(&mut self, usage: TokenUsage, max_output_tokens: u64, took: Duration) {
        let micros = took.as_micros() as f64;
        let missing = usage.prompt.saturating_sub(usage.cached) as f64;
        let output = usage.output as f64;
        self.missing_squared_sum = self.missing_squared_sum * DECAY + missing * missing;
        self.output_squared_sum = self.output_squared_sum * DECAY + output * output;
        self.missing_by_output_sum = self.missing_by_output_sum * DECAY + missing * output;
        self.missing_by_time_sum = self.missing_by_time_sum * DECAY + missing * micros;
        self.output_by_time_sum = self.output_by_time_sum * DECAY + output * micros;
        self.mean_micros += AVERAGE_GAIN * (micros - self.mean_micros);
        if max_output_tokens > 0 {
            let ratio = output / max_output_tokens as f64;
            self.output_ratio += AVERAGE_GAIN * (ratio - self.output_ratio);
        }
        self.fit();
    }

    /// Expected time to prefill `tokens`, in microseconds.
    pub fn prefill_micros(&self, tokens: u64) -> f64 {
        self.prefill_micros * tokens as f64
    }

    /// Expected time to generate a response limited to `max_output_tokens`, in microseconds. Uses the
    /// average fraction of the limit that recent responses reached.
    pub fn generation_micros(&self, max_output_tokens: u64) -> f64 {
        self.step_micros * self.output_ratio * max_output_tokens as f64
    }

    /// Expected time of an attempt, in microseconds: the mean of recent attempts if both counts are
    /// zero, as for tool calls.
    pub fn attempt_micros(&self, missing_tokens: u64, max_output_tokens: u64) -> f64 {
        if missing_tokens == 0 && max_output_tokens == 0 {
            return self.mean_micros;
        }
        self.prefill_micros(missing_tokens) + self.generation_micros(max_output_tokens)
    }

    /// Mean time of recent attempts, in microseconds.
    pub fn mean_micros(&self) -> f64 {
        self.mean_micros
    }

    fn fit(&mut self) {
        let first = self.missing_squared_sum + PRIOR_PREFILL_WEIGHT;
        let second = self.output_squared_sum + PRIOR_STEP_WEIGHT;
        let cross = self.missing_by_output_sum;
        let first_right = self.missing_by_time_sum + PRIOR_PREFILL_WEIGHT * PRIOR_PREFILL_MICROS;
        let second_right = self.output_by_time_sum + PRIOR_STEP_WEIGHT * PRIOR_STEP_MICROS;
        let determinant = first * second - cross * cross;
        if determinant <= f64::EPSILON {
            return;
        }
        let prefill = (first_right * second - second_right * cross) / determinant;
        let step = (second_right * first - first_right * cross) / determinant;
        self.prefill_micros = prefill.clamp(0.1, 1.0e5);
        self.step_micros = step.clamp(1.0, 1.0e7);
    }
}
