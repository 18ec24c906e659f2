//! Prints what was measured, as a table and as one JSON line.

use std::time::Duration;

use serde::Serialize;

use super::held_streams::HeldLevel;
use super::latency::LatencyLevel;
use crate::measures::rounded;

const BYTES_PER_MEBIBYTE: f64 = 1_048_576.0;
const BYTES_PER_KIBIBYTE: f64 = 1_024.0;

/// The last line of the bench.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BenchLine {
    /// Workers of the level that the times belong to.
    pub workers: usize,
    /// Time to the first token that the system adds, median.
    pub added_first_token_p50_ms: f64,
    /// The same, 95th percentile.
    pub added_first_token_p95_ms: f64,
    /// Time between tokens that the system adds, 95th percentile.
    pub added_token_gap_p95_ms: f64,
    /// Simulated one-way delay between zones.
    pub one_way_delay_ms: f64,
    /// Streams open on one node at most; absent when none were opened.
    pub open_streams: Option<usize>,
    /// Resident memory of that node then.
    pub resident_mib: Option<f64>,
    /// Memory for each further open stream, from the slope over all levels.
    pub kib_per_stream: Option<f64>,
    /// Requests for each second of CPU time of all nodes together, over all levels.
    pub requests_per_core_second: f64,
    /// Requests without an answer.
    pub failures: usize,
}

/// Slope of the least-squares line through points, or `None` without two different abscissas.
pub fn slope(points: &[(f64, f64)]) -> Option<f64> {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    (variance > 0.0).then(|| covariance / variance)
}

/// What the bench measured.
pub struct Measured {
    /// Latencies at some numbers of workers; the first one counts for the goals.
    pub levels: Vec<LatencyLevel>,
    /// Memory with some numbers of open streams.
    pub held: Vec<HeldLevel>,
    /// Simulated one-way delay between zones, in milliseconds.
    pub one_way_delay_ms: f64,
}

impl Measured {
    /// The line that ends the output. Levels without a worker count do not occur.
    pub fn line(&self) -> BenchLine {
        let first = &self.levels[0];
        let most = self.held.last();
        let memory: Vec<(f64, f64)> = self
            .held
            .iter()
            .map(|held| (held.streams as f64, held.resident_bytes as f64))
            .collect();
        let answers: u64 = self.levels.iter().map(|level| level.system.ok).sum();
        let cpu_time: Duration = self.levels.iter().map(|level| level.cpu_time).sum();
        BenchLine {
            workers: first.workers,
            added_first_token_p50_ms: rounded(first.added_first_token_ms(0.50)),
            added_first_token_p95_ms: rounded(first.added_first_token_ms(0.95)),
            added_token_gap_p95_ms: rounded(first.added_token_gap_ms(0.95)),
            one_way_delay_ms: self.one_way_delay_ms,
            open_streams: most.map(|held| held.streams),
            resident_mib: most.map(|held| rounded(mebibytes(held))),
            kib_per_stream: slope(&memory).map(|bytes| rounded(bytes / BYTES_PER_KIBIBYTE)),
            requests_per_core_second: rounded(answers as f64 / cpu_time.as_secs_f64()),
            failures: self.failures(),
        }
    }

    fn failures(&self) -> usize {
        let of_level =
            |level: &LatencyLevel| level.direct.failures.len() + level.system.failures.len();
        self.levels.iter().map(of_level).sum()
    }
}

/// Prints the head of the table of latencies.
pub fn print_latency_head() {
    println!(
        "workers  way      answers  first token p50 / p95 ms   token gap p50 / p95 ms  \
         requests per CPU second"
    );
}

/// Prints what one number of workers measured.
pub fn print_latency(level: &LatencyLevel) {
    print_row(level, "direct", &level.direct, None);
    let per_core = level.requests_per_core_second();
    print_row(level, "system", &level.system, Some(per_core));
    let failures = level.direct.failures.iter().chain(&level.system.failures);
    for failure in failures {
        println!("failed: {failure}");
    }
}

/// Prints the table of open streams.
pub fn print_held(levels: &[HeldLevel]) {
    println!("\nopen streams  resident MiB");
    for held in levels {
        println!("{:12}  {:12.1}", held.streams, mebibytes(held));
    }
}

fn print_row(
    level: &LatencyLevel,
    way: &str,
    result: &crate::load::LoadResult,
    per_core: Option<f64>,
) {
    let per_core = per_core.map_or(String::new(), |value| format!("{value:.0}"));
    println!(
        "{:7}  {way:7}  {:7}  {:12.2} / {:<10.2}  {:12.2} / {:<10.2}  {per_core}",
        level.workers,
        result.ok,
        result.first_token.p50_ms(),
        result.first_token.p95_ms(),
        result.token_gap.p50_ms(),
        result.token_gap.p95_ms(),
    );
}

fn mebibytes(held: &HeldLevel) -> f64 {
    held.resident_bytes as f64 / BYTES_PER_MEBIBYTE
}
