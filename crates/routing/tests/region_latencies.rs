//! Placement with engines in several regions.

mod support;

use std::time::Duration;

use quickcheck::quickcheck;
use ridgeworks_routing::{
    EngineKey, Placement, PlacementRequest, RegionLatencies, Residency, ResidencyRule, ZoneRegions,
};
use support::{NOW, choose, engine, part, request, send, table};

/// The gateway is in zone-a, in the north like zone-b; zone-c is in the south.
fn regions() -> ZoneRegions {
    ZoneRegions::from([
        ("zone-a", "north"),
        ("zone-b", "north"),
        ("zone-c", "south"),
    ])
}

/// A placement that has measured both regions, the other one this many milliseconds away.
fn placement_with_latency(round_trip_ms: u64) -> Placement {
    let mut placement =
        Placement::with_region_latencies(RegionLatencies::new(&regions(), "zone-a"));
    for _ in 0..20 {
        placement.on_connected(&engine("i", "zone-a"), Duration::from_millis(2));
        let elapsed = Duration::from_millis(2 + round_trip_ms);
        placement.on_connected(&engine("i", "zone-c"), elapsed);
    }
    placement
}

fn chosen(
    placement: &mut Placement,
    engines: &[(&str, &str)],
    request: &PlacementRequest<'_>,
) -> String {
    let mut list = table([]);
    for (instance, zone) in engines {
        list.apply(ridgeworks_routing::EngineEntry {
            engine: engine(instance, zone),
            revision: 1,
        });
    }
    choose(placement, &list, request, NOW).expect("an engine")
}

#[test]
fn an_engine_in_the_gateway_s_region_is_preferred_to_a_remote_one() {
    let engines = [("i-beyond", "zone-c"), ("i-near", "zone-b")];
    for number in 0..20 {
        let key = format!("session-{number}");
        let first = chosen(
            &mut placement_with_latency(40),
            &engines,
            &request(&key, &[], &[]),
        );
        assert_eq!(first, "i-near");
    }
}

/// Requests at the near engine after which the remote one is chosen.
fn requests_until_remote_is_chosen(round_trip_ms: u64) -> usize {
    let engines = [("i-beyond", "zone-c"), ("i-near", "zone-a")];
    let mut placement = placement_with_latency(round_trip_ms);
    let mut sent = 0;
    while chosen(&mut placement, &engines, &request("s", &[], &[])) == "i-near" {
        send(&mut placement, "i-near", &[]);
        sent += 1;
        assert!(sent < 1_000, "the near engine is chosen under any load");
    }
    sent
}

#[test]
fn a_remote_region_is_chosen_under_a_higher_load_if_it_is_farther() {
    let (near, far) = (
        requests_until_remote_is_chosen(5),
        requests_until_remote_is_chosen(200),
    );
    assert!(near > 0 && near < far, "{near} {far}");
}

#[test]
fn a_prompt_cached_in_another_region_is_used_if_it_saves_more_than_the_latency() {
    let engines = [("i-beyond", "zone-c"), ("i-near", "zone-a")];
    for (tokens, expected) in [(20, "i-near"), (30_000, "i-beyond")] {
        let mut placement = placement_with_latency(40);
        let parts = [part(1, tokens), part(2, tokens)];
        let forecast = send(&mut placement, "i-beyond", &parts);
        placement.on_ended(EngineKey::of("i-beyond"), forecast.missing_tokens);
        let first = chosen(&mut placement, &engines, &request("s", &parts, &[]));
        assert_eq!(first, expected, "{tokens}");
    }
}

/// The request may not be served in the gateway's region: sessions still spread by rank, the same at all
/// gateways.
#[test]
fn sessions_that_may_not_run_in_the_gateway_s_region_spread_over_the_engines() {
    let south = Residency::within(["south".to_owned()]);
    let regions = regions();
    let rule = ResidencyRule {
        residency: &south,
        regions: &regions,
    };
    let engines = ["i-1", "i-2", "i-3", "i-4", "i-5", "i-6"].map(|name| (name, "zone-c"));
    let mut seen = std::collections::BTreeSet::new();
    for number in 0..40 {
        let key = format!("session-{number}");
        let request = PlacementRequest {
            rules: &[&rule],
            ..request(&key, &[], &[])
        };
        seen.insert(chosen(&mut placement_with_latency(40), &engines, &request));
    }
    assert_eq!(seen.len(), engines.len());
}

#[test]
fn fast_connections_count_more_than_slow_ones() {
    let mut latencies = RegionLatencies::new(&regions(), "zone-a").expect("several regions");
    assert!(
        latencies.extra_ms("zone-c") > 0.0,
        "no extra cost before the first measurement"
    );
    assert!(latencies.extra_ms("zone-b") == 0.0);
    latencies.on_connected("zone-c", Duration::from_millis(240));
    for _ in 0..8 {
        latencies.on_connected("zone-c", Duration::from_millis(40));
    }
    latencies.on_connected("zone-c", Duration::from_millis(200));
    let extra = latencies.extra_ms("zone-c");
    assert!((35.0..55.0).contains(&extra), "{extra}");
    assert_eq!(latencies.changes().len(), 1);
    assert!(
        latencies.changes().is_empty(),
        "returned again without a change"
    );
}

/// Each engine is given by its zone and its number of in-flight requests.
fn same_choice_in_one_region(engines: Vec<(u8, u8)>, key: String, prefills: Vec<u8>) -> bool {
    let zones = ["zone-a", "zone-b", "zone-c"];
    let in_one_region = zones.map(|zone| (zone, "north"));
    let latencies = RegionLatencies::new(&ZoneRegions::from(in_one_region), "zone-a");
    let has_no_latencies = latencies.is_none();
    let mut placements = [
        Placement::default(),
        Placement::with_region_latencies(latencies),
    ];
    let names: Vec<String> = (0..engines.len())
        .map(|number| format!("i-{number}"))
        .collect();
    let list: Vec<(&str, &str)> = names
        .iter()
        .zip(&engines)
        .map(|(name, (zone, _))| (name.as_str(), zones[usize::from(*zone) % 3]))
        .collect();
    let mut choices = Vec::new();
    for placement in &mut placements {
        for (name, (_, in_flight)) in names.iter().zip(&engines) {
            for _ in 0..in_flight % 6 {
                send(placement, name, &[]);
            }
        }
        for prefill in &prefills {
            let parts = [part(u64::from(*prefill), 2_000)];
            if let Some(name) = names.get(usize::from(*prefill) % names.len().max(1)) {
                send(placement, name, &parts);
            }
        }
        if !list.is_empty() {
            choices.push(chosen(
                placement,
                &list,
                &request(&key, &[part(1, 2_000)], &[]),
            ));
        }
    }
    choices.dedup();
    has_no_latencies && choices.len() <= 1
}

quickcheck! {
    fn a_deployment_in_one_region_chooses_as_without_regions(engines: Vec<(u8, u8)>, key: String, prefills: Vec<u8>) -> bool {
        same_choice_in_one_region(engines, key, prefills)
    }
}

/// With most engines in another region, the first by rank of all regions would be remote.
#[test]
fn few_engines_in_the_gateway_s_region_are_preferred_to_many_remote_ones() {
    let remote: Vec<String> = (0..30).map(|number| format!("i-beyond-{number}")).collect();
    let mut engines: Vec<(&str, &str)> = remote
        .iter()
        .map(|name| (name.as_str(), "zone-c"))
        .collect();
    engines.push(("i-near", "zone-b"));
    for number in 0..20 {
        let mut placement = placement_with_latency(5);
        for _ in 0..3 {
            send(&mut placement, "i-near", &[]);
        }
        let key = format!("session-{number}");
        assert_eq!(
            chosen(&mut placement, &engines, &request(&key, &[], &[])),
            "i-near"
        );
    }
}
