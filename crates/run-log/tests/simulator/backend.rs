//! A back end that knows attempts by (run, call, attempt), counts executions and fences.

use std::collections::{BTreeMap, BTreeSet};

use ridgeworks_domain::{CallRequest, Cost, RunId, Sequence};
use ridgeworks_run_log::AttemptFate;

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
    Cancelled,
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

    pub fn fence(&mut self, key: AttemptKey) -> AttemptFate {
        if self.gone {
            return AttemptFate::Unreachable;
        }
        self.fenced.insert(key);
        match self.attempts.get_mut(&key) {
            None => AttemptFate::NeverStarted,
            Some(Progress::Finished { answer, spent }) => AttemptFate::Finished {
                answer: answer.clone(),
                spent: *spent,
            },
            Some(progress) => {
                *progress = Progress::Cancelled;
                AttemptFate::Cancelled
            }
        }
    }
}
