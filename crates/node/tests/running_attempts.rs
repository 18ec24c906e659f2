//! Tests how a dispatcher records attempts granted by another one, the validity of resent grants
//! and the expiry of unused groups.

use std::time::Duration;

use ridgeworks_configuration::{ConfigurationSet, Machine, MachineList, MachineState};
use ridgeworks_domain::objects::Backend;
use ridgeworks_domain::{
    BackendAddress, BackendName, CallKey, Cost, MonotonicTime, NodeId, PartnerName, RunId,
    ServiceName, ZoneName,
};
use ridgeworks_node::dispatcher::{
    DispatcherAnswer, DispatcherGroup, RequestDisposition, SlotRequest, UNUSED_GROUP_TIMEOUT,
};
use ridgeworks_node::metrics::Metrics;
use ridgeworks_scheduling::{
    AttemptEnd, AttemptOutcome, Effect, Event, Priority, QueuedCall, Ticket, TokenUsage,
};

const NOW: MonotonicTime = MonotonicTime { micros: 1_000_000 };
/// One of the engine's eight slots is reserved for urgent calls.
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
    request.into_queued_call(NOW)
}

/// Reports `running` attempts to a new dispatcher, requests every routine slot, and returns the
/// number of grants.
fn grants_with_running_attempts(running: u64, events: Vec<Event>) -> usize {
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
    let effects = group.record_probe(NOW, &engine(), None);
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
fn running_attempts_occupy_slots_before_calls_are_granted() {
    assert_eq!(grants_with_running_attempts(0, vec![]), 7);
    assert_eq!(grants_with_running_attempts(5, vec![]), 2);
    assert_eq!(grants_with_running_attempts(ROUTINE_SLOTS, vec![]), 0);
}

#[test]
fn attempts_that_end_before_the_probe_occupy_no_slot() {
    assert_eq!(grants_with_running_attempts(5, vec![ended(0), ended(1)]), 4);
    assert_eq!(
        grants_with_running_attempts(5, vec![Event::OwnerLost(NodeId(1))]),
        0
    );
    let all_lost = vec![Event::OwnerLost(NodeId(1)), Event::Enqueue(call(200))];
    assert_eq!(
        grants_with_running_attempts(5, all_lost),
        1,
        "only the call enqueued after the loss"
    );
}

#[test]
fn running_attempt_is_recorded_once_and_not_after_its_end() {
    let mut group = group();
    assert!(group.record_running(ticket(1)));
    assert!(!group.record_running(ticket(1)), "a repeated report");
    group.record_end(ticket(1), NOW);
    assert!(
        !group.record_running(ticket(1)),
        "a repeated report after the end"
    );
    group.handle(NOW, Event::OwnerLost(NodeId(1)));
    assert!(
        group.record_running(ticket(1)),
        "the owner was only disconnected"
    );
}

#[test]
fn resent_grant_is_valid_for_the_remaining_time() {
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
    group.record_request(ticket(1), NOW);
    group.record_answer(&answer, NOW);
    for (after, left) in [(0, 1_000), (300, 700), (1_000, 0), (5_000, 0)] {
        let now = NOW + Duration::from_millis(after);
        let RequestDisposition::Resend(DispatcherAnswer::Granted { valid_for_ms, .. }) =
            group.record_request(ticket(1), now)
        else {
            panic!("the grant was not sent again");
        };
        assert_eq!(valid_for_ms, left);
    }
}

#[test]
fn group_without_ownership_expires_once_its_queue_is_empty() {
    let mut group = group();
    let dropped_at = NOW + UNUSED_GROUP_TIMEOUT;
    group.handle(NOW, Event::Enqueue(call(1)));
    assert!(!group.update_ownership(NOW, false));
    assert!(
        !group.update_ownership(dropped_at, false),
        "a call is queued"
    );
    group.handle(dropped_at, Event::Cancel(ticket(1)));
    assert!(!group.update_ownership(dropped_at, false));
    assert!(!group.update_ownership(dropped_at + UNUSED_GROUP_TIMEOUT, true));
    let later = dropped_at + UNUSED_GROUP_TIMEOUT * 2;
    assert!(!group.update_ownership(later, false));
    assert!(group.update_ownership(later + UNUSED_GROUP_TIMEOUT, false));
}
