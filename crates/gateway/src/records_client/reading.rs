//! Reads of a turn and all before it.

use std::time::Duration;

use ridgeworks_records::{
    ChainOutcome, ChainRead, GroupId, ProgramId, ReplicaGroups, ReplicaReply, ReplicaRequest,
    TurnId,
};
use ridgeworks_resident::view::Source;
use ridgeworks_routing::Residency;
use tokio::time::Instant;

use super::{Answers, RETRY_PAUSE, RecordsClient, RecordsUnavailable};

/// How long the nearest replica may take before the next one is asked too. Where its answers took long lately, it is longer.
const READ_TIMEOUT: Duration = Duration::from_millis(200);

impl RecordsClient {
    /// Reads a program's turn and all before it, for this request. That there is no such turn is said only once no group has it: it may have
    /// been written by a request that named its program differently.
    pub async fn read_chain(
        &self,
        program: Option<&ProgramId>,
        turn: &TurnId,
        request: &str,
        residency: &Residency,
        limit: Instant,
    ) -> Result<ChainOutcome, RecordsUnavailable> {
        let own = self.known_group(program, limit).await?;
        let outcome = self
            .read_chain_in(own, turn, request, residency, limit)
            .await?;
        if !is_absent(&outcome, turn) {
            return Ok(outcome);
        }
        let groups = self.groups().await;
        for (group, _) in groups.iter().filter(|(group, _)| *group != own) {
            let found = self
                .read_chain_in(group, turn, request, residency, limit)
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
        limit: Instant,
    ) -> Result<ChainOutcome, RecordsUnavailable> {
        let answers = Answers::default();
        let began = Instant::now();
        let reading = self.read_chain_patiently(group, turn, residency, &answers);
        let outcome = tokio::time::timeout_at(limit, reading).await;
        // Replicas that read their disks can write all the same.
        let is_restoring = outcome.is_err() && answers.has_unavailable();
        if !is_restoring {
            self.note_quorum(group, outcome.is_ok(), began.elapsed());
        }
        outcome.map_err(|_| {
            answers.report("read", request, group, self.node.view.epoch());
            if is_restoring {
                RecordsUnavailable::Restoring
            } else {
                RecordsUnavailable::NoMajority
            }
        })
    }

    async fn read_chain_patiently(
        &self,
        group: GroupId,
        turn: &TurnId,
        residency: &Residency,
        answers: &Answers,
    ) -> ChainOutcome {
        loop {
            let set = self.replica_set(group).await;
            let read = ChainRead::new(set, turn.clone());
            if let Some(outcome) = self.read_chain_under(group, read, residency, answers).await {
                return outcome;
            }
        }
    }

    /// `None` when there is a newer set and the read has to start anew.
    async fn read_chain_under(
        &self,
        group: GroupId,
        mut read: ChainRead,
        residency: &Residency,
        answers: &Answers,
    ) -> Option<ChainOutcome> {
        loop {
            let epoch = read.set().epoch;
            for replica in self.in_order(read.candidates(), &read.next_turn().0) {
                let turn = read.next_turn().clone();
                let request = ReplicaRequest::ReadChain { group, epoch, turn };
                let asking = self
                    .paths
                    .ask_patiently(&replica, request, READ_TIMEOUT, residency);
                let reply = asking.await;
                answers.note(&replica, &reply);
                match reply {
                    Ok(ReplicaReply::Chain { records, missing }) => {
                        let outcome = read.on_chain(replica.id, records, missing);
                        if outcome.is_some() {
                            return outcome;
                        }
                    }
                    Ok(ReplicaReply::Stale { groups }) => {
                        self.node.view.adopt_groups(groups, Source::Peer);
                        return None;
                    }
                    Ok(ReplicaReply::Behind) => {
                        let groups = ReplicaGroups::clone(&*self.groups().await);
                        let adopt = ReplicaRequest::Adopt { groups };
                        // The read goes on at the next replica, and comes back to this one.
                        let _ = self.paths.ask(&replica, adopt, READ_TIMEOUT).await;
                    }
                    _ => {}
                }
            }
            if self.newer_than(group, epoch).is_some() {
                return None;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Whether a read found that there is no such turn.
fn is_absent(outcome: &ChainOutcome, turn: &TurnId) -> bool {
    matches!(outcome, ChainOutcome::NoSuchTurn(missing) if missing == turn)
}
