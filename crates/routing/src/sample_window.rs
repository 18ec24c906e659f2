//! How one measured quantity grows with another, from the newest noisy pairs.
//!
//! The slope is taken between the medians of the pairs with the smallest and of those with the largest
//! `x`. A median of a third of the pairs stays where it is while fewer than half of them are outliers,
//! which a least-squares fit would not (`docs/design/decisions.md`, "What is learned of engines").

use std::collections::VecDeque;

/// Pairs that are remembered; older ones give way, so that the slope follows a change.
const CAPACITY: usize = 96;
/// Fewest pairs that tell a slope: three for each median.
const MIN_PAIRS: usize = 9;
/// Parts into which the pairs are divided by `x`; the middle ones are left out.
const GROUPS: usize = 3;

/// The newest pairs of two quantities.
#[derive(Debug, Clone, Default)]
pub struct SampleWindow {
    pairs: VecDeque<(f32, f32)>,
}

impl SampleWindow {
    /// Takes a pair in. Pairs that are no finite numbers, or negative, are left out.
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

    /// Number of pairs.
    pub fn len(&self) -> usize {
        self.pairs.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.pairs.is_empty()
    }

    /// How much `y` grows with each unit of `x`; `None` while there are few pairs, or where the groups
    /// lie closer together than `least_spread`.
    pub fn slope(&self, least_spread: f64) -> Option<f64> {
        if self.pairs.len() < MIN_PAIRS {
            return None;
        }
        let mut sorted: Vec<(f32, f32)> = self.pairs.iter().copied().collect();
        sorted.sort_unstable_by(|one, two| one.0.total_cmp(&two.0));
        let group = sorted.len() / GROUPS;
        let (low, high) = (&sorted[..group], &sorted[sorted.len() - group..]);
        let spread = median(high, |pair| pair.0) - median(low, |pair| pair.0);
        if spread < least_spread || spread <= 0.0 {
            return None;
        }
        let rise = median(high, |pair| pair.1) - median(low, |pair| pair.1);
        Some(rise / spread)
    }
}

fn median(pairs: &[(f32, f32)], value: impl Fn(&(f32, f32)) -> f32) -> f64 {
    let mut values: Vec<f32> = pairs.iter().map(value).collect();
    let middle = values.len() / 2;
    let (_, median, _) = values.select_nth_unstable_by(middle, f32::total_cmp);
    f64::from(*median)
}
