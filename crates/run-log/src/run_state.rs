//! What a run's log means: order, duplicates, budget, attempts.
//!
//! A pure function of the entries in log order. The owner applies entries as it proposes them, so that admission counts what
//! is not committed yet; a proposal that is lost takes its owner down with it, and the next owner starts from the log.

use std::collections::HashMap;
use std::time::Duration;

use ridgeworks_domain::weakening::{Weakening, is_off};
use ridgeworks_domain::{
    BackendAddress, BackendName, CallEnd, CallKey, CallRequest, Cost, Refusal, RefusalReason,
    RunId, Sequence,
};

use crate::budget::Budget;
use crate::entry::{AttemptEnd, Entry, LogEntry, LogIndex, Opening, request_digest};
use crate::event::{AttemptFate, HistoryTurn};

/// An entry that the log can't hold at its place. Seen only if a proposer is at fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InvalidEntry {
    /// The first entry is not `Opened`, or a later one is.
    Opening,
    /// The run is closed, or would be closed with a call under way.
    Closed,
    /// A call out of order, or with a key that was used.
    Order,
    /// A reserve that does not fit the budget.
    Budget,
    /// An attempt that is not the next one, that is under way already, or of a call that may not be repeated.
    Attempt,
    /// No such call, attempt or child, or it has ended.
    NothingToEnd,
}

/// An attempt that may be running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveAttempt {
    /// The call.
    pub call: Sequence,
    /// Number of the attempt.
    pub attempt: u32,
    /// Where it was sent.
    pub backend: BackendName,
    /// The back end's address.
    pub address: BackendAddress,
}

/// One call as the log tells it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallRecord {
    /// The whole request.
    pub request: CallRequest,
    /// Most attempts.
    pub max_attempts: u32,
    /// Attempts dispatched so far.
    pub attempts: u32,
    /// The attempt that may be running.
    pub live: Option<LiveAttempt>,
    /// Index of the entry that ended it, and how.
    pub end: Option<(LogIndex, CallEnd)>,
    digest: u64,
    holds_reserve: bool,
    any_unknown: bool,
}

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
        let ended = self.calls.iter().rev().take(1).filter(|c| c.end.is_none());
        Sequence(self.calls.len() as u64 + 1 - ended.count() as u64)
    }

    /// Gives a call whatever number is next, in a test build that leaves out [`Weakening::Sequence`].
    pub(crate) fn renumber_if_weakened(&self, request: &mut CallRequest) {
        if is_off(Weakening::Sequence) {
            let next = Sequence(self.calls.len() as u64 + 1);
            request.sequence = self.keys.get(&request.key).copied().unwrap_or(next);
        }
    }

    /// Lets a call come again when the one before it has ended, in the same test build.
    pub(crate) fn refusal_if_weakened(&self, refusal: Refusal) -> Refusal {
        let passed = matches!(refusal.reason, RefusalReason::SequencePassed { .. });
        if passed && is_off(Weakening::Sequence) {
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
    pub fn resolve_attempt(&self, call: Sequence, attempt: u32, fate: AttemptFate) -> Vec<Entry> {
        let Some(record) = self.live_record(call, attempt) else {
            return Vec::new();
        };
        let repeatable = record.is_repeatable();
        let ended = |end| Entry::AttemptEnded { call, attempt, end };
        let entry = match fate {
            AttemptFate::Finished { answer, spent } => Entry::Finished {
                call,
                attempt,
                answer,
                spent: spent.min(record.request.reserve),
            },
            AttemptFate::NeverStarted if repeatable => ended(AttemptEnd::NotRun),
            AttemptFate::NeverStarted => Entry::NotRun { call },
            AttemptFate::Stopped { spent } if repeatable => ended(AttemptEnd::Cancelled {
                spent: spent.min(record.request.reserve),
            }),
            AttemptFate::Cancelled | AttemptFate::Unreachable if repeatable => {
                ended(AttemptEnd::Unknown)
            }
            AttemptFate::Stopped { .. } | AttemptFate::Cancelled | AttemptFate::Unreachable => {
                Entry::Unknown { call }
            }
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
        Some(self.give_up(record))
    }

    /// How to end the call under way when no attempt of it is live and none can be had.
    pub fn end_without_attempt(&self, call: Sequence) -> Option<Entry> {
        let record = self.call(call)?;
        if record.end.is_some() || record.live.is_some() {
            return None;
        }
        Some(match self.give_up(record) {
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

    /// Takes the next entry of the log.
    pub fn apply(&mut self, entry: &LogEntry) -> Result<(), InvalidEntry> {
        if let Entry::Opened(opening) = &entry.entry {
            return self.open(opening);
        }
        if self.opening.is_none() {
            return Err(InvalidEntry::Opening);
        }
        let administrative = matches!(
            entry.entry,
            Entry::OwnerChanged { .. } | Entry::ReplicasChanged { .. }
        );
        if self.closed && !administrative {
            return Err(InvalidEntry::Closed);
        }
        self.apply_to_open_run(entry)
    }

    fn apply_to_open_run(&mut self, entry: &LogEntry) -> Result<(), InvalidEntry> {
        match &entry.entry {
            Entry::Opened(_) | Entry::OwnerChanged { .. } | Entry::ReplicasChanged { .. } => Ok(()),
            Entry::Accepted {
                request,
                request_digest,
                max_attempts,
            } => self.accept(request, *request_digest, *max_attempts),
            Entry::Dispatched {
                call,
                attempt,
                backend,
                address,
            } => self.dispatch(LiveAttempt {
                call: *call,
                attempt: *attempt,
                backend: backend.clone(),
                address: *address,
            }),
            Entry::AttemptEnded { call, attempt, end } => self.end_attempt(*call, *attempt, *end),
            Entry::Finished {
                call,
                attempt,
                answer,
                spent,
            } => {
                self.live_record(*call, *attempt)
                    .ok_or(InvalidEntry::NothingToEnd)?;
                let (answer, spent) = (answer.clone(), *spent);
                let end = CallEnd::Finished { answer, spent };
                self.end_call(*call, entry.index, spent, end)
            }
            Entry::NotRun { call } => {
                self.end_call(*call, entry.index, Cost::ZERO, CallEnd::NotRun)
            }
            Entry::Unknown { call } => {
                let record = self.call(*call).ok_or(InvalidEntry::NothingToEnd)?;
                let spent = record.cost_if_unknown();
                self.end_call(*call, entry.index, spent, CallEnd::Unknown)
            }
            Entry::ChildOpened { run, budget } => self.open_child(*run, *budget),
            Entry::ChildClosed { run, spent } => self.close_child(*run, *spent),
            Entry::Closed => self.close(),
        }
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
            let expected = Sequence(self.calls.len() as u64 + 1);
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

    fn give_up(&self, record: &CallRecord) -> NextStep {
        if record.any_unknown {
            NextStep::EndUnknown
        } else {
            NextStep::EndNotRun
        }
    }

    fn live_record(&self, call: Sequence, attempt: u32) -> Option<&CallRecord> {
        let record = self.call(call)?;
        let live = record.live.as_ref()?;
        (live.attempt == attempt).then_some(record)
    }

    fn record_mut(&mut self, call: Sequence) -> Result<&mut CallRecord, InvalidEntry> {
        let position = call.0.checked_sub(1).ok_or(InvalidEntry::NothingToEnd)?;
        let record = self.calls.get_mut(position as usize);
        record
            .filter(|record| record.end.is_none())
            .ok_or(InvalidEntry::NothingToEnd)
    }

    fn open(&mut self, opening: &Opening) -> Result<(), InvalidEntry> {
        if self.opening.is_some() {
            return Err(InvalidEntry::Opening);
        }
        self.budget = Budget::new(opening.budget);
        self.opening = Some(opening.clone());
        Ok(())
    }

    fn accept(
        &mut self,
        request: &CallRequest,
        digest: u64,
        max_attempts: u32,
    ) -> Result<(), InvalidEntry> {
        let in_order = request.sequence == self.expected() && self.call_under_way().is_none();
        if !in_order || self.keys.contains_key(&request.key) {
            return Err(InvalidEntry::Order);
        }
        self.budget
            .reserve(request.reserve)
            .map_err(|_| InvalidEntry::Budget)?;
        self.keys.insert(request.key.clone(), request.sequence);
        self.calls.push(CallRecord {
            request: request.clone(),
            max_attempts,
            attempts: 0,
            live: None,
            end: None,
            digest,
            holds_reserve: true,
            any_unknown: false,
        });
        Ok(())
    }

    fn dispatch(&mut self, live: LiveAttempt) -> Result<(), InvalidEntry> {
        let record = self.record_mut(live.call)?;
        let is_next = live.attempt == record.attempts + 1 && record.live.is_none();
        if !is_next || !record.attempt_allowed() {
            return Err(InvalidEntry::Attempt);
        }
        let reserve = record.request.reserve;
        let holds_reserve = record.holds_reserve;
        if !holds_reserve {
            self.budget
                .reserve(reserve)
                .map_err(|_| InvalidEntry::Budget)?;
        }
        let record = self.record_mut(live.call)?;
        record.holds_reserve = true;
        record.attempts = live.attempt;
        record.live = Some(live);
        Ok(())
    }

    fn end_attempt(
        &mut self,
        call: Sequence,
        attempt: u32,
        end: AttemptEnd,
    ) -> Result<(), InvalidEntry> {
        self.live_record(call, attempt)
            .ok_or(InvalidEntry::NothingToEnd)?;
        let record = self.record_mut(call)?;
        if !record.is_repeatable() {
            return Err(InvalidEntry::Attempt);
        }
        record.live = None;
        let reserve = record.request.reserve;
        let spent = match end {
            AttemptEnd::NotRun => return Ok(()),
            AttemptEnd::Unknown => reserve,
            AttemptEnd::Cancelled { spent } => spent,
        };
        record.any_unknown = true;
        record.holds_reserve = false;
        self.budget.settle(reserve, spent);
        Ok(())
    }

    fn end_call(
        &mut self,
        call: Sequence,
        index: LogIndex,
        spent: Cost,
        end: CallEnd,
    ) -> Result<(), InvalidEntry> {
        let record = self.record_mut(call)?;
        let held = if record.holds_reserve {
            record.request.reserve
        } else {
            Cost::ZERO
        };
        record.end = Some((index, end));
        record.live = None;
        record.holds_reserve = false;
        self.budget.settle(held, spent);
        Ok(())
    }

    fn open_child(&mut self, run: RunId, budget: Cost) -> Result<(), InvalidEntry> {
        self.budget
            .open_child(run, budget)
            .map_err(|_| InvalidEntry::Budget)
    }

    fn close_child(&mut self, run: RunId, spent: Cost) -> Result<(), InvalidEntry> {
        if !self.budget.holds_child(run) {
            return Err(InvalidEntry::NothingToEnd);
        }
        self.budget.close_child(run, spent);
        Ok(())
    }

    fn close(&mut self) -> Result<(), InvalidEntry> {
        if self.call_under_way().is_some() {
            return Err(InvalidEntry::Closed);
        }
        self.budget.settle_all_children();
        self.closed = true;
        Ok(())
    }
}

impl CallRecord {
    fn is_repeatable(&self) -> bool {
        self.request.repeatable || is_off(Weakening::SingleAttempt)
    }

    fn attempt_allowed(&self) -> bool {
        let most = if self.is_repeatable() {
            self.max_attempts
        } else {
            1
        };
        self.attempts < most.max(1)
    }

    fn cost_if_unknown(&self) -> Cost {
        if self.live.is_some() {
            self.request.reserve
        } else {
            Cost::ZERO
        }
    }

    fn is_same_request(&self, request: &CallRequest) -> bool {
        self.request.sequence == request.sequence
            && self.request.service == request.service
            && self.digest == request_digest(&request.body)
    }

    fn turn(&self, through: LogIndex) -> Option<HistoryTurn> {
        let (index, end) = self.end.as_ref()?;
        let CallEnd::Finished { answer, .. } = end else {
            return None;
        };
        (*index <= through).then(|| HistoryTurn {
            sequence: self.request.sequence,
            key: self.request.key.clone(),
            request: self.request.body.clone(),
            answer: answer.clone(),
        })
    }
}
