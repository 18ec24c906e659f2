//! Tables of drained zones from the store and from other nodes.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use ridgeworks_routing::{
    DrainChange, EligibilityRule, EngineKey, EngineTable, Exclusion, GatewayReport, Placement,
    PlacementRequest, PromptPart, ZoneDrains, service_exclusion,
};
use support::{engine, table};

fn listed(orders: &[(&str, u64)], at: u64) -> ZoneDrains {
    let orders = orders
        .iter()
        .map(|(zone, revision)| ((*zone).to_owned(), *revision));
    ZoneDrains::listed(orders.collect::<BTreeMap<_, _>>(), at)
}

fn order(zone: &str, revision: u64) -> (String, Option<u64>) {
    (zone.to_owned(), Some(revision))
}

fn removed(zone: &str) -> (String, Option<u64>) {
    (zone.to_owned(), None)
}

fn started(zone: &str, revision: u64) -> DrainChange {
    let zone = zone.to_owned();
    DrainChange::Started { zone, revision }
}

fn ended(zone: &str) -> DrainChange {
    let zone = zone.to_owned();
    DrainChange::Ended { zone }
}

#[test]
fn the_table_with_the_later_revision_replaces_the_other() {
    let mut table = ZoneDrains::default();
    assert_eq!(table.take(listed(&[("a", 5)], 9)), [started("a", 5)]);
    assert_eq!(table.take(listed(&[], 8)), [], "an older table was applied");
    assert!(table.is_drained("a"));
    let changes = table.take(listed(&[("a", 12), ("b", 11)], 13));
    let rewritten = DrainChange::Rewritten {
        zone: "a".to_owned(),
        revision: 12,
    };
    assert_eq!(changes, [rewritten, started("b", 11)]);
    assert_eq!(table.take(listed(&[("b", 11)], 20)), [ended("a")]);
}

/// A node that took the table from another node receives the same changes again from the store.
#[test]
fn applying_a_change_again_has_no_effect() {
    let table = listed(&[("b", 7)], 9);
    let changes = [order("a", 4), removed("a"), order("b", 7), order("c", 10)];
    let next = table.after(&changes, 10);
    let orders: Vec<_> = next.orders().collect();
    assert_eq!(orders, [("b", 7), ("c", 10)]);
    assert_eq!((next.at(), next.unchanged_since()), (10, 10));
}

/// A list without an order does not show whether there was one before, so a node that knows one must not take
/// it as confirmed.
#[test]
fn a_list_does_not_confirm_orders_from_before_it() {
    let before = listed(&[("a", 50)], 60);
    let fresh = listed(&[], 100);
    assert!(fresh.unchanged_since() > before.at());
}

#[test]
fn an_equal_table_that_overlaps_in_time_keeps_the_revision_of_the_last_change() {
    let mut table = listed(&[("a", 5)], 9).after(&[], 40);
    assert_eq!((table.at(), table.unchanged_since()), (40, 9));
    // Another node listed the same orders at 30, so there was no change in between.
    assert_eq!(table.take(listed(&[("a", 5)], 30).after(&[], 50)), []);
    assert_eq!((table.at(), table.unchanged_since()), (50, 9));
    // There may have been changes between 50 and 70.
    assert_eq!(table.take(listed(&[("a", 5)], 70)), []);
    assert_eq!((table.at(), table.unchanged_since()), (70, 70));
}

#[test]
fn a_service_is_excluded_only_if_all_its_engines_are_in_drained_zones() {
    let (first, second) = (engine("i-1", "a"), engine("i-2", "b"));
    let engines = table([first.clone(), second.clone()]);
    let one = listed(&[("a", 1)], 1);
    assert_eq!(one.exclusion(&first), Some(Exclusion::ZoneDrain));
    assert_eq!(one.exclusion(&second), None);
    assert_eq!(service_exclusion(&engines, "models", &[&one]), None);
    let both = listed(&[("a", 1), ("b", 2)], 2);
    let exclusion = service_exclusion(&engines, "models", &[&both]);
    assert_eq!(exclusion, Some(Exclusion::ZoneDrain));
}

const GATEWAYS: usize = 20;
const SESSIONS: usize = 12;

/// Counts the next turns of all sessions by engine; no gateway knows the load of the others.
fn next_turns(
    gateways: &mut [Placement],
    engines: &EngineTable,
    rules: &[&dyn EligibilityRule],
) -> BTreeMap<String, usize> {
    let mut turns = BTreeMap::new();
    for (number, placement) in gateways.iter_mut().enumerate() {
        for session in 0..SESSIONS {
            let key = format!("session-{number}-{session}");
            let hash = (number * SESSIONS + session) as u64 + 1;
            let parts = [PromptPart { hash, tokens: 500 }];
            let request = PlacementRequest {
                service: "models",
                key: &key,
                parts: &parts,
                zone: "elsewhere",
                excluded: &[],
                rules,
            };
            let chosen = placement.choose(engines, &request, Duration::ZERO);
            let chosen = chosen.expect("an engine").engine.clone();
            placement.on_sent(&key, &chosen, &parts);
            *turns.entry(chosen.instance).or_default() += 1;
        }
    }
    turns
}

/// Three zones with six engines each.
fn three_zones() -> EngineTable {
    let zones = ["a", "b", "c"];
    table::<18>(std::array::from_fn(|number| {
        let zone = zones[number % zones.len()];
        engine(&format!("{zone}-{number}"), zone)
    }))
}

/// Counts the turns by engine after a zone was drained; all gateways received a report of these in-flight
/// requests.
fn turns_after_a_drain(in_flight: &[(EngineKey, u32)]) -> BTreeMap<String, usize> {
    let engines = three_zones();
    let mut gateways: Vec<Placement> = (0..GATEWAYS).map(|_| Placement::default()).collect();
    next_turns(&mut gateways, &engines, &[]);
    for gateway in &mut gateways {
        let report = GatewayReport {
            in_flight: in_flight.to_vec(),
            suspects: Vec::new(),
        };
        gateway.on_report("other", report, Duration::ZERO);
    }
    let drained = listed(&[("a", 1)], 1);
    let turns = next_turns(&mut gateways, &engines, &[&drained]);
    assert!(turns.keys().all(|instance| !instance.starts_with('a')));
    turns
}

/// Sessions that lose their engines all at once must not all be sent to the same engines.
#[test]
fn sessions_of_a_drained_zone_spread_over_the_other_engines() {
    let turns = turns_after_a_drain(&[]);
    assert_eq!(turns.len(), 12);
    let mean = GATEWAYS * SESSIONS / turns.len();
    for (instance, turns) in &turns {
        assert!(*turns < 2 * mean, "{instance}: {turns} for {mean}");
    }
}

#[test]
fn sessions_of_a_drained_zone_avoid_a_loaded_engine() {
    const LOADED: &str = "b-1";
    let report = [(engine(LOADED, "b").key(), 40)];
    let turns = turns_after_a_drain(&report);
    let turns_at_loaded = turns.get(LOADED).copied().unwrap_or_default();
    let mean = GATEWAYS * SESSIONS / 12;
    assert!(turns_at_loaded < mean / 2, "{turns_at_loaded} for {mean}");
}
