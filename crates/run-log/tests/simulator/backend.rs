//! A back end that executes and fences attempts, identified by run, call and attempt.

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

/// Result of an attempt's arrival at a back end.
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

    /// Finishes an execution. Returns answer and cost, or `None` if it was cancelled or the back end is gone.
    pub fn finish(&mut self, key: AttemptKey) -> Option<(Vec<u8>, Cost)> {
        let progress = self.attempts.get_mut(&key).filter(|_| !self.gone)?;
        let Progress::Running { answer, spent } = progress.clone() else {
            return None;
        };
        let ended = (answer.clone(), spent);
        *progress = Progress::Finished { answer, spent };
        Some(ended)
    }

    /// Fences an attempt. Reports the cost of a stopped execution for every other attempt only.
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
                // A stopped execution whose cost isn't reported keeps its full cost.
                let so_far = if reports_cost(key) {
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

fn reports_cost((_, call, attempt): AttemptKey) -> bool {
    (call.0 + u64::from(attempt)).is_multiple_of(2)
}

fn stopped(key: AttemptKey, spent: Cost) -> AttemptResolution {
    if reports_cost(key) {
        AttemptResolution::Stopped { spent }
    } else {
        AttemptResolution::Cancelled
    }
}
