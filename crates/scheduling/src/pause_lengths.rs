//! Learned lengths of the pauses of runs, one distribution for each tool.

use std::time::Duration;

const BUCKETS: usize = 40;
const FIRST_BUCKET_MICROS: f64 = 1_000.0;
const BUCKETS_PER_DOUBLING: f64 = 2.0;
const FADE: f64 = 0.995;
const PRIOR_WEIGHT: f64 = 2.0;
const PRIOR_PAUSE: Duration = Duration::from_secs(2);

/// Counts of pauses by length, on a logarithmic scale; old pauses fade.
#[derive(Debug, Clone)]
pub struct PauseLengths {
    counts: [f64; BUCKETS],
    never: f64,
}

impl Default for PauseLengths {
    fn default() -> Self {
        let mut counts = [0.0; BUCKETS];
        counts[bucket(PRIOR_PAUSE)] = PRIOR_WEIGHT;
        Self { counts, never: 0.0 }
    }
}

/// What a lease of some length is expected to bring.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LeaseOutlook {
    /// Length of the lease.
    pub length: Duration,
    /// Chance that the run returns within it.
    pub chance: f64,
    /// Expected time under lease, in seconds.
    pub hold_seconds: f64,
}

impl LeaseOutlook {
    /// Chance of a return for each second of holding.
    pub fn value(&self) -> f64 {
        self.chance / self.hold_seconds
    }
}

impl PauseLengths {
    /// Learns a pause that ended with the run's return.
    pub fn record(&mut self, pause: Duration) {
        self.fade();
        self.counts[bucket(pause)] += 1.0;
    }

    /// Learns a pause from which the run never returned.
    pub fn record_never(&mut self) {
        self.fade();
        self.never += 1.0;
    }

    /// The lease of at most `limit` with the most value that covers most of the returns. A longer
    /// lease is taken when what it adds is worth at least `hold_price` times what the shorter one
    /// brings for each second.
    pub fn outlook(&self, limit: Duration, hold_price: f64) -> LeaseOutlook {
        let total: f64 = self.counts.iter().sum::<f64>() + self.never;
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
            let outlook = LeaseOutlook {
                length: length.min(limit),
                chance: returned / total,
                hold_seconds: hold,
            };
            if best.is_none() || outlook.is_worth_extending(best, *count > 0.0, hold_price) {
                best = Some(outlook);
            }
            if length >= limit {
                break;
            }
        }
        best.unwrap_or(LeaseOutlook {
            length: limit,
            chance: 0.0,
            hold_seconds: limit.as_secs_f64(),
        })
    }

    fn fade(&mut self) {
        for count in &mut self.counts {
            *count *= FADE;
        }
        self.never *= FADE;
    }
}

impl LeaseOutlook {
    fn is_worth_extending(
        &self,
        shorter: Option<LeaseOutlook>,
        adds_returns: bool,
        hold_price: f64,
    ) -> bool {
        let Some(shorter) = shorter else {
            return true;
        };
        if !adds_returns {
            return false;
        }
        let added_chance = self.chance - shorter.chance;
        let added_hold = self.hold_seconds - shorter.hold_seconds;
        shorter.chance <= 0.0 || added_chance / added_hold >= shorter.value() * hold_price
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
