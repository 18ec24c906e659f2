//! What a dispatcher knows of attempts that another one granted, and how long its own grants are good for.

use std::time::Duration;

use ridgeworks_configuration::{ConfigurationSet, Machine, MachineList, MachineState};
use ridgeworks_domain::objects::Backend;
use ridgeworks_domain::{
    BackendAddress, BackendName, CallKey, Cost, MonotonicTime, NodeId, PartnerName, RunId,
    ServiceName, ZoneName,
};
use ridgeworks_node::dispatcher::{
    DispatcherAnswer, DispatcherGroup, Repeat, SlotRequest, UNUSED_GROUP_TIME,
};
use ridgeworks_node::metrics::Metrics;
use ridgeworks_scheduling::{
    AttemptEnd, AttemptOutcome, Effect, Event, Priority, QueuedCall, Ticket, TokenUsage,
};

const NOW: MonotonicTime = MonotonicTime { micros: 1_000_000 };
/// One of the engine's eight slots is kept for urgent calls.
const ROUTINE_SLOTS: u64 = 7;

fn engine() -> BackendName {
    BackendName::new("e1").unwrap()
}

fn group() -> DispatcherGroup {
    let service = ServiceName::new("assistant").unwrap();
    let mut group = DispatcherGroup::new(service.clone(), Metrics::default().service(&service));
    let mut machines = MachineList::default();
    let machine = Machine {
        name: "e1".to_owned(),
        incarnation: 1,
        state: MachineState::Live,
        backend: Some(Backend {
            name: engine(),
            service,
            address: "127.0.0.1:1".parse().unwrap(),
            zone: ZoneName::new("a").unwrap(),
            slots: 8,
        }),
    };
    machines.observe(1, vec![machine]);
    group.update(NOW, &ConfigurationSet::default(), &machines);
    group
}

fn ticket(number: u64) -> Ticket {
    let owner = NodeId(1);
    Ticket { owner, number }
}

fn call(number: u64) -> QueuedCall {
    let request = SlotRequest {
        ticket: ticket(number),
        run: RunId(u128::from(number)),
        key: CallKey::new("key").unwrap(),
        partner: PartnerName::new("alpha").unwrap(),
        priority: Priority {
            urgent: false,
            rank: 0,
        },
        attained_service: Cost::ZERO,
        prompt_tokens: 10,
        max_output_tokens: 10,
        deadline_in_ms: None,
        preemptible: false,
        waited_ms: 0,
    };
    request.queued_call(NOW)
}

/// Tells a dispatcher that took over of as many attempts, and asks it for as many slots as there are.
fn grants_beside(running: u64, events: Vec<Event>) -> usize {
    let mut group = group();
    for number in 0..running {
        let call = call(number);
        let backend = engine();
        group.handle(NOW, Event::AttemptRunning { call, backend });
    }
    for number in 100..100 + ROUTINE_SLOTS {
        group.handle(NOW, Event::Enqueue(call(number)));
    }
    for event in events {
        group.handle(NOW, event);
    }
    let effects = group.note_checked(NOW, &engine(), None);
    let granted = |effect: &&Effect| matches!(effect, Effect::Grant { .. });
    effects.iter().filter(granted).count()
}

fn ended(number: u64) -> Event {
    Event::AttemptEnded(AttemptEnd {
        ticket: ticket(number),
        usage: TokenUsage::default(),
        outcome: AttemptOutcome::Completed,
    })
}

#[test]
fn attempts_that_run_take_their_slots_before_any_call_is_granted() {
    assert_eq!(grants_beside(0, vec![]), 7);
    assert_eq!(grants_beside(5, vec![]), 2);
    assert_eq!(grants_beside(ROUTINE_SLOTS, vec![]), 0);
}

#[test]
fn attempts_that_ended_before_the_back_end_was_known_take_none() {
    assert_eq!(grants_beside(5, vec![ended(0), ended(1)]), 4);
    assert_eq!(grants_beside(5, vec![Event::OwnerLost(NodeId(1))]), 0);
    let all_lost = vec![Event::OwnerLost(NodeId(1)), Event::Enqueue(call(200))];
    assert_eq!(
        grants_beside(5, all_lost),
        1,
        "the last owner's calls alone"
    );
}

#[test]
fn news_of_an_attempt_counts_once_and_not_after_its_end() {
    let mut group = group();
    assert!(group.note_running(ticket(1)));
    assert!(!group.note_running(ticket(1)), "a repeat");
    group.note_end(ticket(1), NOW);
    assert!(!group.note_running(ticket(1)), "a repeat that came late");
    group.handle(NOW, Event::OwnerLost(NodeId(1)));
    assert!(group.note_running(ticket(1)), "the owner was only cut off");
}

#[test]
fn a_grant_that_is_sent_again_is_valid_for_what_is_left() {
    let mut group = group();
    let answer = DispatcherAnswer::Granted {
        ticket: ticket(1),
        backend: engine(),
        address: BackendAddress {
            socket: "127.0.0.1:1".parse().unwrap(),
            instance: None,
        },
        valid_for_ms: 1_000,
    };
    group.note_request(ticket(1), NOW);
    group.note_answer(&answer, NOW);
    for (after, left) in [(0, 1_000), (300, 700), (1_000, 0), (5_000, 0)] {
        let now = NOW + Duration::from_millis(after);
        let Repeat::Answered(DispatcherAnswer::Granted { valid_for_ms, .. }) =
            group.note_request(ticket(1), now)
        else {
            panic!("not answered again");
        };
        assert_eq!(valid_for_ms, left);
    }
}

#[test]
fn a_group_that_another_node_dispatches_is_dropped_once_nobody_asks() {
    let mut group = group();
    let dropped_at = NOW + UNUSED_GROUP_TIME;
    group.handle(NOW, Event::Enqueue(call(1)));
    assert!(!group.note_ownership(NOW, false));
    assert!(!group.note_ownership(dropped_at, false), "a call waits");
    group.handle(dropped_at, Event::Cancel(ticket(1)));
    assert!(!group.note_ownership(dropped_at, false));
    assert!(!group.note_ownership(dropped_at + UNUSED_GROUP_TIME, true));
    let later = dropped_at + UNUSED_GROUP_TIME * 2;
    assert!(!group.note_ownership(later, false));
    assert!(group.note_ownership(later + UNUSED_GROUP_TIME, false));
}
