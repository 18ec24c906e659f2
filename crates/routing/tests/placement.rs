//! Choice of the engine for a request.

mod support;

use std::time::Duration;

use quickcheck::quickcheck;
use ridgeworks_routing::{
    EngineKey, Forecast, GatewayReport, Outcome, Placement, PrefillRecord, PromptPart,
};
use support::{NOW, choose, engine, part, request, send, table};

#[test]
fn gateways_choose_the_same_engine_for_a_session_without_communication() {
    let table = table(["i-1", "i-2", "i-3", "i-4"].map(|name| engine(name, "zone-a")));
    let chosen = || {
        let mut placement = Placement::default();
        choose(&mut placement, &table, &request("session-7", &[], &[]), NOW).expect("an engine")
    };
    assert_eq!(chosen(), chosen());
}

#[test]
fn sessions_spread_over_all_engines() {
    let table = table(["i-1", "i-2", "i-3", "i-4"].map(|name| engine(name, "zone-a")));
    let mut placement = Placement::default();
    let mut chosen: Vec<String> = (0..64)
        .filter_map(|number| {
            let key = format!("session-{number}");
            choose(&mut placement, &table, &request(&key, &[], &[]), NOW)
        })
        .collect();
    chosen.sort();
    chosen.dedup();
    assert_eq!(chosen.len(), 4);
}

#[test]
fn a_session_stays_where_its_prompt_is_cached_until_that_engine_is_much_busier() {
    let table = table(["i-1", "i-2"].map(|name| engine(name, "zone-a")));
    let mut placement = Placement::default();
    let parts = [part(1, 12_000), part(2, 2_000)];
    let forecast = send(&mut placement, "i-1", &parts);
    placement.on_ended(EngineKey::of("i-1"), forecast.missing_tokens);
    let chosen = choose(&mut placement, &table, &request("s", &parts, &[]), NOW);
    assert_eq!(chosen.expect("an engine"), "i-1");
    for _ in 0..30 {
        send(&mut placement, "i-1", &[]);
    }
    let chosen = choose(&mut placement, &table, &request("s", &parts, &[]), NOW);
    assert_eq!(chosen.expect("an engine"), "i-2");
}

#[test]
fn a_part_counts_as_cached_only_if_all_parts_before_it_are() {
    let table = table(["i-1", "i-2"].map(|name| engine(name, "zone-a")));
    let mut placement = Placement::default();
    send(&mut placement, "i-1", &[part(2, 12_000)]);
    send(&mut placement, "i-2", &[part(1, 100)]);
    let parts = [part(1, 100), part(2, 12_000)];
    let chosen = choose(&mut placement, &table, &request("s", &parts, &[]), NOW);
    assert_eq!(chosen.expect("an engine"), "i-2");
}

#[test]
fn the_gateway_s_zone_is_preferred_until_it_is_busier() {
    let table = table([engine("i-far", "zone-b"), engine("i-near", "zone-a")]);
    let mut placement = Placement::default();
    for number in 0..20 {
        let key = format!("session-{number}");
        let chosen = choose(&mut placement, &table, &request(&key, &[], &[]), NOW);
        assert_eq!(chosen.expect("an engine"), "i-near");
    }
    for _ in 0..4 {
        send(&mut placement, "i-near", &[]);
    }
    let chosen = choose(&mut placement, &table, &request("s", &[], &[]), NOW);
    assert_eq!(chosen.expect("an engine"), "i-far");
}

#[test]
fn excluded_engines_are_never_chosen_and_failing_ones_only_as_a_last_resort() {
    let table = table(["i-1", "i-2", "i-3"].map(|name| engine(name, "zone-a")));
    let mut placement = Placement::default();
    placement.on_outcome(EngineKey::of("i-1"), Outcome::Failed, NOW);
    let excluded = ["i-2".to_owned()];
    let chosen = choose(&mut placement, &table, &request("s", &[], &excluded), NOW);
    assert_eq!(chosen.expect("an engine"), "i-3");
    let excluded = ["i-2".to_owned(), "i-3".to_owned()];
    let chosen = choose(&mut placement, &table, &request("s", &[], &excluded), NOW);
    assert_eq!(
        chosen.expect("an engine that is backing off is better than none"),
        "i-1"
    );
    let all = ["i-1".to_owned(), "i-2".to_owned(), "i-3".to_owned()];
    assert!(
        placement
            .choose(&table, &request("s", &[], &all), NOW)
            .is_none()
    );
}

#[test]
fn requests_of_other_gateways_count_until_their_report_expires() {
    let table = table(["i-1", "i-2"].map(|name| engine(name, "zone-a")));
    let mut other = Placement::default();
    let mut without_reports = Placement::default();
    let chosen =
        choose(&mut without_reports, &table, &request("s", &[], &[]), NOW).expect("an engine");
    for _ in 0..5 {
        send(&mut other, &chosen, &[]);
    }
    let mut placement = Placement::default();
    placement.on_report("gateway-2", other.report(NOW), NOW);
    let now = choose(&mut placement, &table, &request("s", &[], &[]), NOW).expect("an engine");
    assert_ne!(now, chosen);
    let later = NOW + Duration::from_secs(5);
    let later = choose(&mut placement, &table, &request("s", &[], &[]), later).expect("an engine");
    assert_eq!(later, chosen);
}

#[test]
fn an_engine_with_slow_steps_is_avoided() {
    let table = table(["i-1", "i-2"].map(|name| engine(name, "zone-a")));
    let mut placement = Placement::default();
    placement.health(EngineKey::of("i-1")).on_step_time(10.0);
    placement.health(EngineKey::of("i-2")).on_step_time(50.0);
    for number in 0..20 {
        let key = format!("session-{number}");
        let chosen = choose(&mut placement, &table, &request(&key, &[], &[]), NOW);
        assert_eq!(chosen.expect("an engine"), "i-1");
    }
}

#[test]
fn a_report_replaces_the_gateway_s_earlier_one_and_expires() {
    let mut other = Placement::default();
    send(&mut other, "i-1", &[]);
    let mut placement = Placement::default();
    for gateway in ["gateway-1", "gateway-2"] {
        placement.on_report(gateway, other.report(NOW), NOW);
    }
    assert_eq!(placement.in_flight_at(EngineKey::of("i-1"), NOW), 2);
    for _ in 0..2 {
        send(&mut other, "i-1", &[]);
    }
    let later = NOW + Duration::from_millis(1_500);
    placement.on_report("gateway-2", other.report(later), later);
    assert_eq!(placement.in_flight_at(EngineKey::of("i-1"), later), 4);
    // The report of gateway-1 has expired, that of gateway-2 has not.
    let expired = NOW + Duration::from_millis(2_100);
    assert_eq!(placement.in_flight_at(EngineKey::of("i-1"), expired), 3);
    placement.on_report("gateway-2", GatewayReport::default(), expired);
    assert_eq!(placement.in_flight_at(EngineKey::of("i-1"), expired), 0);
}

quickcheck! {
    /// Wrong token counts in request headers must neither cause a panic nor leave a request without an
    /// engine.
    fn prompts_with_absurd_token_counts_are_placed(prompts: Vec<Vec<(u64, u64)>>) -> bool {
        let table = table(["i-1", "i-2"].map(|name| engine(name, "zone-a")));
        let mut placement = Placement::default();
        let mut is_placed = true;
        for prompt in prompts {
            let parts: Vec<PromptPart> = prompt.into_iter().map(|(hash, tokens)| part(hash % 8, tokens)).collect();
            let chosen = choose(&mut placement, &table, &request("s", &parts, &[]), NOW);
            is_placed &= chosen.is_some();
            let forecast = send(&mut placement, "i-1", &parts);
            placement.on_first_event(&engine("i-1", "zone-a"), forecast, Duration::from_millis(forecast.missing_tokens % 9));
            placement.on_ended(EngineKey::of("i-1"), 0);
        }
        is_placed && choose(&mut placement, &table, &request("s", &[], &[]), NOW).is_some()
    }
}

/// Adds samples of prefills at this rate to the cost model of the service.
fn add_prefill_samples(placement: &mut Placement, prefill_tokens_per_ms: u64) {
    let sampled_engine = engine("i-sampled", "zone-a");
    for index in 0..40 {
        let tokens = 400 + 100 * (index % 20);
        let forecast = Forecast {
            missing_tokens: tokens,
            is_certain: true,
            ..Forecast::default()
        };
        let elapsed = Duration::from_micros(5_000 + tokens * 1_000 / prefill_tokens_per_ms);
        placement.on_first_event(&sampled_engine, forecast, elapsed);
    }
}

#[test]
fn slow_prefill_keeps_a_session_at_a_busier_engine() {
    let table = table(["i-1", "i-2"].map(|name| engine(name, "zone-a")));
    let parts = [part(1, 2_500), part(2, 1_000)];
    let chosen = |prefill_tokens_per_ms| {
        let mut placement = Placement::default();
        add_prefill_samples(&mut placement, prefill_tokens_per_ms);
        let forecast = send(&mut placement, "i-1", &parts);
        placement.on_ended(EngineKey::of("i-1"), forecast.missing_tokens);
        for _ in 0..3 {
            send(&mut placement, "i-1", &[]);
        }
        choose(&mut placement, &table, &request("other", &parts, &[]), NOW).expect("an engine")
    };
    assert_eq!(chosen(38), "i-1");
    assert_eq!(chosen(1_000), "i-2");
}

#[test]
fn only_the_growth_of_a_cached_part_is_missing() {
    let mut placement = Placement::default();
    send(&mut placement, "i-1", &[part(1, 2_500), part(2, 1_000)]);
    let forecast = send(&mut placement, "i-1", &[part(1, 2_500), part(2, 1_800)]);
    assert_eq!(forecast.missing_tokens, 800);
}

#[test]
fn a_pending_prefill_counts_until_its_first_event() {
    let mut placement = Placement::default();
    let first = send(&mut placement, "i-1", &[part(1, 2_500)]);
    let second = send(&mut placement, "i-1", &[part(2, 100)]);
    assert_eq!(second.pending_tokens, 2_500);
    placement.on_first_event(&engine("i-1", "zone-a"), first, Duration::from_millis(70));
    let third = send(&mut placement, "i-1", &[part(3, 100)]);
    assert_eq!(third.pending_tokens, 100);
    placement.on_ended(EngineKey::of("i-1"), 100);
    assert_eq!(send(&mut placement, "i-1", &[]).pending_tokens, 100);
}

#[test]
fn a_gateway_finds_a_session_s_engine_by_a_prefill_of_another_gateway() {
    let names = ["i-1", "i-2", "i-3", "i-4", "i-5", "i-6"];
    let table = table(names.map(|name| engine(name, "zone-a")));
    for session in 0..12 {
        let parts = [part(1, 2_500), part(100 + session, 1_000)];
        let mut placement = Placement::default();
        placement.on_prefill(&PrefillRecord {
            engine: EngineKey::of("i-4").0,
            parts: parts.to_vec(),
        });
        let key = format!("session-{session}");
        let chosen = choose(&mut placement, &table, &request(&key, &parts, &[]), NOW);
        assert_eq!(chosen.expect("an engine"), "i-4");
    }
}

#[test]
fn a_service_keeps_its_costs_when_the_maximum_of_services_is_reached() {
    let mut placement = Placement::default();
    add_prefill_samples(&mut placement, 38);
    let learned = placement.costs("models");
    for number in 0..255 {
        let mut other = engine("i-other", "zone-a");
        other.service = format!("service-{number}");
        placement.on_first_event(&other, certain(500), Duration::from_millis(20));
    }
    // The maximum number of services is reached: a known one is not evicted when it is used.
    placement.on_first_event(
        &engine("i-1", "zone-a"),
        certain(500),
        Duration::from_millis(18),
    );
    assert_eq!(placement.costs("models"), learned);
}

fn certain(missing_tokens: u64) -> Forecast {
    Forecast {
        missing_tokens,
        is_certain: true,
        ..Forecast::default()
    }
}

#[test]
fn a_request_that_may_end_its_engine_goes_to_the_idlest_one_whatever_is_cached_elsewhere() {
    let table = table(["i-1", "i-2", "i-3"].map(|name| engine(name, "zone-a")));
    let mut placement = Placement::default();
    let parts = [part(1, 12_000), part(2, 2_000)];
    send(&mut placement, "i-1", &parts);
    send(&mut placement, "i-2", &[]);
    let request = request("s", &parts, &[]);
    let idlest = placement.choose_idlest(&table, &request, NOW);
    assert_eq!(idlest.expect("an engine").engine.instance, "i-3");
    placement.on_outcome(EngineKey::of("i-3"), Outcome::Unreachable, NOW);
    let idlest = placement.choose_idlest(&table, &request, NOW);
    assert_ne!(idlest.expect("an engine").engine.instance, "i-3");
    let excluded = ["i-3".to_owned(), "i-2".to_owned()];
    let request = support::request("s", &parts, &excluded);
    let idlest = placement.choose_idlest(&table, &request, NOW);
    assert_eq!(idlest.expect("an engine").engine.instance, "i-1");
}
