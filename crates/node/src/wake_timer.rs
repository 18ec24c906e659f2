//! One timer that is set anew after every event.

use stakker::{Core, FixedTimerKey};

/// Holds at most one timer: setting another one deletes the one before.
///
/// A `MaxTimer` of `stakker` moves later only and a `MinTimer` earlier only; a state machine's next
/// timer moves both ways. A timer whose key is merely dropped still fires.
#[derive(Debug, Default)]
pub struct WakeTimer {
    set: Option<FixedTimerKey>,
}

impl WakeTimer {
    /// Takes the key of a timer that was added just now in place of the one before.
    pub fn replace(&mut self, core: &mut Core, key: FixedTimerKey) {
        if let Some(before) = self.set.replace(key) {
            // One that fired already is not found.
            core.timer_del(before);
        }
    }
}
