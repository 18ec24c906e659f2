//! Splits the requests of a route among its services by their weights.

use std::collections::HashMap;

use crate::configuration::Route;

/// Smooth weighted round robin, by route: any run of requests is split as evenly as whole requests
/// allow.
#[derive(Debug, Clone, Default)]
pub struct WeightedSplit {
    credits: HashMap<String, Vec<i64>>,
}

impl WeightedSplit {
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
        let credits = self.credits.entry(route.name.clone()).or_default();
        credits.resize(weights.len(), 0);
        for (credit, weight) in credits.iter_mut().zip(&weights) {
            *credit += weight;
        }
        let eligible = (0..weights.len()).filter(|index| weights[*index] > 0);
        let chosen = eligible.max_by_key(|index| (credits[*index], std::cmp::Reverse(*index)))?;
        credits[chosen] -= total;
        Some(chosen)
    }

    /// Forgets routes that the configuration no longer has.
    pub fn retain_routes(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.credits.retain(|name, _| is_kept(name));
    }
}
