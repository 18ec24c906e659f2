//! What a play showed.

/// Programs and work of one play.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Programs that were over within their aim.
    pub in_time: usize,
    /// Programs that began early enough to count.
    pub programs: usize,
    /// Prompt tokens that engines read.
    pub tokens_read: u64,
    /// Times of the programs as multiples of their time on idle engines, sorted; those never over count as
    /// infinite.
    pub stretches: Vec<f64>,
}

impl Outcome {
    /// Share of the programs that were over in time.
    pub fn share(&self) -> f64 {
        self.in_time as f64 / self.programs.max(1) as f64
    }

    /// The stretch that this part of the programs stays within.
    pub fn stretch(&self, part: f64) -> f64 {
        let index = (self.stretches.len() as f64 * part) as usize;
        let last = self.stretches.len().saturating_sub(1);
        self.stretches
            .get(index.min(last))
            .copied()
            .unwrap_or(f64::INFINITY)
    }
}
