//! Distribution of the lengths of runs' pauses, learned for each tool.

use std::time::Duration;

const BUCKETS: usize = 40;
const FIRST_BUCKET_MICROS: f64 = 1_000.0;
const BUCKETS_PER_DOUBLING: f64 = 2.0;
/// Factor applied to all counts at each new pause.
const DECAY: f64 = 0.995;
const PRIOR_WEIGHT: f64 = 2.0;
const PRIOR_PAUSE: Duration = Duration::from_secs(2);

/// Histogram of pause lengths with logarithmic buckets and exponential decay of old counts.
#[derive(Debug, Clone)]
pub struct PauseHistogram {
    counts: [f64; BUCKETS],
    without_return: f64,
}

impl Default for PauseHistogram {
    fn default() -> Self {
        let mut counts = [0.0; BUCKETS];
        counts[bucket(PRIOR_PAUSE)] = PRIOR_WEIGHT;
        Self {
            counts,
            without_return: 0.0,
        }
    }
}

/// Expected benefit and cost of a lease.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LeaseEstimate {
    /// Maximum time that the context is held.
    pub length: Duration,
    /// Probability that the run returns within `length`.
    pub return_probability: f64,
    /// Expected time until the run returns or the lease ends, in seconds.
    pub hold_seconds: f64,
}

impl LeaseEstimate {
    /// Return probability per second of holding.
    pub fn value(&self) -> f64 {
        self.return_probability / self.hold_seconds
    }
}

impl PauseHistogram {
    /// Adds a pause from which the run returned.
    pub fn record(&mut self, pause: Duration) {
        self.decay();
        self.counts[bucket(pause)] += 1.0;
    }

    /// Adds a pause from which the run did not return.
    pub fn record_without_return(&mut self) {
        self.decay();
        self.without_return += 1.0;
    }

    /// Longest worthwhile lease of at most `limit`. A longer lease is preferred to a shorter one if its
    /// additional return probability per additional second is at least `min_gain_ratio` times that of
    /// the shorter one.
    pub fn best_lease(&self, limit: Duration, min_gain_ratio: f64) -> LeaseEstimate {
        let total: f64 = self.counts.iter().sum::<f64>() + self.without_return;
        let mut best = None;
        let mut returned = 0.0;
        let mut hold = 0.0;
        let mut start = 0.0;
        for (index, count) in self.counts.iter().enumerate() {
            let end = bucket_end_micros(index);
            let waiting = (total - returned) / total;
            hold += waiting * (end - start) / 1.0e6;
            returned += count;
            start = end;
            let length = Duration::from_micros(end as u64);
            let candidate = LeaseEstimate {
                length: length.min(limit),
                return_probability: returned / total,
                hold_seconds: hold,
            };
            if best.is_none() || candidate.is_worth_extending(best, *count > 0.0, min_gain_ratio) {
                best = Some(candidate);
            }
            if length >= limit {
                break;
            }
        }
        best.unwrap_or(LeaseEstimate {
            length: limit,
            return_probability: 0.0,
            hold_seconds: limit.as_secs_f64(),
        })
    }

    fn decay(&mut self) {
        for count in &mut self.counts {
            *count *= DECAY;
        }
        self.without_return *= DECAY;
    }
}

impl LeaseEstimate {
    fn is_worth_extending(
        &self,
        shorter: Option<LeaseEstimate>,
        adds_returns: bool,
        min_gain_ratio: f64,
    ) -> bool {
        let Some(shorter) = shorter else {
            return true;
        };
        if !adds_returns {
            return false;
        }
        let added_chance = self.return_probability - shorter.return_probability;
        let added_hold = self.hold_seconds - shorter.hold_seconds;
        shorter.return_probability <= 0.0
            || added_chance / added_hold >= shorter.value() * min_gain_ratio
    }
}

fn bucket(pause: Duration) -> usize {
    let ratio = pause.as_micros() as f64 / FIRST_BUCKET_MICROS;
    if ratio <= 1.0 {
        return 0;
    }
    let index = (ratio.log2() * BUCKETS_PER_DOUBLING).ceil() as usize;
    index.min(BUCKETS - 1)
}

fn bucket_end_micros(index: usize) -> f64 {
    FIRST_BUCKET_MICROS * (index as f64 / BUCKETS_PER_DOUBLING).exp2()
}
