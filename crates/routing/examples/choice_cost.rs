//! Measures the CPU time of one placement: with one region, with several, and with a residency.
//!
//! `cargo run --release -p ridgeworks-routing --example choice_cost`

use std::hint::black_box;
use std::time::{Duration, Instant};

use ridgeworks_routing::{
    EligibilityRule, Engine, EngineEntry, EngineState, EngineTable, Placement, PlacementRequest,
    RegionLatencies, Residency, ResidencyRule, ZoneRegions,
};

const ZONES: usize = 19;
const REGIONS: usize = 6;
const ENGINES: usize = 100;
const ROUNDS: u32 = 20_000;

fn zone(number: usize) -> String {
    format!("zone-{}", number % ZONES)
}

fn engine(number: usize) -> Engine {
    Engine {
        instance: format!("i-{number}"),
        born_ms: 0,
        service: "models".to_owned(),
        address: ([127, 0, 0, 1], 9).into(),
        zone: zone(number),
        slots: 24,
        state: EngineState::Ready,
        warm_up_ms: 0,
        software: "v1".to_owned(),
    }
}

fn regions() -> ZoneRegions {
    let zones = (0..ZONES).map(|number| (zone(number), format!("region-{}", number % REGIONS)));
    ZoneRegions::new(zones.collect())
}

fn time_choices(
    name: &str,
    table: &EngineTable,
    placement: &mut Placement,
    rules: &[&dyn EligibilityRule],
) {
    let started_at = Instant::now();
    for number in 0..ROUNDS {
        let key = format!("session-{number}");
        let request = PlacementRequest {
            service: "models",
            key: &key,
            parts: &[],
            zone: "zone-0",
            excluded: &[],
            rules,
        };
        black_box(placement.choose(table, &request, Duration::from_secs(1)));
    }
    let each = started_at.elapsed() / ROUNDS;
    println!("{name}: {:.1} us a choice", each.as_secs_f64() * 1e6);
}

fn main() {
    let mut table = EngineTable::default();
    for number in 0..ENGINES {
        let engine = engine(number);
        table.apply(EngineEntry {
            engine,
            revision: 1,
        });
    }
    let regions = regions();
    let residency = Residency::within(["region-0".to_owned(), "region-1".to_owned()]);
    let rule = ResidencyRule {
        residency: &residency,
        regions: &regions,
    };
    for _ in 0..3 {
        time_choices("one region", &table, &mut Placement::default(), &[]);
        let latencies = || RegionLatencies::new(&regions, "zone-0");
        let mut six_regions = Placement::with_region_latencies(latencies());
        for number in 0..ZONES {
            six_regions.on_connected(&engine(number), Duration::from_millis(40));
        }
        time_choices("six regions", &table, &mut six_regions, &[]);
        time_choices("two of six regions", &table, &mut six_regions, &[&rule]);
    }
}
