//! Applies log entries to the state of a run.

use ridgeworks_domain::{CallEnd, CallRequest, Cost, RunId, Sequence};

use super::{CallRecord, LiveAttempt, RunState};
use crate::budget::Budget;
use crate::entry::{AttemptEnd, Entry, LogEntry, LogIndex, Opening};

/// Why an entry is invalid at its position in the log. Only a bug in a proposer can cause this.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InvalidEntry {
    /// The first entry is not `Opened`, or a later one is.
    Opening,
    /// The run is closed, or a call is in progress when it is closed.
    Closed,
    /// The call is out of order, or its key was used before.
    Order,
    /// The reserve exceeds the budget.
    Budget,
    /// The dispatched attempt is not the next one, overlaps a live one, or exceeds the attempts that the call allows; or
    /// an attempt of a call that isn't repeatable ended without ending the call.
    Attempt,
    /// The call, attempt or child run to end, or the call to dispatch, doesn't exist or has ended.
    NothingToEnd,
}

impl RunState {
    /// Applies the next entry of the log. Fails if the entry is invalid at its position.
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
        let in_order = request.sequence == self.expected() && self.call_in_progress().is_none();
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
            may_have_run: false,
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
        record.may_have_run = true;
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
        if self.call_in_progress().is_some() {
            return Err(InvalidEntry::Closed);
        }
        self.budget.settle_all_children();
        self.closed = true;
        Ok(())
    }
}
