//! The attempts that a back end knows: at most one execution of each, fencing and cancellation.
//!
//! Kept in memory for as long as the process lives, and lost with it: a restarted back end knows no
//! attempt, as a real one would not.

use std::collections::HashMap;
use std::str::FromStr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::Duration;

use ridgeworks_domain::{CallKey, Cost, RunId, Sequence};
use ridgeworks_history::HistoryClock;
use serde::Serialize;

use crate::failure::Failure;
use crate::incoming::{Incoming, path_value};

/// Names one sending of a call.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AttemptKey {
    /// The run.
    pub run: RunId,
    /// The call.
    pub call: CallKey,
    /// Number of the attempt.
    pub attempt: u32,
}

impl AttemptKey {
    /// Reads the key from three segments of a path.
    pub fn from_path(run: &str, call: &str, attempt: &str) -> Result<Self, Failure> {
        Ok(Self {
            run: path_value(run, "run")?,
            call: path_value(call, "call")?,
            attempt: path_value(attempt, "attempt")?,
        })
    }
}

/// What the headers of a call say.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallHeaders {
    /// The attempt, unless the caller named no run.
    pub key: Option<AttemptKey>,
    /// The call's position in its run; there whenever the key is.
    pub sequence: Option<Sequence>,
}

impl CallHeaders {
    /// Reads the headers; without a run the caller is a plain client.
    pub fn read(incoming: &Incoming) -> Result<Self, Failure> {
        let Some(run) = incoming.parsed_header("x-ridgeworks-run")? else {
            return Ok(Self {
                key: None,
                sequence: None,
            });
        };
        let key = AttemptKey {
            run,
            call: required_header(incoming, "x-ridgeworks-call")?,
            attempt: required_header(incoming, "x-ridgeworks-attempt")?,
        };
        let sequence = required_header(incoming, "x-ridgeworks-sequence")?;
        Ok(Self {
            key: Some(key),
            sequence: Some(Sequence(sequence)),
        })
    }
}

fn required_header<T: FromStr>(incoming: &Incoming, name: &'static str) -> Result<T, Failure> {
    let value = incoming.parsed_header(name)?;
    value.ok_or(Failure::InvalidField(name))
}

/// How far an attempt has come, as the API shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum AttemptState {
    /// Accepted, not yet begun.
    Queued,
    /// Being executed.
    Running,
    /// Took effect.
    Finished {
        /// The answer: a model's message content, a tool's whole body.
        answer: String,
        /// What it cost.
        spent: Cost,
    },
    /// Had begun and was cut short.
    Cancelled {
        /// What it cost until then.
        spent: Cost,
    },
    /// Never began and never will.
    NeverStarted,
}

impl AttemptState {
    /// Whether the state can change no more.
    pub fn is_final(&self) -> bool {
        !matches!(self, Self::Queued | Self::Running)
    }
}

/// Answer about an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct AttemptAnswer {
    /// How far it has come, as far as this instance of the back end knows.
    #[serde(flatten)]
    pub state: AttemptState,
    /// When the instance started; another one knew other attempts.
    pub instance: u64,
}

/// What of an attempt changes.
#[derive(Debug)]
pub struct Progress {
    /// How far it has come.
    pub state: AttemptState,
    /// Tokens produced.
    pub produced: usize,
    /// Tokens of the prompt that were found in the cache.
    pub cached_tokens: u64,
    /// When it began, in microseconds of the machine's monotonic clock.
    pub started_at_us: Option<u64>,
}

/// One attempt.
#[derive(Debug)]
pub struct Attempt<Plan> {
    /// What is to be done.
    pub plan: Plan,
    progress: Mutex<Progress>,
    changed: Condvar,
}

impl<Plan> Attempt<Plan> {
    /// An attempt that has not begun.
    pub fn new(plan: Plan) -> Self {
        let state = AttemptState::Queued;
        Self {
            plan,
            progress: Mutex::new(Progress {
                state,
                produced: 0,
                cached_tokens: 0,
                started_at_us: None,
            }),
            changed: Condvar::new(),
        }
    }

    /// Locks the progress.
    pub fn progress(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().expect("no holder of this lock panics")
    }

    /// Changes the progress under its lock and wakes those who wait.
    pub fn update<T>(&self, change: impl FnOnce(&mut Progress) -> T) -> T {
        let result = change(&mut self.progress());
        self.changed.notify_all();
        result
    }

    /// Waits until more than `seen` tokens stand or the attempt ended; returns both.
    pub fn wait_beyond(&self, seen: usize) -> (usize, AttemptState) {
        let waiting =
            |progress: &mut Progress| progress.produced <= seen && !progress.state.is_final();
        let progress = self
            .changed
            .wait_while(self.progress(), waiting)
            .expect("no holder of this lock panics");
        (progress.produced, progress.state.clone())
    }

    /// Waits until the attempt ended, at most for `patience`.
    pub fn wait_at_most(&self, patience: Duration) -> AttemptState {
        let waiting = |progress: &mut Progress| !progress.state.is_final();
        let waited = self
            .changed
            .wait_timeout_while(self.progress(), patience, waiting);
        let (progress, _) = waited.expect("no holder of this lock panics");
        progress.state.clone()
    }

    /// Waits until the attempt ended.
    pub fn wait_for_end(&self) -> AttemptState {
        self.wait_beyond(usize::MAX).1
    }
}

/// What a new request finds.
pub enum Begin<Plan> {
    /// It is the first of its attempt.
    New(Arc<Attempt<Plan>>),
    /// The attempt is known: the request joins it.
    Known(Arc<Attempt<Plan>>),
}

type Entry<Plan> = Option<Arc<Attempt<Plan>>>;

/// All attempts of a back end.
#[derive(Debug)]
pub struct AttemptRegistry<Plan> {
    /// `None` stands for an attempt that was fenced before its request came.
    attempts: Mutex<HashMap<AttemptKey, Entry<Plan>>>,
    instance: u64,
}

impl<Plan> Default for AttemptRegistry<Plan> {
    fn default() -> Self {
        Self {
            attempts: Mutex::default(),
            instance: HistoryClock.now_micros(),
        }
    }
}

impl<Plan> AttemptRegistry<Plan> {
    fn entries(&self) -> MutexGuard<'_, HashMap<AttemptKey, Entry<Plan>>> {
        self.attempts.lock().expect("no holder of this lock panics")
    }

    /// Registers an attempt unless it is known; one that is refused leaves no trace.
    pub fn begin(
        &self,
        key: &AttemptKey,
        plan: impl FnOnce() -> Result<Plan, Failure>,
    ) -> Result<Begin<Plan>, Failure> {
        let mut entries = self.entries();
        match entries.get(key) {
            Some(Some(attempt)) => Ok(Begin::Known(Arc::clone(attempt))),
            Some(None) => Err(Failure::AttemptFenced),
            None => {
                let attempt = Arc::new(Attempt::new(plan()?));
                entries.insert(key.clone(), Some(Arc::clone(&attempt)));
                Ok(Begin::New(attempt))
            }
        }
    }

    /// The attempt, if its request came.
    pub fn find(&self, key: &AttemptKey) -> Option<Arc<Attempt<Plan>>> {
        self.entries().get(key).cloned().flatten()
    }

    /// When this instance of the back end started, in microseconds of the machine's monotonic clock.
    pub fn instance(&self) -> u64 {
        self.instance
    }

    /// How far the attempt has come.
    pub fn state(&self, key: &AttemptKey) -> Result<AttemptAnswer, Failure> {
        let state = match self.entries().get(key) {
            None => return Err(Failure::NotFound),
            Some(None) => AttemptState::NeverStarted,
            Some(Some(attempt)) => attempt.progress().state.clone(),
        };
        Ok(self.answer(state))
    }

    fn answer(&self, state: AttemptState) -> AttemptAnswer {
        AttemptAnswer {
            state,
            instance: self.instance,
        }
    }

    /// Sees to it that the attempt makes no further progress, and says how it ended. `cancel` gives
    /// the end of one that is running.
    pub fn fence(
        &self,
        key: &AttemptKey,
        cancel: impl FnOnce(&Plan, &Progress) -> AttemptState,
    ) -> AttemptAnswer {
        let mut entries = self.entries();
        let Some(attempt) = entries.entry(key.clone()).or_insert(None) else {
            return self.answer(AttemptState::NeverStarted);
        };
        let state = attempt.update(|progress| {
            match progress.state {
                AttemptState::Queued => progress.state = AttemptState::NeverStarted,
                AttemptState::Running => progress.state = cancel(&attempt.plan, progress),
                _ => {}
            }
            progress.state.clone()
        });
        self.answer(state)
    }
}
