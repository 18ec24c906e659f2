//! Matching of routes, and the split of requests among services.

mod support;

use quickcheck::quickcheck;
use ridgeworks_routing::{RouteTable, WeightedService, WeightedSplit};
use support::{configuration, route};

fn table() -> RouteTable {
    RouteTable::new(&configuration(vec![
        route("short", "one.example", "/a/"),
        route("long", "one.example", "/a/b/"),
        route("other", "two.example", "/a/"),
    ]))
}

fn found(host: &str, path: &str) -> Option<String> {
    table().find(host, path).map(|route| route.name.clone())
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    assert_eq!(found("one.example", "/a/x").as_deref(), Some("short"));
    assert_eq!(found("one.example", "/a/b/x").as_deref(), Some("long"));
    assert_eq!(found("two.example", "/a/b/x").as_deref(), Some("other"));
    assert_eq!(found("ONE.example:8080", "/a/b/").as_deref(), Some("long"));
    assert_eq!(found("one.example", "/a"), None);
    assert_eq!(found("one.example", "/b/a/"), None);
    assert_eq!(found("three.example", "/a/"), None);
}

/// Largest deviation of a service's request count from its weighted share after this many requests.
fn max_deviation(weights: &[u32], requests: usize) -> f64 {
    let mut split = route("split", "one.example", "/a/");
    split.services = weights
        .iter()
        .enumerate()
        .map(|(index, weight)| WeightedService {
            service: format!("service-{index}"),
            weight: *weight,
        })
        .collect();
    let mut state = WeightedSplit::new(7);
    let mut counts = vec![0_u32; weights.len()];
    for _ in 0..requests {
        if let Some(index) = state.next(&split) {
            counts[index] += 1;
        }
    }
    let total: u32 = weights.iter().sum();
    let deviations = weights.iter().zip(&counts).map(|(weight, count)| {
        let expected = f64::from(*weight) / f64::from(total) * requests as f64;
        (f64::from(*count) - expected).abs()
    });
    deviations.fold(0.0, f64::max)
}

#[test]
fn shares_follow_the_weights_after_any_number_of_requests() {
    for requests in 1..200 {
        assert!(max_deviation(&[90, 10], requests) <= 1.0);
        assert!(max_deviation(&[1, 1, 1], requests) <= 1.0);
    }
}

#[test]
fn a_service_without_weight_gets_no_requests() {
    assert!(max_deviation(&[5, 0], 100) < f64::EPSILON);
    let mut none = route("none", "one.example", "/a/");
    none.services.clear();
    assert_eq!(WeightedSplit::new(7).next(&none), None);
}

quickcheck! {
    fn every_share_stays_near_its_weight(weights: Vec<u8>, requests: u8) -> bool {
        let weights: Vec<u32> = weights.into_iter().take(6).map(u32::from).collect();
        if weights.iter().sum::<u32>() == 0 {
            return true;
        }
        max_deviation(&weights, usize::from(requests)) <= weights.len() as f64
    }
}

#[test]
fn weights_hold_over_many_gateways_with_few_requests_each() {
    const GATEWAYS: u64 = 300;
    const REQUESTS: u64 = 3;
    let mut split = route("split", "one.example", "/a/");
    split.services = [80, 20]
        .iter()
        .map(|weight| WeightedService {
            service: format!("service-{weight}"),
            weight: *weight,
        })
        .collect();
    let mut second = 0;
    for seed in 0..GATEWAYS {
        let mut state = WeightedSplit::new(seed);
        let served = (0..REQUESTS).filter(|_| state.next(&split) == Some(1));
        second += served.count();
    }
    let share = second as f64 / (GATEWAYS * REQUESTS) as f64;
    assert!((share - 0.2).abs() < 0.04, "{share}");
}
