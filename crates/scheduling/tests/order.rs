//! Queue order: urgency, attained service, ranks, shares, deadlines and queue limits.

mod support;

use std::time::Duration;

use ridgeworks_domain::{Cost, MonotonicTime, RefusalReason};
use ridgeworks_scheduling::{
    AttemptOutcome, Dispatcher, DispatcherSettings, Effect, Event, QueuedCall,
};
use support::{
    SLOTS, call, complete, dispatcher_with_backends, ended, enqueue_all, grants, millis, partner,
    partners, settings, ticket, urgent,
};

const START: MonotonicTime = MonotonicTime::ZERO;

/// A dispatcher with one engine, whose routine slots are all taken by calls 1 to 3.
fn full_engine() -> Dispatcher {
    let mut dispatcher = dispatcher_with_backends(settings(), 1);
    let granted = enqueue_all(&mut dispatcher, START, (1..=3).map(call));
    assert_eq!(granted.len(), SLOTS as usize - 1);
    dispatcher
}

fn refusal_of(effects: &[Effect]) -> Option<(RefusalReason, Option<u64>)> {
    effects.iter().find_map(|effect| match effect {
        Effect::Refuse { refusal, .. } => Some((refusal.reason.clone(), refusal.retry_after_ms)),
        _ => None,
    })
}

fn with_attained(number: u64, tokens: u64) -> QueuedCall {
    let mut call = call(number);
    call.attained_service = Cost(tokens);
    call
}

#[test]
fn an_urgent_call_takes_the_reserved_slot_and_then_preempts_the_latest_routine_call() {
    let mut dispatcher = full_engine();
    let granted = enqueue_all(&mut dispatcher, millis(1), [urgent(10)]);
    assert_eq!(granted.len(), 1);
    let effects = dispatcher.handle(millis(2), Event::Enqueue(urgent(11)));
    let [Effect::Preempt { ticket: victim, .. }] = effects.as_slice() else {
        panic!("{effects:?}");
    };
    assert_eq!(*victim, ticket(3));
    let effects = dispatcher.handle(millis(3), ended(3, AttemptOutcome::Preempted));
    assert_eq!(grants(&effects)[0].0, 11);
}

#[test]
fn calls_that_may_not_run_twice_are_never_preempted() {
    let mut dispatcher = dispatcher_with_backends(settings(), 1);
    let once = (1..=3).map(|number| QueuedCall {
        preemptible: false,
        ..call(number)
    });
    enqueue_all(&mut dispatcher, START, once);
    enqueue_all(&mut dispatcher, START, [urgent(10)]);
    let effects = dispatcher.handle(millis(2), Event::Enqueue(urgent(11)));
    assert!(effects.is_empty(), "{effects:?}");
}

#[test]
fn the_run_with_the_least_attained_service_goes_first() {
    let mut dispatcher = full_engine();
    let waiting = [with_attained(4, 9_000), with_attained(5, 100)];
    enqueue_all(&mut dispatcher, millis(1), waiting);
    let effects = complete(&mut dispatcher, millis(2), 1);
    assert_eq!(grants(&effects)[0].0, 5);
}

#[test]
fn ageing_bounds_the_wait_of_runs_with_much_attained_service() {
    let mut dispatcher = full_engine();
    let max_penalty = DispatcherSettings::default().max_ageing_penalty;
    enqueue_all(&mut dispatcher, millis(1), [with_attained(4, u64::MAX)]);
    let mut running = 1;
    let mut now = millis(1);
    let bound = now + max_penalty + Duration::from_secs(1);
    for number in 100.. {
        now = now + Duration::from_millis(100);
        assert!(now < bound, "the run waited longer than the bound");
        enqueue_all(&mut dispatcher, now, [call(number)]);
        let effects = complete(&mut dispatcher, now, running);
        running = grants(&effects)[0].0;
        if running == 4 {
            return;
        }
    }
}

#[test]
fn a_higher_rank_goes_first_until_a_lower_one_has_aged() {
    let mut dispatcher = full_engine();
    let mut high = call(5);
    high.priority.rank = 2;
    enqueue_all(&mut dispatcher, millis(1), [call(4), high.clone()]);
    let effects = complete(&mut dispatcher, millis(2), 1);
    assert_eq!(grants(&effects)[0].0, 5);
    let late = millis(60_000);
    high.ticket = ticket(6);
    enqueue_all(&mut dispatcher, late, [high]);
    let effects = complete(&mut dispatcher, late, 2);
    assert_eq!(grants(&effects)[0].0, 4);
}

#[test]
fn a_returning_partner_gets_every_freed_slot_until_it_reaches_its_share() {
    let mut dispatcher = dispatcher_with_backends(settings(), 4);
    let slots = 4 * (u64::from(SLOTS) - 1);
    enqueue_all(&mut dispatcher, START, (1..=2 * slots).map(call));
    let returning = (100..100 + slots).map(|number| QueuedCall {
        partner: partner(1),
        ..call(number)
    });
    enqueue_all(&mut dispatcher, millis(1), returning);
    for number in 1..=slots / 2 {
        let effects = complete(&mut dispatcher, millis(2), number);
        let (granted, _) = grants(&effects)[0];
        assert!(granted >= 100, "slot {number} went to {granted}");
    }
}

#[test]
fn shares_are_within_two_percent_while_both_partners_wait() {
    let mut settings = settings();
    settings.partners = partners([700, 300]);
    let mut dispatcher = dispatcher_with_backends(settings, 20);
    let mut next = 1;
    let mut enqueue = |dispatcher: &mut Dispatcher, from: usize, count: usize| {
        for _ in 0..count {
            let mut call = call(next);
            call.partner = partner(from);
            next += 1;
            enqueue_all(dispatcher, START, [call]);
        }
    };
    enqueue(&mut dispatcher, 0, 3_000);
    enqueue(&mut dispatcher, 1, 3_000);
    let mut running: Vec<u64> = (1..=60).collect();
    let mut slot_steps = [0_usize; 2];
    for step in 0..2_000_u64 {
        let number = running.remove((step as usize * 7) % running.len());
        let effects = complete(&mut dispatcher, millis(step), number);
        let (granted, _) = grants(&effects)[0];
        running.push(granted);
        if step >= 200 {
            let second = running.iter().filter(|number| **number > 3_000).count();
            slot_steps[0] += running.len() - second;
            slot_steps[1] += second;
        }
    }
    let part = slot_steps[0] as f64 / (slot_steps[0] + slot_steps[1]) as f64;
    assert!((part - 0.7).abs() < 0.02, "share of the slots is {part}");
}

#[test]
fn a_call_with_an_unmeetable_deadline_is_refused_at_once_with_a_retry_delay() {
    let mut settings = settings();
    settings.deadline_lead = Duration::ZERO;
    let mut dispatcher = dispatcher_with_backends(settings, 1);
    enqueue_all(&mut dispatcher, START, (1..200).map(call));
    let mut late = with_attained(500, 20_000);
    late.deadline = Some(millis(3_000));
    let effects = dispatcher.handle(millis(1), Event::Enqueue(late));
    let (reason, retry_after) = refusal_of(&effects).unwrap();
    assert_eq!(reason, RefusalReason::DeadlineCannotBeMet);
    assert!(retry_after.is_some_and(|retry| retry > 0));
}

#[test]
fn calls_with_deadlines_go_first_earliest_deadline_first() {
    let mut dispatcher = full_engine();
    let due = |number: u64, seconds: u64| QueuedCall {
        deadline: Some(millis(seconds * 1000)),
        ..with_attained(number, 50_000)
    };
    let waiting = [call(4), due(5, 90), due(6, 60)];
    enqueue_all(&mut dispatcher, millis(1), waiting);
    let order = [1, 2, 3].map(|ended| {
        let effects = complete(&mut dispatcher, millis(2), ended);
        grants(&effects)[0].0
    });
    assert_eq!(order, [6, 5, 4]);
}

#[test]
fn a_waiting_call_is_refused_once_its_deadline_cannot_be_met() {
    let mut dispatcher = full_engine();
    let mut call = call(4);
    call.deadline = Some(millis(4_000));
    let effects = dispatcher.handle(millis(1), Event::Enqueue(call));
    assert!(effects.is_empty(), "{effects:?}");
    let effects = dispatcher.handle(millis(3_990), Event::Tick);
    let (reason, _) = refusal_of(&effects).unwrap();
    assert_eq!(reason, RefusalReason::DeadlineCannotBeMet);
}

#[test]
fn a_full_queue_refuses_calls_at_once() {
    let mut settings = settings();
    settings.max_queued_per_partner = 2;
    let mut dispatcher = dispatcher_with_backends(settings, 1);
    enqueue_all(&mut dispatcher, START, (1..=5).map(call));
    let effects = dispatcher.handle(millis(1), Event::Enqueue(call(6)));
    let (reason, retry_after) = refusal_of(&effects).unwrap();
    assert_eq!(reason, RefusalReason::QueueFull);
    assert!(retry_after.is_some());
}

#[test]
fn calls_are_refused_without_backends() {
    let mut dispatcher = Dispatcher::new(settings());
    let effects = dispatcher.handle(START, Event::Enqueue(call(1)));
    let (reason, _) = refusal_of(&effects).unwrap();
    assert_eq!(reason, RefusalReason::NoBackend);
}
