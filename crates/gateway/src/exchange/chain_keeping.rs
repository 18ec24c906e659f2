//! Keeps the chain of a turn for as long as the turn runs: the turns before it may expire meanwhile, and it would be appended behind a
//! gap.

use std::convert::Infallible;
use std::future::{Future, pending};
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::Exchange;
use super::preparation::RECORDS_TIMEOUT;
use crate::engine_rules::current_residency;

/// Half of the time for which replicas keep a turn beyond its retention where memory is short.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(5);

impl Exchange {
    /// Renews the turn that this one goes on from, and with it all before that one, again and again until dropped.
    pub(super) fn keep_chain(&self) -> impl Future<Output = Infallible> + use<> {
        let gateway = Rc::clone(&self.gateway);
        // Cached, since the prompt was read.
        let previous = self.call.previous_turn();
        let previous = previous.filter(|_| self.call.route.keeps_turns);
        let previous = previous.and_then(|previous| gateway.turns.borrow().record(&previous));
        let program = self.call.program();
        let retention = self.call.route.retention();
        let residency = current_residency(&gateway, &self.call).into_owned();
        async move {
            let Some(previous) = previous else {
                return pending().await;
            };
            loop {
                sleep(RENEWAL_INTERVAL).await;
                let deadline = Instant::now() + RECORDS_TIMEOUT;
                let records = &gateway.records;
                let program = program.as_ref();
                let renewing = records.append(program, &previous, retention, &residency, deadline);
                if renewing.await.is_err() {
                    log::warn!(
                        target: "records",
                        turn = previous.turn.request();
                        "the chain of a running turn could not be renewed"
                    );
                }
            }
        }
    }
}
