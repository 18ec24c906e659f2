//! Distributions of times.

use std::time::Duration;

use hdrhistogram::Histogram;

const LONGEST_MICROS: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const MICROS_PER_MILLISECOND: f64 = 1_000.0;

/// A distribution of times, in microseconds inside.
#[derive(Debug, Clone)]
pub struct Distribution {
    histogram: Histogram<u64>,
}

impl Default for Distribution {
    fn default() -> Self {
        let histogram = Histogram::new_with_max(LONGEST_MICROS, SIGNIFICANT_DIGITS);
        Self {
            histogram: histogram.expect("the constants fit each other"),
        }
    }
}

impl Distribution {
    /// Adds a time. One above ten minutes counts as ten minutes.
    pub fn record(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.histogram.saturating_record(micros.min(LONGEST_MICROS));
    }

    /// Adds all times of another distribution.
    pub fn add(&mut self, other: &Self) {
        let added = self.histogram.add(&other.histogram);
        added.expect("all distributions have the same bounds");
    }

    /// Number of times.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// The time that this part of all times, from 0 to 1, does not pass; in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.histogram.value_at_quantile(quantile) as f64 / MICROS_PER_MILLISECOND
    }

    /// Median, in milliseconds.
    pub fn p50_ms(&self) -> f64 {
        self.quantile_ms(0.50)
    }

    /// 95th percentile, in milliseconds.
    pub fn p95_ms(&self) -> f64 {
        self.quantile_ms(0.95)
    }
}

/// Rounds to three decimals, for printing.
pub fn rounded(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
