//! State machine of a run: order of calls, duplicates, budget, attempts.
//!
//! The state is a pure function of the entries in log order. The owner applies entries when it proposes them, so that
//! admission counts uncommitted entries. A proposal can be lost only if its owner loses the run; the next owner
//! rebuilds the state from the log.

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

/// Decision on a call that a caller sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// The next call of the run; it fits the budget.
    New,
    /// A repeat of the call in progress.
    Join(Sequence),
    /// A repeat of a call that ended, with the index of the entry that ended it.
    Recorded(LogIndex, CallEnd),
    /// The call is refused.
    Refused(RefusalReason),
}

/// Next step of a call in progress that has no live attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Start an attempt with this number.
    Attempt(u32),
    /// No further attempt is allowed and one may have been executed; end the call with `Unknown`.
    EndUnknown,
    /// No further attempt is allowed and none was executed; end the call with `NotRun`.
    EndNotRun,
}

/// State of one run, built from the entries of its log.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RunState {
    opening: Option<Opening>,
    budget: Budget,
    calls: Vec<CallRecord>,
    keys: HashMap<CallKey, Sequence>,
    closed: bool,
}

impl RunState {
    /// State before the first entry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Parameters of the run; `None` before the first entry.
    pub fn opening(&self) -> Option<&Opening> {
        self.opening.as_ref()
    }

    /// Budget of the run, with the reserves of uncommitted entries.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Whether a `Closed` entry was applied, committed or not.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// The call with this sequence number.
    pub fn call(&self, call: Sequence) -> Option<&CallRecord> {
        let position = call.0.checked_sub(1)?;
        self.calls.get(position as usize)
    }

    /// All calls in order of their sequence numbers.
    pub fn calls(&self) -> impl Iterator<Item = &CallRecord> {
        self.calls.iter()
    }

    /// The call without an end, if there is one; at most one call is in progress.
    pub fn call_in_progress(&self) -> Option<Sequence> {
        let last = self.calls.last()?;
        last.end.is_none().then_some(last.request.sequence)
    }

    /// The attempt that may be running. After a takeover it must be fenced, because its state is unknown.
    pub fn live_attempt(&self) -> Option<&LiveAttempt> {
        self.calls.last()?.live.as_ref()
    }

    /// Sequence number of the call in progress, or else that of the next call.
    pub fn expected(&self) -> Sequence {
        self.call_in_progress()
            .unwrap_or_else(|| self.next_sequence())
    }

    /// Sequence number that follows that of the last call in the log.
    fn next_sequence(&self) -> Sequence {
        Sequence(self.calls.len() as u64 + 1)
    }

    /// Assigns the expected sequence number to a call, in a test build that disables [`Safeguard::Sequence`].
    pub(crate) fn renumber_if_unchecked(&self, request: &mut CallRequest) {
        if is_disabled(Safeguard::Sequence) {
            let known = self.keys.get(&request.key).copied();
            request.sequence = known.unwrap_or_else(|| self.next_sequence());
        }
    }

    /// Makes a refusal for a passed sequence number retryable, in a test build that disables [`Safeguard::Sequence`].
    pub(crate) fn refusal_if_unchecked(&self, refusal: Refusal) -> Refusal {
        let passed = matches!(refusal.reason, RefusalReason::SequencePassed { .. });
        if passed && is_disabled(Safeguard::Sequence) {
            return Refusal::retry_after(refusal.reason, Duration::from_millis(20));
        }
        refusal
    }

    /// Decides whether a call is admitted, treated as a repeat of a known call, or refused.
    pub fn admit(&self, request: &CallRequest) -> Admission {
        if let Some(call) = self.keys.get(&request.key) {
            return self.admit_repeat(*call, request);
        }
        match self.refusal(request) {
            Some(reason) => Admission::Refused(reason),
            None => Admission::New,
        }
    }

    /// Entries to append when an attempt ends or is fenced. Empty if the attempt is not the live one.
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

    /// Next step of a call; `None` if it has ended or has a live attempt.
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
        Some(record.final_step())
    }

    /// Entry that ends a call for which no further slot is granted; `None` if it has ended or has a live attempt.
    pub fn end_without_attempt(&self, call: Sequence) -> Option<Entry> {
        let record = self.call(call)?;
        if record.end.is_some() || record.live.is_some() {
            return None;
        }
        Some(match record.final_step() {
            NextStep::EndNotRun => Entry::NotRun { call },
            _ => Entry::Unknown { call },
        })
    }

    /// Calls that were finished by an entry up to `through`, in order.
    pub fn history(&self, through: LogIndex) -> Vec<HistoryTurn> {
        self.calls
            .iter()
            .filter_map(|record| record.history_turn(through))
            .collect()
    }

    fn admit_repeat(&self, call: Sequence, request: &CallRequest) -> Admission {
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
        if request.sequence < expected || self.call_in_progress().is_some() {
            let expected = self.next_sequence();
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
