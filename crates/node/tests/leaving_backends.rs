//! A new dispatcher, which knows only the platform's lagging list, sends no calls to a leaving back
//! end.

use ridgeworks_configuration::{ConfigurationSet, Machine, MachineList, MachineState};
use ridgeworks_domain::objects::Backend;
use ridgeworks_domain::{
    BackendName, CallKey, Cost, MonotonicTime, NodeId, PartnerName, RunId, ServiceName, ZoneName,
};
use ridgeworks_node::dispatcher::{DispatcherGroup, PROBE_TIMEOUT, SlotRequest};
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

/// A new dispatcher with two back ends listed as live and not yet probed.
fn group_with_unprobed_backends() -> DispatcherGroup {
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
    request.into_queued_call(NOW)
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
fn calls_are_held_until_back_ends_are_probed_and_skip_leaving_ones() {
    let mut group = group_with_unprobed_backends();
    let mut effects = Vec::new();
    for number in 0..6 {
        effects.extend(group.handle(NOW, Event::Enqueue(call(number))));
    }
    assert!(
        effects.is_empty(),
        "neither granted nor refused: {effects:?}"
    );
    effects.extend(group.handle(NOW, Event::BackendLeaving(name("e1"))));
    effects.extend(group.record_probe(NOW, &name("e1"), None));
    effects.extend(group.record_probe(NOW, &name("e2"), None));
    assert_eq!(granted(&effects), vec!["e2"; 6]);
}

#[test]
fn cancelled_held_call_gets_no_grant() {
    let mut group = group_with_unprobed_backends();
    group.handle(NOW, Event::Enqueue(call(1)));
    let ticket = call(1).ticket;
    group.handle(NOW, Event::Cancel(ticket));
    group.record_probe(NOW, &name("e1"), None);
    let effects = group.record_probe(NOW, &name("e2"), None);
    assert!(granted(&effects).is_empty());
}

#[test]
fn unreachable_back_end_holds_calls_no_longer_than_the_probe_timeout() {
    let mut group = group_with_unprobed_backends();
    group.handle(NOW, Event::Enqueue(call(1)));
    assert!(granted(&group.record_probe(NOW, &name("e2"), None)).is_empty());
    let effects = group.handle(NOW + PROBE_TIMEOUT, Event::Tick);
    assert_eq!(granted(&effects), ["e2"]);
}

/// Guards against admitting held calls against the default memory size: three quarters of the
/// engine's 16,384 tokens fit only two of the three calls, the default of 200,000 tokens fits all.
#[test]
fn held_calls_respect_the_memory_reported_by_the_probe() {
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
    let effects = group.record_probe(NOW, &name("e1"), Some(load));
    assert_eq!(granted(&effects), ["e1", "e1"]);
}
