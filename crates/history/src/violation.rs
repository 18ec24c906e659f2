//! What a check found, with the records involved.

use std::fmt;

use ridgeworks_domain::{BackendName, CallKey, Cost, RunId, Sequence};

use crate::checks::Check;
use crate::history::RecordNumber;

/// One breach of a promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The check that found it.
    pub check: Check,
    /// The run concerned, where there is one.
    pub run: Option<RunId>,
    /// What is wrong.
    pub kind: ViolationKind,
    /// The records that show it, counted from 0 in the ordered history.
    pub records: Vec<RecordNumber>,
}

/// What is wrong.
#[derive(Debug, Clone, PartialEq, Eq)]
#[allow(missing_docs, reason = "the fields are named after what they hold")]
pub enum ViolationKind {
    /// An execution started after one of a higher sequence number.
    StartedAfterLaterCall {
        call: CallKey,
        sequence: Sequence,
        later: Sequence,
    },
    /// A back end was given another sequence number than the client sent.
    SequenceChanged {
        call: CallKey,
        sent: Sequence,
        executed: Sequence,
    },
    /// A read lacks a call that was acknowledged before the read was sent.
    CallLost { call: CallKey },
    /// A list of calls names one that is not this run's, or not yet answered.
    CallNotOfRun { call: CallKey },
    /// A list of calls is not in order of sequence numbers, or names a call twice.
    CallsOutOfOrder { call: CallKey },
    /// A read shows another answer than was acknowledged or executed.
    RecordedAnswerDiffers { call: CallKey },
    /// A read has another number of digests than of calls.
    DigestsIncomplete,
    /// A back end was not given an acknowledged earlier call.
    PriorCallMissing { call: CallKey, missing: CallKey },
    /// A back end was given a call that does not belong in this call's history.
    PriorCallForeign { call: CallKey, foreign: CallKey },
    /// A back end was given the earlier calls out of order.
    PriorCallsOutOfOrder { call: CallKey },
    /// The executions of a run cost more than its budget.
    BudgetExceeded { budget: Cost, spent: Cost },
    /// An engine held a context of an ended run for longer than the bound.
    ContextNotReleased {
        backend: BackendName,
        deadline_us: u64,
    },
    /// An answer is not the one of any execution of its call.
    AnswerOfNoExecution { call: CallKey },
    /// An answer is the one of another call.
    AnswerOfOtherCall {
        call: CallKey,
        other_run: RunId,
        other_call: CallKey,
    },
    /// Two answers of one call differ.
    AnswersDiffer { call: CallKey },
    /// An answer carries no digest.
    AnswerWithoutDigest { call: CallKey },
    /// A call was executed though every request for it so far was answered "not run".
    ExecutedThoughNotRun { call: CallKey },
    /// A call was executed that no client had sent.
    ExecutedUnasked { call: CallKey },
    /// A call that is not repeatable was executed again.
    ExecutedAgain { call: CallKey, executions: usize },
    /// A leaving back end was given work after the bound.
    WorkAfterLeaving { backend: BackendName, call: CallKey },
    /// A planned stop broke a call.
    CallBroken { node: String, call: CallKey },
    /// A planned stop did not end.
    StopNotEnded { node: String },
    /// A node's revision went back.
    RevisionWentBack { node: String, from: u64, to: u64 },
    /// A node showed a revision older than one accepted before the bound.
    RevisionStale {
        node: String,
        shown: u64,
        accepted: u64,
    },
    /// The operations on a key have no order that explains their outcomes.
    NotLinearizable { key: String },
    /// The search for such an order was given up; counts as a violation so that it is seen.
    LinearizabilityUndecided { key: String },
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: ", self.check.name())?;
        if let Some(run) = self.run {
            write!(formatter, "run {run}: ")?;
        }
        write!(formatter, "{:?}; lines", self.kind)?;
        for record in &self.records {
            write!(formatter, " {}", record + 1)?;
        }
        Ok(())
    }
}
