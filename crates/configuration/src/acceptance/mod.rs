//! The coordinator of changes: it runs on whichever node an operator asks.
//!
//! A change takes effect when the platform's store swaps the document, and is accepted when a
//! majority of the voters also holds the revision. An answer that gives a revision away, also a
//! rejection, waits until a majority holds that revision: whoever asks later then finds it too.
//!
//! A lost answer of the store is resolved by reading back. The document remembers the newest
//! operations, so that an operation is found also after other writers. While the document stands
//! at the version that the lost write expected, the write may still arrive: the very same document
//! is sent again, and at most one of the two takes effect. Once the version has changed, a write
//! that is not in the document can never take effect.
//!
//! Nothing here survives a crash; a watcher brings what a dead coordinator left to the voters.

mod decision;
mod stages;

use std::collections::VecDeque;
use std::sync::Arc;

use ridgeworks_domain::{MonotonicTime, NodeId};

pub(crate) use self::decision::read_document;
use self::decision::{decide, leans_on_batch, needs, without_quorum};
use self::stages::{Asked, Attempt, OpenChange, Settling, Stage};
use crate::change::ChangeRequest;
use crate::effect::{OperatorAnswer, PlatformAnswer, PlatformOperation, Ticket, Unavailable};
use crate::outbox::Outbox;
use crate::quorum::Voters;
use crate::replication::Replication;
use crate::revision::{PlatformVersion, RequestId, Revision};
use crate::set::ConfigurationSet;
use crate::settings::{
    GIVE_UP_AFTER, MAX_BATCH, MAX_OPEN_CHANGES, PLATFORM_TIMEOUT, REFUSE_AFTER, RETRY_INTERVAL,
};

/// The coordinator of one node.
#[derive(Debug)]
pub(crate) struct Coordinator {
    stage: Stage,
    queue: VecDeque<OpenChange>,
    attempt: Option<Attempt>,
    settling: Vec<Settling>,
    replication: Replication,
    in_force: Revision,
}

impl Coordinator {
    pub(crate) fn new(voters: Voters) -> Self {
        Self {
            stage: Stage::Idle,
            queue: VecDeque::new(),
            attempt: None,
            settling: Vec::new(),
            replication: Replication::new(voters),
            in_force: Revision::ZERO,
        }
    }

    /// Notes the revision in force on this node.
    pub(crate) fn note_in_force(&mut self, revision: Revision) {
        self.in_force = self.in_force.max(revision);
    }

    /// Takes a change of an operator.
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
        self.proceed(now, outbox);
    }

    /// Changes that operators wait for.
    pub(crate) fn open_changes(&self) -> usize {
        let in_attempt = self.attempt.iter().map(|attempt| attempt.changes.len());
        self.queue.len() + self.settling.len() + in_attempt.sum::<usize>()
    }

    /// Takes an answer of the platform. Returns the configuration found in the store, if one was.
    pub(crate) fn platform_answer(
        &mut self,
        request: RequestId,
        answer: PlatformAnswer,
        now: MonotonicTime,
        outbox: &mut Outbox,
    ) -> Option<Arc<ConfigurationSet>> {
        let asked = match self.stage {
            Stage::Reading(asked) | Stage::Swapping(asked) => asked,
            Stage::Idle | Stage::Pausing(_) => return None,
        };
        if asked.request != request {
            return None;
        }
        self.stage = Stage::Idle;
        let found = match answer {
            PlatformAnswer::Document { version, document } => {
                self.document(asked, version, &document, now, outbox)
            }
            PlatformAnswer::Swapped { .. } => self.swapped(now, outbox),
            PlatformAnswer::VersionMismatch => None,
            PlatformAnswer::Unavailable
            | PlatformAnswer::Lost
            | PlatformAnswer::Machines { .. } => {
                self.stage = Stage::Pausing(now + RETRY_INTERVAL);
                None
            }
        };
        self.proceed(now, outbox);
        found
    }

    /// Takes the acknowledgement of a voter.
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
        self.settle(now, outbox);
    }

    /// Retries and gives up what took too long.
    pub(crate) fn tick(&mut self, now: MonotonicTime, outbox: &mut Outbox) {
        if let Stage::Reading(asked) | Stage::Swapping(asked) = self.stage
            && now.since(asked.sent) >= PLATFORM_TIMEOUT
        {
            self.stage = Stage::Idle;
        }
        self.settle(now, outbox);
        self.give_up(now, outbox);
        if !self.settling.is_empty() {
            self.replication.retry(now, outbox);
        }
        self.proceed(now, outbox);
    }

    /// Reads the document when there is something to do and nothing is under way.
    fn proceed(&mut self, now: MonotonicTime, outbox: &mut Outbox) {
        let paused = match self.stage {
            Stage::Idle => false,
            Stage::Pausing(until) => now < until,
            Stage::Reading(_) | Stage::Swapping(_) => true,
        };
        if paused || (self.queue.is_empty() && self.attempt.is_none()) {
            return;
        }
        self.stage = Stage::Reading(self.ask(PlatformOperation::Read, now, outbox));
    }

    fn ask(&self, operation: PlatformOperation, now: MonotonicTime, outbox: &mut Outbox) -> Asked {
        Asked {
            request: outbox.platform(operation),
            sent: now,
            floor: self.in_force.max(self.replication.target().revision()),
        }
    }

    fn document(
        &mut self,
        asked: Asked,
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
        if set.revision() < asked.floor {
            self.refuse_queue(Unavailable::PlatformBehind, now, outbox);
            return None;
        }
        match self.attempt.take() {
            Some(attempt) if attempt.expected == version => {
                self.attempt = Some(attempt);
                self.swap(now, outbox);
            }
            Some(attempt) => {
                self.resolve(attempt, &set, outbox);
                self.begin_attempt(asked, version, &set, now, outbox);
            }
            None => self.begin_attempt(asked, version, &set, now, outbox),
        }
        Some(set)
    }

    /// Finds out what became of a write whose document has been overtaken.
    fn resolve(&mut self, attempt: Attempt, set: &ConfigurationSet, outbox: &mut Outbox) {
        let remembered = set.remembers_since(attempt.base.revision());
        for (change, _) in attempt.changes.into_iter().rev() {
            if change.answered {
                continue;
            }
            let found = set.operation(change.request.operation).is_some();
            if found || remembered {
                // Where it is found, the next attempt answers with its recorded revision.
                self.queue.push_front(change);
            } else {
                outbox.answer(change.ticket, OperatorAnswer::Unknown);
            }
        }
    }

    /// Applies the waiting changes to the document as read, and writes it where any took effect.
    fn begin_attempt(
        &mut self,
        asked: Asked,
        version: PlatformVersion,
        base: &Arc<ConfigurationSet>,
        now: MonotonicTime,
        outbox: &mut Outbox,
    ) {
        let mut next = Arc::clone(base);
        let mut changes = Vec::new();
        let mut deferred = VecDeque::new();
        let count = self.queue.len().min(MAX_BATCH);
        for change in self.queue.drain(..count) {
            if leans_on_batch(base, &next, &change.request) {
                deferred.push_back(change);
                continue;
            }
            let answer = decide(&mut next, &change.request);
            let rejected = matches!(answer, OperatorAnswer::Rejected(_));
            if rejected && change.arrived > asked.sent {
                // The document may be older than the change, which needs a later one.
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
            self.swapped(now, outbox);
        } else {
            self.swap(now, outbox);
        }
    }

    fn swap(&mut self, now: MonotonicTime, outbox: &mut Outbox) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        let base = attempt.base.revision();
        let operation = PlatformOperation::CompareAndSwap {
            expected: attempt.expected,
            document: attempt.next.whole().to_document(),
            operations: attempt.next.operations_since(base),
        };
        self.stage = Stage::Swapping(self.ask(operation, now, outbox));
    }

    /// The attempt's document stands in the store: on to the voters.
    fn swapped(
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
            self.settling.push(Settling {
                ticket: change.ticket,
                needs: needs(&answer, &next),
                answer,
                arrived: change.arrived,
            });
        }
        if !self.settling.is_empty() {
            self.replication.start(&next, self.in_force, now, outbox);
            self.settle(now, outbox);
        }
        Some(next)
    }

    /// Answers the operators whose revisions a majority holds.
    fn settle(&mut self, now: MonotonicTime, outbox: &mut Outbox) {
        let held = self.replication.held(now);
        self.settling.retain(|settling| {
            let settled = held.is_some_and(|held| held >= settling.needs);
            if settled {
                outbox.answer(settling.ticket, settling.answer.clone());
            }
            !settled
        });
    }

    fn give_up(&mut self, now: MonotonicTime, outbox: &mut Outbox) {
        self.queue.retain(|change| {
            let keep = now.since(change.arrived) < REFUSE_AFTER;
            if !keep {
                let refused = OperatorAnswer::Refused(Unavailable::Platform);
                outbox.answer(change.ticket, refused);
            }
            keep
        });
        let attempted = self.attempt.iter_mut();
        for (change, _) in attempted.flat_map(|attempt| &mut attempt.changes) {
            if !change.answered && now.since(change.arrived) >= GIVE_UP_AFTER {
                change.answered = true;
                outbox.answer(change.ticket, OperatorAnswer::Unknown);
            }
        }
        self.settling.retain(|settling| {
            let keep = now.since(settling.arrived) < GIVE_UP_AFTER;
            if !keep {
                outbox.answer(settling.ticket, without_quorum(&settling.answer));
            }
            keep
        });
    }

    fn refuse_queue(&mut self, unavailable: Unavailable, now: MonotonicTime, outbox: &mut Outbox) {
        for change in self.queue.drain(..) {
            outbox.answer(change.ticket, OperatorAnswer::Refused(unavailable));
        }
        self.stage = Stage::Pausing(now + RETRY_INTERVAL);
    }
}
