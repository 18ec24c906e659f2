//! Watches kinds of objects in the platform's store.
//!
//! A watch waits for a change, and its connection may fall silent without an error. So the store is probed beside an open watch
//! once the known objects have been unconfirmed for too long ([`crate::watch_policy::WatchTimings`]), and after a failure it
//! is probed with the shortest wait until it answers.
//!
//! A reply tells what was newest at some time between the request and itself, and may have been delayed for any time by a
//! frozen process or on its way. So a confirmation counts from when its request was sent.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use ridgeworks_platform::{
    MalformedStoreResponse, Object, ObjectEvent, ObjectKind, StoreOutcome, StoreRequest,
    WatchBatch, list, read_listing, read_watch, watch,
};

use tokio::time::Instant;

use crate::clock::whole_ms;
use crate::paged_list::{ListFault, NextPage, PagedList};
use crate::store_client::{StoreClient, StoreFailure};
use crate::watch_policy::WatchControl;

/// Delay after changes, so that changes in quick succession come in one answer.
const CHANGE_COALESCING_DELAY: Duration = Duration::from_millis(200);
/// Time that the store may take to answer beyond the wait of the request.
pub(crate) const REPLY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout of a probe. Together with the maximum backoff it stays below the configuration bound after an outage of the
/// store; a slow store takes up to half a second.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Wait of a probe: the minimum that a watch can have.
const PROBE_WAIT: Duration = Duration::from_millis(1);
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum backoff of a node that has no list yet, and so can't work.
const MAX_FIRST_LIST_BACKOFF: Duration = Duration::from_millis(200);

/// Why a list or a watch failed.
#[derive(Debug)]
enum WatchError {
    Failure(StoreFailure),
    /// The outcome is not [`StoreOutcome::Done`].
    UnexpectedOutcome(StoreOutcome),
    Answer(MalformedStoreResponse),
    /// The pages of the list do not make a whole one.
    List(ListFault),
}

impl WatchError {
    fn name(&self) -> &'static str {
        match self {
            Self::Failure(failure) => failure.name(),
            Self::UnexpectedOutcome(StoreOutcome::Throttled) => "throttled",
            Self::UnexpectedOutcome(StoreOutcome::NotDone) => "unavailable",
            Self::UnexpectedOutcome(StoreOutcome::HistoryGone) => "history_gone",
            Self::UnexpectedOutcome(_) => "refused",
            Self::Answer(_) => "unreadable",
            Self::List(fault) => fault.name(),
        }
    }
}

impl fmt::Display for WatchError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failure(failure) => failure.fmt(formatter),
            Self::UnexpectedOutcome(outcome) => write!(formatter, "the store answered {outcome:?}"),
            Self::Answer(error) => error.fmt(formatter),
            Self::List(fault) => fault.fmt(formatter),
        }
    }
}

impl From<MalformedStoreResponse> for WatchError {
    fn from(error: MalformedStoreResponse) -> Self {
        Self::Answer(error)
    }
}

impl From<ListFault> for WatchError {
    fn from(fault: ListFault) -> Self {
        Self::List(fault)
    }
}

/// Receives the objects of a watched kind.
pub trait WatchHandler {
    /// Receives a complete list as of `revision`.
    fn on_list(&self, objects: Vec<Object>, revision: u64);
    /// Receives changes, complete up to revision `complete_at`.
    fn on_events(&self, events: Vec<ObjectEvent>, complete_at: u64);
    /// The store confirmed that the known objects were the newest `age` ago.
    fn on_confirmed(&self, age: Duration);
    /// The store confirmed the known objects beside an open watch or after an outage, which other nodes may need to
    /// learn immediately.
    fn on_probe_confirmed(&self) {}
    /// Revision up to which all changes are known, also from other nodes; `None` before the first list.
    fn known_revision(&self) -> Option<u64> {
        None
    }
    /// Time since the store confirmed, to this node or another, that nothing newer exists; `None` where it never did.
    fn confirmation_age(&self) -> Option<Duration> {
        None
    }
}

/// Watches a kind of objects whenever [`WatchControl::should_watch`] holds, until the process ends.
pub async fn watch_objects(
    store: Rc<StoreClient>,
    kind: ObjectKind,
    handler: impl WatchHandler,
    control: Rc<WatchControl>,
) {
    let mut state = ObjectWatch {
        store,
        kind,
        handler,
        control,
        revision: None,
        history_gone: false,
        failures: 0,
        sent_at: Instant::now(),
        confirmed_at: Cell::new(Instant::now()),
        failing_since: Instant::now(),
    };
    loop {
        state.wait_until_watching().await;
        state.sent_at = Instant::now();
        match state.step().await {
            Ok(()) => state.on_success(),
            Err(error) => state.on_error(&error).await,
        }
    }
}

/// The store's reply to a watch.
struct WatchReply {
    batch: WatchBatch,
    /// When the changes were known to be complete.
    as_of: Instant,
}

struct ObjectWatch<F> {
    store: Rc<StoreClient>,
    kind: ObjectKind,
    handler: F,
    control: Rc<WatchControl>,
    /// Revision up to which all changes are known; `None` before the first list, and while a new list is needed because the
    /// store no longer has the history.
    revision: Option<u64>,
    /// Whether the store no longer has the history since the last known revision, so that a complete list is needed, even if other
    /// nodes know newer changes.
    history_gone: bool,
    /// Consecutive failures.
    failures: u32,
    /// When the latest list or watch was sent.
    sent_at: Instant,
    /// When the store last confirmed the known objects to this node.
    confirmed_at: Cell<Instant>,
    /// When the first of the consecutive failures was noticed.
    failing_since: Instant,
}

impl<F: WatchHandler> ObjectWatch<F> {
    async fn wait_until_watching(&mut self) {
        self.control.wait_until_watching().await;
        // Newer changes may have come from other nodes meanwhile.
        if !self.history_gone {
            self.revision = self.revision.max(self.handler.known_revision());
        }
    }

    async fn step(&mut self) -> Result<(), WatchError> {
        match self.revision {
            None => self.list_all().await,
            // A watch sent during an outage would block for its whole wait after the store is back.
            Some(revision) if self.failures > 0 => {
                let reply = self.probe(revision).await?;
                self.apply_reply(reply, revision).await;
                Ok(())
            }
            Some(revision) => self.wait_for_changes(revision).await,
        }
    }

    async fn list_all(&mut self) -> Result<(), WatchError> {
        let sent_at = Instant::now();
        let (objects, revision) = list_objects(&self.store, self.kind).await?;
        self.handler.on_list(objects, revision);
        self.on_confirmed(sent_at);
        self.revision = Some(revision);
        self.history_gone = false;
        Ok(())
    }

    async fn wait_for_changes(&mut self, revision: u64) -> Result<(), WatchError> {
        let timings = self.control.timings();
        // Only the end of a wait confirms that there was no change, so a wait ends while the last confirmation is still recent.
        let wait = timings.wait.saturating_sub(self.confirmation_age());
        let wait = wait.max(PROBE_WAIT);
        let watch = self.send_watch(revision, wait, timings.watch_timeout());
        let reply = tokio::select! {
            reply = watch => reply?,
            missed = self.probe_until_missed(revision) => missed?,
        };
        self.apply_reply(reply, revision).await;
        Ok(())
    }

    /// Probes the store beside an open watch each time the known objects have been unconfirmed for too long, until a probe
    /// returns changes that the watch has missed.
    async fn probe_until_missed(&self, revision: u64) -> Result<WatchReply, WatchError> {
        loop {
            self.control.wait_until_watching().await;
            let probe_after = self.control.timings().probe_after;
            let age = self.confirmation_age();
            if age < probe_after {
                tokio::time::sleep(probe_after - age).await;
                continue;
            }
            let reply = self.probe(revision).await?;
            self.store.on_probe();
            let changes = reply.batch.events.len();
            if changes > 0 {
                self.on_missed_changes(changes);
                return Ok(reply);
            }
            self.on_confirmed(reply.as_of);
            self.handler.on_probe_confirmed();
        }
    }

    fn on_missed_changes(&self, changes: usize) {
        self.store.on_silent_watch();
        log::warn!(
            target: "dependency",
            kind:? = self.kind,
            changes = changes,
            silent_ms = whole_ms(self.sent_at.elapsed());
            "silent watch of the platform store replaced"
        );
    }

    /// Time since the store last confirmed the known objects, to this node or another.
    fn confirmation_age(&self) -> Duration {
        let own = self.confirmed_at.get().elapsed();
        self.handler
            .confirmation_age()
            .map_or(own, |received| received.min(own))
    }

    async fn probe(&self, revision: u64) -> Result<WatchReply, WatchError> {
        self.send_watch(revision, PROBE_WAIT, PROBE_TIMEOUT).await
    }

    async fn send_watch(
        &self,
        revision: u64,
        wait: Duration,
        timeout: Duration,
    ) -> Result<WatchReply, WatchError> {
        let call = watch(self.kind, revision, wait);
        let sent_at = Instant::now();
        let body = call_store(&self.store, call, timeout).await?;
        let batch = read_watch(self.kind, &body)?;
        // An answer without a change confirms the whole wait: the store sends it only when the wait is over.
        let has_waited = batch.events.is_empty() && sent_at.elapsed() >= wait;
        let as_of = if has_waited { sent_at + wait } else { sent_at };
        Ok(WatchReply { batch, as_of })
    }

    async fn apply_reply(&mut self, reply: WatchReply, revision: u64) {
        let WatchReply { batch, as_of } = reply;
        self.revision = Some(batch.at.max(revision));
        let has_changes = !batch.events.is_empty();
        self.handler.on_events(batch.events, batch.at);
        // Confirmed before the delay, so that other parts of the node see it immediately.
        self.on_confirmed(as_of);
        if has_changes {
            tokio::time::sleep(CHANGE_COALESCING_DELAY).await;
        }
    }

    fn on_confirmed(&self, as_of: Instant) {
        let latest = self.confirmed_at.get().max(as_of);
        self.confirmed_at.set(latest);
        self.handler.on_confirmed(as_of.elapsed());
    }

    fn on_success(&mut self) {
        if self.failures > 0 {
            // Nodes that can't reach the store wait for this confirmation.
            self.handler.on_probe_confirmed();
            log::info!(
                target: "dependency",
                kind:? = self.kind,
                lost_ms = whole_ms(self.failing_since.elapsed()),
                failures = self.failures;
                "platform store answers again"
            );
        }
        self.failures = 0;
    }

    /// Whether the changes since the known revision cannot be had: the store forgot them, or they are more than an answer may have.
    /// A list comes in pages.
    fn needs_list(&self, error: &WatchError) -> bool {
        match error {
            WatchError::UnexpectedOutcome(StoreOutcome::HistoryGone) => true,
            WatchError::Failure(StoreFailure::TooLarge) => self.revision.is_some(),
            _ => false,
        }
    }

    async fn on_error(&mut self, error: &WatchError) {
        if self.needs_list(error) {
            log::info!(
                target: "dependency",
                kind:? = self.kind,
                reason = error.name();
                "platform store does not give the history since the last known revision; listing again"
            );
            self.revision = None;
            self.history_gone = true;
            return;
        }
        if self.failures == 0 {
            self.failing_since = Instant::now();
            log::warn!(
                target: "dependency",
                kind:? = self.kind,
                reason = error.name(),
                waited_ms = whole_ms(self.sent_at.elapsed()),
                detail:% = error;
                "platform store lost"
            );
        }
        self.failures += 1;
        let max_backoff = match self.revision {
            Some(_) => self.control.timings().max_backoff,
            None => MAX_FIRST_LIST_BACKOFF,
        };
        tokio::time::sleep(backoff(self.failures, max_backoff)).await;
    }
}

/// Exponential backoff with jitter, so that nodes don't all retry at the same time.
fn backoff(failures: u32, max_backoff: Duration) -> Duration {
    let grown = FIRST_BACKOFF.saturating_mul(1 << failures.min(6));
    grown
        .min(max_backoff)
        .mul_f64(rand::rng().random_range(0.5..1.0))
}

async fn call_store(
    store: &StoreClient,
    call: StoreRequest,
    timeout: Duration,
) -> Result<bytes::Bytes, WatchError> {
    let answer = store.call(call, timeout).await;
    let answer = answer.map_err(WatchError::Failure)?;
    match answer.outcome {
        StoreOutcome::Done => Ok(answer.body),
        outcome => Err(WatchError::UnexpectedOutcome(outcome)),
    }
}

/// Lists all objects of a kind, page by page. Returns the revision of the first page: a watch that starts there returns every
/// change that the list may lack.
async fn list_objects(
    store: &StoreClient,
    kind: ObjectKind,
) -> Result<(Vec<Object>, u64), WatchError> {
    let mut listed = PagedList::default();
    let mut after = None;
    loop {
        let call = list(kind, after.as_deref());
        let body = call_store(store, call, REPLY_TIMEOUT).await?;
        let page = read_listing(kind, &body)?;
        match listed.add(page, body.len())? {
            NextPage::After(name) => after = Some(name),
            NextPage::None => return Ok(listed.finish()),
        }
    }
}

/// Lists all objects of a kind once, without a retry; `None` when the list fails, which is logged.
pub async fn list_once(store: &StoreClient, kind: ObjectKind) -> Option<Vec<Object>> {
    match list_objects(store, kind).await {
        Ok((objects, _)) => Some(objects),
        Err(error) => {
            log::warn!(
                target: "dependency",
                kind:? = kind,
                reason = error.name(),
                detail:% = error;
                "list of the platform store failed"
            );
            None
        }
    }
}
