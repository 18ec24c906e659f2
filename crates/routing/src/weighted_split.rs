//! Splits the requests of a route among its services by their weights.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::configuration::Route;

/// Smooth weighted round robin, by route: any run of requests is split as evenly as whole requests
/// allow.
///
/// Each gateway begins at a point of the round of its own, drawn from its seed. If all began at the start,
/// the heaviest service would get the first request of every gateway, and with many gateways that see a
/// few requests each, far more than its share.
#[derive(Debug, Clone)]
pub struct WeightedSplit {
    seed: u64,
    credits: HashMap<String, Vec<i64>>,
}

impl WeightedSplit {
    /// A split whose rounds begin where this seed says.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            credits: HashMap::new(),
        }
    }

    /// The service of the route's next request, as an index into its services; `None` without any
    /// service that has a weight.
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

    /// Number of routes whose split is remembered.
    pub fn len(&self) -> usize {
        self.credits.len()
    }

    /// Whether no split is remembered.
    pub fn is_empty(&self) -> bool {
        self.credits.is_empty()
    }

    /// Forgets routes that the configuration no longer has.
    pub fn retain_routes(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.credits.retain(|name, _| is_kept(name));
    }

    /// Credits after some requests of a round, how many is drawn from the seed.
    fn initial_credits(&self, route: &str, weights: &[i64], total: i64) -> Vec<i64> {
        /// A round of larger weights is not played to its end.
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

/// One request: every service earns its weight, and the one with the most pays for the round.
fn step(credits: &mut [i64], weights: &[i64], total: i64) -> Option<usize> {
    for (credit, weight) in credits.iter_mut().zip(weights) {
        *credit += weight;
    }
    let eligible = (0..weights.len()).filter(|index| weights[*index] > 0);
    let chosen = eligible.max_by_key(|index| (credits[*index], std::cmp::Reverse(*index)))?;
    credits[chosen] -= total;
    Some(chosen)
}
