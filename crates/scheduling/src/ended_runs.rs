//! Memory of runs that ended lately, so that late events cannot bring their contexts back.

use std::collections::{HashSet, VecDeque};

use ridgeworks_domain::RunId;

const MAX_REMEMBERED: usize = 50_000;

/// The runs that ended last.
#[derive(Debug, Default)]
pub struct EndedRuns {
    runs: HashSet<RunId>,
    order: VecDeque<RunId>,
}

impl EndedRuns {
    /// Remembers a run; the oldest one is forgotten when there are too many.
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

    /// Whether the run ended.
    pub fn contains(&self, run: RunId) -> bool {
        self.runs.contains(&run)
    }
}
