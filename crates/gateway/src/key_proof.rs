//! Whether keys that a gateway knows are still in force (`docs/operations/tenants.md`, "A key that is taken away").

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_resident::view::View;
use tokio::time::Instant;

/// Part of the bound on keys that were taken away by which a gateway stops earlier: for the time that ages lose in whole milliseconds
/// on their way, and for clocks that do not run alike.
const MARGIN_SHARE: f64 = 0.04;
/// How long after the proof has run out requests wait for the next one: a gateway that has been frozen gets one within a heartbeat. After
/// that they are refused at once.
const PROOF_PATIENCE: Duration = Duration::from_millis(300);
/// Bounds of the time after which a client may come back: a doubt is taken to last for as long again as it has lasted, and most clients
/// have no more time than the most.
const LEAST_COME_BACK: Duration = Duration::from_millis(150);
const MOST_COME_BACK: Duration = Duration::from_millis(800);

/// Tells whether the newest configuration that is known is new enough to let requests with keys run.
///
/// The proof counts from when it was asked for ([`View::confirmation_age`]). So a request that is taken while it holds was sent before
/// the bound of any removal of its key that this gateway has not heard of, however long the process is frozen after.
pub struct KeyProof {
    view: Rc<View>,
    /// How old a proof may be; `None` where nothing is promised.
    longest: Option<Duration>,
    /// Since when it is known that there is none; `None` while there is one.
    doubted_since: Cell<Option<Instant>>,
}

impl KeyProof {
    /// Proofs under this bound on keys that were taken away.
    pub fn new(view: Rc<View>, bound: Option<Duration>) -> Self {
        let longest = bound.map(|bound| bound.mul_f64(1.0 - MARGIN_SHARE));
        Self {
            view,
            longest,
            doubted_since: Cell::new(None),
        }
    }

    /// Whether no key can have been taken away for longer than is promised.
    pub fn are_proven(&self) -> bool {
        let Some(longest) = self.longest else {
            return true;
        };
        let age = self.view.confirmation_age();
        let are_proven = age.is_some_and(|age| age < longest);
        if are_proven {
            self.doubted_since.set(None);
        }
        are_proven
    }

    /// For how long it has been known that there is no proof.
    fn doubted_for(&self) -> Duration {
        let since = self.doubted_since.get().unwrap_or_else(Instant::now);
        self.doubted_since.set(Some(since));
        since.elapsed()
    }

    /// When a client may come back that was refused for want of a proof.
    pub fn retry_later(&self) -> Duration {
        self.doubted_for().clamp(LEAST_COME_BACK, MOST_COME_BACK)
    }

    /// Whether requests with keys are refused for want of a proof.
    pub fn are_in_doubt(&self) -> bool {
        let asks = self
            .view
            .routes()
            .is_some_and(|routes| routes.has_tenants());
        asks && !self.are_proven()
    }

    /// Waits a moment for a proof where one has just run out.
    pub async fn wait_for_proof(&self) {
        if !self.are_in_doubt() {
            return;
        }
        let proven = async {
            while !self.are_proven() {
                self.view.wait_for_confirmation().await;
            }
        };
        let patience = PROOF_PATIENCE.saturating_sub(self.doubted_for());
        // Without one the request is refused.
        let _ = tokio::time::timeout(patience, proven).await;
    }
}
