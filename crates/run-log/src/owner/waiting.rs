//! Requests that wait for the owner's answer.

use std::collections::BTreeMap;

use ridgeworks_domain::{CallRequest, MonotonicTime, RunId, Sequence};

use crate::event::{CallerAnswer, CallerId, OwnerEvent};

/// An admitted call that waits for a slot; it has no entry in the log yet.
#[derive(Debug, Clone)]
pub(super) struct PendingCall {
    pub request: CallRequest,
    pub max_attempts: u32,
    pub callers: Vec<CallerId>,
}

/// An answer that is sent once a majority has confirmed that this node still owns the run.
#[derive(Debug, Clone)]
pub(super) enum Deferred {
    Answer(CallerAnswer),
    History,
}

/// Waiting requests, by the condition that they wait for.
#[derive(Debug, Default)]
pub(super) struct Waiting {
    /// Requests that wait until the run is ready, with their times of arrival.
    pub queued: Vec<(MonotonicTime, OwnerEvent)>,
    /// The call that waits for a slot.
    pub pending: Option<PendingCall>,
    /// Callers that wait for the end of a call to be committed.
    pub calls: BTreeMap<Sequence, Vec<CallerId>>,
    /// Callers that wait for the reserve of a child's budget to be committed.
    pub children: Vec<(RunId, CallerId)>,
    /// Callers that wait for the end of the run to be committed.
    pub closing: Vec<CallerId>,
    /// Answers that wait for a confirmation round, with its number.
    pub deferred: Vec<(u64, CallerId, Deferred)>,
}

impl Waiting {
    /// Removes and returns the callers of `call`.
    pub fn take_callers(&mut self, call: Sequence) -> Vec<CallerId> {
        self.calls.remove(&call).unwrap_or_default()
    }

    /// Removes and returns the callers that wait for `child`.
    pub fn take_children(&mut self, child: RunId) -> Vec<CallerId> {
        let waiting = std::mem::take(&mut self.children);
        let (ready, rest) = waiting.into_iter().partition(|(run, _)| *run == child);
        self.children = rest;
        let ready: Vec<(RunId, CallerId)> = ready;
        ready.into_iter().map(|(_, caller)| caller).collect()
    }

    /// Removes and returns the answers that wait for a round up to `round`.
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

    /// Removes the queued events that arrived up to `time` and returns their callers.
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

    /// Removes a caller that no longer waits.
    pub fn remove_caller(&mut self, caller_id: CallerId) {
        self.queued
            .retain(|(_, event)| caller_of(event) != Some(caller_id));
        if let Some(pending) = self.pending.as_mut() {
            pending.callers.retain(|caller| *caller != caller_id);
        }
        for callers in self.calls.values_mut() {
            callers.retain(|caller| *caller != caller_id);
        }
        self.children.retain(|(_, caller)| *caller != caller_id);
        self.closing.retain(|caller| *caller != caller_id);
        self.deferred.retain(|(_, caller, _)| *caller != caller_id);
    }

    /// Removes and returns all callers.
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

/// The caller that waits for an answer to `event`, if any.
pub(super) fn caller_of(event: &OwnerEvent) -> Option<CallerId> {
    match event {
        OwnerEvent::Call { caller, .. }
        | OwnerEvent::ReadHistory { caller }
        | OwnerEvent::OpenChild { caller, .. }
        | OwnerEvent::Close { caller } => Some(*caller),
        _ => None,
    }
}
