//! The runs that this node owns or takes over, and which of them may have something under way.
//!
//! Most owned runs are idle: their program thinks, or waits for a person. What is done every tick
//! therefore looks at the active runs only, so that its cost does not grow with the idle ones.

use std::collections::{HashMap, HashSet};

use ridgeworks_domain::RunId;

use super::owned_run::OwnedRun;

/// All runs of the owner role.
#[derive(Default)]
pub struct OwnedRuns {
    runs: HashMap<RunId, OwnedRun>,
    /// Runs handed out to be changed since they were last seen idle. A run that is not idle is always
    /// among them: nothing else changes a run.
    active: HashSet<RunId>,
}

impl OwnedRuns {
    /// The run, if this node has it.
    pub fn get(&self, run: &RunId) -> Option<&OwnedRun> {
        self.runs.get(run)
    }

    /// The same, to be changed; the run counts as active from now on.
    pub fn get_mut(&mut self, run: &RunId) -> Option<&mut OwnedRun> {
        let owned = self.runs.get_mut(run)?;
        self.active.insert(*run);
        Some(owned)
    }

    /// Puts a run in.
    pub fn insert(&mut self, run: RunId, owned: OwnedRun) {
        self.active.insert(run);
        self.runs.insert(run, owned);
    }

    /// Takes a run out.
    pub fn remove(&mut self, run: &RunId) -> Option<OwnedRun> {
        self.active.remove(run);
        self.runs.remove(run)
    }

    /// Whether this node has the run.
    pub fn contains_key(&self, run: &RunId) -> bool {
        self.runs.contains_key(run)
    }

    /// How many runs there are.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// All runs.
    pub fn values(&self) -> impl Iterator<Item = &OwnedRun> {
        self.runs.values()
    }

    /// The active runs, every run that is not idle among them.
    pub fn active(&self) -> impl Iterator<Item = &OwnedRun> {
        self.active.iter().filter_map(|run| self.runs.get(run))
    }

    /// The runs that are not idle. Those that became idle are no longer active.
    pub fn busy(&mut self) -> Vec<RunId> {
        let runs = &self.runs;
        let is_busy = |run: &RunId| runs.get(run).is_some_and(|owned| !owned.is_idle());
        self.active.retain(is_busy);
        self.active.iter().copied().collect()
    }

    /// Drops the runs for which `keep` says no.
    pub fn retain(&mut self, mut keep: impl FnMut(&OwnedRun) -> bool) {
        let active = &mut self.active;
        self.runs.retain(|run, owned| {
            let kept = keep(owned);
            if !kept {
                active.remove(run);
            }
            kept
        });
    }
}
