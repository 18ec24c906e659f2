//! The dispatcher: the only queue in front of the back ends of one service.

use ridgeworks_domain::MonotonicTime;

use crate::effect::Effect;
use crate::event::Event;
use crate::settings::DispatcherSettings;

/// Queue, grants in flight and cache map of one group of back ends. Holds nothing durable: after a
/// crash owners ask again.
#[derive(Debug)]
pub struct Dispatcher {
    settings: DispatcherSettings,
    effects: Vec<Effect>,
}

impl Dispatcher {
    /// A dispatcher without back ends.
    pub fn new(settings: DispatcherSettings) -> Self {
        Self {
            settings,
            effects: Vec::new(),
        }
    }

    /// Takes one event and returns what is to be done, in order.
    pub fn handle(&mut self, now: MonotonicTime, event: Event) -> Vec<Effect> {
        let _ = (now, event, &self.settings);
        std::mem::take(&mut self.effects)
    }

    /// Calls that wait for a slot.
    pub fn queued(&self) -> usize {
        0
    }

    /// Grants that have not ended.
    pub fn in_flight(&self) -> usize {
        0
    }
}
