//! What a run's log means: order, duplicates, budget, attempts.
//!
//! A pure function of the entries in log order. The owner applies entries as it proposes them, so that admission counts what
//! is not committed yet; a proposal that is lost takes its owner down with it, and the next owner starts from the log.

mod apply;
mod call_record;

use std::collections::HashMap;
use std::time::Duration;

use ridgeworks_domain::safeguard::{Safeguard, is_disabled};
use ridgeworks_domain::{CallEnd, CallKey, CallRequest, Cost, Refusal, RefusalReason, Sequence};

pub use self::apply::InvalidEntry;
pub use self::call_record::{CallRecord, LiveAttempt};
use crate::budget::Budget;
use crate::entry::{AttemptEnd, Entry, LogIndex, Opening};
use crate::event::{AttemptResolution, HistoryTurn};

/// What becomes of a call that a caller sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// It is the next call and fits the budget.
    New,
    /// It is under way.
    Join(Sequence),
    /// It ended; the end is in the log at this index.
    Recorded(LogIndex, CallEnd),
    /// It is refused.
    Refused(RefusalReason),
}

/// What is to be done about a call under way that has no live attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Another attempt, with this number.
    Attempt(u32),
    /// No further attempt is allowed; end the call by `Unknown`.
    EndUnknown,
    /// No further attempt is allowed and none ran; end the call by `NotRun`.
    EndNotRun,
}

/// The state of one run.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RunState {
    opening: Option<Opening>,
    budget: Budget,
    calls: Vec<CallRecord>,
    keys: HashMap<CallKey, Sequence>,
    closed: bool,
}

impl RunState {
    /// Before the first entry.
    pub fn new() -> Self {
        Self::default()
    }

    /// What the run was opened with.
    pub fn opening(&self) -> Option<&Opening> {
        self.opening.as_ref()
    }

    /// The budget.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Whether the run is closed.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// The call with this number.
    pub fn call(&self, call: Sequence) -> Option<&CallRecord> {
        let position = call.0.checked_sub(1)?;
        self.calls.get(position as usize)
    }

    /// All calls in order.
    pub fn calls(&self) -> impl Iterator<Item = &CallRecord> {
        self.calls.iter()
    }

    /// The call under way, if there is one.
    pub fn call_under_way(&self) -> Option<Sequence> {
        let last = self.calls.last()?;
        last.end.is_none().then_some(last.request.sequence)
    }

    /// The attempt that may be running. After a takeover it is in doubt and must be fenced.
    pub fn live_attempt(&self) -> Option<&LiveAttempt> {
        self.calls.last()?.live.as_ref()
    }

    /// The number that the next call must have: that of the call under way while there is one.
    pub fn expected(&self) -> Sequence {
        self.call_under_way().unwrap_or_else(|| self.next_new())
    }

    /// The number of the next call that is not in the log yet.
    fn next_new(&self) -> Sequence {
        Sequence(self.calls.len() as u64 + 1)
    }

    /// Gives a call whatever number is next, in a test build that leaves out [`Safeguard::Sequence`].
    pub(crate) fn renumber_if_weakened(&self, request: &mut CallRequest) {
        if is_disabled(Safeguard::Sequence) {
            let known = self.keys.get(&request.key).copied();
            request.sequence = known.unwrap_or_else(|| self.next_new());
        }
    }

    /// Lets a call come again when the one before it has ended, in the same test build.
    pub(crate) fn refusal_if_weakened(&self, refusal: Refusal) -> Refusal {
        let passed = matches!(refusal.reason, RefusalReason::SequencePassed { .. });
        if passed && is_disabled(Safeguard::Sequence) {
            return Refusal::retry_after(refusal.reason, Duration::from_millis(20));
        }
        refusal
    }

    /// Decides on a call that a caller sent.
    pub fn admit(&self, request: &CallRequest) -> Admission {
        if let Some(call) = self.keys.get(&request.key) {
            return self.admit_again(*call, request);
        }
        match self.refusal(request) {
            Some(reason) => Admission::Refused(reason),
            None => Admission::New,
        }
    }

    /// Entries that a back end's answer to a fence, or the end of an attempt, leads to. Empty when the attempt
    /// is not the live one.
    pub fn resolve_attempt(
        &self,
        call: Sequence,
        attempt: u32,
        resolution: AttemptResolution,
    ) -> Vec<Entry> {
        let Some(record) = self.live_record(call, attempt) else {
            return Vec::new();
        };
        let repeatable = record.is_repeatable();
        let ended = |end| Entry::AttemptEnded { call, attempt, end };
        let entry = match resolution {
            AttemptResolution::Finished { answer, spent } => Entry::Finished {
                call,
                attempt,
                answer,
                spent: spent.min(record.request.reserve),
            },
            AttemptResolution::NeverStarted if repeatable => ended(AttemptEnd::NotRun),
            AttemptResolution::NeverStarted => Entry::NotRun { call },
            AttemptResolution::Stopped { spent } if repeatable => ended(AttemptEnd::Cancelled {
                spent: spent.min(record.request.reserve),
            }),
            AttemptResolution::Cancelled | AttemptResolution::Unreachable if repeatable => {
                ended(AttemptEnd::Unknown)
            }
            AttemptResolution::Stopped { .. }
            | AttemptResolution::Cancelled
            | AttemptResolution::Unreachable => Entry::Unknown { call },
        };
        vec![entry]
    }

    /// How to go on with the call under way when none of its attempts is live.
    pub fn next_step(&self, call: Sequence) -> Option<NextStep> {
        let record = self.call(call)?;
        if record.end.is_some() || record.live.is_some() {
            return None;
        }
        let allowed = record.attempt_allowed();
        let fits = record.holds_reserve || self.budget.check(record.request.reserve).is_ok();
        if allowed && fits {
            return Some(NextStep::Attempt(record.attempts + 1));
        }
        Some(record.last_step())
    }

    /// How to end the call under way when no attempt of it is live and none can be had.
    pub fn end_without_attempt(&self, call: Sequence) -> Option<Entry> {
        let record = self.call(call)?;
        if record.end.is_some() || record.live.is_some() {
            return None;
        }
        Some(match record.last_step() {
            NextStep::EndNotRun => Entry::NotRun { call },
            _ => Entry::Unknown { call },
        })
    }

    /// The calls that finished by an entry up to `through`, in order.
    pub fn history(&self, through: LogIndex) -> Vec<HistoryTurn> {
        self.calls
            .iter()
            .filter_map(|record| record.turn(through))
            .collect()
    }

    fn admit_again(&self, call: Sequence, request: &CallRequest) -> Admission {
        let Some(record) = self.call(call) else {
            return Admission::Refused(RefusalReason::CallKeyConflict);
        };
        if !record.is_same_request(request) {
            return Admission::Refused(RefusalReason::CallKeyConflict);
        }
        match &record.end {
            Some((index, end)) => Admission::Recorded(*index, end.clone()),
            None => Admission::Join(call),
        }
    }

    fn refusal(&self, request: &CallRequest) -> Option<RefusalReason> {
        let opening = self.opening.as_ref()?;
        let expected = self.expected();
        if self.closed {
            return Some(RefusalReason::RunClosed);
        }
        if request.sequence > expected {
            return Some(RefusalReason::SequenceGap { expected });
        }
        if request.sequence < expected || self.call_under_way().is_some() {
            let expected = self.next_new();
            return Some(RefusalReason::SequencePassed { expected });
        }
        if self.calls.len() as u64 >= opening.max_calls {
            let remaining = Cost::ZERO;
            return Some(RefusalReason::BudgetExceeded { remaining });
        }
        let exceeded = self.budget.check(request.reserve).err()?;
        let remaining = exceeded.remaining;
        Some(RefusalReason::BudgetExceeded { remaining })
    }

    fn live_record(&self, call: Sequence, attempt: u32) -> Option<&CallRecord> {
        let record = self.call(call)?;
        let live = record.live.as_ref()?;
        (live.attempt == attempt).then_some(record)
    }
}
