//! Reads a turn and all turns before it.

use std::time::Duration;

use ridgeworks_records::{
    ChainOutcome, ChainRead, GroupId, ProgramId, ReplicaGroups, ReplicaReply, ReplicaRequest,
    TurnId,
};
use ridgeworks_resident::view::Source;
use ridgeworks_routing::Residency;
use tokio::time::Instant;

use super::{LastReplies, RETRY_DELAY, RecordsClient, RecordsUnavailable};

/// Shortest time before the next replica is asked. Longer for a replica whose recent replies were
/// slow. Also the timeout for sending newer replica sets to a replica.
const MIN_READ_TIMEOUT: Duration = Duration::from_millis(200);

impl RecordsClient {
    /// Reads a program's turn and all before it. The turn is reported as absent only if no group
    /// has it, because the request that wrote it may have named its program differently.
    pub async fn read_chain(
        &self,
        program: Option<&ProgramId>,
        turn: &TurnId,
        request: &str,
        residency: &Residency,
        deadline: Instant,
    ) -> Result<ChainOutcome, RecordsUnavailable> {
        let own = self.wait_for_group(program, deadline).await?;
        let outcome = self
            .read_chain_in(own, turn, request, residency, deadline)
            .await?;
        if !is_absent(&outcome, turn) {
            return Ok(outcome);
        }
        let groups = self.groups().await;
        for (group, _) in groups.iter().filter(|(group, _)| *group != own) {
            let found = self
                .read_chain_in(group, turn, request, residency, deadline)
                .await?;
            if !is_absent(&found, turn) {
                return Ok(found);
            }
        }
        Ok(outcome)
    }

    async fn read_chain_in(
        &self,
        group: GroupId,
        turn: &TurnId,
        request: &str,
        residency: &Residency,
        deadline: Instant,
    ) -> Result<ChainOutcome, RecordsUnavailable> {
        let replies = LastReplies::default();
        let began = Instant::now();
        let reading = self.read_chain_with_restarts(group, turn, residency, &replies);
        let outcome = tokio::time::timeout_at(deadline, reading).await;
        // Replicas that are reading their disks can accept writes, so this is no loss of the
        // majority.
        let is_restoring = outcome.is_err() && replies.has_unavailable();
        if !is_restoring {
            self.record_majority_outcome(group, outcome.is_ok(), began.elapsed());
        }
        outcome.map_err(|_| {
            replies.log_failure("read", request, group, self.node.view.epoch());
            if is_restoring {
                RecordsUnavailable::Restoring
            } else {
                RecordsUnavailable::NoMajority
            }
        })
    }

    async fn read_chain_with_restarts(
        &self,
        group: GroupId,
        turn: &TurnId,
        residency: &Residency,
        replies: &LastReplies,
    ) -> ChainOutcome {
        loop {
            let set = self.replica_set(group).await;
            let read = ChainRead::new(set, turn.clone());
            if let Some(outcome) = self
                .read_chain_from_set(group, read, residency, replies)
                .await
            {
                return outcome;
            }
        }
    }

    /// Returns `None` if there is a newer replica set and the read has to restart.
    async fn read_chain_from_set(
        &self,
        group: GroupId,
        mut read: ChainRead,
        residency: &Residency,
        replies: &LastReplies,
    ) -> Option<ChainOutcome> {
        loop {
            let epoch = read.set().epoch;
            for replica in self.order_by_preference(read.candidates(), &read.next_turn().0) {
                let turn = read.next_turn().clone();
                let request = ReplicaRequest::ReadChain { group, epoch, turn };
                let asking = self.paths.ask_with_adaptive_timeout(
                    &replica,
                    request,
                    MIN_READ_TIMEOUT,
                    residency,
                );
                let reply = asking.await;
                replies.record(&replica, &reply);
                match reply {
                    Ok(ReplicaReply::Chain { records, missing }) => {
                        let outcome = read.on_chain(replica.id, records, missing);
                        if outcome.is_some() {
                            return outcome;
                        }
                    }
                    Ok(ReplicaReply::Stale { groups }) => {
                        self.node.view.adopt_replica_sets(groups, Source::Peer);
                        return None;
                    }
                    Ok(ReplicaReply::Behind) => {
                        let groups = ReplicaGroups::clone(&*self.groups().await);
                        let adopt = ReplicaRequest::Adopt { groups };
                        // The read continues at the next replica, and returns to this one later.
                        let _ = self.paths.ask(&replica, adopt, MIN_READ_TIMEOUT).await;
                    }
                    _ => {}
                }
            }
            if self.newer_than(group, epoch).is_some() {
                return None;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Whether a read found that the turn itself does not exist.
fn is_absent(outcome: &ChainOutcome, turn: &TurnId) -> bool {
    matches!(outcome, ChainOutcome::NoSuchTurn(missing) if missing == turn)
}
