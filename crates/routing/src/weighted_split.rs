//! Splits the requests of a route among its services by their weights.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::configuration::Route;

/// Smooth weighted round robin for each route: every sequence of consecutive requests is split as evenly as
/// whole requests allow.
///
/// Each gateway starts at a point of the round drawn from its seed. If all started at the same point, the
/// heaviest service would get the first request of every gateway, and with many gateways that see few
/// requests each, far more than its share.
#[derive(Debug, Clone)]
pub struct WeightedSplit {
    seed: u64,
    credits: HashMap<String, Vec<i64>>,
}

impl WeightedSplit {
    /// Creates a split whose starting points are drawn from the seed.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            credits: HashMap::new(),
        }
    }

    /// Index of the service for the route's next request; `None` if no service has a weight.
    pub fn next(&mut self, route: &Route) -> Option<usize> {
        let weights: Vec<i64> = route
            .services
            .iter()
            .map(|part| i64::from(part.weight))
            .collect();
        let total: i64 = weights.iter().sum();
        if total <= 0 {
            return None;
        }
        if !self.credits.contains_key(&route.name) {
            let initial = self.initial_credits(&route.name, &weights, total);
            self.credits.insert(route.name.clone(), initial);
        }
        let credits = self.credits.get_mut(&route.name)?;
        credits.resize(weights.len(), 0);
        step(credits, &weights, total)
    }

    /// Number of routes with state.
    pub fn len(&self) -> usize {
        self.credits.len()
    }

    pub fn is_empty(&self) -> bool {
        self.credits.is_empty()
    }

    /// Drops the state of routes that the configuration no longer has.
    pub fn retain_routes(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.credits.retain(|name, _| is_kept(name));
    }

    /// Credits after a number of requests drawn from the seed.
    fn initial_credits(&self, route: &str, weights: &[i64], total: i64) -> Vec<i64> {
        /// Limits the work where the sum of the weights is large.
        const MAX_ROUND: i64 = 1_000;
        let round = total.min(MAX_ROUND).unsigned_abs();
        let skipped = xxh3_64_with_seed(route.as_bytes(), self.seed) % round;
        let mut credits = vec![0; weights.len()];
        for _ in 0..skipped {
            step(&mut credits, weights, total);
        }
        credits
    }
}

/// Takes one step: each service earns its weight, and the one with the most credit pays the total and is
/// chosen.
fn step(credits: &mut [i64], weights: &[i64], total: i64) -> Option<usize> {
    for (credit, weight) in credits.iter_mut().zip(weights) {
        *credit += weight;
    }
    let eligible = (0..weights.len()).filter(|index| weights[*index] > 0);
    let chosen = eligible.max_by_key(|index| (credits[*index], std::cmp::Reverse(*index)))?;
    credits[chosen] -= total;
    Some(chosen)
}
