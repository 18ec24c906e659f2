//! Which engine a request goes to.

mod support;

use std::time::Duration;

use ridgeworks_routing::{Demand, Placement, PromptPart};
use support::{engine, table};

const NOW: Duration = Duration::from_secs(1);

fn demand<'a>(key: &'a str, parts: &'a [PromptPart], excluded: &'a [String]) -> Demand<'a> {
    Demand {
        service: "models",
        key,
        parts,
        zone: "zone-a",
        excluded,
    }
}

fn part(hash: u64, tokens: u64) -> PromptPart {
    PromptPart { hash, tokens }
}

#[test]
fn gateways_agree_on_a_session_s_engine_without_talking() {
    let table = table(["i-1", "i-2", "i-3", "i-4"].map(|name| engine(name, "zone-a")));
    let choose = || {
        let mut placement = Placement::default();
        let chosen = placement.choose(&table, &demand("session-7", &[], &[]), NOW);
        chosen.expect("an engine").instance.clone()
    };
    assert_eq!(choose(), choose());
}

#[test]
fn sessions_spread_over_the_engines() {
    let table = table(["i-1", "i-2", "i-3", "i-4"].map(|name| engine(name, "zone-a")));
    let mut placement = Placement::default();
    let mut chosen: Vec<String> = (0..64)
        .filter_map(|number| {
            let key = format!("session-{number}");
            let engine = placement.choose(&table, &demand(&key, &[], &[]), NOW)?;
            Some(engine.instance.clone())
        })
        .collect();
    chosen.sort();
    chosen.dedup();
    assert_eq!(chosen.len(), 4);
}

#[test]
fn a_session_stays_where_its_prompt_is_until_that_engine_is_much_busier() {
    let table = table(["i-1", "i-2"].map(|name| engine(name, "zone-a")));
    let mut placement = Placement::default();
    let parts = [part(1, 12_000), part(2, 2_000)];
    placement.on_sent("other", "i-1", &parts);
    placement.on_ended("i-1");
    let chosen = placement.choose(&table, &demand("s", &parts, &[]), NOW);
    assert_eq!(chosen.expect("an engine").instance, "i-1");
    for _ in 0..30 {
        placement.on_sent("other", "i-1", &[]);
    }
    let chosen = placement.choose(&table, &demand("s", &parts, &[]), NOW);
    assert_eq!(chosen.expect("an engine").instance, "i-2");
}

#[test]
fn a_part_counts_only_when_all_before_it_are_held() {
    let table = table(["i-1", "i-2"].map(|name| engine(name, "zone-a")));
    let mut placement = Placement::default();
    placement.on_sent("other", "i-1", &[part(2, 12_000)]);
    placement.on_sent("other", "i-2", &[part(1, 100)]);
    let parts = [part(1, 100), part(2, 12_000)];
    let chosen = placement.choose(&table, &demand("s", &parts, &[]), NOW);
    assert_eq!(chosen.expect("an engine").instance, "i-2");
}

#[test]
fn the_own_zone_goes_first_while_it_is_no_busier() {
    let table = table([engine("i-far", "zone-b"), engine("i-near", "zone-a")]);
    let mut placement = Placement::default();
    for number in 0..20 {
        let key = format!("session-{number}");
        let chosen = placement.choose(&table, &demand(&key, &[], &[]), NOW);
        assert_eq!(chosen.expect("an engine").instance, "i-near");
    }
    for _ in 0..4 {
        placement.on_sent("other", "i-near", &[]);
    }
    let chosen = placement.choose(&table, &demand("s", &[], &[]), NOW);
    assert_eq!(chosen.expect("an engine").instance, "i-far");
}

#[test]
fn excluded_draining_and_failing_engines_are_passed_over() {
    let table = table(["i-1", "i-2", "i-3"].map(|name| engine(name, "zone-a")));
    let mut placement = Placement::default();
    placement.health("i-1").on_failure(NOW);
    let excluded = ["i-2".to_owned()];
    let chosen = placement.choose(&table, &demand("s", &[], &excluded), NOW);
    assert_eq!(chosen.expect("an engine").instance, "i-3");
    let excluded = ["i-2".to_owned(), "i-3".to_owned()];
    let chosen = placement.choose(&table, &demand("s", &[], &excluded), NOW);
    assert_eq!(
        chosen
            .expect("a resting engine is better than none")
            .instance,
        "i-1"
    );
    let all = ["i-1".to_owned(), "i-2".to_owned(), "i-3".to_owned()];
    assert!(
        placement
            .choose(&table, &demand("s", &[], &all), NOW)
            .is_none()
    );
}

#[test]
fn what_other_gateways_sent_counts_for_a_while() {
    let table = table(["i-1", "i-2"].map(|name| engine(name, "zone-a")));
    let mut other = Placement::default();
    let mut alone = Placement::default();
    let chosen = alone
        .choose(&table, &demand("s", &[], &[]), NOW)
        .expect("an engine");
    let chosen = chosen.instance.clone();
    for _ in 0..5 {
        other.on_sent("other", &chosen, &[]);
    }
    let mut placement = Placement::default();
    placement.on_report("gateway-2", other.report(), NOW);
    let now = placement
        .choose(&table, &demand("s", &[], &[]), NOW)
        .expect("an engine");
    assert_ne!(now.instance, chosen);
    let later = NOW + Duration::from_secs(5);
    let later = placement
        .choose(&table, &demand("s", &[], &[]), later)
        .expect("an engine");
    assert_eq!(later.instance, chosen);
}

#[test]
fn a_slow_engine_gets_less() {
    let table = table(["i-1", "i-2"].map(|name| engine(name, "zone-a")));
    let mut placement = Placement::default();
    placement.health("i-1").on_step(10.0);
    placement.health("i-2").on_step(50.0);
    for number in 0..20 {
        let key = format!("session-{number}");
        let chosen = placement.choose(&table, &demand(&key, &[], &[]), NOW);
        assert_eq!(chosen.expect("an engine").instance, "i-1");
    }
}

#[test]
fn a_report_replaces_the_one_before_it_and_expires() {
    let mut other = Placement::default();
    other.on_sent("other", "i-1", &[]);
    let mut placement = Placement::default();
    for gateway in ["gateway-1", "gateway-2"] {
        placement.on_report(gateway, other.report(), NOW);
    }
    assert_eq!(placement.open_at("i-1", NOW), 2);
    for _ in 0..2 {
        other.on_sent("other", "i-1", &[]);
    }
    let later = NOW + Duration::from_millis(1_500);
    placement.on_report("gateway-2", other.report(), later);
    assert_eq!(placement.open_at("i-1", later), 4);
    // The report of gateway-1 is too old by now, that of gateway-2 is not.
    let expired = NOW + Duration::from_millis(2_100);
    assert_eq!(placement.open_at("i-1", expired), 3);
    placement.on_report("gateway-2", Vec::new(), expired);
    assert_eq!(placement.open_at("i-1", expired), 0);
}
