//! Dispatcher: handles backends that join, leave or fail.

use ridgeworks_domain::objects::Backend;
use ridgeworks_domain::{BackendName, MonotonicTime};

use crate::dispatcher::Dispatcher;
use crate::settings::DispatcherSettings;

impl Dispatcher {
    /// Adds a backend or updates its description, and grants its free slots.
    pub(crate) fn backend_up(&mut self, now: MonotonicTime, backend: Backend) {
        let reserves_slots = backend.slots >= DispatcherSettings::MIN_SLOTS_FOR_RESERVE;
        let reserve = if reserves_slots && self.settings.policy.urgent_first {
            self.settings.urgent_reserve.min(backend.slots - 1)
        } else {
            0
        };
        let capacity = self.settings.default_cache_tokens;
        let index = self.backends.upsert(backend, reserve, capacity);
        self.fill(now, index);
    }

    /// Stops granting slots of a backend and places the calls that wait for it elsewhere.
    pub(crate) fn backend_leaving(&mut self, now: MonotonicTime, name: &BackendName) {
        let Some(index) = self.backends.set_leaving(name) else {
            return;
        };
        self.requeue_moving(now, index);
        self.place_waiting_elsewhere(now, index);
    }

    /// Removes a backend with its grants and contexts, and places the calls that wait for it
    /// elsewhere.
    pub(crate) fn backend_gone(&mut self, now: MonotonicTime, name: &BackendName) {
        let Some(index) = self.backends.index(name) else {
            return;
        };
        if let Some(state) = self.backends.get_mut(index) {
            state.leaving = true;
        }
        self.requeue_moving(now, index);
        for ticket in self.grants.at_backend(index) {
            if let Some(grant) = self.grants.remove(ticket) {
                self.free_slot(&grant);
            }
        }
        self.backends.remove(name);
        self.prefixes.forget_engine(index);
        self.retention.forget_engine(index);
        self.place_waiting_elsewhere(now, index);
    }
}
