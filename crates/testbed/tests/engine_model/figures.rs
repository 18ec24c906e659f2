//! What is compared.

/// What one call of the trace came to.
#[derive(Debug, Clone, Copy)]
pub struct CallResult {
    /// Whether it went first.
    pub urgent: bool,
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
    urgent_p95: f64,
    prefilled_again: f64,
}

impl Figures {
    /// Computes the figures.
    pub fn of(results: &[CallResult]) -> Self {
        let routine = sorted_latencies(results.iter().filter(|call| !call.urgent));
        let urgent = sorted_latencies(results.iter().filter(|call| call.urgent));
        let again = results.iter().map(|call| call.context - call.cached);
        Self {
            calls: results.len() as f64,
            latency_p50: quantile(&routine, 0.5),
            latency_p95: quantile(&routine, 0.95),
            urgent_p95: quantile(&urgent, 0.95),
            prefilled_again: again.sum::<u64>() as f64,
        }
    }

    /// The figures with their names.
    pub fn named(&self) -> [(&'static str, f64); 5] {
        [
            ("calls", self.calls),
            ("latency p50 ms", self.latency_p50 / 1.0e3),
            ("latency p95 ms", self.latency_p95 / 1.0e3),
            ("urgent p95 ms", self.urgent_p95 / 1.0e3),
            ("prefilled again, tokens", self.prefilled_again),
        ]
    }
}

fn sorted_latencies<'a>(results: impl Iterator<Item = &'a CallResult>) -> Vec<u64> {
    let mut latencies: Vec<u64> = results.map(|call| call.latency_micros).collect();
    latencies.sort_unstable();
    latencies
}

/// Zero when there is nothing to take it of.
fn quantile(sorted: &[u64], part: f64) -> f64 {
    if sorted.is_empty() {
        return 0.0;
    }
    let index = (part * (sorted.len() - 1) as f64).round() as usize;
    sorted[index] as f64
}
