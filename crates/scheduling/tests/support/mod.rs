//! A small group of backends and calls, shared by the tests.
#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::time::Duration;

use ridgeworks_domain::objects::Backend;
use ridgeworks_domain::{BackendName, CallKey, Cost, MonotonicTime, NodeId, PartnerName, RunId};
use ridgeworks_scheduling::{
    AttemptEnd, AttemptOutcome, Dispatcher, DispatcherSettings, Effect, Event, PartnerSettings,
    Priority, QueuedCall, Ticket, TokenUsage,
};

pub const OWNER: NodeId = NodeId(1);
pub const SLOTS: u32 = 4;

pub fn millis(millis: u64) -> MonotonicTime {
    MonotonicTime::from_micros(millis * 1000)
}

pub fn ticket(number: u64) -> Ticket {
    Ticket {
        owner: OWNER,
        number,
    }
}

pub fn partner(number: usize) -> PartnerName {
    PartnerName::new(format!("partner-{number}")).unwrap()
}

pub fn backend_name(number: u32) -> BackendName {
    BackendName::new(format!("engine-{number}")).unwrap()
}

pub fn backend(number: u32) -> Backend {
    Backend {
        name: backend_name(number),
        service: "service".parse().unwrap(),
        address: "127.0.0.1:9000".parse().unwrap(),
        zone: "zone".parse().unwrap(),
        slots: SLOTS,
    }
}

pub fn partners(permille: [u16; 2]) -> Vec<PartnerSettings> {
    let settings = permille.iter().enumerate();
    settings
        .map(|(number, permille)| PartnerSettings {
            partner: partner(number),
            permille: *permille,
            latency_weight: 50,
        })
        .collect()
}

pub fn settings() -> DispatcherSettings {
    DispatcherSettings {
        partners: partners([500, 500]),
        ..DispatcherSettings::default()
    }
}

pub fn dispatcher_with_backends(settings: DispatcherSettings, backends: u32) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(settings);
    for number in 0..backends {
        let event = Event::BackendUp(backend(number));
        dispatcher.handle(MonotonicTime::ZERO, event);
    }
    dispatcher
}

/// A routine call of partner 0, whose run has the same number as its ticket.
pub fn call(number: u64) -> QueuedCall {
    QueuedCall {
        ticket: ticket(number),
        run: RunId(u128::from(number)),
        key: CallKey::new(format!("call-{number}")).unwrap(),
        partner: partner(0),
        priority: Priority {
            urgent: false,
            rank: 0,
        },
        attained_service: Cost::ZERO,
        prompt_tokens: 1000,
        max_output_tokens: 100,
        inherited: None,
        deadline: None,
        preemptible: true,
        waited: Duration::ZERO,
    }
}

pub fn urgent(number: u64) -> QueuedCall {
    let mut call = call(number);
    call.priority.urgent = true;
    call
}

pub fn ended(number: u64, outcome: AttemptOutcome) -> Event {
    let usage = TokenUsage {
        prompt: 1000,
        cached: 0,
        output: 50,
    };
    Event::AttemptEnded(AttemptEnd {
        ticket: ticket(number),
        usage,
        outcome,
    })
}

/// Ticket numbers and backends of all grants among the effects.
pub fn grants(effects: &[Effect]) -> Vec<(u64, BackendName)> {
    let granted = effects.iter().filter_map(|effect| match effect {
        Effect::Grant {
            ticket, backend, ..
        } => Some((ticket.number, backend.clone())),
        _ => None,
    });
    granted.collect()
}

/// Enqueues calls, confirms all grants and returns them.
pub fn enqueue_all(
    dispatcher: &mut Dispatcher,
    now: MonotonicTime,
    calls: impl IntoIterator<Item = QueuedCall>,
) -> Vec<(u64, BackendName)> {
    let mut granted = Vec::new();
    for call in calls {
        let effects = dispatcher.handle(now, Event::Enqueue(call));
        granted.extend(grants(&effects));
        confirm(dispatcher, now, &effects);
    }
    granted
}

pub fn confirm(dispatcher: &mut Dispatcher, now: MonotonicTime, effects: &[Effect]) {
    for (number, _) in grants(effects) {
        dispatcher.handle(now, Event::AttemptStarted(ticket(number)));
    }
}

/// Completes one attempt and confirms the resulting grants.
pub fn complete(dispatcher: &mut Dispatcher, now: MonotonicTime, number: u64) -> Vec<Effect> {
    let effects = dispatcher.handle(now, ended(number, AttemptOutcome::Completed));
    confirm(dispatcher, now, &effects);
    effects
}
