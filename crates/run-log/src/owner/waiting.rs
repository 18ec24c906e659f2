//! Requests that wait for the owner of a run.

use std::collections::BTreeMap;

use ridgeworks_domain::{CallRequest, MonotonicTime, RunId, Sequence};

use crate::event::{CallerAnswer, CallerId, OwnerEvent};

/// A call that was admitted but holds no slot yet; nothing of it is in the log.
#[derive(Debug, Clone)]
pub(super) struct PendingCall {
    pub request: CallRequest,
    pub max_attempts: u32,
    pub callers: Vec<CallerId>,
}

/// An answer that waits for the proof that this node still owns the run.
#[derive(Debug, Clone)]
pub(super) enum Deferred {
    Answer(CallerAnswer),
    History,
}

/// Everyone who waits, by what they wait for.
#[derive(Debug, Default)]
pub(super) struct Waiting {
    /// For the claim and the doubtful attempts, with the time that each came.
    pub queued: Vec<(MonotonicTime, OwnerEvent)>,
    /// For a slot.
    pub pending: Option<PendingCall>,
    /// For the end of a call in the log.
    pub calls: BTreeMap<Sequence, Vec<CallerId>>,
    /// For a child's budget.
    pub children: Vec<(RunId, CallerId)>,
    /// For the end of the run.
    pub closing: Vec<CallerId>,
    /// For a confirmation round.
    pub deferred: Vec<(u64, CallerId, Deferred)>,
}

impl Waiting {
    /// Callers of `call`, who wait no more.
    pub fn take_callers(&mut self, call: Sequence) -> Vec<CallerId> {
        self.calls.remove(&call).unwrap_or_default()
    }

    /// Callers that wait for `child`, who wait no more.
    pub fn take_children(&mut self, child: RunId) -> Vec<CallerId> {
        let waiting = std::mem::take(&mut self.children);
        let (ready, rest) = waiting.into_iter().partition(|(run, _)| *run == child);
        self.children = rest;
        let ready: Vec<(RunId, CallerId)> = ready;
        ready.into_iter().map(|(_, caller)| caller).collect()
    }

    /// Answers whose round is confirmed.
    pub fn take_confirmed(&mut self, round: u64) -> Vec<(CallerId, Deferred)> {
        let waiting = std::mem::take(&mut self.deferred);
        let (ready, rest) = waiting.into_iter().partition(|(at, _, _)| *at <= round);
        self.deferred = rest;
        let ready: Vec<(u64, CallerId, Deferred)> = ready;
        ready
            .into_iter()
            .map(|(_, caller, deferred)| (caller, deferred))
            .collect()
    }

    /// Callers that came up to `time` and still wait for the claim, who wait no more.
    pub fn take_queued_until(&mut self, time: MonotonicTime) -> Vec<CallerId> {
        let queued = std::mem::take(&mut self.queued);
        let (early, late) = queued.into_iter().partition(|(at, _)| *at <= time);
        self.queued = late;
        let early: Vec<(MonotonicTime, OwnerEvent)> = early;
        early
            .iter()
            .filter_map(|(_, event)| caller_of(event))
            .collect()
    }

    /// Drops a caller that went away.
    pub fn forget(&mut self, gone: CallerId) {
        self.queued
            .retain(|(_, event)| caller_of(event) != Some(gone));
        if let Some(pending) = self.pending.as_mut() {
            pending.callers.retain(|caller| *caller != gone);
        }
        for callers in self.calls.values_mut() {
            callers.retain(|caller| *caller != gone);
        }
        self.children.retain(|(_, caller)| *caller != gone);
        self.closing.retain(|caller| *caller != gone);
        self.deferred.retain(|(_, caller, _)| *caller != gone);
    }

    /// Everyone, who wait no more.
    pub fn take_all(&mut self) -> Vec<CallerId> {
        let waiting = std::mem::take(self);
        let queued = waiting.queued.iter();
        let queued = queued.filter_map(|(_, event)| caller_of(event));
        let pending = waiting.pending.into_iter().flat_map(|call| call.callers);
        let calls = waiting.calls.into_values().flatten();
        let children = waiting.children.into_iter().map(|(_, caller)| caller);
        let deferred = waiting.deferred.into_iter().map(|(_, caller, _)| caller);
        queued
            .chain(pending)
            .chain(calls)
            .chain(children)
            .chain(waiting.closing)
            .chain(deferred)
            .collect()
    }
}

/// Who waits for an answer to `event`, if anyone.
pub(super) fn caller_of(event: &OwnerEvent) -> Option<CallerId> {
    match event {
        OwnerEvent::Call { caller, .. }
        | OwnerEvent::ReadHistory { caller }
        | OwnerEvent::OpenChild { caller, .. }
        | OwnerEvent::Close { caller } => Some(*caller),
        _ => None,
    }
}
