//! Estimates how one measured quantity grows with another, from the newest noisy pairs.
//!
//! The slope is taken between quantiles of the third of the pairs with the smallest `x` and the third with
//! the largest. Unlike a least-squares fit, quantiles tolerate outliers. Where noise only adds, as waits do,
//! a low quantile is the best (`docs/design/decisions.md`, "What is learned of engines").

use std::collections::VecDeque;

/// Pairs kept. Bounded so that the slope follows changes.
const CAPACITY: usize = 192;
/// Fewest pairs for a slope: three in each group.
const MIN_PAIRS: usize = 9;
/// Groups into which the pairs are divided by `x`; the middle one is not used.
const GROUPS: usize = 3;
const MEDIAN: f64 = 0.5;
/// Lower bound of `y` in ratios, against division by zero.
const MIN_Y: f32 = 0.01;

/// The newest pairs of two quantities.
#[derive(Debug, Clone, Default)]
pub struct SampleWindow {
    pairs: VecDeque<(f32, f32)>,
}

impl SampleWindow {
    /// Adds a pair unless one of its values is negative or not finite.
    pub fn push(&mut self, x: f64, y: f64) {
        let is_valid =
            |value: f64| value.is_finite() && (0.0..=f64::from(f32::MAX)).contains(&value);
        if !is_valid(x) || !is_valid(y) {
            return;
        }
        if self.pairs.len() == CAPACITY {
            self.pairs.pop_front();
        }
        self.pairs.push_back((x as f32, y as f32));
    }

    pub fn len(&self) -> usize {
        self.pairs.len()
    }

    pub fn is_empty(&self) -> bool {
        self.pairs.is_empty()
    }

    /// How much the `q` quantile of `y` grows with each unit of `x`; `None` with too few pairs or if the
    /// medians of `x` in the groups differ by less than `min_spread`.
    pub fn slope(&self, q: f64, min_spread: f64) -> Option<f64> {
        let sorted = self.sorted()?;
        let group = sorted.len() / GROUPS;
        let (low, high) = (&sorted[..group], &sorted[sorted.len() - group..]);
        let spread = quantile(high, MEDIAN, |pair| pair.0) - quantile(low, MEDIAN, |pair| pair.0);
        if spread < min_spread || spread <= 0.0 {
            return None;
        }
        let rise = quantile(high, q, |pair| pair.1) - quantile(low, q, |pair| pair.1);
        Some(rise / spread)
    }

    /// The `q` quantile of `x / y` over the third of the pairs with the largest `x`; `None` with too few
    /// pairs.
    pub fn ratio_quantile(&self, q: f64) -> Option<f64> {
        let sorted = self.sorted()?;
        let high = &sorted[sorted.len() - sorted.len() / GROUPS..];
        Some(quantile(high, q, |pair| pair.0 / pair.1.max(MIN_Y)))
    }

    /// The `q` quantile of `y`; `None` without pairs.
    pub fn y_quantile(&self, q: f64) -> Option<f64> {
        let pairs: Vec<(f32, f32)> = self.pairs.iter().copied().collect();
        (!pairs.is_empty()).then(|| quantile(&pairs, q, |pair| pair.1))
    }

    fn sorted(&self) -> Option<Vec<(f32, f32)>> {
        if self.pairs.len() < MIN_PAIRS {
            return None;
        }
        let mut sorted: Vec<(f32, f32)> = self.pairs.iter().copied().collect();
        sorted.sort_unstable_by(|one, two| one.0.total_cmp(&two.0));
        Some(sorted)
    }
}

fn quantile(pairs: &[(f32, f32)], q: f64, value: impl Fn(&(f32, f32)) -> f32) -> f64 {
    let mut values: Vec<f32> = pairs.iter().map(value).collect();
    let index = (values.len() as f64 * q) as usize;
    let index = index.min(values.len() - 1);
    let (_, quantile, _) = values.select_nth_unstable_by(index, f32::total_cmp);
    f64::from(*quantile)
}
