//! Engines that restart under the same instance name.

use std::time::Duration;

use ridgeworks_routing::{
    Engine, EngineEntry, EngineKey, EngineState, EngineTable, GatewayReport, Outcome, Placement,
    PrefillRecord, PromptPart,
};

const NOW: Duration = Duration::from_secs(10);

fn engine(born_ms: u64) -> Engine {
    Engine {
        instance: "i-1".to_owned(),
        born_ms,
        service: "models".to_owned(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "zone-a".to_owned(),
        slots: 4,
        state: EngineState::Ready,
        warm_up_ms: 0,
        software: "v1".to_owned(),
    }
}

fn table(born_ms: u64, revision: u64) -> EngineTable {
    let mut table = EngineTable::default();
    let engine = engine(born_ms);
    table.replace(vec![EngineEntry { engine, revision }], revision);
    table
}

fn parts() -> [PromptPart; 1] {
    [PromptPart {
        hash: 7,
        tokens: 1_000,
    }]
}

#[test]
fn a_restarted_engine_has_no_cached_parts_or_requests_of_its_earlier_run() {
    let mut placement = Placement::default();
    let (earlier, later) = (engine(1), engine(2));
    placement.on_sent("session", &earlier, &parts());
    assert_eq!(placement.in_flight_at(earlier.key(), NOW), 1);
    assert_eq!(placement.in_flight_at(later.key(), NOW), 0);
    let forecast = placement.on_sent("session", &later, &parts());
    assert_eq!((forecast.missing_tokens, forecast.in_flight), (1_000, 0));
    let again = placement.on_sent("session", &later, &parts());
    assert_eq!(again.missing_tokens, 0);
}

/// Late messages: a gateway's report, a directory record, and the answer to an earlier request.
#[test]
fn late_messages_about_an_earlier_run_do_not_affect_the_later_one() {
    let mut placement = Placement::default();
    let (earlier, later) = (engine(1), engine(2));
    let forecast = placement.on_sent("old", &earlier, &parts());
    let report = GatewayReport {
        in_flight: vec![(earlier.key(), 9)],
        suspects: Vec::new(),
    };
    placement.on_report("front-2", report, NOW);
    placement.on_prefill(&PrefillRecord {
        engine: earlier.key().0,
        parts: parts().to_vec(),
    });
    placement.on_outcome(earlier.key(), Outcome::Failed, NOW);
    placement.on_first_event(&earlier, forecast, Duration::from_millis(30));
    placement.on_ended(earlier.key(), 0);
    assert_eq!(placement.in_flight_at(later.key(), NOW), 0);
    assert_eq!(
        placement.on_sent("new", &later, &parts()).missing_tokens,
        1_000
    );
    let listed = table(2, 5);
    let changes = placement.failure_state_changes(&listed, NOW);
    assert!(changes.is_empty(), "{changes:?}");
}

#[test]
fn state_of_an_earlier_run_is_dropped_once_a_later_one_is_listed() {
    let mut placement = Placement::default();
    let earlier = engine(1);
    placement.on_sent("session", &earlier, &parts());
    placement.on_ended(earlier.key(), 0);
    placement.retain(&table(2, 5), NOW);
    assert_eq!(
        placement
            .on_sent("session", &earlier, &parts())
            .missing_tokens,
        1_000
    );
}

/// Since clocks jump, the revision decides which run is the later one, not the start time.
#[test]
fn the_entry_with_the_later_revision_wins_whatever_its_start_time() {
    let mut table = table(2_000, 5);
    let entry = |born_ms, revision| EngineEntry {
        engine: engine(born_ms),
        revision,
    };
    assert!(table.apply(entry(1_000, 6)));
    assert!(!table.apply(entry(3_000, 4)));
    assert_eq!(table.get("i-1").map(|engine| engine.born_ms), Some(1_000));
}

#[test]
fn engines_without_a_start_time_are_distinguished_by_instance() {
    assert_eq!(engine(0).key(), EngineKey::of("i-1"));
    assert_ne!(engine(0).key(), EngineKey::of("i-2"));
}
