//! Laws that numbers of a workload are drawn from.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use serde::Deserialize;

/// A seeded law of a number that is not negative.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(tag = "law", rename_all = "snake_case")]
pub enum Law {
    /// Always the same.
    Constant {
        /// The number.
        value: f64,
    },
    /// Evenly between two numbers.
    Uniform {
        /// Smallest.
        low: f64,
        /// Largest.
        high: f64,
    },
    /// Exponential.
    Exponential {
        /// Mean.
        mean: f64,
    },
    /// Log-normal.
    LogNormal {
        /// Median.
        median: f64,
        /// Standard deviation of the natural logarithm.
        sigma: f64,
    },
}

impl Law {
    /// Draws a number.
    pub fn draw(self, random: &mut ChaCha8Rng) -> f64 {
        match self {
            Self::Constant { value } => value,
            Self::Uniform { low, high } => low + (high - low) * unit(random),
            Self::Exponential { mean } => -mean * (1.0 - unit(random)).ln(),
            Self::LogNormal { median, sigma } => median * (sigma * normal(random)).exp(),
        }
    }

    /// Draws a whole number of at least `least`.
    pub fn draw_count(self, least: u64, random: &mut ChaCha8Rng) -> u64 {
        (self.draw(random).round() as u64).max(least)
    }
}

/// Draws evenly from 0 (included) to 1 (excluded).
pub fn unit(random: &mut ChaCha8Rng) -> f64 {
    const MANTISSA_BITS: u32 = 53;
    (random.next_u64() >> (u64::BITS - MANTISSA_BITS)) as f64 / (1_u64 << MANTISSA_BITS) as f64
}

/// Draws from the standard normal law (Box and Muller).
fn normal(random: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * (1.0 - unit(random)).ln()).sqrt();
    radius * (std::f64::consts::TAU * unit(random)).cos()
}
