//! Placement with engines that fail requests, and the reports of gateways about them.

mod support;

use std::time::Duration;

use ridgeworks_routing::{EngineKey, GatewayReport, Outcome, Placement};
use support::{NOW, choose, engine, part, request, send, table};

/// An engine that fails at once has the fewest in-flight requests, so it would attract the most requests.
#[test]
fn an_engine_that_fails_part_of_its_requests_gets_few_of_them() {
    const REQUESTS: usize = 400;
    let names = ["i-1", "i-2", "i-3", "i-4"];
    let table = table(names.map(|name| engine(name, "zone-a")));
    let mut placement = Placement::default();
    let mut sent_to_failing = 0;
    for number in 0..REQUESTS {
        let now = NOW + Duration::from_millis(10 * number as u64);
        let key = format!("request-{number}");
        let instance = choose(&mut placement, &table, &request(&key, &[], &[]), now);
        let instance = instance.expect("an engine");
        let is_failing_engine = instance == "i-1";
        sent_to_failing += usize::from(is_failing_engine);
        let is_failed = is_failing_engine && number % 2 == 0;
        let outcome = if is_failed {
            Outcome::Failed
        } else {
            Outcome::Served
        };
        placement.on_outcome(EngineKey::of(&instance), outcome, now);
    }
    assert!(
        sent_to_failing < REQUESTS / 16,
        "{sent_to_failing} of {REQUESTS}"
    );
}

#[test]
fn engines_that_all_fail_alike_are_all_used() {
    let names = ["i-1", "i-2", "i-3"];
    let table = table(names.map(|name| engine(name, "zone-a")));
    let mut placement = Placement::default();
    for number in 0..90 {
        let outcome = if number % 2 == 0 {
            Outcome::Failed
        } else {
            Outcome::Served
        };
        placement.on_outcome(EngineKey::of(names[number % 3]), outcome, NOW);
    }
    let later = NOW + Duration::from_secs(3);
    let mut chosen: Vec<String> = (0..64)
        .filter_map(|number| {
            let key = format!("session-{number}");
            choose(&mut placement, &table, &request(&key, &[], &[]), later)
        })
        .collect();
    chosen.sort();
    chosen.dedup();
    assert_eq!(chosen.len(), 3);
}

/// Each of many gateways sends the failing engine only one or two requests, too few to decide alone.
#[test]
fn reports_make_a_gateway_avoid_a_failing_engine_that_it_never_used() {
    let names = ["i-1", "i-2", "i-3", "i-4"];
    let table = table(names.map(|name| engine(name, "zone-a")));
    let mut other = Placement::default();
    other.on_outcome(EngineKey::of("i-1"), Outcome::Served, NOW);
    other.on_outcome(EngineKey::of("i-1"), Outcome::Failed, NOW);
    let report = other.report(NOW);
    let mut placement = Placement::default();
    let requests_to_failing = |placement: &mut Placement| {
        let keys = (0..64).map(|number| format!("session-{number}"));
        let chosen = keys.filter(|key| {
            let instance = choose(placement, &table, &request(key, &[], &[]), NOW);
            instance.as_deref() == Some("i-1")
        });
        chosen.count()
    };
    let before = requests_to_failing(&mut placement);
    assert!(before > 4, "{before}");
    for number in 0..12 {
        placement.on_report(&number.to_string(), report.clone(), NOW);
    }
    assert_eq!(requests_to_failing(&mut placement), 0);
}

/// The gateway that saw the failure reports it; the others report that they saw none.
#[test]
fn gateways_report_their_successes_at_an_engine_for_which_another_reports_a_failure() {
    let mut failed_once = Placement::default();
    failed_once.on_outcome(EngineKey::of("i-1"), Outcome::Failed, NOW);
    let mut succeeded = Placement::default();
    for _ in 0..30 {
        succeeded.on_outcome(EngineKey::of("i-1"), Outcome::Served, NOW);
        succeeded.on_outcome(EngineKey::of("i-2"), Outcome::Served, NOW);
    }
    assert!(succeeded.report(NOW).suspects.is_empty());
    succeeded.on_report("gateway-1", failed_once.report(NOW), NOW);
    let reported = succeeded.report(NOW).suspects;
    assert_eq!(reported.len(), 1);
    assert_eq!((reported[0].ended, reported[0].failed), (300, 0));
    // Reports expire, and with them the suspicion.
    let later = NOW + Duration::from_secs(3);
    succeeded.on_report("other", GatewayReport::default(), later);
    assert!(succeeded.report(later).suspects.is_empty());
}

#[test]
fn a_change_of_the_failure_state_is_returned_once() {
    let table = table([engine("i-1", "zone-a")]);
    let mut placement = Placement::default();
    let reported = |placement: &mut Placement, now| {
        let changes = placement.failure_state_changes(&table, now);
        changes
            .iter()
            .map(|change| change.is_failing)
            .collect::<Vec<bool>>()
    };
    placement.on_outcome(EngineKey::of("i-1"), Outcome::Served, NOW);
    assert!(reported(&mut placement, NOW).is_empty());
    for _ in 0..4 {
        placement.on_outcome(EngineKey::of("i-1"), Outcome::Failed, NOW);
    }
    assert_eq!(reported(&mut placement, NOW), [true]);
    assert!(reported(&mut placement, NOW).is_empty());
    let later = NOW + Duration::from_secs(20);
    assert_eq!(reported(&mut placement, later), [false]);
}

/// A fault that affects the callers of one zone must not affect the others.
#[test]
fn a_gateway_keeps_an_engine_that_fails_only_for_other_gateways() {
    let names = ["i-1", "i-2", "i-3", "i-4"];
    let table = table(names.map(|name| engine(name, "zone-a")));
    let mut placement = Placement::default();
    for _ in 0..40 {
        for name in names {
            placement.on_outcome(EngineKey::of(name), Outcome::Served, NOW);
        }
    }
    let mut other = Placement::default();
    for _ in 0..40 {
        other.on_outcome(EngineKey::of("i-1"), Outcome::Failed, NOW);
    }
    placement.on_report("other", other.report(NOW), NOW);
    let parts = [part(1, 12_000), part(2, 2_000)];
    let forecast = send(&mut placement, "i-1", &parts);
    placement.on_ended(EngineKey::of("i-1"), forecast.missing_tokens);
    let chosen = choose(&mut placement, &table, &request("s", &parts, &[]), NOW);
    assert_eq!(chosen.expect("an engine"), "i-1");
}
