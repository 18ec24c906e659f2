//! Backends of the group: slots, health and last reported load.

use std::collections::{BTreeMap, HashMap, VecDeque};

use ridgeworks_domain::BackendName;
use ridgeworks_domain::objects::Backend;

use crate::ejection::{Ejection, Health};
use crate::event::LoadReport;

/// Identifier of a backend within one dispatcher; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendIndex(pub u32);

/// State of one backend as known to the dispatcher.
#[derive(Debug, Clone)]
pub struct BackendState {
    /// Registered description: name, address, slots.
    pub backend: Backend,
    /// Whether it is draining and accepts no new calls.
    pub leaving: bool,
    /// Failure record and health.
    pub ejection: Ejection,
    /// Slots taken by grants, including urgent ones.
    pub in_flight: u32,
    /// Cache tokens that the calls in flight may occupy.
    pub reserved_tokens: u64,
    /// Running and waiting calls in its last load report.
    pub reported_calls: u32,
    /// Capacity of its prefix cache, in tokens.
    pub cache_capacity: u64,
    /// Slots reserved for urgent calls.
    pub reserve: u32,
}

impl BackendState {
    /// Whether it is neither leaving nor ejected. It may have no free slot.
    pub fn accepts(&self) -> bool {
        !self.leaving && !matches!(self.ejection.health(), Health::Ejected(_))
    }

    /// Whether it accepts calls and has a free slot for an urgent or a routine call.
    pub fn has_slot(&self, urgent: bool) -> bool {
        self.accepts() && self.in_flight < self.limit(urgent)
    }

    /// Maximum number of concurrent grants, given its health.
    pub fn limit(&self, urgent: bool) -> u32 {
        match self.ejection.health() {
            Health::Ejected(_) => 0,
            Health::Probing => 1,
            Health::Healthy if urgent => self.backend.slots,
            Health::Healthy => self.backend.slots - self.reserve,
        }
    }
}

/// Maximum number of remembered names of leaving backends.
const MAX_LEAVING_NAMES: usize = 1_000;

/// Backends of the group, by index and by name.
#[derive(Debug, Default)]
pub struct BackendTable {
    states: BTreeMap<BackendIndex, BackendState>,
    by_name: HashMap<BackendName, BackendIndex>,
    leaving_names: VecDeque<BackendName>,
    next_index: u32,
}

impl BackendTable {
    /// Adds a backend or updates its description. A leaving backend stays leaving, even if it was
    /// marked before it was added: backend lists may be outdated, and a name is never reused when a
    /// machine starts again.
    pub fn upsert(&mut self, backend: Backend, reserve: u32, cache_capacity: u64) -> BackendIndex {
        if let Some(index) = self.by_name.get(&backend.name) {
            if let Some(state) = self.states.get_mut(index) {
                state.backend = backend;
                state.reserve = reserve;
            }
            return *index;
        }
        let index = BackendIndex(self.next_index);
        self.next_index += 1;
        self.by_name.insert(backend.name.clone(), index);
        let state = BackendState {
            leaving: self.leaving_names.contains(&backend.name),
            backend,
            ejection: Ejection::default(),
            in_flight: 0,
            reserved_tokens: 0,
            reported_calls: 0,
            cache_capacity,
            reserve,
        };
        self.states.insert(index, state);
        index
    }

    /// Marks a backend as leaving, even if it is not known yet. Returns its index if it is known.
    pub fn set_leaving(&mut self, name: &BackendName) -> Option<BackendIndex> {
        if !self.leaving_names.contains(name) {
            self.leaving_names.push_back(name.clone());
        }
        if self.leaving_names.len() > MAX_LEAVING_NAMES {
            self.leaving_names.pop_front();
        }
        let index = self.index(name)?;
        self.get_mut(index)?.leaving = true;
        Some(index)
    }

    /// Removes a backend and returns the index that it had.
    pub fn remove(&mut self, name: &BackendName) -> Option<BackendIndex> {
        let index = self.by_name.remove(name)?;
        self.states.remove(&index);
        Some(index)
    }

    /// Index of the backend with this name, if it is known.
    pub fn index(&self, name: &BackendName) -> Option<BackendIndex> {
        self.by_name.get(name).copied()
    }

    /// State of a backend; `None` once it has been removed.
    pub fn get(&self, index: BackendIndex) -> Option<&BackendState> {
        self.states.get(&index)
    }

    /// Mutable state of a backend; `None` once it has been removed.
    pub fn get_mut(&mut self, index: BackendIndex) -> Option<&mut BackendState> {
        self.states.get_mut(&index)
    }

    /// All backends in order of their indices.
    pub fn iter(&self) -> impl Iterator<Item = (BackendIndex, &BackendState)> {
        self.states.iter().map(|(index, state)| (*index, state))
    }

    /// All backends in order of their indices, with mutable state.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (BackendIndex, &mut BackendState)> {
        self.states.iter_mut().map(|(index, state)| (*index, state))
    }

    /// Stores the load and cache capacity of a report; reports of unknown backends are ignored.
    pub fn record_report(&mut self, report: &LoadReport) {
        let Some(index) = self.index(&report.backend) else {
            return;
        };
        if let Some(state) = self.states.get_mut(&index) {
            state.reported_calls = report.running + report.waiting;
            // An engine that does not report its capacity keeps the default.
            if report.cache_capacity_tokens > 0 {
                state.cache_capacity = report.cache_capacity_tokens;
            }
        }
    }

    /// Slots for routine calls at all accepting backends, free or taken.
    pub fn routine_slots(&self) -> u64 {
        let accepting = self.states.values().filter(|state| state.accepts());
        accepting.map(|state| u64::from(state.limit(false))).sum()
    }

    /// Whether there is a backend that is not leaving. It may be ejected at present.
    pub fn any_remaining(&self) -> bool {
        self.states.values().any(|state| !state.leaving)
    }
}
