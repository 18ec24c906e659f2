//! How this node comes to own a run: it asks who may be busy with it, then claims it from its replicas.

use std::time::{Duration, Instant};

use ridgeworks_domain::run_id::MAJORITY_OF_REPLICAS;
use ridgeworks_domain::{Ballot, MonotonicTime, NodeId, RunId};
use ridgeworks_run_log::owner::{OwnerSettings, RunOwner};

use super::owned_run::{OwnedRun, Ownership};
use super::role::OwnerRole;
use crate::message::{NodeMessage, OwnerAnswer};

/// A node learns of all others within this time of its start.
const JOIN_TIME: Duration = Duration::from_secs(3);
/// Nodes after the first candidate that are asked whether they own a run.
const ASKED_CANDIDATES: usize = 1;
/// How long a node waits for others to say whether they are busy with a run.
const QUERY_TIMEOUT: Duration = Duration::from_millis(100);
/// A claim that is not won is made among all nodes for one second out of so many.
const WIDE_CLAIM_SECONDS: u64 = 8;

impl OwnerRole {
    /// Begins to take a run over, if this node is the first candidate for it.
    pub(super) fn begin_owning(&mut self, now: Instant, run: RunId) -> bool {
        let candidates = self.directory.owner_candidates(run);
        if self.stopping || candidates.first() != Some(&self.node) {
            return false;
        }
        // A node that has just started knows nobody and takes itself for the owner of all runs. Later
        // it knows all there are, and a run whose named replicas are gone is looked for elsewhere.
        let is_joining = self.clock.now() < MonotonicTime::ZERO + JOIN_TIME;
        if is_joining && self.directory.replicas_of(run).len() < MAJORITY_OF_REPLICAS {
            return false;
        }
        let mut asked: Vec<NodeId> = self.directory.leaving_nodes().into_iter().collect();
        asked.extend(candidates.iter().skip(1).take(ASKED_CANDIDATES));
        if asked.is_empty() {
            self.take_over(now, run);
            return true;
        }
        let ownership = Ownership::Asking {
            unanswered: asked.clone(),
            until: now + QUERY_TIMEOUT,
        };
        self.runs.insert(run, OwnedRun::new(run, ownership, now));
        for node in asked {
            self.send(node, NodeMessage::OwnershipQuery { run });
        }
        true
    }

    /// Another node wants to take a run over.
    pub(super) fn ownership_query(&mut self, from: NodeId, run: RunId) {
        let busy = self.runs.get(&run).is_some_and(|owned| !owned.is_idle());
        if !busy {
            self.runs.remove(&run);
        }
        self.send(from, NodeMessage::OwnershipAnswer { run, busy });
    }

    pub(super) fn ownership_answer(&mut self, now: Instant, from: NodeId, run: RunId, busy: bool) {
        let Some(owned) = self.runs.get_mut(&run) else {
            return;
        };
        let Ownership::Asking { unanswered, .. } = &mut owned.ownership else {
            return;
        };
        if busy {
            let pending = std::mem::take(&mut owned.pending);
            self.runs.remove(&run);
            for waiting in pending {
                self.answer(waiting.request, OwnerAnswer::AskOther { owner: from });
            }
            return;
        }
        unanswered.retain(|node| *node != from);
        if unanswered.is_empty() {
            self.take_over(now, run);
        }
    }

    /// Goes on without the nodes that did not answer in time.
    pub(super) fn check_query(&mut self, now: Instant, run: RunId) {
        let ownership = self.runs.get(&run).map(|owned| &owned.ownership);
        if let Some(Ownership::Asking { until, .. }) = ownership
            && now >= *until
        {
            self.take_over(now, run);
        }
    }

    /// Claims a run from its replicas.
    pub(super) fn take_over(&mut self, now: Instant, run: RunId) {
        self.outputs.metrics.takeovers.inc();
        let contacts = self.directory.replicas_of(run);
        self.claim_among(now, run, &contacts);
    }

    /// Claims a run from those of these nodes that hold it.
    pub(super) fn claim_among(&mut self, now: Instant, run: RunId, contacts: &[NodeId]) {
        let instance = self.new_number().max(1);
        let (owner, effects) = RunOwner::take_over(
            run,
            self.node,
            instance,
            Ballot::ZERO,
            contacts,
            OwnerSettings::default(),
            self.clock.now(),
        );
        let ownership = Ownership::Owner(Box::new(owner));
        let mut owned = match self.runs.remove(&run) {
            Some(known) => OwnedRun { ownership, ..known },
            None => OwnedRun::new(run, ownership, now),
        };
        owned.named_replicas = Some(self.directory.replicas_of(run));
        self.runs.insert(run, owned);
        self.carry_out(now, run, effects);
    }

    /// A claim asks the replicas that were known when it began. Where more of them are known before
    /// it is won, it begins anew: those asked first may be down or too few for a majority.
    pub(super) fn check_contacts(&mut self, now: Instant, run: RunId) {
        let replicas = self.directory.replicas_of(run);
        let owned = self.runs.get(&run);
        if owned.is_some_and(|owned| owned.claimed_without(&replicas)) {
            self.take_over(now, run);
        }
    }

    /// A claim that is not won is made again among all nodes with a disk, for a second out of every
    /// few: replicas that the run's number names may all have been replaced.
    pub(super) fn check_claim(&mut self, now: Instant, run: RunId) {
        let Some(owned) = self.runs.get_mut(&run) else {
            return;
        };
        let claiming = owned
            .owner()
            .is_some_and(|owner| owner.replicas().is_empty());
        if !claiming {
            return;
        }
        let claimed_at = *owned.claimed_at.get_or_insert(now);
        let seconds = now.saturating_duration_since(claimed_at).as_secs();
        let widely = seconds % WIDE_CLAIM_SECONDS == 1;
        if widely == owned.claims_widely {
            return;
        }
        owned.claims_widely = widely;
        let contacts = if widely {
            self.directory.present_disk_nodes()
        } else {
            self.directory.replicas_of(run)
        };
        self.claim_among(now, run, &contacts);
    }
}
