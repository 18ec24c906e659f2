//! Life cycle of calls: admission, slot, attempt, end; and reserves for child runs and the close of the run.

use ridgeworks_domain::{
    CallRequest, Cost, MonotonicTime, Refusal, RefusalReason, RunId, Sequence,
};

use crate::entry::{Entry, request_digest};
use crate::event::{AttemptOutcome, AttemptResolution, CallerAnswer, CallerId, OwnerEffect};
use crate::run_state::{Admission, LiveAttempt, NextStep};

use super::waiting::PendingCall;
use super::{Fence, RunOwner};

impl RunOwner {
    pub(super) fn call(
        &mut self,
        caller: CallerId,
        mut request: CallRequest,
        max_attempts: u32,
        now: MonotonicTime,
    ) {
        self.state.renumber_if_unchecked(&mut request);
        match self.state.admit(&request) {
            Admission::New => self.admit_new(caller, request, max_attempts, now),
            Admission::Join(call) => self.waiting.calls.entry(call).or_default().push(caller),
            Admission::Recorded(index, end) if index <= self.effects_index => {
                self.answer(caller, CallerAnswer::Ended(end));
            }
            Admission::Recorded(..) => {
                let callers = self.waiting.calls.entry(request.sequence).or_default();
                callers.push(caller);
            }
            Admission::Refused(reason) => self.refuse(caller, Refusal::permanent(reason), now),
        }
    }

    fn admit_new(
        &mut self,
        caller: CallerId,
        request: CallRequest,
        max_attempts: u32,
        now: MonotonicTime,
    ) {
        if !self.waiting.closing.is_empty() {
            let refusal = Refusal::permanent(RefusalReason::RunClosed);
            return self.refuse(caller, refusal, now);
        }
        if let Some(pending) = self.waiting.pending.as_mut() {
            if pending.request.key != request.key {
                let expected = request.sequence.next();
                let reason = RefusalReason::SequencePassed { expected };
                return self.refuse(caller, Refusal::permanent(reason), now);
            }
            if !is_same_request(&pending.request, &request) {
                let refusal = Refusal::permanent(RefusalReason::CallKeyConflict);
                return self.refuse(caller, refusal, now);
            }
            pending.callers.push(caller);
            return;
        }
        self.request_grant(1, request.clone());
        self.waiting.pending = Some(PendingCall {
            request,
            max_attempts,
            callers: vec![caller],
        });
    }

    pub(super) fn granted(&mut self, granted: LiveAttempt, now: MonotonicTime) {
        let asked = self.grant == Some((granted.call, granted.attempt));
        let pending = self.waiting.pending.as_ref();
        let is_pending = pending.is_some_and(|pending| pending.request.sequence == granted.call);
        if asked {
            self.grant = None;
        }
        if asked && is_pending {
            self.accept_pending(granted, now);
        } else if asked
            && self.state.next_step(granted.call) == Some(NextStep::Attempt(granted.attempt))
        {
            self.append(vec![dispatched(granted)], now);
        } else {
            self.return_grant(granted);
        }
    }

    /// Accepts the call and dispatches its first attempt in one append.
    fn accept_pending(&mut self, granted: LiveAttempt, now: MonotonicTime) {
        let Some(pending) = self.waiting.pending.take() else {
            return;
        };
        // A child run may have reserved part of the budget since the call was admitted.
        if let Admission::Refused(reason) = self.state.admit(&pending.request) {
            self.return_grant(granted);
            self.refuse_all(pending.callers, Refusal::permanent(reason), now);
            return;
        }
        let call = pending.request.sequence;
        let callers = self.waiting.calls.entry(call).or_default();
        callers.extend(pending.callers);
        let accepted = Entry::Accepted {
            request_digest: request_digest(&pending.request.body),
            request: pending.request,
            max_attempts: pending.max_attempts,
        };
        self.append(vec![accepted, dispatched(granted)], now);
    }

    pub(super) fn grant_refused(
        &mut self,
        call: Sequence,
        attempt: u32,
        refusal: Refusal,
        now: MonotonicTime,
    ) {
        if self.grant != Some((call, attempt)) {
            return;
        }
        self.grant = None;
        let is_call = |pending: &mut PendingCall| pending.request.sequence == call;
        if let Some(pending) = self.waiting.pending.take_if(is_call) {
            self.refuse_all(pending.callers, refusal, now);
        } else if let Some(end) = self.state.end_without_attempt(call) {
            self.append(vec![end], now);
        }
    }

    pub(super) fn start_attempt(&mut self, call: Sequence, attempt: u32) {
        let live = self.state.live_attempt();
        let Some(live) = live.filter(|live| live.call == call && live.attempt == attempt) else {
            return;
        };
        let Some(record) = self.state.call(call) else {
            return;
        };
        self.effects.push(OwnerEffect::StartAttempt {
            call,
            attempt,
            backend: live.backend.clone(),
            address: live.address,
            request: record.request.clone(),
        });
    }

    pub(super) fn attempt_finished(
        &mut self,
        call: Sequence,
        attempt: u32,
        outcome: AttemptOutcome,
        now: MonotonicTime,
    ) {
        let live = self.state.live_attempt();
        let Some(live) = live.filter(|live| live.call == call && live.attempt == attempt) else {
            return;
        };
        match outcome {
            AttemptOutcome::Finished { answer, spent } => {
                let resolution = AttemptResolution::Finished { answer, spent };
                self.attempt_resolved(call, attempt, resolution, now);
            }
            AttemptOutcome::NotRun => {
                self.attempt_resolved(call, attempt, AttemptResolution::NeverStarted, now);
            }
            AttemptOutcome::Lost => {
                let live = live.clone();
                self.send_fence(live, now);
            }
        }
    }

    pub(super) fn attempt_resolved(
        &mut self,
        call: Sequence,
        attempt: u32,
        resolution: AttemptResolution,
        now: MonotonicTime,
    ) {
        let entries = self.state.resolve_attempt(call, attempt, resolution);
        if entries.is_empty() {
            return;
        }
        self.fence = None;
        self.append(entries, now);
    }

    pub(super) fn send_fence(&mut self, attempt: LiveAttempt, now: MonotonicTime) {
        let Some(record) = self.state.call(attempt.call) else {
            return;
        };
        self.effects.push(OwnerEffect::FenceAttempt {
            call: attempt.call,
            attempt: attempt.attempt,
            backend: attempt.backend.clone(),
            address: attempt.address,
            key: record.request.key.clone(),
        });
        let last_sent = now;
        self.fence = Some(Fence { attempt, last_sent });
    }

    /// Advances the call in progress if it has no live attempt. Without a call in progress, closes the run if requested.
    pub(super) fn advance_call(&mut self, now: MonotonicTime) {
        if !self.ready || self.stopped {
            return;
        }
        let Some(call) = self.state.call_in_progress() else {
            return self.close_when_idle(now);
        };
        match self.state.next_step(call) {
            Some(NextStep::Attempt(attempt)) if self.grant != Some((call, attempt)) => {
                if let Some(record) = self.state.call(call) {
                    self.request_grant(attempt, record.request.clone());
                }
            }
            Some(NextStep::EndUnknown) => self.append(vec![Entry::Unknown { call }], now),
            Some(NextStep::EndNotRun) => self.append(vec![Entry::NotRun { call }], now),
            Some(NextStep::Attempt(_)) | None => {}
        }
    }

    pub(super) fn call_ended(&mut self, call: Sequence) {
        let end = self.state.call(call).and_then(|record| record.end.clone());
        let Some((_, end)) = end else {
            return;
        };
        for caller in self.waiting.take_callers(call) {
            self.answer(caller, CallerAnswer::Ended(end.clone()));
        }
    }

    pub(super) fn open_child(
        &mut self,
        caller: CallerId,
        run: RunId,
        budget: Cost,
        now: MonotonicTime,
    ) {
        if self.state.budget().holds_child(run) {
            let committed = self
                .child_opened_at
                .get(&run)
                .is_some_and(|at| *at <= self.effects_index);
            if committed {
                return self.answer(caller, CallerAnswer::ChildOpened);
            }
            self.waiting.children.push((run, caller));
            return;
        }
        if let Some(reason) = self.child_refusal(run, budget) {
            return self.refuse(caller, Refusal::permanent(reason), now);
        }
        self.waiting.children.push((run, caller));
        self.append(vec![Entry::ChildOpened { run, budget }], now);
    }

    pub(super) fn close_child(&mut self, run: RunId, spent: Cost, now: MonotonicTime) {
        if self.state.budget().holds_child(run) && !self.state.is_closed() {
            self.append(vec![Entry::ChildClosed { run, spent }], now);
        }
    }

    fn child_refusal(&self, run: RunId, budget: Cost) -> Option<RefusalReason> {
        let was_closed = self.child_opened_at.contains_key(&run);
        if self.state.is_closed() || !self.waiting.closing.is_empty() || was_closed {
            return Some(RefusalReason::RunClosed);
        }
        let exceeded = self.state.budget().check(budget).err()?;
        let remaining = exceeded.remaining;
        Some(RefusalReason::BudgetExceeded { remaining })
    }

    pub(super) fn close(&mut self, caller: CallerId, now: MonotonicTime) {
        let committed =
            self.state.is_closed() && self.proposer.commit_index() == self.applied_index;
        if committed {
            let spent = self.state.budget().spent();
            return self.answer(caller, CallerAnswer::Closed { spent });
        }
        self.waiting.closing.push(caller);
        if let Some(pending) = self.waiting.pending.take() {
            let refusal = Refusal::permanent(RefusalReason::RunClosed);
            self.grant = None;
            self.refuse_all(pending.callers, refusal, now);
        }
    }

    fn close_when_idle(&mut self, now: MonotonicTime) {
        if !self.waiting.closing.is_empty() && !self.state.is_closed() {
            self.append(vec![Entry::Closed], now);
        }
    }

    pub(super) fn on_closed(&mut self) {
        let run = self.run;
        self.effects.push(OwnerEffect::ReleaseContext { run });
        let spent = self.state.budget().spent();
        for caller in std::mem::take(&mut self.waiting.closing) {
            self.answer(caller, CallerAnswer::Closed { spent });
        }
    }

    fn request_grant(&mut self, attempt: u32, request: CallRequest) {
        let call = request.sequence;
        self.grant = Some((call, attempt));
        self.effects.push(OwnerEffect::RequestGrant {
            call,
            attempt,
            request,
        });
    }

    fn return_grant(&mut self, granted: LiveAttempt) {
        self.effects.push(OwnerEffect::ReturnGrant {
            call: granted.call,
            attempt: granted.attempt,
            backend: granted.backend,
        });
    }

    fn refuse_all(&mut self, callers: Vec<CallerId>, refusal: Refusal, now: MonotonicTime) {
        for caller in callers {
            self.refuse(caller, refusal.clone(), now);
        }
    }
}

fn is_same_request(left: &CallRequest, right: &CallRequest) -> bool {
    left.service == right.service && left.sequence == right.sequence && left.body == right.body
}

fn dispatched(granted: LiveAttempt) -> Entry {
    Entry::Dispatched {
        call: granted.call,
        attempt: granted.attempt,
        backend: granted.backend,
        address: granted.address,
    }
}
