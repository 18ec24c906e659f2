//! The same load straight to the engines and through the system, in turns.

use std::time::Duration;

use super::command::BenchError;
use super::deployment::Deployment;
use super::node_process::ProcessError;
use crate::load::{DirectTarget, LoadPlan, LoadResult, SystemTarget, run_load};

const TEXT: &str = "what is open near here";
const MAX_TOKENS: u64 = 16;
/// Two steps of the fast engines.
const MAX_PAUSE: Duration = Duration::from_millis(16);
const ROUNDS: usize = 4;
const REQUESTS_PER_ROUND: usize = 160;

/// What one number of workers measured.
#[derive(Debug, Clone)]
pub struct LatencyLevel {
    /// Workers at a time.
    pub workers: usize,
    /// Straight to the engines.
    pub direct: LoadResult,
    /// Through the system.
    pub system: LoadResult,
    /// CPU time that all nodes used for the load through the system.
    pub cpu_time: Duration,
}

impl LatencyLevel {
    /// Time to the first token that the system adds at a quantile, in milliseconds.
    pub fn added_first_token_ms(&self, quantile: f64) -> f64 {
        let system = self.system.first_token.quantile_ms(quantile);
        system - self.direct.first_token.quantile_ms(quantile)
    }

    /// Time between tokens that the system adds at a quantile, in milliseconds.
    pub fn added_token_gap_ms(&self, quantile: f64) -> f64 {
        let system = self.system.token_gap.quantile_ms(quantile);
        system - self.direct.token_gap.quantile_ms(quantile)
    }

    /// Requests answered for each second of CPU time of all nodes together.
    pub fn requests_per_core_second(&self) -> f64 {
        self.system.ok as f64 / self.cpu_time.as_secs_f64()
    }
}

/// Measures one number of workers. Both ways take turns, so that what else the machine does burdens
/// both alike.
pub fn measure(deployment: &Deployment, workers: usize) -> Result<LatencyLevel, BenchError> {
    let direct = deployment.direct_target();
    let system = deployment.system_target();
    let plan = LoadPlan {
        workers,
        requests_per_worker: REQUESTS_PER_ROUND.div_ceil(workers),
        text: TEXT.to_owned(),
        max_tokens: MAX_TOKENS,
        max_pause: MAX_PAUSE,
    };
    let mut level = LatencyLevel {
        workers,
        direct: LoadResult::default(),
        system: LoadResult::default(),
        cpu_time: Duration::ZERO,
    };
    warm_up(&direct, &system, &plan);
    for _ in 0..ROUNDS {
        level.direct.add(run_load(&direct, &plan));
        let before = cpu_time(deployment)?;
        level.system.add(run_load(&system, &plan));
        level.cpu_time += cpu_time(deployment)?.saturating_sub(before);
    }
    Ok(level)
}

/// Opens the connections that all requests then share.
fn warm_up(direct: &DirectTarget, system: &SystemTarget, plan: &LoadPlan) {
    let once = LoadPlan {
        requests_per_worker: 1,
        ..plan.clone()
    };
    run_load(direct, &once);
    run_load(system, &once);
}

fn cpu_time(deployment: &Deployment) -> Result<Duration, ProcessError> {
    let processes = deployment.node_processes();
    processes.iter().map(|process| process.cpu_time()).sum()
}
