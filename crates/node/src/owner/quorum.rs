//! Requests about runs whose replicas are not there: refused instead of waiting in vain.

use std::time::{Duration, Instant};

use ridgeworks_domain::RunId;
use ridgeworks_domain::run_id::MAJORITY_OF_REPLICAS;

use super::owned_run::{OwnedRun, PendingCommand};
use super::refusals::no_quorum;
use super::role::OwnerRole;
use crate::message::{OwnerAnswer, OwnerCommand};

/// Longest time that a request waits for a run to be taken over. The gateway has repeated it by then,
/// so that it tells its caller that the end is not known.
const LONGEST_PENDING: Duration = Duration::from_secs(3);
/// The same where most of the run's first replicas are gone: long enough for one of them to tell who
/// took their place, and over before the gateway repeats the request. The takeover goes on.
const LONGEST_PENDING_WITHOUT_MAJORITY: Duration = Duration::from_millis(300);

impl OwnerRole {
    /// Whether a command that has just come cannot be carried out, as far as this node knows who is
    /// there. What it refers to was not touched by this node.
    pub(super) fn lacks_majority(&self, run: RunId, command: &OwnerCommand) -> bool {
        let owned = self.runs.get(&run);
        let owner = owned.and_then(OwnedRun::owner);
        match (command, owner.filter(|owner| owner.is_ready())) {
            // It is repeated until it is carried out.
            (OwnerCommand::SettleChild { .. }, _) => false,
            (OwnerCommand::OpenRun { replicas, .. }, None) if owned.is_none() => {
                let nodes = replicas.iter().map(|replica| replica.node);
                !self.directory.is_majority_present(nodes)
            }
            // Its answer may be recorded, or on its way.
            (OwnerCommand::Call { call, .. }, Some(owner))
                if owner.state().call(call.sequence).is_some() =>
            {
                false
            }
            (_, Some(owner)) => {
                let nodes = owner.replicas().iter().map(|replica| replica.node);
                !self.directory.is_majority_present(nodes)
            }
            // Its first replicas may all have been replaced, by any of the nodes that are there.
            (_, None) => self.directory.present_disk_nodes().len() < MAJORITY_OF_REPLICAS,
        }
    }

    /// Refuses what waited too long for the run to be taken over.
    pub(super) fn check_pending(&mut self, now: Instant, run: RunId) {
        let longest = self.longest_pending(run);
        let Some(owned) = self.runs.get_mut(&run) else {
            return;
        };
        let is_over = |pending: &mut PendingCommand| {
            let waited = now.saturating_duration_since(pending.since);
            let is_repeated = matches!(pending.command, OwnerCommand::SettleChild { .. });
            waited >= longest && !is_repeated
        };
        let over: Vec<PendingCommand> = owned.pending.extract_if(.., is_over).collect();
        for pending in over {
            self.answer(pending.request, OwnerAnswer::Refused(no_quorum()));
        }
    }

    fn longest_pending(&self, run: RunId) -> Duration {
        if self.directory.present_replicas_of(run).len() >= MAJORITY_OF_REPLICAS {
            LONGEST_PENDING
        } else {
            LONGEST_PENDING_WITHOUT_MAJORITY
        }
    }
}
