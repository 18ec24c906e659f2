//! Follows kinds of objects in the platform's store.
//!
//! A watch waits for a change, and its connection may fall silent for good meanwhile. So the store is asked
//! beside it when what is known has become too old ([`crate::watch_policy::WatchTimings`]), and a store that did not answer is
//! asked without waiting until it does.
//!
//! An answer proves what was newest at some moment between the question and itself. So what is known counts as confirmed from when
//! the question was asked: an answer may have waited at a process that was frozen, or on its way, for any time.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use ridgeworks_platform::{
    Listing, MalformedStoreResponse, Object, ObjectEvent, ObjectKind, StoreOutcome, StoreRequest,
    WatchBatch, list, read_listing, read_watch, watch,
};

use tokio::time::Instant;

use crate::clock::whole_ms;
use crate::store_client::{StoreClient, StoreFailure};
use crate::watch_policy::WatchControl;

/// Pause after changes, so that those of a moment come in one answer.
const GATHERING: Duration = Duration::from_millis(200);
/// Time that the store may take beyond the wait.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for an answer that waits for nothing. With the longest pause it stays below the bound on configurations after
/// a silence of the store; a slow store takes up to half a second.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// The least wait of a question that waits for nothing.
const CHECK_WAIT: Duration = Duration::from_millis(1);
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause of a node that has seen no list yet, and so cannot work.
const LONGEST_FIRST_PAUSE: Duration = Duration::from_millis(200);

/// Why the store could not be followed for a moment.
#[derive(Debug)]
enum FollowError {
    Failure(StoreFailure),
    Outcome(StoreOutcome),
    Answer(MalformedStoreResponse),
}

impl FollowError {
    fn name(&self) -> &'static str {
        match self {
            Self::Failure(failure) => failure.name(),
            Self::Outcome(StoreOutcome::Throttled) => "throttled",
            Self::Outcome(StoreOutcome::NotDone) => "unavailable",
            Self::Outcome(StoreOutcome::HistoryGone) => "history_gone",
            Self::Outcome(_) => "refused",
            Self::Answer(_) => "unreadable",
        }
    }
}

impl fmt::Display for FollowError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failure(failure) => failure.fmt(formatter),
            Self::Outcome(outcome) => write!(formatter, "the store answered {outcome:?}"),
            Self::Answer(error) => error.fmt(formatter),
        }
    }
}

impl From<MalformedStoreResponse> for FollowError {
    fn from(error: MalformedStoreResponse) -> Self {
        Self::Answer(error)
    }
}

/// Takes in what the store holds of a kind.
pub trait WatchHandler {
    /// A complete list as of this revision.
    fn on_list(&self, objects: Vec<Object>, at: u64);
    /// Changes, complete up to this revision.
    fn on_events(&self, events: Vec<ObjectEvent>, at: u64);
    /// The store confirmed that what is known was the newest this long ago.
    fn on_confirmed(&self, age: Duration);
    /// A question beside a silent watch was answered. Other nodes may want to hear of it.
    fn on_checked(&self) {}
    /// Revision up to which other nodes have told everything, if that is known.
    fn told_up_to(&self) -> Option<u64> {
        None
    }
    /// Time since the store confirmed, to this node or to one that told it, that nothing newer is there.
    fn unconfirmed(&self) -> Option<Duration> {
        None
    }
}

/// Follows a kind whenever it is this node's duty, until the process ends.
pub async fn watch_objects(
    store: Rc<StoreClient>,
    kind: ObjectKind,
    follower: impl WatchHandler,
    duty: Rc<WatchControl>,
) {
    let mut state = Following {
        store,
        kind,
        follower,
        duty,
        at: None,
        must_list: false,
        failures: 0,
        asked_at: Instant::now(),
        confirmed_at: Cell::new(Instant::now()),
        lost_at: Instant::now(),
    };
    loop {
        state.wait_for_duty().await;
        state.asked_at = Instant::now();
        match state.step().await {
            Ok(()) => state.on_reached(),
            Err(error) => state.on_error(&error).await,
        }
    }
}

/// The store's answer to a watch.
struct Answered {
    batch: WatchBatch,
    /// The changes are complete as of then.
    as_of: Instant,
}

struct Following<F> {
    store: Rc<StoreClient>,
    kind: ObjectKind,
    follower: F,
    duty: Rc<WatchControl>,
    /// Revision up to which everything is known; `None` before the first list.
    at: Option<u64>,
    /// Whether the history since that revision is gone.
    must_list: bool,
    failures: u32,
    /// When the question that is open, or was open last, was sent.
    asked_at: Instant,
    /// As of when the store confirmed what is known.
    confirmed_at: Cell<Instant>,
    /// When the first of the failures in a row was noticed.
    lost_at: Instant,
}

impl<F: WatchHandler> Following<F> {
    /// Other nodes may have told more meanwhile.
    async fn wait_for_duty(&mut self) {
        self.duty.wait_until_due().await;
        if !self.must_list {
            self.at = self.at.max(self.follower.told_up_to());
        }
    }

    async fn step(&mut self) -> Result<(), FollowError> {
        match self.at {
            None => self.list_all().await,
            // A watch that is sent into a silence would be waited for long after the store is back.
            Some(at) if self.failures > 0 => {
                let answer = self.ask_at_once(at).await?;
                self.take(answer, at).await;
                Ok(())
            }
            Some(at) => self.wait_for_changes(at).await,
        }
    }

    async fn list_all(&mut self) -> Result<(), FollowError> {
        let asked_at = Instant::now();
        let (objects, at) = list_objects(&self.store, self.kind).await?;
        self.follower.on_list(objects, at);
        self.on_confirmed(asked_at);
        self.at = Some(at);
        self.must_list = false;
        Ok(())
    }

    async fn wait_for_changes(&mut self, at: u64) -> Result<(), FollowError> {
        let patience = self.duty.patience();
        // The end of a wait is what confirms that there was no change; after a change the store was asked long before.
        let wait = patience.wait.saturating_sub(self.unconfirmed());
        let wait = wait.max(CHECK_WAIT);
        let watch = self.ask(at, wait, patience.watch_timeout());
        let answer = tokio::select! {
            answer = watch => answer?,
            missed = self.find_missed(at) => missed?,
        };
        self.take(answer, at).await;
        Ok(())
    }

    /// Asks the store beside a watch that says nothing whenever what is known has become too old, until there are
    /// changes of which the watch has not told.
    async fn find_missed(&self, at: u64) -> Result<Answered, FollowError> {
        loop {
            self.duty.wait_until_due().await;
            let check_after = self.duty.patience().check_after;
            let age = self.unconfirmed();
            if age < check_after {
                tokio::time::sleep(check_after - age).await;
                continue;
            }
            let answer = self.ask_at_once(at).await?;
            self.store.on_check();
            let changes = answer.batch.events.len();
            if changes > 0 {
                self.on_missed(changes);
                return Ok(answer);
            }
            self.on_confirmed(answer.as_of);
            self.follower.on_checked();
        }
    }

    fn on_missed(&self, changes: usize) {
        self.store.on_silent_watch();
        log::warn!(
            target: "dependency",
            kind:? = self.kind,
            changes = changes,
            silent_ms = whole_ms(self.asked_at.elapsed());
            "silent watch of the platform store replaced"
        );
    }

    /// Time since the store last confirmed what is known.
    fn unconfirmed(&self) -> Duration {
        let own = self.confirmed_at.get().elapsed();
        self.follower
            .unconfirmed()
            .map_or(own, |told| told.min(own))
    }

    async fn ask_at_once(&self, at: u64) -> Result<Answered, FollowError> {
        self.ask(at, CHECK_WAIT, CHECK_TIMEOUT).await
    }

    async fn ask(
        &self,
        at: u64,
        wait: Duration,
        timeout: Duration,
    ) -> Result<Answered, FollowError> {
        let call = watch(self.kind, at, wait);
        let asked_at = Instant::now();
        let body = call_store(&self.store, call, timeout).await?;
        let batch = read_watch(&body)?;
        // The store answers without a change only once the wait is over.
        let has_waited = batch.events.is_empty() && asked_at.elapsed() >= wait;
        let as_of = if has_waited {
            asked_at + wait
        } else {
            asked_at
        };
        Ok(Answered { batch, as_of })
    }

    async fn take(&mut self, answer: Answered, at: u64) {
        let Answered { batch, as_of } = answer;
        self.at = Some(batch.at.max(at));
        let has_changes = !batch.events.is_empty();
        self.follower.on_events(batch.events, batch.at);
        // Not only once further changes have been gathered.
        self.on_confirmed(as_of);
        if has_changes {
            tokio::time::sleep(GATHERING).await;
        }
    }

    fn on_confirmed(&self, as_of: Instant) {
        let latest = self.confirmed_at.get().max(as_of);
        self.confirmed_at.set(latest);
        self.follower.on_confirmed(as_of.elapsed());
    }

    fn on_reached(&mut self) {
        if self.failures > 0 {
            // Others that do not reach the store wait for this.
            self.follower.on_checked();
            log::info!(
                target: "dependency",
                kind:? = self.kind,
                lost_ms = whole_ms(self.lost_at.elapsed()),
                failures = self.failures;
                "platform store regained"
            );
        }
        self.failures = 0;
    }

    async fn on_error(&mut self, error: &FollowError) {
        if matches!(error, FollowError::Outcome(StoreOutcome::HistoryGone)) {
            log::info!(target: "dependency", kind:? = self.kind; "history gone, listing anew");
            self.at = None;
            self.must_list = true;
            return;
        }
        if self.failures == 0 {
            self.lost_at = Instant::now();
            log::warn!(
                target: "dependency",
                kind:? = self.kind,
                reason = error.name(),
                waited_ms = whole_ms(self.asked_at.elapsed()),
                detail:% = error;
                "platform store lost"
            );
        }
        self.failures += 1;
        let longest = match self.at {
            Some(_) => self.duty.patience().longest_pause,
            None => LONGEST_FIRST_PAUSE,
        };
        tokio::time::sleep(pause(self.failures, longest)).await;
    }
}

/// Grows with the failures in a row; drawn at random so that nodes do not come back together.
fn pause(failures: u32, longest: Duration) -> Duration {
    let grown = FIRST_PAUSE.saturating_mul(1 << failures.min(6));
    grown
        .min(longest)
        .mul_f64(rand::rng().random_range(0.5..1.0))
}

async fn call_store(
    store: &StoreClient,
    call: StoreRequest,
    timeout: Duration,
) -> Result<bytes::Bytes, FollowError> {
    let answer = store.call(call, timeout).await;
    let answer = answer.map_err(FollowError::Failure)?;
    match answer.outcome {
        StoreOutcome::Done => Ok(answer.body),
        outcome => Err(FollowError::Outcome(outcome)),
    }
}

/// Lists all objects of a kind; complete as of the revision that is returned.
async fn list_objects(
    store: &StoreClient,
    kind: ObjectKind,
) -> Result<(Vec<Object>, u64), FollowError> {
    let mut objects = Vec::new();
    let mut at = None;
    loop {
        let after = objects.last().map(|last: &Object| last.name.clone());
        let call = list(kind, after.as_deref());
        let body = call_store(store, call, ANSWER_TIMEOUT).await?;
        let Listing {
            items,
            more,
            at: page_at,
        } = read_listing(&body)?;
        let is_empty = items.is_empty();
        objects.extend(items);
        // Changes after the first page are told by the watch that follows.
        let at = *at.get_or_insert(page_at);
        if !more || is_empty {
            return Ok((objects, at));
        }
    }
}

/// Lists all objects of a kind once; `None` when the store does not answer.
pub async fn list_once(store: &StoreClient, kind: ObjectKind) -> Option<Vec<Object>> {
    let listed = list_objects(store, kind).await;
    listed.ok().map(|(objects, _)| objects)
}
