//! Invariants of the dispatcher under random events: every ticket ends exactly once, urgent calls go
//! first, and slots and queues stay within their limits.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use ridgeworks_domain::{BackendName, MonotonicTime, RunId};
use ridgeworks_scheduling::{
    AttemptOutcome, ContextMoveSettings, Dispatcher, DispatcherSettings, Effect, Event, Policy,
};
use support::{
    SLOTS, backend, backend_name, call, dispatcher_with_backends, ended, settings, ticket, urgent,
};

const BACKENDS: u32 = 3;
const MAX_QUEUED: usize = 8;
const CASES: u64 = 400;
const SIZE: usize = 150;
const SEED: u64 = 7;
const STEP_MILLIS: u64 = 7;
const DRAIN_ROUNDS: u64 = 2_000;

#[derive(Debug, Clone, Copy)]
enum Operation {
    Routine { run: u8, partner: bool },
    Urgent,
    Deadline { millis: u16 },
    Start { pick: u8 },
    End { pick: u8, outcome: u8 },
    Cancel { pick: u8 },
    Pause { run: u8 },
    EndRun { run: u8 },
    Leave { backend: u8 },
    Up { backend: u8 },
    Moved { run: u8, backend: u8 },
    Tick { millis: u16 },
}

impl Arbitrary for Operation {
    fn arbitrary(generator: &mut Gen) -> Self {
        let pick = u8::arbitrary(generator);
        let run = u8::arbitrary(generator) % 6;
        let backend = u8::arbitrary(generator) % 6;
        let millis = u16::arbitrary(generator) % 3_000;
        match u8::arbitrary(generator) % 24 {
            0..=6 => Self::Routine {
                run,
                partner: bool::arbitrary(generator),
            },
            7..=9 => Self::Urgent,
            10 => Self::Deadline { millis },
            11..=14 => Self::Start { pick },
            15..=17 => Self::End {
                pick,
                outcome: u8::arbitrary(generator),
            },
            18 => Self::Cancel { pick },
            19 => Self::Pause { run },
            20 => Self::EndRun { run },
            21 => Self::Leave { backend },
            22 => Self::Up { backend },
            _ if bool::arbitrary(generator) => Self::Moved { run, backend },
            _ => Self::Tick { millis },
        }
    }
}

struct HeldGrant {
    backend: BackendName,
    granted_at: MonotonicTime,
    valid_for: Duration,
}

/// Model of the owners and backends, which records violated invariants.
struct World {
    dispatcher: Dispatcher,
    now: MonotonicTime,
    next: u64,
    waiting: BTreeMap<u64, bool>,
    ends: BTreeMap<u64, u32>,
    in_flight: BTreeMap<u64, HeldGrant>,
    started: BTreeSet<u64>,
    leaving: BTreeSet<BackendName>,
    violations: Vec<String>,
}

impl World {
    fn new(settings: DispatcherSettings) -> Self {
        Self {
            dispatcher: dispatcher_with_backends(settings, BACKENDS),
            now: MonotonicTime::ZERO,
            next: 1,
            waiting: BTreeMap::new(),
            ends: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            started: BTreeSet::new(),
            leaving: BTreeSet::new(),
            violations: Vec::new(),
        }
    }

    fn send(&mut self, event: Event) {
        self.forget_invalid_grants();
        let effects = self.dispatcher.handle(self.now, event);
        for effect in effects {
            self.observe(effect);
        }
        if self.dispatcher.queued() > 3 * MAX_QUEUED {
            self.violations.push("queue exceeds its limit".into());
        }
    }

    fn observe(&mut self, effect: Effect) {
        match effect {
            Effect::Grant {
                ticket,
                backend,
                valid_for,
                ..
            } => {
                let granted_at = self.now;
                let held = HeldGrant {
                    backend,
                    granted_at,
                    valid_for,
                };
                self.observe_grant(ticket.number, held);
            }
            Effect::Refuse { ticket, .. } => self.end(ticket.number),
            _ => {}
        }
    }

    fn observe_grant(&mut self, number: u64, held: HeldGrant) {
        let backend = held.backend.clone();
        let was_urgent = self.waiting.get(&number).copied().unwrap_or(false);
        self.end(number);
        let urgent_waits = self.waiting.values().any(|urgent| *urgent);
        if urgent_waits && !was_urgent {
            self.violations
                .push(format!("{number} was granted before an urgent call"));
        }
        if self.leaving.contains(&backend) {
            self.violations
                .push(format!("{number} was granted at a leaving backend"));
        }
        self.in_flight.insert(number, held);
        let held = self.in_flight.values();
        let there = held.filter(|other| other.backend == backend);
        if there.count() > SLOTS as usize {
            self.violations
                .push(format!("{backend} has more grants than slots"));
        }
    }

    fn end(&mut self, number: u64) {
        self.waiting.remove(&number);
        *self.ends.entry(number).or_default() += 1;
    }

    fn enqueue(&mut self, mut call: ridgeworks_scheduling::QueuedCall, run: u8) {
        let number = self.next;
        self.next += 1;
        call.ticket = ticket(number);
        call.run = RunId(u128::from(run));
        self.waiting.insert(number, call.priority.urgent);
        self.ends.insert(number, 0);
        self.send(Event::Enqueue(call));
    }

    fn apply(&mut self, operation: Operation) {
        self.now = self.now + Duration::from_millis(STEP_MILLIS);
        match operation {
            Operation::Routine { run, partner } => {
                let mut call = call(0);
                call.partner = support::partner(usize::from(partner));
                self.enqueue(call, run);
            }
            Operation::Urgent => self.enqueue(urgent(0), 100),
            Operation::Deadline { millis } => {
                let mut call = call(0);
                let allowed = Duration::from_millis(u64::from(millis));
                call.deadline = Some(self.now + allowed);
                self.enqueue(call, 101);
            }
            Operation::Start { pick } => {
                let unstarted = self.in_flight.keys().filter(|n| !self.started.contains(n));
                if let Some(number) = nth(unstarted, pick) {
                    self.started.insert(number);
                    self.send(Event::AttemptStarted(ticket(number)));
                }
            }
            Operation::End { pick, outcome } => {
                if let Some(number) = nth(self.started.iter(), pick) {
                    let outcomes = [AttemptOutcome::Completed, AttemptOutcome::Failed];
                    self.finish(number, outcomes[usize::from(outcome % 8 == 0)]);
                }
            }
            Operation::Cancel { pick } => {
                if let Some(number) = nth(self.waiting.keys(), pick) {
                    self.end(number);
                    self.send(Event::Cancel(ticket(number)));
                }
            }
            Operation::Pause { run } => self.send(Event::RunPaused {
                run: RunId(u128::from(run)),
                tool: "tool".parse().unwrap(),
            }),
            Operation::EndRun { run } => {
                self.send(Event::RunEnded(RunId(u128::from(run))));
            }
            Operation::Leave { backend } => {
                let name = backend_name(u32::from(backend));
                self.leaving.insert(name.clone());
                self.send(Event::BackendLeaving(name));
            }
            Operation::Up { backend: number } => {
                self.send(Event::BackendUp(backend(u32::from(number))));
            }
            Operation::Moved { run, backend } => self.send(Event::ContextMoved {
                run: RunId(u128::from(run)),
                to: backend_name(u32::from(backend)),
                tokens: 1000,
            }),
            Operation::Tick { millis } => {
                self.now = self.now + Duration::from_millis(u64::from(millis) / 10);
                self.send(Event::Tick);
            }
        }
    }

    fn finish(&mut self, number: u64, outcome: AttemptOutcome) {
        self.in_flight.remove(&number);
        self.started.remove(&number);
        self.send(ended(number, outcome));
    }

    /// Drops grants that their owners did not confirm in time, as owners do.
    fn forget_invalid_grants(&mut self) {
        let now = self.now;
        let started = &self.started;
        self.in_flight.retain(|number, held| {
            started.contains(number) || now.since(held.granted_at) < held.valid_for
        });
    }

    fn drain(&mut self) {
        let spare = backend(99);
        self.send(Event::BackendUp(spare));
        for _ in 0..DRAIN_ROUNDS {
            self.now = self.now + Duration::from_millis(100);
            self.send(Event::Tick);
            let unstarted: Vec<u64> = self.in_flight.keys().copied().collect();
            for number in unstarted {
                self.send(Event::AttemptStarted(ticket(number)));
                self.finish(number, AttemptOutcome::Completed);
            }
            if self.waiting.is_empty() && self.in_flight.is_empty() {
                return;
            }
        }
        self.violations
            .push(format!("{:?} did not end", self.waiting));
    }

    fn result(&self) -> Result<(), Vec<String>> {
        let mut violations = self.violations.clone();
        for (number, ends) in &self.ends {
            if *ends != 1 {
                violations.push(format!("{number} ended {ends} times"));
            }
        }
        if violations.is_empty() {
            Ok(())
        } else {
            Err(violations)
        }
    }
}

fn nth<'a>(mut numbers: impl Iterator<Item = &'a u64> + Clone, pick: u8) -> Option<u64> {
    let count = numbers.clone().count();
    let index = usize::from(pick).checked_rem(count)?;
    numbers.nth(index).copied()
}

fn run_operations(
    settings: DispatcherSettings,
    operations: Vec<Operation>,
) -> Result<(), Vec<String>> {
    let mut world = World::new(settings);
    for operation in operations {
        world.apply(operation);
    }
    world.drain();
    world.result()
}

fn check(property: fn(Vec<Operation>) -> Result<(), Vec<String>>) {
    let generator = Gen::from_size_and_seed(SIZE, SEED);
    let check = QuickCheck::new().rng(generator);
    check.tests(CASES).quickcheck(property);
}

fn bounded(policy: Policy) -> DispatcherSettings {
    DispatcherSettings {
        policy,
        max_queued_per_partner: MAX_QUEUED,
        ..settings()
    }
}

fn with_urgent_first(policy: Policy) -> DispatcherSettings {
    bounded(Policy {
        urgent_first: true,
        ..policy
    })
}

#[test]
fn every_ticket_ends_once_and_urgent_calls_go_first() {
    check(|operations| run_operations(bounded(Policy::default()), operations));
}

#[test]
fn moving_contexts_keeps_the_invariants() {
    check(|operations| {
        let mut settings = bounded(Policy::default());
        settings.context_move = Some(ContextMoveSettings {
            base_micros: 1_000,
            nanos_per_token: 100,
            timeout: Duration::from_millis(200),
        });
        run_operations(settings, operations)
    });
}

#[test]
fn prefix_sticky_placement_keeps_the_invariants() {
    check(|operations| run_operations(with_urgent_first(Policy::prefix_sticky()), operations));
}

#[test]
fn round_robin_placement_keeps_the_invariants() {
    check(|operations| run_operations(with_urgent_first(Policy::round_robin()), operations));
}
