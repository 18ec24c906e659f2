//! The engine's contexts over loopback HTTP: caching, leases, release, events and transfer.

mod support;

use std::time::{Duration, Instant};

use ridgeworks_stand_ins::engine::EngineOptions;
use serde_json::{Value, json};
use support::engine_fixture::EngineFixture as Fixture;
use support::{
    call, call_headers, chat, eventually, get, get_json, history, open_lines, post, run,
};

impl Fixture {
    /// Leaves a context of 64 tokens, which is 4 blocks.
    fn hold(&self, run: &str) {
        let headers = call_headers(run, "call", "1");
        let body = chat(&"word ".repeat(56), 8, false);
        let answer = call(
            "POST",
            self.address(),
            "/v1/chat/completions",
            &headers,
            &body.to_string(),
        );
        assert_eq!(answer.status, 200, "{}", answer.body);
    }

    fn contexts(&self) -> Vec<String> {
        let listed = get_json(self.address(), "/contexts");
        let listed = listed.as_array().unwrap().iter();
        listed
            .map(|context| context["run"].as_str().unwrap().to_owned())
            .collect()
    }

    fn release(&self, run: &str) -> support::Answer {
        call(
            "DELETE",
            self.address(),
            &format!("/contexts/{run}"),
            &[],
            "",
        )
    }

    fn retain(&self, run: &str, ttl_ms: u64) -> support::Answer {
        let path = format!("/contexts/{run}/retain");
        post(self.address(), &path, &json!({"ttl_ms": ttl_ms}))
    }
}

fn sixteen_blocks(options: &mut EngineOptions) {
    options.blocks = 16;
    options.answer_tokens = 100;
}

fn pairs(events: &[Value], first: &str, second: &str) -> Vec<(Value, Value)> {
    let pair = |event: &Value| (event[first].clone(), event[second].clone());
    events.iter().map(pair).collect()
}

#[test]
fn release_drops_a_context_and_both_ends_are_recorded() {
    let fixture = Fixture::start(sixteen_blocks);
    fixture.hold(&run(1));
    let held = json!([{"run": run(1), "tokens": 64, "retained_ms": 0}]);
    assert_eq!(get_json(fixture.address(), "/contexts"), held);
    let released = fixture.release(&run(1));
    assert_eq!(released.json(), json!({"run": run(1), "tokens": 64}));
    assert_eq!(fixture.contexts(), Vec::<String>::new());
    assert_eq!(fixture.release(&run(1)).status, 404);
    for event in ["context_held", "context_released"] {
        let events = history(&fixture.history, event);
        assert_eq!(
            pairs(&events, "run", "tokens"),
            [(json!(run(1)), json!(64))],
            "{event}"
        );
    }
}

#[test]
fn least_recently_used_context_makes_room_but_a_leased_one_stays() {
    let fixture = Fixture::start(sixteen_blocks);
    for number in 1..=3 {
        fixture.hold(&run(number));
    }
    assert_eq!(fixture.retain(&run(1), 60_000).status, 200);
    fixture.hold(&run(4));
    fixture.hold(&run(5));
    assert_eq!(fixture.contexts(), [run(1), run(3), run(4), run(5)]);
    assert_eq!(fixture.retain(&run(1), 0).status, 200);
    fixture.hold(&run(6));
    assert_eq!(fixture.contexts(), [run(3), run(4), run(5), run(6)]);
    assert_eq!(fixture.retain(&run(1), 60_000).status, 404);
    let released = history(&fixture.history, "context_released");
    assert_eq!(
        pairs(&released, "run", "tokens")[..],
        [(json!(run(2)), json!(64)), (json!(run(1)), json!(64)),]
    );
}

#[test]
fn attempt_waits_for_memory_that_leases_hold_until_they_lapse() {
    const LEASE_MS: u64 = 400;
    let fixture = Fixture::start(sixteen_blocks);
    for number in 1..=4 {
        fixture.hold(&run(number));
    }
    let begun = Instant::now();
    for number in 1..=4 {
        assert_eq!(fixture.retain(&run(number), LEASE_MS).status, 200);
    }
    fixture.hold(&run(5));
    assert!(begun.elapsed() >= Duration::from_millis(LEASE_MS));
    assert!(fixture.contexts().contains(&run(5)));
}

#[test]
fn cached_prefix_is_not_computed_again() {
    let fixture = Fixture::start(|options| {
        options.costs.per_prefill_token = Duration::from_micros(500);
    });
    let question = "word ".repeat(400);
    let timed = |call_key: &str| {
        let before = Instant::now();
        let run = run(1);
        let headers = call_headers(&run, call_key, "1");
        let body = chat(&question, 1, true).to_string();
        let path = "/v1/chat/completions";
        let events = open_lines("POST", fixture.address(), path, &headers, &body);
        let events: Vec<String> = events.collect();
        (before.elapsed(), events[events.len() - 2].clone())
    };
    let (computed, first) = timed("first");
    let (cached, second) = timed("second");
    assert!(first.contains(r#""cached_tokens":0"#), "{first}");
    assert!(second.contains(r#""cached_tokens":400"#), "{second}");
    assert!(computed >= Duration::from_millis(200), "{computed:?}");
    assert!(
        cached < computed / 2,
        "{cached:?} with and {computed:?} without the cache"
    );
}

#[test]
fn cache_events_come_late_with_numbers_that_show_the_gaps() {
    let fixture = Fixture::start(|options| {
        options.cache_event_gap_every = Some(3);
        options.cache_event_lag = Duration::from_millis(400);
    });
    for number in 1..=3 {
        fixture.hold(&run(number));
    }
    fixture.release(&run(1));
    assert_eq!(
        get_json(fixture.address(), "/cache/events?from=1")["events"],
        json!([])
    );
    eventually("all events are published", || {
        get_json(fixture.address(), "/cache/events?from=1")["next"] == 5
    });
    let page = get_json(fixture.address(), "/cache/events?from=1");
    let events = page["events"].as_array().unwrap();
    let numbers: Vec<u64> = events
        .iter()
        .map(|event| event["number"].as_u64().unwrap())
        .collect();
    assert_eq!(numbers, [1, 2, 4]);
    assert_eq!(events[2]["kind"], "evicted");
    assert_eq!(events[2]["run"], json!(run(1)));
    let rest = get_json(fixture.address(), "/cache/events?from=4");
    assert_eq!(rest["events"].as_array().unwrap().len(), 1);
}

#[test]
fn load_is_reported_late() {
    let fixture = Fixture::start(|options| {
        sixteen_blocks(options);
        options.load_lag = Duration::from_millis(400);
    });
    fixture.hold(&run(1));
    assert_eq!(get_json(fixture.address(), "/load")["free_blocks"], 16);
    eventually("the load is published", || {
        get_json(fixture.address(), "/load")["free_blocks"] == 12
    });
}

#[test]
fn exported_context_serves_on_another_engine() {
    let (source, target) = (
        Fixture::start(sixteen_blocks),
        Fixture::start(sixteen_blocks),
    );
    source.hold(&run(1));
    let path = format!("/contexts/{}", run(1));
    let exported = post(source.address(), &format!("{path}/export"), &json!({}));
    assert_eq!(exported.status, 200);
    let imported = call("PUT", target.address(), &path, &[], &exported.body);
    assert_eq!(imported.json(), json!({"run": run(1), "tokens": 64}));
    assert_eq!(target.contexts(), [run(1)]);
    assert_eq!(source.contexts(), [run(1)], "an export is a copy");
    let other = format!("/contexts/{}", run(2));
    assert_eq!(
        call("PUT", target.address(), &other, &[], &exported.body).status,
        400
    );
    assert_eq!(get(target.address(), "/contexts").status, 200);
}
