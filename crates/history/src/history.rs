//! Index of a history by run, call, back end and fault, built once and read by every check.

use std::collections::BTreeMap;

use ridgeworks_domain::{BackendName, CallKey, Cost, RunId, Sequence};

use crate::record::{Event, Outcome, Record};

/// Position of a record in the history, from 0.
pub type RecordNumber = usize;

/// What a client heard of a call.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Its record.
    pub record: RecordNumber,
    /// When it came.
    pub at_us: u64,
    /// How the call ended.
    pub outcome: Outcome,
    /// Digest of the body.
    pub digest: Option<String>,
}

/// One sending of a call.
#[derive(Debug, Clone)]
pub struct Invocation {
    /// Its record.
    pub record: RecordNumber,
    /// When it was sent.
    pub at_us: u64,
    /// The client process that sent it.
    pub by: String,
    /// The answer to this sending, if one came.
    pub answer: Option<Answer>,
}

/// One call of a run, with every sending of it.
#[derive(Debug)]
pub struct CallHistory {
    /// Position in the run, of the first sending.
    pub sequence: Sequence,
    /// Whether every sending was marked as repeatable.
    pub repeatable: bool,
    /// All sendings in order of time.
    pub invocations: Vec<Invocation>,
}

impl CallHistory {
    /// All answers, in order of the sendings.
    pub fn answers(&self) -> impl Iterator<Item = &Answer> {
        self.invocations
            .iter()
            .filter_map(|invocation| invocation.answer.as_ref())
    }
}

/// One execution of a call at a back end.
#[derive(Debug, Clone)]
pub struct Execution {
    /// Its record.
    pub record: RecordNumber,
    /// When it started; the record's time where the back end told no other.
    pub started_us: u64,
    /// The back end.
    pub backend: BackendName,
    /// The call.
    pub call: CallKey,
    /// The sequence number that the back end was given.
    pub sequence: Sequence,
    /// What the back end counted.
    pub cost: Cost,
    /// Digest of the answer.
    pub digest: String,
}

/// One read of a run's history.
#[derive(Debug, Clone, Copy)]
pub struct HistoryRead {
    /// Its record.
    pub record: RecordNumber,
    /// When it was sent.
    pub invoked_us: u64,
    /// When its answer came.
    pub answered_us: u64,
}

/// All that is known of one run.
#[derive(Debug, Default)]
pub struct RunHistory {
    /// Record of the opening, and the budget.
    pub opened: Option<(RecordNumber, Cost)>,
    /// When the run ended, with the record that says so.
    pub ended: Option<(RecordNumber, u64)>,
    /// Calls by key.
    pub calls: BTreeMap<CallKey, CallHistory>,
    /// Executions in order of their start.
    pub executions: Vec<Execution>,
    /// Reads in order of their sending.
    pub reads: Vec<HistoryRead>,
}

/// Time during which a fault was on.
#[derive(Debug, Clone)]
pub struct FaultInterval {
    /// Kind of the fault.
    pub fault: String,
    /// What it hit.
    pub targets: Vec<String>,
    /// When it began.
    pub on_us: u64,
    /// When it ended, if it did.
    pub off_us: Option<u64>,
}

impl FaultInterval {
    /// Whether the fault was on at any time from `from_us` to `to_us`.
    pub fn overlaps(&self, from_us: u64, to_us: u64) -> bool {
        self.on_us <= to_us && self.off_us.is_none_or(|off| off >= from_us)
    }

    /// Whether the fault hit the process of this name.
    pub fn hits(&self, name: &str) -> bool {
        self.targets.iter().any(|target| target == name)
    }
}

/// An indexed history.
#[derive(Debug, Default)]
pub struct History {
    /// All records, in order of time.
    pub records: Vec<Record>,
    /// Runs by identifier.
    pub runs: BTreeMap<RunId, RunHistory>,
    /// Faults in order of their beginning.
    pub faults: Vec<FaultInterval>,
}

impl History {
    /// Indexes records, ordering them by time first.
    pub fn new(mut records: Vec<Record>) -> Self {
        records.sort_by_key(|record| record.at_us);
        let mut history = Self::default();
        for (number, record) in records.iter().enumerate() {
            history.index(number, record);
        }
        for run in history.runs.values_mut() {
            run.executions
                .sort_by_key(|execution| (execution.started_us, execution.sequence));
            run.reads.sort_by_key(|read| read.invoked_us);
        }
        history.records = records;
        history
    }

    /// Time of the last record, in microseconds; zero for an empty history.
    pub fn end_us(&self) -> u64 {
        self.records.last().map_or(0, |record| record.at_us)
    }

    /// Number of calls, each counted once however often it was sent.
    pub fn call_count(&self) -> usize {
        self.runs.values().map(|run| run.calls.len()).sum()
    }

    fn index(&mut self, number: RecordNumber, record: &Record) {
        let at_us = record.at_us;
        match &record.event {
            Event::RunOpened { run, budget, .. } => {
                self.run(*run).opened.get_or_insert((number, *budget));
            }
            Event::RunClosed { run, .. } | Event::RunAbandoned { run } => {
                self.run(*run).ended.get_or_insert((number, at_us));
            }
            Event::CallInvoked { .. } => self.index_invocation(number, record),
            Event::CallAnswered { .. } => self.index_answer(number, record),
            Event::BackendExecuted { .. } => self.index_execution(number, record),
            Event::HistoryRead {
                run, invoked_at_us, ..
            } => self.run(*run).reads.push(HistoryRead {
                record: number,
                invoked_us: *invoked_at_us,
                answered_us: at_us,
            }),
            Event::FaultOn { fault, targets } => self.faults.push(FaultInterval {
                fault: fault.clone(),
                targets: targets.clone(),
                on_us: at_us,
                off_us: None,
            }),
            Event::FaultOff { fault, targets } => self.end_fault(fault, targets, at_us),
            _ => {}
        }
    }

    fn run(&mut self, run: RunId) -> &mut RunHistory {
        self.runs.entry(run).or_default()
    }

    fn index_invocation(&mut self, number: RecordNumber, record: &Record) {
        let Event::CallInvoked {
            run,
            call,
            sequence,
            repeatable,
            ..
        } = &record.event
        else {
            return;
        };
        let calls = &mut self.run(*run).calls;
        let history = calls.entry(call.clone()).or_insert_with(|| CallHistory {
            sequence: *sequence,
            repeatable: true,
            invocations: Vec::new(),
        });
        history.repeatable &= *repeatable;
        history.invocations.push(Invocation {
            record: number,
            at_us: record.at_us,
            by: record.by.clone(),
            answer: None,
        });
    }

    /// An answer belongs to the newest sending of the call by the same process that has none yet:
    /// a client that sends again has given up on its earlier sendings.
    fn index_answer(&mut self, number: RecordNumber, record: &Record) {
        let Event::CallAnswered {
            run,
            call,
            outcome,
            answer_digest,
            ..
        } = &record.event
        else {
            return;
        };
        let Some(history) = self.run(*run).calls.get_mut(call) else {
            return;
        };
        let waiting = history
            .invocations
            .iter_mut()
            .rev()
            .find(|invocation| invocation.by == record.by && invocation.answer.is_none());
        if let Some(invocation) = waiting {
            invocation.answer = Some(Answer {
                record: number,
                at_us: record.at_us,
                outcome: *outcome,
                digest: answer_digest.clone(),
            });
        }
    }

    fn index_execution(&mut self, number: RecordNumber, record: &Record) {
        let Event::BackendExecuted {
            backend,
            run,
            call,
            sequence,
            cost,
            answer_digest,
            started_at_us,
            ..
        } = &record.event
        else {
            return;
        };
        self.run(*run).executions.push(Execution {
            record: number,
            started_us: started_at_us.unwrap_or(record.at_us),
            backend: backend.clone(),
            call: call.clone(),
            sequence: *sequence,
            cost: *cost,
            digest: answer_digest.clone(),
        });
    }

    fn end_fault(&mut self, fault: &str, targets: &[String], at_us: u64) {
        let active = self.faults.iter_mut().find(|interval| {
            interval.off_us.is_none() && interval.fault == fault && interval.targets == targets
        });
        if let Some(interval) = active {
            interval.off_us = Some(at_us);
        }
    }
}
