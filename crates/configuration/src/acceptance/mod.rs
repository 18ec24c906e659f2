//! The coordinator of changes. It runs on the node that receives the operator's request.
//!
//! A change takes effect when the compare-and-swap of the platform's document succeeds, and is
//! accepted when a majority of the voters also holds the revision. Every answer that reveals a
//! revision, including a rejection, waits until a majority holds that revision, so that later reads
//! on any node observe it.
//!
//! If the answer to a write is lost, the coordinator reads the document again. The document records
//! the most recent operations, so that an operation is found even after writes by others. While the
//! document is still at the version that the lost write expected, that write may still arrive: the
//! identical document is sent again, and at most one of the two writes takes effect. Once the version
//! has changed, a write that is not in the document can never take effect.
//!
//! The coordinator keeps no durable state. After its crash, a watcher replicates the document that it
//! wrote to the voters.

mod decision;
mod stages;

use std::collections::VecDeque;
use std::sync::Arc;

use ridgeworks_domain::{MonotonicTime, NodeId};

pub(crate) use self::decision::read_document;
use self::decision::{answer_without_quorum, decide, depends_on_batch, required_revision};
use self::stages::{Attempt, OpenChange, PendingAnswer, PlatformCall, Stage};
use crate::change::ChangeRequest;
use crate::effect::{OperatorAnswer, PlatformAnswer, PlatformOperation, Ticket, Unavailable};
use crate::outbox::Outbox;
use crate::quorum::Voters;
use crate::replication::Replication;
use crate::revision::{PlatformVersion, RequestId, Revision};
use crate::set::ConfigurationSet;
use crate::settings::{
    MAX_CHANGES_PER_WRITE, MAX_OPEN_CHANGES, PLATFORM_TIMEOUT, QUEUED_CHANGE_TIMEOUT,
    RETRY_INTERVAL, SENT_CHANGE_TIMEOUT,
};

/// The coordinator of one node.
#[derive(Debug)]
pub(crate) struct Coordinator {
    stage: Stage,
    queue: VecDeque<OpenChange>,
    attempt: Option<Attempt>,
    pending_answers: Vec<PendingAnswer>,
    replication: Replication,
    in_force: Revision,
}

impl Coordinator {
    pub(crate) fn new(voters: Voters) -> Self {
        Self {
            stage: Stage::Idle,
            queue: VecDeque::new(),
            attempt: None,
            pending_answers: Vec::new(),
            replication: Replication::new(voters),
            in_force: Revision::ZERO,
        }
    }

    /// Records the revision in force on this node, a lower bound for documents read later.
    pub(crate) fn set_in_force(&mut self, revision: Revision) {
        self.in_force = self.in_force.max(revision);
    }

    /// Queues a change of an operator; answers `TooManyRequests` above [`MAX_OPEN_CHANGES`].
    pub(crate) fn submit(
        &mut self,
        ticket: Ticket,
        request: ChangeRequest,
        now: MonotonicTime,
        outbox: &mut Outbox,
    ) {
        if self.open_changes() >= MAX_OPEN_CHANGES {
            let refused = OperatorAnswer::Refused(Unavailable::TooManyRequests);
            outbox.answer(ticket, refused);
            return;
        }
        self.queue.push_back(OpenChange {
            ticket,
            request,
            arrived: now,
            answered: false,
        });
        self.start_read_if_needed(now, outbox);
    }

    /// Number of changes that are not answered yet or still part of a write attempt.
    pub(crate) fn open_changes(&self) -> usize {
        let in_attempt = self.attempt.iter().map(|attempt| attempt.changes.len());
        self.queue.len() + self.pending_answers.len() + in_attempt.sum::<usize>()
    }

    /// Handles an answer of the platform. Returns the configuration that the store is known to hold.
    pub(crate) fn platform_answer(
        &mut self,
        request: RequestId,
        answer: PlatformAnswer,
        now: MonotonicTime,
        outbox: &mut Outbox,
    ) -> Option<Arc<ConfigurationSet>> {
        let call = match self.stage {
            Stage::Reading(call) | Stage::Swapping(call) => call,
            Stage::Idle | Stage::Backoff(_) => return None,
        };
        if call.request != request {
            return None;
        }
        self.stage = Stage::Idle;
        let found = match answer {
            PlatformAnswer::Document { version, document } => {
                self.document(call, version, &document, now, outbox)
            }
            PlatformAnswer::Swapped { .. } => self.on_swapped(now, outbox),
            PlatformAnswer::VersionMismatch => None,
            PlatformAnswer::Unavailable
            | PlatformAnswer::Lost
            | PlatformAnswer::Machines { .. } => {
                self.stage = Stage::Backoff(now + RETRY_INTERVAL);
                None
            }
        };
        self.start_read_if_needed(now, outbox);
        found
    }

    /// Handles a voter's acknowledgement that it durably holds revision `newest`.
    pub(crate) fn acknowledge(
        &mut self,
        from: NodeId,
        request: RequestId,
        newest: Revision,
        now: MonotonicTime,
        outbox: &mut Outbox,
    ) {
        self.replication
            .acknowledge(from, request, newest, now, outbox);
        self.answer_settled(now, outbox);
    }

    /// Retries replication and expires changes that have reached their deadline.
    pub(crate) fn tick(&mut self, now: MonotonicTime, outbox: &mut Outbox) {
        if let Stage::Reading(call) | Stage::Swapping(call) = self.stage
            && now.since(call.sent) >= PLATFORM_TIMEOUT
        {
            self.stage = Stage::Idle;
        }
        self.answer_settled(now, outbox);
        self.expire_changes(now, outbox);
        if !self.pending_answers.is_empty() {
            self.replication.retry(now, outbox);
        }
        self.start_read_if_needed(now, outbox);
    }

    /// Reads the document if changes are waiting and no platform operation is in flight.
    fn start_read_if_needed(&mut self, now: MonotonicTime, outbox: &mut Outbox) {
        let paused = match self.stage {
            Stage::Idle => false,
            Stage::Backoff(until) => now < until,
            Stage::Reading(_) | Stage::Swapping(_) => true,
        };
        if paused || (self.queue.is_empty() && self.attempt.is_none()) {
            return;
        }
        self.stage = Stage::Reading(self.call_platform(PlatformOperation::Read, now, outbox));
    }

    fn call_platform(
        &self,
        operation: PlatformOperation,
        now: MonotonicTime,
        outbox: &mut Outbox,
    ) -> PlatformCall {
        PlatformCall {
            request: outbox.platform(operation),
            sent: now,
            min_revision: self.in_force.max(self.replication.target().revision()),
        }
    }

    fn document(
        &mut self,
        call: PlatformCall,
        version: PlatformVersion,
        document: &[u8],
        now: MonotonicTime,
        outbox: &mut Outbox,
    ) -> Option<Arc<ConfigurationSet>> {
        let set = match read_document(document) {
            Ok(set) => Arc::new(set),
            Err(unavailable) => {
                self.refuse_queue(unavailable, now, outbox);
                return None;
            }
        };
        if set.revision() < call.min_revision {
            self.refuse_queue(Unavailable::PlatformBehind, now, outbox);
            return None;
        }
        match self.attempt.take() {
            Some(attempt) if attempt.expected == version => {
                self.attempt = Some(attempt);
                self.send_swap(now, outbox);
            }
            Some(attempt) => {
                self.resolve(attempt, &set, outbox);
                self.begin_attempt(call, version, &set, now, outbox);
            }
            None => self.begin_attempt(call, version, &set, now, outbox),
        }
        Some(set)
    }

    /// Resolves a write of unknown outcome once the document is at another version than it expected.
    fn resolve(&mut self, attempt: Attempt, set: &ConfigurationSet, outbox: &mut Outbox) {
        let all_recorded = set.has_operations_since(attempt.base.revision());
        for (change, _) in attempt.changes.into_iter().rev() {
            if change.answered {
                continue;
            }
            let found = set.operation(change.request.operation).is_some();
            if found || all_recorded {
                // If the operation was applied, the next attempt answers with its recorded revision.
                self.queue.push_front(change);
            } else {
                outbox.answer(change.ticket, OperatorAnswer::Unknown);
            }
        }
    }

    /// Applies queued changes to the document that was read, and writes it if any of them changed it.
    fn begin_attempt(
        &mut self,
        call: PlatformCall,
        version: PlatformVersion,
        base: &Arc<ConfigurationSet>,
        now: MonotonicTime,
        outbox: &mut Outbox,
    ) {
        let mut next = Arc::clone(base);
        let mut changes = Vec::new();
        let mut deferred = VecDeque::new();
        let count = self.queue.len().min(MAX_CHANGES_PER_WRITE);
        for change in self.queue.drain(..count) {
            if depends_on_batch(base, &next, &change.request) {
                deferred.push_back(change);
                continue;
            }
            let answer = decide(&mut next, &change.request);
            let rejected = matches!(answer, OperatorAnswer::Rejected(_));
            if rejected && change.arrived > call.sent {
                // The document may be older than the request, so it cannot justify a rejection.
                deferred.push_back(change);
                continue;
            }
            changes.push((change, answer));
        }
        deferred.append(&mut self.queue);
        self.queue = deferred;
        let attempt = Attempt {
            expected: version,
            base: Arc::clone(base),
            next,
            changes,
        };
        let unchanged = attempt.next.revision() == base.revision();
        self.attempt = Some(attempt);
        if unchanged {
            self.on_swapped(now, outbox);
        } else {
            self.send_swap(now, outbox);
        }
    }

    fn send_swap(&mut self, now: MonotonicTime, outbox: &mut Outbox) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        let base = attempt.base.revision();
        let operation = PlatformOperation::CompareAndSwap {
            expected: attempt.expected,
            document: attempt.next.snapshot().to_document(),
            operations: attempt.next.operations_since(base),
        };
        self.stage = Stage::Swapping(self.call_platform(operation, now, outbox));
    }

    /// Called once the store holds the attempt's document. Queues the answers to its changes that are
    /// not answered yet and, if any answer is pending, replicates the document to the voters. Returns
    /// the document's configuration.
    fn on_swapped(
        &mut self,
        now: MonotonicTime,
        outbox: &mut Outbox,
    ) -> Option<Arc<ConfigurationSet>> {
        let attempt = self.attempt.take()?;
        let next = attempt.next;
        for (change, answer) in attempt.changes {
            if change.answered {
                continue;
            }
            self.pending_answers.push(PendingAnswer {
                ticket: change.ticket,
                required_revision: required_revision(&answer, &next),
                answer,
                arrived: change.arrived,
            });
        }
        if !self.pending_answers.is_empty() {
            self.replication.start(&next, self.in_force, now, outbox);
            self.answer_settled(now, outbox);
        }
        Some(next)
    }

    /// Sends the pending answers whose required revision a majority holds.
    fn answer_settled(&mut self, now: MonotonicTime, outbox: &mut Outbox) {
        let held = self.replication.held(now);
        self.pending_answers.retain(|pending| {
            let settled = held.is_some_and(|held| held >= pending.required_revision);
            if settled {
                outbox.answer(pending.ticket, pending.answer.clone());
            }
            !settled
        });
    }

    fn expire_changes(&mut self, now: MonotonicTime, outbox: &mut Outbox) {
        self.queue.retain(|change| {
            let keep = now.since(change.arrived) < QUEUED_CHANGE_TIMEOUT;
            if !keep {
                let refused = OperatorAnswer::Refused(Unavailable::Platform);
                outbox.answer(change.ticket, refused);
            }
            keep
        });
        let attempted = self.attempt.iter_mut();
        for (change, _) in attempted.flat_map(|attempt| &mut attempt.changes) {
            if !change.answered && now.since(change.arrived) >= SENT_CHANGE_TIMEOUT {
                change.answered = true;
                outbox.answer(change.ticket, OperatorAnswer::Unknown);
            }
        }
        self.pending_answers.retain(|pending| {
            let keep = now.since(pending.arrived) < SENT_CHANGE_TIMEOUT;
            if !keep {
                outbox.answer(pending.ticket, answer_without_quorum(&pending.answer));
            }
            keep
        });
    }

    fn refuse_queue(&mut self, unavailable: Unavailable, now: MonotonicTime, outbox: &mut Outbox) {
        for change in self.queue.drain(..) {
            outbox.answer(change.ticket, OperatorAnswer::Refused(unavailable));
        }
        self.stage = Stage::Backoff(now + RETRY_INTERVAL);
    }
}
