//! Means over seeds with confidence intervals.

use serde::Serialize;

/// Student's t for 95% by degrees of freedom, from one on; beyond the table the normal law's.
const STUDENT_95: [f64; 14] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160,
    2.145,
];
const NORMAL_95: f64 = 1.96;

/// A mean over seeds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Estimate {
    /// Mean; absent when no seed gave the figure.
    pub mean: Option<f64>,
    /// Half the width of the 95% confidence interval; absent with fewer than two seeds.
    pub half_width: Option<f64>,
    /// Seeds that gave the figure.
    pub seeds: usize,
}

impl Estimate {
    /// Estimates from the values of all seeds; those that are not numbers do not count.
    pub fn of(values: impl IntoIterator<Item = f64>) -> Self {
        let values: Vec<f64> = values
            .into_iter()
            .filter(|value| value.is_finite())
            .collect();
        let seeds = values.len();
        if seeds == 0 {
            return Self {
                mean: None,
                half_width: None,
                seeds,
            };
        }
        let count = seeds as f64;
        let mean = values.iter().sum::<f64>() / count;
        let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
        let half_width = (seeds > 1).then(|| {
            let student = STUDENT_95.get(seeds - 2).copied().unwrap_or(NORMAL_95);
            student * (squares / (count - 1.0) / count).sqrt()
        });
        Self {
            mean: Some(mean),
            half_width,
            seeds,
        }
    }
}
