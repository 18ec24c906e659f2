//! Joining, failing and leaving backends and owners; cached contexts and their leases.

mod support;

use std::time::Duration;

use ridgeworks_domain::{MonotonicTime, RunId};
use ridgeworks_scheduling::{
    AttemptOutcome, CacheChange, CacheEvent, CacheListing, ContextMoveSettings, Dispatcher, Effect,
    Event, QueuedCall,
};
use support::{
    OWNER, backend_name, call, complete, confirm, dispatcher_with_backends, ended, enqueue_all,
    grants, millis, settings, ticket,
};

const START: MonotonicTime = MonotonicTime::ZERO;
const RUN: RunId = RunId(1);

fn call_of_run(number: u64, prompt_tokens: u64) -> QueuedCall {
    QueuedCall {
        run: RUN,
        prompt_tokens,
        ..call(number)
    }
}

fn stored(number: u64, tokens: u64) -> Event {
    Event::CacheEvent(CacheEvent {
        backend: backend_name(1),
        number,
        change: CacheChange::Stored,
        run: RUN,
        tokens,
    })
}

fn empty_listing(number: u64) -> Event {
    Event::CacheListing(CacheListing {
        backend: backend_name(1),
        number,
        contexts: Vec::new(),
    })
}

fn paused() -> Event {
    Event::RunPaused {
        run: RUN,
        tool: "tool".parse().unwrap(),
    }
}

fn requests_listing(effects: &[Effect]) -> bool {
    effects
        == [Effect::RelistCache {
            backend: backend_name(1),
        }]
}

fn granted_backend(dispatcher: &mut Dispatcher, now: MonotonicTime, call: QueuedCall) -> String {
    let granted = enqueue_all(dispatcher, now, [call]);
    granted[0].1.to_string()
}

#[test]
fn a_leaving_backend_gets_no_new_calls() {
    let mut dispatcher = dispatcher_with_backends(settings(), 2);
    dispatcher.handle(START, Event::BackendLeaving(backend_name(0)));
    let granted = enqueue_all(&mut dispatcher, START, (1..=10).map(call));
    assert_eq!(granted.len(), 3);
    assert!(granted.iter().all(|(_, to)| *to == backend_name(1)));
}

#[test]
fn an_unconfirmed_grant_expires() {
    let mut dispatcher = dispatcher_with_backends(settings(), 1);
    for number in 1..=4 {
        dispatcher.handle(START, Event::Enqueue(call(number)));
    }
    let effects = dispatcher.handle(millis(1_000), Event::Tick);
    assert!(effects.is_empty(), "{effects:?}");
    let effects = dispatcher.handle(millis(2_100), Event::Tick);
    assert_eq!(grants(&effects)[0].0, 4);
}

#[test]
fn running_attempts_reported_after_a_takeover_occupy_slots() {
    let mut dispatcher = dispatcher_with_backends(settings(), 1);
    for number in 1..=3 {
        let backend = backend_name(0);
        let call = call(number);
        dispatcher.handle(START, Event::AttemptRunning { call, backend });
    }
    let granted = enqueue_all(&mut dispatcher, START, [call(4)]);
    assert!(granted.is_empty(), "{granted:?}");
    let effects = complete(&mut dispatcher, millis(1), 2);
    assert_eq!(grants(&effects)[0].0, 4);
}

#[test]
fn losing_an_owner_drops_its_tickets_and_grants() {
    let mut dispatcher = dispatcher_with_backends(settings(), 1);
    enqueue_all(&mut dispatcher, START, (1..=10).map(call));
    dispatcher.handle(millis(1), Event::OwnerLost(OWNER));
    assert_eq!((dispatcher.queued(), dispatcher.in_flight()), (0, 0));
}

#[test]
fn a_failing_backend_is_ejected_and_then_probed_with_one_call() {
    let mut dispatcher = dispatcher_with_backends(settings(), 1);
    for number in 1..=3 {
        enqueue_all(&mut dispatcher, START, [call(number)]);
        dispatcher.handle(START, ended(number, AttemptOutcome::Failed));
    }
    let granted = enqueue_all(&mut dispatcher, millis(1), (4..=6).map(call));
    assert!(granted.is_empty(), "{granted:?}");
    let effects = dispatcher.handle(millis(1_001), Event::Tick);
    confirm(&mut dispatcher, millis(1_001), &effects);
    assert_eq!(grants(&effects).len(), 1);
    let probe = grants(&effects)[0].0;
    let effects = complete(&mut dispatcher, millis(1_100), probe);
    assert_eq!(grants(&effects).len(), 2);
}

#[test]
fn a_call_is_placed_where_its_prefix_is_cached() {
    let mut dispatcher = dispatcher_with_backends(settings(), 3);
    dispatcher.handle(START, stored(1, 20_000));
    let to = granted_backend(&mut dispatcher, millis(1), call_of_run(1, 21_000));
    assert_eq!(to, "engine-1");
}

#[test]
fn a_sub_agent_is_placed_where_its_inherited_context_is_cached() {
    let mut dispatcher = dispatcher_with_backends(settings(), 3);
    dispatcher.handle(START, stored(1, 20_000));
    let mut child = call(7);
    child.prompt_tokens = 21_000;
    child.inherited = Some(ridgeworks_scheduling::InheritedContext {
        run: RUN,
        tokens: 20_000,
    });
    let to = granted_backend(&mut dispatcher, millis(1), child);
    assert_eq!(to, "engine-1");
}

#[test]
fn a_gap_in_the_cache_events_triggers_one_listing_that_replaces_the_hints() {
    let mut dispatcher = dispatcher_with_backends(settings(), 3);
    dispatcher.handle(START, stored(1, 20_000));
    let effects = dispatcher.handle(START, stored(3, 20_000));
    assert!(requests_listing(&effects), "{effects:?}");
    let effects = dispatcher.handle(START, stored(5, 20_000));
    assert!(effects.is_empty(), "{effects:?}");
    let effects = dispatcher.handle(START, empty_listing(4));
    assert!(requests_listing(&effects), "the listing is outdated");
    dispatcher.handle(START, empty_listing(6));
    let to = granted_backend(&mut dispatcher, millis(1), call_of_run(1, 21_000));
    assert_eq!(to, "engine-0", "the hint of 20,000 tokens was replaced");
}

#[test]
fn a_context_is_retained_through_a_pause_and_released_at_the_end_of_its_run() {
    let mut dispatcher = dispatcher_with_backends(settings(), 3);
    dispatcher.handle(START, stored(1, 20_000));
    let effects = dispatcher.handle(millis(1), paused());
    let [Effect::Retain { run, until, .. }] = effects.as_slice() else {
        panic!("{effects:?}");
    };
    assert_eq!(*run, RUN);
    assert!(*until > millis(1) && *until <= millis(60_001));
    let effects = dispatcher.handle(millis(2), Event::RunEnded(RUN));
    let release = Effect::Release {
        run: RUN,
        backend: backend_name(1),
    };
    assert_eq!(effects, [release]);
    assert_eq!(dispatcher.retained(), 0);
}

/// Length of a lease for a partner with this latency weight, after pauses of which half took about one
/// second and half about ten seconds.
fn lease_length(latency_weight: u8) -> Duration {
    let mut settings = settings();
    settings.partners[0].latency_weight = latency_weight;
    let mut dispatcher = dispatcher_with_backends(settings, 1);
    let mut now = START;
    for number in 1..=100 {
        enqueue_all(&mut dispatcher, now, [call_of_run(number, 20_000)]);
        complete(&mut dispatcher, now, number);
        dispatcher.handle(now, paused());
        now = now + Duration::from_secs(if number.is_multiple_of(2) { 1 } else { 10 });
    }
    enqueue_all(&mut dispatcher, now, [call_of_run(101, 20_000)]);
    complete(&mut dispatcher, now, 101);
    let effects = dispatcher.handle(now, paused());
    let [Effect::Retain { until, .. }] = effects.as_slice() else {
        panic!("{effects:?}");
    };
    until.since(now)
}

#[test]
fn a_lower_latency_weight_gives_longer_leases() {
    let (cache, latency) = (lease_length(0), lease_length(100));
    assert!(cache > Duration::from_secs(10), "{cache:?}");
    assert!(latency < Duration::from_secs(2), "{latency:?}");
}

#[test]
fn a_displaced_lease_ends_without_releasing_its_context() {
    let mut settings = settings();
    settings.default_cache_tokens = 30_000;
    let mut dispatcher = dispatcher_with_backends(settings, 2);
    dispatcher.handle(START, stored(1, 20_000));
    dispatcher.handle(START, paused());
    for number in 0..50 {
        let run = RunId(100 + number);
        let tool = "quick".parse().unwrap();
        dispatcher.handle(START, Event::RunPaused { run, tool });
        let back = QueuedCall {
            run,
            ..call(number as u64 + 100)
        };
        dispatcher.handle(millis(1), Event::Enqueue(back));
        dispatcher.handle(millis(1), Event::Cancel(ticket(number as u64 + 100)));
    }
    let other = RunId(2);
    dispatcher.handle(
        START,
        Event::CacheEvent(CacheEvent {
            backend: backend_name(1),
            number: 2,
            change: CacheChange::Stored,
            run: other,
            tokens: 20_000,
        }),
    );
    let tool = "quick".parse().unwrap();
    let now = millis(2);
    let effects = dispatcher.handle(now, Event::RunPaused { run: other, tool });
    let ended = Effect::Retain {
        run: RUN,
        backend: backend_name(1),
        until: now,
    };
    assert_eq!(effects.first(), Some(&ended), "{effects:?}");
    let releases = |effect: &Effect| matches!(effect, Effect::Release { .. });
    assert!(!effects.iter().any(releases), "{effects:?}");
}

#[test]
fn a_delayed_cache_event_of_an_ended_run_triggers_a_release() {
    let mut dispatcher = dispatcher_with_backends(settings(), 3);
    dispatcher.handle(START, stored(1, 20_000));
    dispatcher.handle(millis(2), Event::RunEnded(RUN));
    let effects = dispatcher.handle(millis(3), stored(2, 21_000));
    let release = Effect::Release {
        run: RUN,
        backend: backend_name(1),
    };
    assert_eq!(effects, [release]);
}

#[test]
fn a_context_that_does_not_fit_waits_while_a_smaller_one_overtakes_it() {
    let mut settings = settings();
    settings.default_cache_tokens = 10_000;
    let mut dispatcher = dispatcher_with_backends(settings, 1);
    let of_size = |number, tokens| QueuedCall {
        prompt_tokens: tokens,
        ..call(number)
    };
    let calls = [(1, 3_000), (2, 3_000), (3, 3_000), (4, 500)];
    let calls = calls.map(|(number, tokens)| of_size(number, tokens));
    let granted = enqueue_all(&mut dispatcher, START, calls);
    let numbers: Vec<u64> = granted.iter().map(|(number, _)| *number).collect();
    assert_eq!(numbers, [1, 2, 4]);
    let effects = complete(&mut dispatcher, millis(1), 1);
    assert_eq!(grants(&effects)[0].0, 3);
}

#[test]
fn contexts_are_not_retained_after_many_pauses_without_return() {
    let mut dispatcher = dispatcher_with_backends(settings(), 3);
    for number in 0..1_000 {
        dispatcher.handle(START, stored(number, 20_000));
        dispatcher.handle(START, paused());
        dispatcher.handle(START, Event::RunEnded(RUN));
    }
    dispatcher.handle(START, stored(1_000, 20_000));
    let effects = dispatcher.handle(START, paused());
    let kept = |effect: &Effect| matches!(effect, Effect::Retain { .. });
    assert!(!effects.iter().any(kept), "{effects:?}");
}

#[test]
fn a_grant_waits_for_its_context_move_until_the_timeout() {
    let mut settings = settings();
    let timeout = Duration::from_millis(500);
    settings.context_move = Some(ContextMoveSettings {
        base_micros: 100,
        nanos_per_token: 10,
        timeout,
    });
    let mut dispatcher = dispatcher_with_backends(settings, 2);
    dispatcher.handle(START, stored(1, 50_000));
    dispatcher.handle(START, Event::BackendLeaving(backend_name(1)));
    enqueue_all(&mut dispatcher, START, [call(5)]);
    dispatcher.handle(START, Event::Cancel(ticket(5)));
    let effects = dispatcher.handle(millis(1), Event::Enqueue(call_of_run(1, 50_000)));
    let moves = |effect: &Effect| matches!(effect, Effect::MoveContext { .. });
    assert!(effects.iter().any(moves), "{effects:?}");
    assert!(grants(&effects).is_empty());
    let effects = dispatcher.handle(millis(502), Event::Tick);
    assert_eq!(grants(&effects).len(), 1);
}

#[test]
fn a_lease_ends_when_a_granted_call_needs_its_memory() {
    let mut settings = settings();
    settings.default_cache_tokens = 30_000;
    let mut dispatcher = dispatcher_with_backends(settings, 2);
    dispatcher.handle(START, stored(1, 20_000));
    dispatcher.handle(START, paused());
    dispatcher.handle(START, Event::BackendLeaving(backend_name(0)));
    let large = QueuedCall {
        prompt_tokens: 20_000,
        ..support::urgent(2)
    };
    let effects = dispatcher.handle(millis(1), Event::Enqueue(large));
    let ended = Effect::Retain {
        run: RUN,
        backend: backend_name(1),
        until: millis(1),
    };
    assert_eq!(effects.first(), Some(&ended), "{effects:?}");
    assert_eq!(grants(&effects).len(), 1);
    assert_eq!(dispatcher.retained(), 0);
}
