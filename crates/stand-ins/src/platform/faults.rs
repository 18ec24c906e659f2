//! Faults that tests switch on: the platform down, slow, or losing answers after the effect.

use std::sync::{Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How the platform behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// As it should.
    #[default]
    Up,
    /// Every request's connection is closed without effect or answer, and watches end.
    Down,
    /// Every request waits first.
    Slow,
}

/// Body of `POST /fault`; what is missing stays as it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRequest {
    /// How to behave.
    pub mode: Option<Mode>,
    /// How long requests wait while slow, in milliseconds.
    pub delay_ms: Option<u64>,
    /// How many of the next changes take effect without an answer.
    pub lost_answers: Option<u64>,
}

/// The faults that are on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct FaultState {
    /// How the platform behaves.
    pub mode: Mode,
    /// How long requests wait while slow, in milliseconds.
    pub delay_ms: u64,
    /// How many changes will still lose their answer.
    pub lost_answers: u64,
}

/// The faults that are on, shared between request threads.
#[derive(Debug, Default)]
pub struct Faults {
    state: Mutex<FaultState>,
}

impl Faults {
    fn lock(&self) -> MutexGuard<'_, FaultState> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Switches faults.
    pub fn set(&self, request: FaultRequest) -> FaultState {
        let mut state = self.lock();
        state.mode = request.mode.unwrap_or(state.mode);
        state.delay_ms = request.delay_ms.unwrap_or(state.delay_ms);
        state.lost_answers = request.lost_answers.unwrap_or(state.lost_answers);
        *state
    }

    /// Whether the platform is down.
    pub fn is_down(&self) -> bool {
        self.lock().mode == Mode::Down
    }

    /// Waits as long as a slow platform does.
    pub fn wait_while_slow(&self) {
        let state = *self.lock();
        if state.mode == Mode::Slow {
            thread::sleep(Duration::from_millis(state.delay_ms));
        }
    }

    /// Whether the answer to a change that took effect is to be lost; counts it.
    pub fn takes_answer(&self) -> bool {
        let mut state = self.lock();
        let is_lost = state.lost_answers > 0;
        state.lost_answers = state.lost_answers.saturating_sub(1);
        is_lost
    }
}
