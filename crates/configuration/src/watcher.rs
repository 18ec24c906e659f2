//! The watcher: the only part that reads the platform's store unasked.
//!
//! The first [`MAX_WATCHERS`] voters watch, so that the store has few readers whatever the number of
//! nodes. What a watcher finds it gives to the voter of its own node, which spreads it: so also a
//! change comes to the voters whose coordinator died after the store took it. A voter that lost its
//! disk reads the store too, until it has caught up.

use std::sync::Arc;

use ridgeworks_domain::MonotonicTime;

use crate::acceptance::read_document;
use crate::effect::{PlatformAnswer, PlatformOperation, WatchEvent};
use crate::machines::Machine;
use crate::outbox::Outbox;
use crate::revision::RequestId;
use crate::set::ConfigurationSet;
use crate::settings::{MAX_WATCHERS, PLATFORM_TIMEOUT, RELIST_INTERVAL, RETRY_INTERVAL};

/// What a watcher learnt.
#[derive(Debug)]
pub(crate) enum Finding {
    /// The configuration as read from the store.
    Read(Arc<ConfigurationSet>),
    /// A configuration that the watch reported.
    Watched(Arc<ConfigurationSet>),
    /// The list of machines.
    Machines(u64, Vec<Machine>),
}

/// A read that is repeated from time to time.
#[derive(Debug, Default)]
struct RepeatedRead {
    awaited: Option<(RequestId, MonotonicTime)>,
    next: MonotonicTime,
}

impl RepeatedRead {
    fn tick(&mut self, now: MonotonicTime, operation: PlatformOperation, outbox: &mut Outbox) {
        let lost = |(_, sent): (RequestId, MonotonicTime)| now.since(sent) >= PLATFORM_TIMEOUT;
        if self.awaited.is_some_and(lost) {
            self.awaited = None;
        }
        if self.awaited.is_none() && now >= self.next {
            self.awaited = Some((outbox.platform(operation), now));
        }
    }

    /// Whether the answer is awaited here. Sets the time of the next read.
    fn take(&mut self, request: RequestId, answer: &PlatformAnswer, now: MonotonicTime) -> bool {
        if self.awaited.is_none_or(|(awaited, _)| awaited != request) {
            return false;
        }
        self.awaited = None;
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

/// The watcher of one node.
#[derive(Debug)]
pub(crate) struct Watcher {
    /// Whether this node watches for all others.
    watches: bool,
    watch_at: Option<MonotonicTime>,
    watch_request: Option<RequestId>,
    document: RepeatedRead,
    machines: RepeatedRead,
}

impl Watcher {
    /// A watcher of the voter of this rank, `None` on other nodes.
    pub(crate) fn new(rank: Option<usize>) -> Self {
        let watches = rank.is_some_and(|rank| rank < MAX_WATCHERS);
        Self {
            watches,
            watch_at: watches.then_some(MonotonicTime::ZERO),
            watch_request: None,
            document: RepeatedRead::default(),
            machines: RepeatedRead::default(),
        }
    }

    /// Reads and watches where that is due. `recovering` says that the voter needs the document.
    pub(crate) fn tick(&mut self, now: MonotonicTime, recovering: bool, outbox: &mut Outbox) {
        if self.watch_at.is_some_and(|at| now >= at) {
            self.watch_at = None;
            self.watch_request = Some(outbox.platform(PlatformOperation::Watch));
        }
        if self.watches || recovering {
            self.document.tick(now, PlatformOperation::Read, outbox);
        }
        if self.watches {
            let operation = PlatformOperation::ListMachines;
            self.machines.tick(now, operation, outbox);
        }
    }

    /// Takes an answer of the platform, if it is to this watcher.
    pub(crate) fn platform_answer(
        &mut self,
        request: RequestId,
        answer: &PlatformAnswer,
        now: MonotonicTime,
    ) -> Option<Finding> {
        if self.watch_request == Some(request) {
            self.watch_again(now);
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
                Some(Finding::Read(Arc::new(set)))
            }
            PlatformAnswer::Machines { version, machines } => {
                Some(Finding::Machines(*version, machines.clone()))
            }
            _ => None,
        }
    }

    /// Takes what the watch reports. After a gap or the end of a watch everything is read again.
    pub(crate) fn watch_event(&mut self, event: WatchEvent, now: MonotonicTime) -> Option<Finding> {
        match event {
            WatchEvent::Document { document, .. } => {
                let set = read_document(&document).ok()?;
                Some(Finding::Watched(Arc::new(set)))
            }
            WatchEvent::Machines { version, machines } => {
                Some(Finding::Machines(version, machines))
            }
            WatchEvent::Gap => {
                self.read_again(now);
                None
            }
            WatchEvent::Closed => {
                self.watch_again(now);
                None
            }
        }
    }

    /// The watch ended or could not be started.
    fn watch_again(&mut self, now: MonotonicTime) {
        self.watch_at = self.watches.then_some(now + RETRY_INTERVAL);
        self.read_again(now);
    }

    fn read_again(&mut self, now: MonotonicTime) {
        self.document.next = now;
        self.machines.next = now;
    }
}
