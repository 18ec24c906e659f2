//! What turns generated goes into their programs' ledgers: gathered for a moment, by group, with nobody waiting.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use ridgeworks_records::{Epoch, GroupId, ReplicaRequest, Settlement};
use tokio::time::{Instant, MissedTickBehavior};

use super::{Operation, RecordsClient};

/// How often settlements are sent; the bound on their age is a second, and a busy replica takes a part of it.
/// Each sending is a request to a majority of the replicas, however many settlements it has.
const SETTLE_INTERVAL: Duration = Duration::from_millis(450);
/// How long one replica may take for settlements before it is asked again. Nobody waits for them, and what is asked again
/// while it still waits at a busy replica is work for nothing.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(3);
/// How long settling is tried.
const SETTLE_PATIENCE: Duration = Duration::from_secs(15);

impl RecordsClient {
    /// Joins what a turn generated into its program's ledger, soon and without anybody waiting.
    pub fn settle(&self, settlement: Settlement) {
        self.settlements.borrow_mut().push(settlement);
    }

    /// Sends settlements, those of a moment and a group together, until the process ends.
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
        let limit = Instant::now() + SETTLE_PATIENCE;
        let make = |epoch: Epoch| ReplicaRequest::Settle {
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
        if self.write(make, operation, limit).await.is_err() {
            for settlement in &settlements {
                log::warn!(
                    target: "request",
                    request = settlement.turn.request(),
                    program = settlement.program.0.as_str(),
                    group = group.0;
                    "tokens not settled"
                );
            }
        }
    }

    /// Waits until everything that was to be settled has been sent, or until the limit.
    pub async fn finish_settlements(self: &Rc<Self>, limit: Instant) {
        let by_group = self.take_settlements().into_iter();
        let writing = by_group.map(|(group, settlements)| {
            let client = Rc::clone(self);
            client.write_settlements(group, settlements)
        });
        // What is not settled in time counts at its most.
        let _ = tokio::time::timeout_at(limit, join_all(writing)).await;
    }
}
