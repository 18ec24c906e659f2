//! Replaces reservations by the numbers of generated tokens, in batches per group and in the
//! background.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use ridgeworks_records::{
    Epoch, GroupId, LedgerEntry, ProgramId, ReplicaRequest, Settlement, TurnId,
};
use ridgeworks_resident::clock::unix_time_ms;
use tokio::time::{Instant, MissedTickBehavior};

use super::{Operation, RecordsClient, ttl_ms};
use crate::exchange::END_LIFETIME;

/// Interval between batches. A settlement must be sent within a second, part of which a busy
/// replica takes. Each batch is one request to a majority of the replicas, however many settlements
/// it has.
const SETTLE_INTERVAL: Duration = Duration::from_millis(450);
/// Timeout of a batch at one replica. Long, because nothing waits for it and repeating a batch that
/// is still queued at a busy replica is wasted work.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a batch is retried.
const SETTLE_TOTAL_TIMEOUT: Duration = Duration::from_secs(15);

/// Whether this is the mark of an engine's end that still counts, so that it has to reach the replicas once they answer.
fn is_recent_end(turn: &TurnId) -> bool {
    let ended_at_s = turn.ended_at_s();
    let now_s = unix_time_ms() / 1_000;
    // The mark may come from another node or the store, with any time in it.
    ended_at_s.is_some_and(|at_s| at_s.saturating_add(END_LIFETIME.as_secs()) > now_s)
}

impl RecordsClient {
    /// Queues a settlement for the next batch.
    pub fn settle(&self, settlement: Settlement) {
        self.settlements.borrow_mut().push(settlement);
    }

    /// Queues entries of a program's ledger that a replica of the newest majority lacks.
    pub(super) fn write_back(
        &self,
        program: &ProgramId,
        lagging: BTreeMap<TurnId, LedgerEntry>,
        retention: Duration,
    ) {
        if lagging.is_empty() {
            return;
        }
        log::debug!(
            target: "records",
            program = program.0.as_str(),
            entries = lagging.len();
            "a replica lacks entries of a ledger"
        );
        self.entries_written_back.inc_by(lagging.len() as u64);
        for (turn, entry) in lagging {
            self.settle(Settlement {
                program: program.clone(),
                turn,
                entry,
                ttl_ms: ttl_ms(retention),
            });
        }
    }

    /// Sends queued settlements in batches until the process ends.
    pub async fn run_settlements(self: Rc<Self>) {
        let mut ticks = tokio::time::interval(SETTLE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            for (group, settlements) in self.take_settlements() {
                tokio::task::spawn_local(Rc::clone(&self).write_settlements(group, settlements));
            }
        }
    }

    fn take_settlements(&self) -> BTreeMap<GroupId, Vec<Settlement>> {
        let mut by_group: BTreeMap<GroupId, Vec<Settlement>> = BTreeMap::new();
        for settlement in self.settlements.take() {
            let group = self.group_of(Some(&settlement.program));
            by_group.entry(group).or_default().push(settlement);
        }
        by_group
    }

    async fn write_settlements(self: Rc<Self>, group: GroupId, settlements: Vec<Settlement>) {
        let deadline = Instant::now() + SETTLE_TOTAL_TIMEOUT;
        let make_request = |epoch: Epoch| ReplicaRequest::Settle {
            group,
            epoch,
            settlements: settlements.clone(),
        };
        let operation = Operation {
            name: "settle",
            subject: "",
            group,
            program: settlements.first().map(|first| &first.program),
            timeout: SETTLE_TIMEOUT,
            residency: None,
        };
        if self.write(make_request, operation, deadline).await.is_err() {
            for settlement in settlements {
                if is_recent_end(&settlement.turn) {
                    self.settle(settlement);
                    continue;
                }
                log::warn!(
                    target: "request",
                    request = settlement.turn.request(),
                    program = settlement.program.0.as_str(),
                    group = group.0;
                    "settlement not confirmed by a majority in time; the turn may stay charged in full"
                );
            }
        }
    }

    /// Sends all queued settlements, and waits until they are written or the deadline passes.
    pub async fn finish_settlements(self: &Rc<Self>, deadline: Instant) {
        let by_group = self.take_settlements().into_iter();
        let writing = by_group.map(|(group, settlements)| {
            let client = Rc::clone(self);
            client.write_settlements(group, settlements)
        });
        // A reservation that is not settled in time stays charged in full.
        let _ = tokio::time::timeout_at(deadline, join_all(writing)).await;
    }
}
