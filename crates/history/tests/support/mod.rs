//! Seeded generator of histories that keep every promise, and helpers to break them.
#![allow(dead_code, reason = "each test file uses a part")]

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ridgeworks_domain::{BackendName, CallKey, Cost, PartnerName, RunId, Sequence, ServiceName};
use ridgeworks_history::record::{ConfigOutcome, Event, Outcome, Record};
use ridgeworks_history::{Bounds, Check, History, Report, ViolationKind};

pub const SECOND: u64 = 1_000_000;
pub const BACKENDS: u64 = 4;
/// The last back end leaves; calls avoid it afterwards.
pub const LEAVING: &str = "engine-3";
/// Runs end well before this, so that no bound lies beyond the history.
pub const TAIL: u64 = 30 * SECOND;

pub fn run_id(number: u64) -> RunId {
    RunId(u128::from(number) + 1)
}

pub fn key(text: &str) -> CallKey {
    CallKey::new(text).unwrap()
}

pub fn backend(name: &str) -> BackendName {
    BackendName::new(name).unwrap()
}

pub fn record(at_us: u64, by: &str, event: Event) -> Record {
    Record {
        at_us,
        by: by.to_owned(),
        event,
    }
}

pub fn invoked(at_us: u64, by: &str, run: RunId, call: &str, sequence: u64) -> Record {
    let event = Event::CallInvoked {
        run,
        call: key(call),
        sequence: Sequence(sequence),
        service: ServiceName::new("model").unwrap(),
        repeatable: sequence.is_multiple_of(2),
        reserve: Cost(100),
        request_digest: format!("request-{call}"),
    };
    record(at_us, by, event)
}

pub fn answered(at_us: u64, by: &str, run: RunId, call: &str, outcome: Outcome) -> Record {
    let event = Event::CallAnswered {
        run,
        call: key(call),
        outcome,
        answer_digest: (outcome == Outcome::Ok).then(|| digest(call)),
        retry_after_ms: (outcome == Outcome::NotRun).then_some(50),
    };
    record(at_us, by, event)
}

pub fn digest(call: &str) -> String {
    format!("answer-{call}")
}

pub fn executed(started: u64, run: RunId, call: &str, sequence: u64, prior: &[CallKey]) -> Record {
    let event = Event::BackendExecuted {
        backend: backend("engine-0"),
        run,
        call: key(call),
        attempt: 1,
        sequence: Sequence(sequence),
        cost: Cost(1),
        answer_digest: digest(call),
        prior_calls: Some(prior.to_vec()),
        started_at_us: Some(started),
    };
    record(started + 5, "engines", event)
}

pub fn fault(at_us: u64, on: bool, fault: &str, target: &str) -> Record {
    let (fault, targets) = (fault.to_owned(), vec![target.to_owned()]);
    let event = if on {
        Event::FaultOn { fault, targets }
    } else {
        Event::FaultOff { fault, targets }
    };
    record(at_us, "driver", event)
}

pub fn config(at_us: u64, by: &str, operation: &str, value: Option<&str>) -> Record {
    let event = Event::ConfigInvoked {
        operation: operation.to_owned(),
        key: "share".to_owned(),
        value: value.map(str::to_owned),
    };
    record(at_us, by, event)
}

pub fn config_end(
    at_us: u64,
    by: &str,
    operation: &str,
    value: Option<&str>,
    (outcome, revision): (ConfigOutcome, Option<u64>),
) -> Record {
    let event = Event::ConfigAnswered {
        operation: operation.to_owned(),
        key: "share".to_owned(),
        value: value.map(str::to_owned),
        outcome,
        revision,
    };
    record(at_us, by, event)
}

pub fn in_force(invoked_at_us: u64, at_us: u64, node: &str, revision: u64) -> Record {
    let event = Event::ConfigInForce {
        node: node.to_owned(),
        revision,
        invoked_at_us,
    };
    record(at_us, "driver", event)
}

struct Generator {
    random: ChaCha8Rng,
    records: Vec<Record>,
    leaving_from: u64,
}

/// A history of this many runs that keeps every promise.
pub fn valid(seed: u64, runs: u64) -> Vec<Record> {
    let mut generator = Generator {
        random: ChaCha8Rng::seed_from_u64(seed),
        records: Vec::new(),
        leaving_from: 20 * SECOND,
    };
    for number in 0..runs {
        generator.run(number);
    }
    generator.platform();
    generator.operators();
    generator.records
}

impl Generator {
    fn push(&mut self, record: Record) {
        self.records.push(record);
    }

    fn wait(&mut self, now: &mut u64) -> u64 {
        *now += self.random.random_range(1_000..50_000);
        *now
    }

    fn run(&mut self, number: u64) {
        let run = run_id(number);
        let by = format!("client-{}", number % 7);
        let mut now = SECOND + self.random.random_range(0..60 * SECOND);
        let calls = self.random.random_range(4..14);
        let partner = PartnerName::new("kalahari").unwrap();
        let opened = Event::RunOpened {
            run,
            partner: partner.clone(),
            budget: Cost(calls * 80),
        };
        self.push(record(now, &by, opened));
        let mut history: Vec<CallKey> = Vec::new();
        let held_at = self.wait(&mut now);
        for sequence in 1..=calls {
            let call = format!("r{number}-c{sequence}");
            self.call(&mut now, &by, run, (&call, sequence), &history);
            history.push(key(&call));
            if self.random.random_bool(0.4) {
                self.read(&mut now, &by, run, &history);
            }
        }
        self.read(&mut now, &by, run, &history);
        let closed_at = self.wait(&mut now);
        self.push(record(closed_at, &by, Event::RunClosed { run, partner }));
        let engine = backend(&format!("engine-{}", number % BACKENDS));
        let tokens = 512;
        let held = Event::ContextHeld {
            backend: engine.clone(),
            run,
            tokens,
        };
        self.push(record(held_at, "engines", held));
        let released = Event::ContextReleased {
            backend: engine,
            run,
            tokens,
        };
        let after = self.random.random_range(0..9 * SECOND);
        self.push(record(closed_at + after, "engines", released));
    }

    fn call(
        &mut self,
        now: &mut u64,
        by: &str,
        run: RunId,
        (call, sequence): (&str, u64),
        history: &[CallKey],
    ) {
        let scenario = self.random.random_range(0..10);
        if scenario < 2 {
            let sent = self.wait(now);
            self.push(invoked(sent, by, run, call, sequence));
            let refused = self.wait(now);
            self.push(answered(refused, by, run, call, Outcome::NotRun));
        }
        let sent = self.wait(now);
        self.push(invoked(sent, by, run, call, sequence));
        self.execution(now, run, (call, sequence), history);
        if scenario == 2 && sequence.is_multiple_of(2) {
            self.execution(now, run, (call, sequence), history);
        }
        if scenario == 3 {
            // The first sending breaks while a fault is on; the second finds the recorded answer.
            self.push(fault(sent, true, "freeze", "node-9"));
            let broken = self.wait(now);
            self.push(answered(broken, by, run, call, Outcome::Unknown));
            self.push(fault(broken, false, "freeze", "node-9"));
            let again = self.wait(now);
            self.push(invoked(again, by, run, call, sequence));
        }
        let done = self.wait(now);
        self.push(answered(done, by, run, call, Outcome::Ok));
    }

    fn execution(
        &mut self,
        now: &mut u64,
        run: RunId,
        (call, sequence): (&str, u64),
        prior: &[CallKey],
    ) {
        let started = self.wait(now);
        let mut execution = executed(started, run, call, sequence, prior);
        execution.at_us = self.wait(now);
        let usable = BACKENDS - u64::from(started > self.leaving_from);
        if let Event::BackendExecuted {
            backend: name,
            cost,
            ..
        } = &mut execution.event
        {
            *name = backend(&format!("engine-{}", self.random.random_range(0..usable)));
            *cost = Cost(self.random.random_range(1..40));
        }
        self.push(execution);
    }

    fn read(&mut self, now: &mut u64, by: &str, run: RunId, history: &[CallKey]) {
        let invoked_at_us = self.wait(now);
        let event = Event::HistoryRead {
            run,
            calls: history.to_vec(),
            answer_digests: history.iter().map(|call| digest(call.as_str())).collect(),
            invoked_at_us,
        };
        let at_us = self.wait(now);
        self.push(record(at_us, by, event));
    }

    fn platform(&mut self) {
        let backend = backend(LEAVING);
        let leaving = Event::BackendLeaving { backend };
        self.push(record(self.leaving_from, "platform", leaving));
        for number in 0..3 {
            let (node, planned) = (format!("node-{number}"), true);
            let from = (10 + 10 * number) * SECOND;
            let stopping = Event::NodeStopping {
                node: node.clone(),
                planned,
            };
            self.push(record(from, "driver", stopping));
            let stopped = Event::NodeStopped { node, planned };
            self.push(record(from + 4 * SECOND, "driver", stopped));
        }
        let last = self.records.iter().map(|record| record.at_us).max();
        let end = last.unwrap_or(0) + TAIL;
        self.push(record(end, "driver", Event::Other));
    }

    fn operators(&mut self) {
        let mut now = 0;
        let mut revision = 100;
        for number in 0..40 {
            let (write, read) = (format!("put-{number}"), format!("read-{number}"));
            let value = Some(format!("value-{number}"));
            let value = value.as_deref();
            let sent = self.wait(&mut now);
            self.push(config(sent, "operator-a", &write, value));
            let outcome = match number % 5 {
                3 => ConfigOutcome::Rejected,
                4 => ConfigOutcome::Unknown,
                _ => ConfigOutcome::Accepted,
            };
            let took_effect = outcome != ConfigOutcome::Rejected;
            revision += u64::from(took_effect);
            let told = (outcome == ConfigOutcome::Accepted).then_some(revision);
            let sent = self.wait(&mut now);
            self.push(config(sent, "operator-b", &read, None));
            let done = self.wait(&mut now);
            self.push(config_end(
                done,
                "operator-a",
                &write,
                value,
                (outcome, told),
            ));
            if took_effect {
                let done = self.wait(&mut now);
                let end = (ConfigOutcome::Accepted, Some(revision));
                self.push(config_end(done, "operator-b", &read, value, end));
            }
            for node in 0..3 {
                let sent = self.wait(&mut now);
                let done = self.wait(&mut now);
                // Node 2 is a revision behind, within the bound.
                let shown = revision - u64::from(node == 2);
                self.push(in_force(sent, done, &format!("node-{node}"), shown));
            }
            now += SECOND / 2;
        }
    }
}

/// Judges records by every check.
pub fn judge(records: &[Record]) -> Report {
    Report::new(&History::new(records.to_vec()), &Bounds::default(), None)
}

/// Asserts that exactly this check objects; returns what it says.
pub fn only(records: &[Record], check: Check) -> Vec<ViolationKind> {
    let report = judge(records);
    let violations: Vec<_> = report.violations().collect();
    assert!(!violations.is_empty(), "{check:?} found nothing");
    for violation in &violations {
        assert_eq!(violation.check, check, "{violation}");
    }
    violations.iter().map(|found| found.kind.clone()).collect()
}

pub fn clean(records: &[Record]) {
    let report = judge(records);
    let violations: Vec<String> = report.violations().map(ToString::to_string).collect();
    assert!(violations.is_empty(), "{violations:#?}");
}
