//! Counts how often each call took effect.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};

use ridgeworks_domain::{CallKey, RunId};
use serde::Serialize;

use crate::attempts::AttemptKey;

/// How often a call took effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ExecutionCount {
    /// The run.
    pub run: RunId,
    /// The call.
    pub call: CallKey,
    /// Its effects, over all attempts.
    pub count: u64,
}

/// The counts, shared between request threads.
#[derive(Debug, Default)]
pub struct Executions {
    counts: Mutex<BTreeMap<(RunId, CallKey), u64>>,
}

impl Executions {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<(RunId, CallKey), u64>> {
        self.counts.lock().expect("no holder of this lock panics")
    }

    /// Counts one effect.
    pub fn add(&self, key: &AttemptKey) {
        let mut counts = self.lock();
        *counts.entry((key.run, key.call.clone())).or_default() += 1;
    }

    /// All counts, by run and call.
    pub fn list(&self) -> Vec<ExecutionCount> {
        let counts = self.lock();
        let listed = counts.iter().map(|((run, call), count)| ExecutionCount {
            run: *run,
            call: call.clone(),
            count: *count,
        });
        listed.collect()
    }
}
