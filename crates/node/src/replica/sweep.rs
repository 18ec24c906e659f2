//! Finds owners for runs that lack one, and for runs that lack a replica.

use std::collections::BTreeMap;
use std::time::Duration;

use ridgeworks_domain::{Ballot, NodeId, RunId};
use ridgeworks_run_log::entry::ReplicaId;
use stakker::{CX, after};

use super::adoption_sweep::{AdoptionSweep, MAX_ADOPTIONS_PER_STEP};
use super::log_store::StoredLog;
use super::role::ReplicaRole;
use crate::clock::Clock;
use crate::directory::Directory;
use crate::message::NodeMessage;
use crate::router::Outgoing;
use crate::settings::SweepSettings;

/// Time between two steps, in which both sweeps go on.
const STEP_INTERVAL: Duration = Duration::from_secs(2);
/// Runs whose replica set is read from the disk in one step.
const RUNS_READ_PER_STEP: usize = 512;

/// How far the sweeps have come.
pub struct RunSweeps {
    directory: Directory,
    settings: SweepSettings,
    adoptions: AdoptionSweep,
    /// The run after which the next replica sets are read.
    next_read: Option<RunId>,
}

impl RunSweeps {
    /// Sweeps that begin with the first run.
    pub fn new(directory: Directory, settings: SweepSettings) -> Self {
        Self {
            directory,
            settings,
            adoptions: AdoptionSweep::default(),
            next_read: None,
        }
    }

    /// The process's clock.
    pub fn clock(&self) -> Clock {
        self.directory.clock()
    }
}

impl ReplicaRole {
    /// Takes a step of both sweeps.
    pub(super) fn find_owners(&mut self, cx: CX![]) {
        self.adopt_unsettled();
        self.adopt_incomplete();
        after!(STEP_INTERVAL, [cx], find_owners());
    }

    /// Runs with a call or an end under way whose owner has been silent.
    fn adopt_unsettled(&mut self) {
        let now = self.clock.now();
        let silent_for = self.sweeps.settings.silent_time();
        let unsettled: BTreeMap<RunId, Ballot> = self
            .replica
            .runs_with_pending_work(now, silent_for)
            .map(|(run, head)| (run, head.promised))
            .collect();
        let due = self.sweeps.adoptions.step(now, unsettled.keys().copied());
        let owners = due.into_iter().filter_map(|run| {
            let last_owner = unsettled.get(&run)?.node;
            let owner = self.sweeps.directory.owner_or_candidate(run, last_owner)?;
            Some((owner, run))
        });
        self.ask_owners(owners.collect());
    }

    /// Runs one of whose replicas is lost for good. Goes through all runs held, some in each step.
    fn adopt_incomplete(&mut self) {
        let own = self.replica.identity();
        let runs = self
            .replica
            .open_runs(self.sweeps.next_read, RUNS_READ_PER_STEP);
        self.sweeps.next_read = runs.last().copied();
        let mut lacking = Vec::new();
        for run in runs {
            if lacking.len() == MAX_ADOPTIONS_PER_STEP {
                // The rest comes with the next step.
                self.sweeps.next_read = Some(run);
                break;
            }
            let members = self.replica.members(run, &StoredLog(&self.store));
            let is_member = members.iter().any(|member| member.same_acceptor(own));
            if is_member && self.can_be_completed(run, &members) {
                self.log_changed_stores(run, &members);
                lacking.push(run);
            }
        }
        let owners = lacking.into_iter().filter_map(|run| {
            let last_owner = self.replica.head(run)?.promised.node;
            let owner = self.sweeps.directory.owner_or_candidate(run, last_owner)?;
            Some((owner, run))
        });
        self.ask_owners(owners.collect());
    }

    /// Whether a replica is lost for which there is another: else an owner would append to the log to no end.
    fn can_be_completed(&self, run: RunId, members: &[ReplicaId]) -> bool {
        let dead_time = self.sweeps.settings.dead_time();
        members.iter().any(|member| {
            let absent = self.sweeps.directory.is_absent_for(member.node, dead_time);
            let replacement = || self.sweeps.directory.replacement_for(run, members, *member);
            self.sweeps.directory.has_replaced_store(*member) || absent && replacement().is_some()
        })
    }

    /// Said here, where it is decided by: the owner may not have heard of the new store yet when it is asked to look.
    fn log_changed_stores(&self, run: RunId, members: &[ReplicaId]) {
        for member in members {
            if self.sweeps.directory.has_replaced_store(*member) {
                let node = member.node.0;
                log::info!("run={run} replica={node} has another store");
            }
        }
    }

    fn ask_owners(&self, runs: Vec<(NodeId, RunId)>) {
        let mut by_owner: BTreeMap<NodeId, Vec<RunId>> = BTreeMap::new();
        for (owner, run) in runs {
            by_owner.entry(owner).or_default().push(run);
        }
        for (to, runs) in by_owner {
            let message = NodeMessage::AdoptRuns {
                runs,
                forwarded: false,
            };
            self.outgoing.fwd(Outgoing { to, message });
        }
    }
}
