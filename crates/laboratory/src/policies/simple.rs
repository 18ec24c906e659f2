//! Baselines, and the policy that knows everything.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Choosing, Policy};
use crate::deployment::Deployment;
use crate::engine::Made;
use crate::policies::fitted::Counts;

/// The engine with the fewest open requests, as far as a gateway knows.
pub struct LeastRequests(Counts);

impl LeastRequests {
    /// For a deployment.
    pub fn new(deployment: &Deployment) -> Self {
        Self(Counts::new(deployment))
    }
}

impl Policy for LeastRequests {
    fn choose(&mut self, choosing: &Choosing<'_>) -> usize {
        let engines = 0..choosing.engines.len();
        let open = |engine: &usize| {
            let rank = xxh3_64_with_seed(&choosing.program.to_le_bytes(), *engine as u64);
            (self.0.open(choosing.gateway, *engine), rank)
        };
        let chosen = engines.min_by_key(open).unwrap_or(0);
        self.0.on_sent(choosing.gateway, choosing.program, chosen);
        chosen
    }

    fn on_event(&mut self, made: &Made, _now_ms: f64) {
        if made.is_last {
            self.0.on_ended(made.program);
        }
    }

    fn on_failed(&mut self, program: u64, _now_ms: f64) {
        self.0.on_ended(program);
    }

    fn on_report(&mut self, _now_ms: f64) {
        self.0.on_report();
    }
}

/// Each session at the engine that a hash names.
pub struct Sticky;

impl Policy for Sticky {
    fn choose(&mut self, choosing: &Choosing<'_>) -> usize {
        let rank =
            |engine: &usize| xxh3_64_with_seed(&choosing.program.to_le_bytes(), *engine as u64);
        (0..choosing.engines.len()).max_by_key(rank).unwrap_or(0)
    }

    fn on_event(&mut self, _made: &Made, _now_ms: f64) {}

    fn on_failed(&mut self, _program: u64, _now_ms: f64) {}

    fn on_report(&mut self, _now_ms: f64) {}
}

/// Knows what every engine holds and does, at each moment.
pub struct Oracle;

impl Policy for Oracle {
    fn choose(&mut self, choosing: &Choosing<'_>) -> usize {
        let engines = choosing.engines.iter().enumerate();
        let costs = engines.map(|(index, engine)| (engine.exact_cost_ms(choosing.prompt), index));
        let best = costs.min_by(|one, two| one.0.total_cmp(&two.0));
        best.map_or(0, |(_, index)| index)
    }

    fn on_event(&mut self, _made: &Made, _now_ms: f64) {}

    fn on_failed(&mut self, _program: u64, _now_ms: f64) {}

    fn on_report(&mut self, _now_ms: f64) {}
}
