//! Whether keys that a gateway knows are still in force (`docs/operations/tenants.md`, "A key that is taken away").

use std::rc::Rc;
use std::time::Duration;

use ridgeworks_resident::view::View;

/// Part of the bound on keys that were taken away by which a gateway stops earlier: for the time that ages lose in whole milliseconds
/// on their way, and for clocks that do not run alike.
const MARGIN_SHARE: f64 = 0.04;
/// How long a request waits for a proof that is on its way: a gateway that has been frozen, or whose store was away, gets one within a
/// heartbeat.
const PROOF_PATIENCE: Duration = Duration::from_millis(300);

/// Tells whether the newest configuration that is known is new enough to let requests with keys run.
///
/// The proof counts from when it was asked for ([`View::unconfirmed_for`]). So a request that is taken while it holds was sent before
/// the bound of any removal of its key that this gateway has not heard of, however long the process is frozen after.
pub struct KeyProof {
    view: Rc<View>,
    /// How old a proof may be; `None` where nothing is promised.
    longest: Option<Duration>,
}

impl KeyProof {
    /// Proofs under this bound on keys that were taken away.
    pub fn new(view: Rc<View>, bound: Option<Duration>) -> Self {
        let longest = bound.map(|bound| bound.mul_f64(1.0 - MARGIN_SHARE));
        Self { view, longest }
    }

    /// Whether no key can have been taken away for longer than is promised.
    pub fn are_proven(&self) -> bool {
        let Some(longest) = self.longest else {
            return true;
        };
        let age = self.view.unconfirmed_for();
        age.is_some_and(|age| age < longest)
    }

    /// Whether requests with keys are refused for want of a proof.
    pub fn are_in_doubt(&self) -> bool {
        let asks = self
            .view
            .routes()
            .is_some_and(|routes| routes.has_tenants());
        asks && !self.are_proven()
    }

    /// Waits a moment for a proof where one is wanted.
    pub async fn wait_for_proof(&self) {
        if !self.are_in_doubt() {
            return;
        }
        let proven = async {
            while !self.are_proven() {
                self.view.confirmed_anew().await;
            }
        };
        // Without one the request is refused.
        let _ = tokio::time::timeout(PROOF_PATIENCE, proven).await;
    }
}
