//! What is compared.

/// What one call of the trace came to.
#[derive(Debug, Clone, Copy)]
pub struct CallResult {
    /// From the request to the whole answer, in microseconds.
    pub latency_micros: u64,
    /// Tokens of the context that the run had before the call.
    pub context: u64,
    /// Tokens of the prompt that were cached.
    pub cached: u64,
}

/// Figures of a replay.
#[derive(Debug, Clone, Copy)]
pub struct Figures {
    calls: f64,
    latency_p50: f64,
    latency_p95: f64,
    prefilled_again: f64,
}

impl Figures {
    /// Computes the figures.
    pub fn of(results: &[CallResult]) -> Self {
        let mut latencies: Vec<u64> = results.iter().map(|call| call.latency_micros).collect();
        latencies.sort_unstable();
        let again = results.iter().map(|call| call.context - call.cached);
        Self {
            calls: results.len() as f64,
            latency_p50: quantile(&latencies, 0.5),
            latency_p95: quantile(&latencies, 0.95),
            prefilled_again: again.sum::<u64>() as f64,
        }
    }

    /// The figures with their names.
    pub fn named(&self) -> [(&'static str, f64); 4] {
        [
            ("calls", self.calls),
            ("latency p50 ms", self.latency_p50 / 1.0e3),
            ("latency p95 ms", self.latency_p95 / 1.0e3),
            ("prefilled again, tokens", self.prefilled_again),
        ]
    }
}

fn quantile(sorted: &[u64], part: f64) -> f64 {
    let index = (part * (sorted.len() - 1) as f64).round() as usize;
    sorted[index] as f64
}
