//! Workers that stream answers one after the other.

use std::thread;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::target::{Arrivals, StreamTarget};
use crate::client::CallFailure;
use crate::measures::Distribution;

/// How much is asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadPlan {
    /// Workers at a time.
    pub workers: usize,
    /// Answers that each worker streams.
    pub requests_per_worker: usize,
    /// What is asked.
    pub text: String,
    /// Most tokens of an answer.
    pub max_tokens: u64,
    /// Longest pause before a request. Random pauses keep workers from falling into step with the
    /// engines, which would make requests arrive at the worst or best time of a step.
    pub max_pause: Duration,
}

/// What a load measured.
#[derive(Debug, Clone, Default)]
pub struct LoadResult {
    /// Time to the first token.
    pub first_token: Distribution,
    /// Time between tokens.
    pub token_gap: Distribution,
    /// Answers that arrived whole.
    pub ok: u64,
    /// The requests without an answer.
    pub failures: Vec<CallFailure>,
    /// Time that the load took.
    pub elapsed: Duration,
}

impl LoadResult {
    /// Adds what another load measured.
    pub fn add(&mut self, other: Self) {
        self.first_token.add(&other.first_token);
        self.token_gap.add(&other.token_gap);
        self.ok += other.ok;
        self.failures.extend(other.failures);
        self.elapsed += other.elapsed;
    }

    fn record(&mut self, result: Result<Arrivals, CallFailure>) {
        match result {
            Ok(arrivals) => {
                self.ok += 1;
                arrivals
                    .first
                    .iter()
                    .for_each(|time| self.first_token.record(*time));
                arrivals
                    .gaps
                    .iter()
                    .for_each(|gap| self.token_gap.record(*gap));
            }
            Err(failure) => self.failures.push(failure),
        }
    }
}

/// Runs all workers to their ends.
pub fn run_load(target: &dyn StreamTarget, plan: &LoadPlan) -> LoadResult {
    let started = Instant::now();
    let mut total = LoadResult::default();
    thread::scope(|scope| {
        let workers: Vec<_> = (0..plan.workers)
            .map(|worker| scope.spawn(move || run_worker(target, plan, worker as u64)))
            .collect();
        for worker in workers {
            total.add(worker.join().expect("a worker does not panic"));
        }
    });
    total.elapsed = started.elapsed();
    total
}

fn run_worker(target: &dyn StreamTarget, plan: &LoadPlan, seed: u64) -> LoadResult {
    let mut generator = ChaCha8Rng::seed_from_u64(seed);
    let mut result = LoadResult::default();
    for _ in 0..plan.requests_per_worker {
        let pause = generator.random_range(Duration::ZERO..=plan.max_pause);
        thread::sleep(pause);
        result.record(target.stream(&plan.text, plan.max_tokens));
    }
    result
}
