//! Recently ended runs, so that delayed cache events do not leave their contexts in engines.

use std::collections::{HashSet, VecDeque};

use ridgeworks_domain::RunId;

const MAX_REMEMBERED: usize = 50_000;

/// Set of recently ended runs, bounded in size.
#[derive(Debug, Default)]
pub struct EndedRuns {
    runs: HashSet<RunId>,
    order: VecDeque<RunId>,
}

impl EndedRuns {
    /// Adds a run; drops the oldest one if the set is full.
    pub fn insert(&mut self, run: RunId) {
        if !self.runs.insert(run) {
            return;
        }
        self.order.push_back(run);
        if self.order.len() > MAX_REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.runs.remove(&oldest);
        }
    }

    /// Whether the run ended recently.
    pub fn contains(&self, run: RunId) -> bool {
        self.runs.contains(&run)
    }
}
