//! Whether the API keys that a gateway knows are recent enough to be trusted
//! (`docs/operations/tenants.md`, "A key that is taken away").

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_resident::view::View;
use tokio::time::Instant;

/// Fraction of the key-removal bound kept as a margin for rounding of transmitted ages to
/// milliseconds and for clock drift.
const MARGIN_FRACTION: f64 = 0.04;
/// How long requests wait after the keys have become stale: a gateway that was suspended gets a new
/// confirmation within a heartbeat. Once the keys have been stale for longer, requests are refused
/// at once.
const MAX_FRESHNESS_WAIT: Duration = Duration::from_millis(300);
/// Bounds of the retry delay. The delay is the time for which the keys have been stale so far, as
/// an estimate of the time that remains; few clients can wait longer than the maximum.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);
const MAX_RETRY_AFTER: Duration = Duration::from_millis(800);

/// Decides whether the newest known configuration is recent enough for requests with keys to run.
///
/// The age counts from the request for the confirmation ([`View::confirmation_age`]). So if a
/// request is accepted although its key was removed and this gateway has not seen the removal, the
/// request was sent within the bound after the removal, even if the process is suspended
/// afterwards.
pub struct KeyFreshness {
    view: Rc<View>,
    /// Largest age of a confirmation; `None` if no bound is configured.
    max_age: Option<Duration>,
    /// When staleness was first noticed; `None` while the keys are fresh.
    stale_since: Cell<Option<Instant>>,
}

impl KeyFreshness {
    /// Tracks freshness under this bound on the time until a removed key is refused.
    pub fn new(view: Rc<View>, bound: Option<Duration>) -> Self {
        let max_age = bound.map(|bound| bound.mul_f64(1.0 - MARGIN_FRACTION));
        Self {
            view,
            max_age,
            stale_since: Cell::new(None),
        }
    }

    /// False if a known key may have been removed longer ago than the bound.
    pub fn is_fresh(&self) -> bool {
        let Some(max_age) = self.max_age else {
            return true;
        };
        let age = self.view.confirmation_age();
        let is_fresh = age.is_some_and(|age| age < max_age);
        if is_fresh {
            self.stale_since.set(None);
        }
        is_fresh
    }

    /// How long the keys have been known to be stale; counts from the first call after they became
    /// stale.
    fn stale_for(&self) -> Duration {
        let since = self.stale_since.get().unwrap_or_else(Instant::now);
        self.stale_since.set(Some(since));
        since.elapsed()
    }

    /// Retry delay for a client that is refused because the keys are stale.
    pub fn retry_after(&self) -> Duration {
        self.stale_for().clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Whether requests with keys are refused because the keys are stale.
    pub fn blocks_requests(&self) -> bool {
        let needs_keys = self
            .view
            .routes()
            .is_some_and(|routes| routes.has_tenants());
        needs_keys && !self.is_fresh()
    }

    /// Waits briefly for a new confirmation if the keys have just become stale.
    pub async fn wait_until_fresh(&self) {
        if !self.blocks_requests() {
            return;
        }
        let fresh = async {
            while !self.is_fresh() {
                self.view.wait_for_confirmation().await;
            }
        };
        let remaining_wait = MAX_FRESHNESS_WAIT.saturating_sub(self.stale_for());
        // After a timeout the request continues; `find_tenant` refuses it if the keys are still
        // stale.
        let _ = tokio::time::timeout(remaining_wait, fresh).await;
    }
}
