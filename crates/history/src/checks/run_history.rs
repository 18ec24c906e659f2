//! Promise 2: run history is never lost nor mixed.
//!
//! A call is *acknowledged* at the time of its first `ok` answer or of the answer of the first
//! read that showed it. Rules:
//! - A read shows every call that was acknowledged before the read was sent.
//! - It shows only calls of its run that had started to execute, or were acknowledged, before the
//!   read was answered, in strictly rising order of sequence numbers, with one digest each.
//! - Each digest is one of the call's executions, and the one of its `ok` answer where that answer
//!   is itself one of the call's executions (where it is not, check 5 tells).
//! - The earlier calls that a back end was given hold every call of lower sequence that was
//!   acknowledged before the execution started, and only calls of the same run of lower sequence
//!   that had started to execute or were acknowledged, in strictly rising order. An execution
//!   without `prior_calls` is not judged.

use std::collections::{BTreeMap, HashMap, HashSet};

use ridgeworks_domain::{CallKey, RunId, Sequence};

use super::{Check, Findings};
use crate::history::{Execution, History, HistoryRead, RecordNumber, RunHistory};
use crate::record::{Event, Outcome};
use crate::violation::ViolationKind;

/// Checks every run.
pub fn check(history: &History) -> Findings {
    let mut findings = Findings::default();
    for (run, run_history) in &history.runs {
        let judge = RunJudge::new(history, *run, run_history);
        for read in &run_history.reads {
            judge.check_read(read, &mut findings);
        }
        for execution in &run_history.executions {
            judge.check_prior_calls(execution, &mut findings);
        }
    }
    findings
}

struct Acknowledgement {
    at_us: u64,
    sequence: Sequence,
    record: RecordNumber,
}

struct RunJudge<'a> {
    history: &'a History,
    run: RunId,
    run_history: &'a RunHistory,
    acknowledged: BTreeMap<&'a CallKey, Acknowledgement>,
    digests: HashMap<&'a CallKey, HashSet<&'a str>>,
    first_started: HashMap<&'a CallKey, u64>,
}

impl<'a> RunJudge<'a> {
    fn new(history: &'a History, run: RunId, run_history: &'a RunHistory) -> Self {
        let mut judge = Self {
            history,
            run,
            run_history,
            acknowledged: BTreeMap::new(),
            digests: HashMap::new(),
            first_started: HashMap::new(),
        };
        judge.collect_executions();
        judge.collect_answers();
        judge.collect_reads();
        judge
    }

    fn collect_executions(&mut self) {
        for execution in &self.run_history.executions {
            self.first_started
                .entry(&execution.call)
                .or_insert(execution.started_us);
            self.digests
                .entry(&execution.call)
                .or_default()
                .insert(&execution.digest);
        }
    }

    fn collect_answers(&mut self) {
        for (key, call) in &self.run_history.calls {
            for answer in call.answers() {
                if answer.outcome == Outcome::Ok {
                    self.acknowledge(key, answer.at_us, answer.record);
                }
            }
        }
    }

    fn collect_reads(&mut self) {
        for read in &self.run_history.reads {
            for key in self.calls_of(read).0 {
                self.acknowledge(key, read.answered_us, read.record);
            }
        }
    }

    fn acknowledge(&mut self, key: &'a CallKey, at_us: u64, record: RecordNumber) {
        // Calls of other runs are told when the read itself is judged.
        let Some(call) = self.run_history.calls.get(key) else {
            return;
        };
        let sequence = call.sequence;
        let acknowledgement = self.acknowledged.entry(key).or_insert(Acknowledgement {
            at_us,
            sequence,
            record,
        });
        if at_us < acknowledgement.at_us {
            acknowledgement.at_us = at_us;
            acknowledgement.record = record;
        }
    }

    fn calls_of(&self, read: &HistoryRead) -> (&'a [CallKey], &'a [String]) {
        match &self.history.records[read.record].event {
            Event::HistoryRead {
                calls,
                answer_digests,
                ..
            } => (calls, answer_digests),
            _ => (&[], &[]),
        }
    }

    fn check_read(&self, read: &HistoryRead, findings: &mut Findings) {
        findings.judged += 1;
        let (calls, digests) = self.calls_of(read);
        let mut add = |kind, other: Option<RecordNumber>| {
            let records = other.into_iter().chain([read.record]).collect();
            findings.add(Check::RunHistory, Some(self.run), kind, records);
        };
        if calls.len() != digests.len() {
            add(ViolationKind::DigestsIncomplete, None);
        }
        let shown: HashSet<&CallKey> = calls.iter().collect();
        for (key, acknowledgement) in &self.acknowledged {
            if acknowledgement.at_us < read.invoked_us && !shown.contains(key) {
                let call = (*key).clone();
                add(
                    ViolationKind::CallLost { call },
                    Some(acknowledgement.record),
                );
            }
        }
        for key in calls {
            if !self.may_be_shown(key, read.answered_us) {
                add(ViolationKind::CallNotOfRun { call: key.clone() }, None);
            }
        }
        if let Some(call) = self.first_out_of_order(calls) {
            add(ViolationKind::CallsOutOfOrder { call }, None);
        }
        for (key, digest) in calls.iter().zip(digests) {
            if self.digest_differs(key, digest) {
                add(
                    ViolationKind::RecordedAnswerDiffers { call: key.clone() },
                    None,
                );
            }
        }
    }

    /// Whether the call had started, or was acknowledged, by `time_us`.
    fn may_be_shown(&self, key: &CallKey, time_us: u64) -> bool {
        let Some(call) = self.run_history.calls.get(key) else {
            return false;
        };
        let started = self.first_started.get(key);
        let answered = call
            .answers()
            .any(|answer| answer.outcome == Outcome::Ok && answer.at_us <= time_us);
        answered || started.is_some_and(|started| *started <= time_us)
    }

    fn first_out_of_order(&self, calls: &[CallKey]) -> Option<CallKey> {
        let mut last: Option<Sequence> = None;
        for key in calls {
            // Foreign calls have no place in this run's order and are told on their own.
            let Some(call) = self.run_history.calls.get(key) else {
                continue;
            };
            if last.is_some_and(|last| last >= call.sequence) {
                return Some(key.clone());
            }
            last = Some(call.sequence);
        }
        None
    }

    fn digest_differs(&self, key: &CallKey, digest: &str) -> bool {
        let (Some(call), Some(executed)) = (self.run_history.calls.get(key), self.digests.get(key))
        else {
            return false;
        };
        let acknowledged = call
            .answers()
            .filter(|answer| answer.outcome == Outcome::Ok)
            .filter_map(|answer| answer.digest.as_deref())
            .find(|digest| executed.contains(digest));
        match acknowledged {
            Some(acknowledged) => acknowledged != digest,
            None => !executed.contains(digest),
        }
    }

    fn check_prior_calls(&self, execution: &Execution, findings: &mut Findings) {
        let Event::BackendExecuted {
            prior_calls: Some(prior_calls),
            ..
        } = &self.history.records[execution.record].event
        else {
            return;
        };
        findings.judged += 1;
        let mut add = |kind, other: Option<RecordNumber>| {
            let records = other.into_iter().chain([execution.record]).collect();
            findings.add(Check::RunHistory, Some(self.run), kind, records);
        };
        let given: HashSet<&CallKey> = prior_calls.iter().collect();
        for (key, acknowledgement) in &self.acknowledged {
            let required = acknowledgement.sequence < execution.sequence
                && acknowledgement.at_us < execution.started_us;
            if required && !given.contains(key) {
                let kind = ViolationKind::PriorCallMissing {
                    call: execution.call.clone(),
                    missing: (*key).clone(),
                };
                add(kind, Some(acknowledgement.record));
            }
        }
        for key in prior_calls {
            if !self.may_be_prior(key, execution) {
                let kind = ViolationKind::PriorCallForeign {
                    call: execution.call.clone(),
                    foreign: key.clone(),
                };
                add(kind, None);
            }
        }
        if self.first_out_of_order(prior_calls).is_some() {
            let call = execution.call.clone();
            add(ViolationKind::PriorCallsOutOfOrder { call }, None);
        }
    }

    fn may_be_prior(&self, key: &CallKey, execution: &Execution) -> bool {
        let lower = self
            .run_history
            .calls
            .get(key)
            .is_some_and(|call| call.sequence < execution.sequence);
        lower && self.may_be_shown(key, execution.started_us)
    }
}
