//! A dispatcher that knows only the platform's late list gives no work to a back end that is leaving.

use ridgeworks_configuration::{ConfigurationSet, Machine, MachineList, MachineState};
use ridgeworks_domain::objects::Backend;
use ridgeworks_domain::{
    BackendName, CallKey, Cost, MonotonicTime, NodeId, PartnerName, RunId, ServiceName, ZoneName,
};
use ridgeworks_node::dispatcher::{DispatcherGroup, LONGEST_CHECK, SlotRequest};
use ridgeworks_node::metrics::Metrics;
use ridgeworks_scheduling::{Effect, Event, LoadReport, Priority, QueuedCall, Ticket};

const NOW: MonotonicTime = MonotonicTime { micros: 1_000_000 };

fn name(name: &str) -> BackendName {
    BackendName::new(name).unwrap()
}

fn service() -> ServiceName {
    ServiceName::new("assistant").unwrap()
}

fn machine(machine: &str) -> Machine {
    Machine {
        name: machine.to_owned(),
        incarnation: 1,
        state: MachineState::Live,
        backend: Some(Backend {
            name: name(machine),
            service: service(),
            address: "127.0.0.1:1".parse().unwrap(),
            zone: ZoneName::new("a").unwrap(),
            slots: 8,
        }),
    }
}

/// A dispatcher that has just taken over, with a list of two live back ends.
fn taken_over() -> DispatcherGroup {
    let mut group = DispatcherGroup::new(service(), Metrics::default().service(&service()));
    let mut machines = MachineList::default();
    machines.observe(1, vec![machine("e1"), machine("e2")]);
    group.update(NOW, &ConfigurationSet::default(), &machines);
    group
}

fn call(number: u64) -> QueuedCall {
    let request = SlotRequest {
        ticket: Ticket {
            owner: NodeId(1),
            number,
        },
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

fn granted(effects: &[Effect]) -> Vec<&str> {
    let backend = |effect: &'_ Effect| match effect {
        Effect::Grant { backend, .. } => Some(backend.clone()),
        _ => None,
    };
    let known = ["e1", "e2"];
    let granted = effects.iter().filter_map(backend);
    granted
        .filter_map(|backend| known.into_iter().find(|known| *known == backend.as_str()))
        .collect()
}

#[test]
fn no_grant_goes_to_a_back_end_that_was_not_asked_itself() {
    let mut group = taken_over();
    let mut effects = Vec::new();
    for number in 0..6 {
        effects.extend(group.handle(NOW, Event::Enqueue(call(number))));
    }
    assert!(
        effects.is_empty(),
        "neither granted nor refused: {effects:?}"
    );
    effects.extend(group.handle(NOW, Event::BackendLeaving(name("e1"))));
    effects.extend(group.note_checked(NOW, &name("e1"), None));
    effects.extend(group.note_checked(NOW, &name("e2"), None));
    assert_eq!(granted(&effects), vec!["e2"; 6]);
}

#[test]
fn a_call_that_is_given_up_meanwhile_gets_no_grant() {
    let mut group = taken_over();
    group.handle(NOW, Event::Enqueue(call(1)));
    let ticket = call(1).ticket;
    group.handle(NOW, Event::Cancel(ticket));
    group.note_checked(NOW, &name("e1"), None);
    let effects = group.note_checked(NOW, &name("e2"), None);
    assert!(granted(&effects).is_empty());
}

#[test]
fn a_back_end_that_cannot_be_asked_holds_calls_up_for_a_bounded_time() {
    let mut group = taken_over();
    group.handle(NOW, Event::Enqueue(call(1)));
    assert!(granted(&group.note_checked(NOW, &name("e2"), None)).is_empty());
    let effects = group.handle(NOW + LONGEST_CHECK, Event::Tick);
    assert_eq!(granted(&effects), ["e2"]);
}

/// Three calls that came before the engine's first load all ran, with the default memory of 200,000 tokens in place of its
/// 16,384, of which three quarters hold two of them.
#[test]
fn calls_that_waited_for_a_back_end_are_held_to_its_memory() {
    let mut group = DispatcherGroup::new(service(), Metrics::default().service(&service()));
    let mut machines = MachineList::default();
    machines.observe(1, vec![machine("e1")]);
    group.update(NOW, &ConfigurationSet::default(), &machines);
    for number in 0..3 {
        let mut large = call(number);
        large.max_output_tokens = 5_000;
        group.handle(NOW, Event::Enqueue(large));
    }
    let load = LoadReport {
        backend: name("e1"),
        running: 0,
        waiting: 0,
        cache_capacity_tokens: 16_384,
    };
    let effects = group.note_checked(NOW, &name("e1"), Some(load));
    assert_eq!(granted(&effects), ["e1", "e1"]);
}
