//! The watcher reads the platform's store and keeps a watch on it, independent of requests.
//!
//! Only the first [`MAX_WATCHERS`] voters watch, so that the load on the store does not grow with the
//! number of nodes. A watcher passes its observations to the voter on its own node, which replicates
//! them. This also replicates a change whose coordinator crashed after the store accepted it. A voter
//! that lost its disk reads the store as well, until it has recovered.

use std::sync::Arc;

use ridgeworks_domain::MonotonicTime;

use crate::acceptance::read_document;
use crate::effect::{PlatformAnswer, PlatformOperation, WatchEvent};
use crate::machines::Machine;
use crate::outbox::Outbox;
use crate::revision::RequestId;
use crate::set::ConfigurationSet;
use crate::settings::{MAX_WATCHERS, PLATFORM_TIMEOUT, RELIST_INTERVAL, RETRY_INTERVAL};

/// What a watcher observed in the platform's store.
#[derive(Debug)]
pub(crate) enum Observation {
    /// The configuration as read from the store.
    Read(Arc<ConfigurationSet>),
    /// A configuration that the watch reported.
    Watched(Arc<ConfigurationSet>),
    /// Version and content of the list of machines.
    Machines(u64, Vec<Machine>),
}

/// A read that is repeated [`RELIST_INTERVAL`] after its answer, or [`RETRY_INTERVAL`] after a
/// failure. Without an answer it is repeated [`PLATFORM_TIMEOUT`] after it was sent.
#[derive(Debug, Default)]
struct PeriodicRead {
    in_flight: Option<(RequestId, MonotonicTime)>,
    next: MonotonicTime,
}

impl PeriodicRead {
    fn tick(&mut self, now: MonotonicTime, operation: PlatformOperation, outbox: &mut Outbox) {
        let lost = |(_, sent): (RequestId, MonotonicTime)| now.since(sent) >= PLATFORM_TIMEOUT;
        if self.in_flight.is_some_and(lost) {
            self.in_flight = None;
        }
        if self.in_flight.is_none() && now >= self.next {
            self.in_flight = Some((outbox.platform(operation), now));
        }
    }

    /// Whether the answer belongs to this read. If so, schedules the next read.
    fn take(&mut self, request: RequestId, answer: &PlatformAnswer, now: MonotonicTime) -> bool {
        if self
            .in_flight
            .is_none_or(|(in_flight, _)| in_flight != request)
        {
            return false;
        }
        self.in_flight = None;
        let failed = matches!(answer, PlatformAnswer::Unavailable | PlatformAnswer::Lost);
        let pause = if failed {
            RETRY_INTERVAL
        } else {
            RELIST_INTERVAL
        };
        self.next = now + pause;
        true
    }
}

/// Reads and watches the platform's store on one node. It is idle unless the node is one of the
/// watchers or a voter in recovery.
#[derive(Debug)]
pub(crate) struct Watcher {
    /// Whether this node is one of the watchers.
    is_watcher: bool,
    watch_at: Option<MonotonicTime>,
    watch_request: Option<RequestId>,
    document: PeriodicRead,
    machines: PeriodicRead,
}

impl Watcher {
    /// `rank` is the rank of this node's voter; `None` if the node is not a voter.
    pub(crate) fn new(rank: Option<usize>) -> Self {
        let is_watcher = rank.is_some_and(|rank| rank < MAX_WATCHERS);
        Self {
            is_watcher,
            watch_at: is_watcher.then_some(MonotonicTime::ZERO),
            watch_request: None,
            document: PeriodicRead::default(),
            machines: PeriodicRead::default(),
        }
    }

    /// Starts the watch and reads that are due. If `recovering`, the document is read on every voter.
    pub(crate) fn tick(&mut self, now: MonotonicTime, recovering: bool, outbox: &mut Outbox) {
        if self.watch_at.is_some_and(|at| now >= at) {
            self.watch_at = None;
            self.watch_request = Some(outbox.platform(PlatformOperation::Watch));
        }
        if self.is_watcher || recovering {
            self.document.tick(now, PlatformOperation::Read, outbox);
        }
        if self.is_watcher {
            let operation = PlatformOperation::ListMachines;
            self.machines.tick(now, operation, outbox);
        }
    }

    /// Handles an answer of the platform; `None` if it is not for this watcher or contains nothing
    /// usable.
    pub(crate) fn platform_answer(
        &mut self,
        request: RequestId,
        answer: &PlatformAnswer,
        now: MonotonicTime,
    ) -> Option<Observation> {
        if self.watch_request == Some(request) {
            self.schedule_watch(now);
            return None;
        }
        let own =
            self.document.take(request, answer, now) || self.machines.take(request, answer, now);
        if !own {
            return None;
        }
        match answer {
            PlatformAnswer::Document { document, .. } => {
                let set = read_document(document).ok()?;
                Some(Observation::Read(Arc::new(set)))
            }
            PlatformAnswer::Machines { version, machines } => {
                Some(Observation::Machines(*version, machines.clone()))
            }
            _ => None,
        }
    }

    /// Handles an event of the watch. After a gap or the end of the watch, everything is read again.
    pub(crate) fn watch_event(
        &mut self,
        event: WatchEvent,
        now: MonotonicTime,
    ) -> Option<Observation> {
        match event {
            WatchEvent::Document { document, .. } => {
                let set = read_document(&document).ok()?;
                Some(Observation::Watched(Arc::new(set)))
            }
            WatchEvent::Machines { version, machines } => {
                Some(Observation::Machines(version, machines))
            }
            WatchEvent::Gap => {
                self.schedule_reads(now);
                None
            }
            WatchEvent::Closed => {
                self.schedule_watch(now);
                None
            }
        }
    }

    /// Schedules a restart of the watch, which ended or could not be started.
    fn schedule_watch(&mut self, now: MonotonicTime) {
        self.watch_at = self.is_watcher.then_some(now + RETRY_INTERVAL);
        self.schedule_reads(now);
    }

    fn schedule_reads(&mut self, now: MonotonicTime) {
        self.document.next = now;
        self.machines.next = now;
    }
}
