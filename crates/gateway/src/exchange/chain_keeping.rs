//! Keeps the chain of a turn for as long as the turn runs: the turns before it may expire meanwhile, and it would be appended behind a
//! gap.

use std::convert::Infallible;
use std::future::{Future, pending};
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_records::TurnRecord;
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
        let previous = self.previous_record();
        let program = self.call.program();
        let retention = self.call.route.retention();
        let residency = current_residency(&gateway, &self.call).into_owned();
        async move {
            let Some(previous) = previous else {
                return pending().await;
            };
            let records = Rc::clone(&gateway.records);
            loop {
                sleep(RENEWAL_INTERVAL).await;
                let deadline = Instant::now() + RECORDS_TIMEOUT;
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

    /// The record of the turn that this one goes on from, which is cached once the prompt was read.
    fn previous_record(&self) -> Option<Rc<TurnRecord>> {
        if !self.call.route.keeps_turns {
            return None;
        }
        let previous = self.call.previous_turn()?;
        let now = self.gateway.now();
        let chain = self.gateway.turns.borrow_mut().chain(&previous, now)?;
        chain.last().cloned()
    }
}
