//! What failures of requests say of engines, and what gateways tell each other of it.

mod support;

use std::time::Duration;

use ridgeworks_routing::{EngineKey, GatewayReport, Outcome, Placement};
use support::{NOW, choose, demand, engine, part, send, table};

/// An engine that fails at once has the fewest open requests and the quickest steps of all.
#[test]
fn an_engine_that_fails_part_of_its_requests_gets_few_of_them() {
    const REQUESTS: usize = 400;
    let names = ["i-1", "i-2", "i-3", "i-4"];
    let table = table(names.map(|name| engine(name, "zone-a")));
    let mut placement = Placement::default();
    let mut grey = 0;
    for number in 0..REQUESTS {
        let now = NOW + Duration::from_millis(10 * number as u64);
        let key = format!("request-{number}");
        let instance = choose(&mut placement, &table, &demand(&key, &[], &[]), now);
        let instance = instance.expect("an engine");
        let is_grey = instance == "i-1";
        grey += usize::from(is_grey);
        let is_failed = is_grey && number % 2 == 0;
        let outcome = if is_failed {
            Outcome::Failed
        } else {
            Outcome::Served
        };
        placement.on_outcome(EngineKey::of(&instance), outcome, now);
    }
    assert!(grey < REQUESTS / 16, "{grey} of {REQUESTS}");
}

#[test]
fn where_all_engines_fail_alike_none_is_left_alone() {
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
            choose(&mut placement, &table, &demand(&key, &[], &[]), later)
        })
        .collect();
    chosen.sort();
    chosen.dedup();
    assert_eq!(chosen.len(), 3);
}

/// Each of many gateways sends the failing engine a request or two, which tells none of them much.
#[test]
fn a_gateway_that_sent_it_nothing_hears_of_an_engine_that_fails() {
    let names = ["i-1", "i-2", "i-3", "i-4"];
    let table = table(names.map(|name| engine(name, "zone-a")));
    let mut other = Placement::default();
    other.on_outcome(EngineKey::of("i-1"), Outcome::Served, NOW);
    other.on_outcome(EngineKey::of("i-1"), Outcome::Failed, NOW);
    let report = other.report(NOW);
    let mut placement = Placement::default();
    let share = |placement: &mut Placement| {
        let keys = (0..64).map(|number| format!("session-{number}"));
        let chosen = keys.filter(|key| {
            let instance = choose(placement, &table, &demand(key, &[], &[]), NOW);
            instance.as_deref() == Some("i-1")
        });
        chosen.count()
    };
    let before = share(&mut placement);
    assert!(before > 4, "{before}");
    for number in 0..12 {
        placement.on_report(&number.to_string(), report.clone(), NOW);
    }
    assert_eq!(share(&mut placement), 0);
}

/// Whoever saw the one failure tells of it; the others tell that they saw none.
#[test]
fn one_failure_among_many_requests_of_all_gateways_is_no_reason() {
    let mut unlucky = Placement::default();
    unlucky.on_outcome(EngineKey::of("i-1"), Outcome::Failed, NOW);
    let mut lucky = Placement::default();
    for _ in 0..30 {
        lucky.on_outcome(EngineKey::of("i-1"), Outcome::Served, NOW);
        lucky.on_outcome(EngineKey::of("i-2"), Outcome::Served, NOW);
    }
    assert!(lucky.report(NOW).suspects.is_empty());
    lucky.on_report("unlucky", unlucky.report(NOW), NOW);
    let told = lucky.report(NOW).suspects;
    assert_eq!(told.len(), 1);
    assert_eq!((told[0].ended, told[0].failed), (300, 0));
    // Reports that are too old count no longer, and the failure is forgotten.
    let later = NOW + Duration::from_secs(3);
    lucky.on_report("other", GatewayReport::default(), later);
    assert!(lucky.report(later).suspects.is_empty());
}

#[test]
fn an_engine_that_begins_or_ceases_to_fail_is_told_once() {
    let table = table([engine("i-1", "zone-a")]);
    let mut placement = Placement::default();
    let told = |placement: &mut Placement, now| {
        let news = placement.failure_state_changes(&table, now);
        news.iter().map(|it| it.is_failing).collect::<Vec<bool>>()
    };
    placement.on_outcome(EngineKey::of("i-1"), Outcome::Served, NOW);
    assert!(told(&mut placement, NOW).is_empty());
    for _ in 0..4 {
        placement.on_outcome(EngineKey::of("i-1"), Outcome::Failed, NOW);
    }
    assert_eq!(told(&mut placement, NOW), [true]);
    assert!(told(&mut placement, NOW).is_empty());
    let later = NOW + Duration::from_secs(20);
    assert_eq!(told(&mut placement, later), [false]);
}

/// A fault that strikes the callers of one zone says nothing to those whom the engine serves.
#[test]
fn a_gateway_that_an_engine_serves_goes_on_with_it_whatever_others_tell() {
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
    placement.on_ended(EngineKey::of("i-1"), forecast.missing);
    let chosen = choose(&mut placement, &table, &demand("s", &parts, &[]), NOW);
    assert_eq!(chosen.expect("an engine"), "i-1");
}
