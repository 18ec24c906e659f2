//! Takes over runs for which no caller asks: to end what their last owner left, or to complete their replicas.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use ridgeworks_domain::{NodeId, RunId};
use ridgeworks_run_log::entry::ReplicaId;
use ridgeworks_run_log::event::OwnerEvent;
use stakker::{CX, after};

use super::owned_run::OwnedRun;
use super::role::OwnerRole;
use crate::message::NodeMessage;

/// Time between two looks at the replicas of the runs owned here.
const COMPLETION_INTERVAL: Duration = Duration::from_secs(1);
/// Most replicas that are replaced in one look.
const MAX_REPLACEMENTS: usize = 64;

impl OwnerRole {
    /// Takes over runs, unless they are owned here already or another node is to own them.
    pub(super) fn adopt_runs(&mut self, now: Instant, runs: Vec<RunId>, forwarded: bool) {
        let mut for_others: BTreeMap<NodeId, Vec<RunId>> = BTreeMap::new();
        for run in runs {
            if self.runs.contains_key(&run) {
                self.handle(now, run, OwnerEvent::CheckReplicas);
                continue;
            }
            if self.begin_owning(now, run) {
                continue;
            }
            if let Some(candidate) = self.directory.preferred_owner(run) {
                for_others.entry(candidate).or_default().push(run);
            }
        }
        if forwarded {
            return;
        }
        for (to, runs) in for_others {
            let message = NodeMessage::AdoptRuns {
                runs,
                forwarded: true,
            };
            self.send(to, message);
        }
    }

    /// Replaces replicas that are lost for good. A new disk under an old name is replaced by itself once the owner meets it.
    pub(super) fn complete_replicas(&mut self, cx: CX![]) {
        let now = cx.now();
        let incomplete: Vec<(RunId, ReplicaId, ReplicaId)> = self
            .runs
            .values()
            .filter_map(|owned| self.replacement(owned))
            .take(MAX_REPLACEMENTS)
            .collect();
        for (run, old, new) in incomplete {
            log::info!("run={run} replaces={} by={}", old.node.0, new.node.0);
            self.handle(now, run, OwnerEvent::ReplaceReplica { old, new });
        }
        after!(COMPLETION_INTERVAL, [cx], complete_replicas());
    }

    fn replacement(&self, owned: &OwnedRun) -> Option<(RunId, ReplicaId, ReplicaId)> {
        let owner = owned.owner().filter(|owner| owner.is_ready())?;
        let members = owner.replicas();
        let dead_time = self.sweep_settings.dead_time();
        let absent = |member: &&ReplicaId| self.directory.is_absent_for(member.node, dead_time);
        let old = members.iter().find(absent)?;
        let new = self.directory.replacement_for(owned.run, members, *old)?;
        Some((owned.run, *old, new))
    }
}
