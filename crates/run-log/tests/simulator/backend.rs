//! A back end that knows attempts by (run, call, attempt), counts executions and fences.

use std::collections::{BTreeMap, BTreeSet};

use ridgeworks_domain::{CallRequest, Cost, RunId, Sequence};
use ridgeworks_run_log::AttemptResolution;

pub type AttemptKey = (RunId, Sequence, u32);

#[derive(Debug, Clone)]
pub struct Execution {
    pub run: RunId,
    pub call: Sequence,
    pub at: u64,
    pub cost: Cost,
    pub repeatable: bool,
    pub answer: Vec<u8>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Progress {
    Running { answer: Vec<u8>, spent: Cost },
    Finished { answer: Vec<u8>, spent: Cost },
    Cancelled(Cost),
}

#[derive(Default)]
pub struct SimulatedBackend {
    pub gone: bool,
    fenced: BTreeSet<AttemptKey>,
    attempts: BTreeMap<AttemptKey, Progress>,
}

/// What an arriving attempt meets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Arrival {
    Started,
    Refused,
    Lost,
}

impl SimulatedBackend {
    pub fn arrive(
        &mut self,
        key: AttemptKey,
        request: &CallRequest,
        cost: Cost,
        at: u64,
        executions: &mut Vec<Execution>,
    ) -> Arrival {
        if self.gone {
            return Arrival::Lost;
        }
        if self.fenced.contains(&key) {
            return Arrival::Refused;
        }
        let answer = format!("{}/{}/{}", key.0, key.1, key.2).into_bytes();
        let spent = cost;
        executions.push(Execution {
            run: key.0,
            call: key.1,
            at,
            cost,
            repeatable: request.repeatable,
            answer: answer.clone(),
        });
        self.attempts
            .insert(key, Progress::Running { answer, spent });
        Arrival::Started
    }

    /// The end of an execution: answer and cost, unless it was cancelled or the back end is gone.
    pub fn finish(&mut self, key: AttemptKey) -> Option<(Vec<u8>, Cost)> {
        let progress = self.attempts.get_mut(&key).filter(|_| !self.gone)?;
        let Progress::Running { answer, spent } = progress.clone() else {
            return None;
        };
        let ended = (answer.clone(), spent);
        *progress = Progress::Finished { answer, spent };
        Some(ended)
    }

    /// Stops an attempt for good. What it had cost until then is told for every other attempt only.
    pub fn fence(&mut self, key: AttemptKey, executions: &mut [Execution]) -> AttemptResolution {
        if self.gone {
            return AttemptResolution::Unreachable;
        }
        self.fenced.insert(key);
        match self.attempts.get_mut(&key) {
            None => AttemptResolution::NeverStarted,
            Some(Progress::Finished { answer, spent }) => AttemptResolution::Finished {
                answer: answer.clone(),
                spent: *spent,
            },
            Some(Progress::Cancelled(spent)) => stopped(key, *spent),
            Some(Progress::Running { answer, spent }) => {
                // An execution whose cost isn't told may have cost all.
                let so_far = if tells_cost(key) {
                    Cost(spent.0 / 2)
                } else {
                    *spent
                };
                for execution in executions {
                    if execution.run == key.0 && execution.answer == *answer {
                        execution.cost = so_far;
                    }
                }
                self.attempts.insert(key, Progress::Cancelled(so_far));
                stopped(key, so_far)
            }
        }
    }
}

fn tells_cost((_, call, attempt): AttemptKey) -> bool {
    (call.0 + u64::from(attempt)).is_multiple_of(2)
}

fn stopped(key: AttemptKey, spent: Cost) -> AttemptResolution {
    if tells_cost(key) {
        AttemptResolution::Stopped { spent }
    } else {
        AttemptResolution::Cancelled
    }
}
