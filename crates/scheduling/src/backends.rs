//! The back ends of the group: slots, health, last reports.

use std::collections::{BTreeMap, HashMap, VecDeque};

use ridgeworks_domain::BackendName;
use ridgeworks_domain::objects::Backend;

use crate::ejection::{Ejection, Health};
use crate::event::LoadReport;

/// Names a back end inside one dispatcher; never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendIndex(pub u32);

/// What the dispatcher knows of one back end.
#[derive(Debug, Clone)]
pub struct BackendState {
    /// Its description.
    pub backend: Backend,
    /// It takes no new calls.
    pub leaving: bool,
    /// Its failure record.
    pub ejection: Ejection,
    /// Slots taken by grants, urgent ones included.
    pub in_flight: u32,
    /// Tokens that the calls in flight may grow to.
    pub reserved_tokens: u64,
    /// Calls that it last reported to run or to hold waiting; late.
    pub reported_calls: u32,
    /// Capacity of its prefix cache, in tokens.
    pub cache_capacity: u64,
    /// Slots that routine calls leave free.
    pub reserve: u32,
}

impl BackendState {
    /// Whether it may get calls at all.
    pub fn accepts(&self) -> bool {
        !self.leaving && !matches!(self.ejection.health(), Health::Ejected(_))
    }

    /// Whether a call may go to it now.
    pub fn has_slot(&self, urgent: bool) -> bool {
        self.accepts() && self.in_flight < self.limit(urgent)
    }

    /// Most grants at a time.
    pub fn limit(&self, urgent: bool) -> u32 {
        match self.ejection.health() {
            Health::Ejected(_) => 0,
            Health::Probing => 1,
            Health::Healthy if urgent => self.backend.slots,
            Health::Healthy => self.backend.slots - self.reserve,
        }
    }
}

/// Names of leaving back ends that are remembered.
const MAX_LEAVING_NAMES: usize = 1_000;

/// All back ends of the group.
#[derive(Debug, Default)]
pub struct BackendTable {
    states: BTreeMap<BackendIndex, BackendState>,
    by_name: HashMap<BackendName, BackendIndex>,
    leaving_names: VecDeque<BackendName>,
    next_index: u32,
}

impl BackendTable {
    /// Adds a back end or renews its description. A leaving one stays leaving, also when its leave
    /// came first: lists lag, and a name is never used for a second start of a machine.
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

    /// Marks a back end as leaving, whether it is known yet or not.
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

    /// Forgets a back end.
    pub fn remove(&mut self, name: &BackendName) -> Option<BackendIndex> {
        let index = self.by_name.remove(name)?;
        self.states.remove(&index);
        Some(index)
    }

    /// Index of a name.
    pub fn index(&self, name: &BackendName) -> Option<BackendIndex> {
        self.by_name.get(name).copied()
    }

    /// State of a back end.
    pub fn get(&self, index: BackendIndex) -> Option<&BackendState> {
        self.states.get(&index)
    }

    /// State of a back end, to be changed.
    pub fn get_mut(&mut self, index: BackendIndex) -> Option<&mut BackendState> {
        self.states.get_mut(&index)
    }

    /// All back ends in a fixed order.
    pub fn iter(&self) -> impl Iterator<Item = (BackendIndex, &BackendState)> {
        self.states.iter().map(|(index, state)| (*index, state))
    }

    /// All back ends in a fixed order, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (BackendIndex, &mut BackendState)> {
        self.states.iter_mut().map(|(index, state)| (*index, state))
    }

    /// Records a load report.
    pub fn record_report(&mut self, report: &LoadReport) {
        let Some(index) = self.index(&report.backend) else {
            return;
        };
        if let Some(state) = self.states.get_mut(&index) {
            state.reported_calls = report.running + report.waiting;
            // An engine that doesn't tell its capacity keeps the default one.
            if report.cache_capacity_tokens > 0 {
                state.cache_capacity = report.cache_capacity_tokens;
            }
        }
    }

    /// Slots for routine calls of all back ends that take calls.
    pub fn routine_slots(&self) -> u64 {
        let accepting = self.states.values().filter(|state| state.accepts());
        accepting.map(|state| u64::from(state.limit(false))).sum()
    }

    /// Whether any back end is neither leaving nor gone.
    pub fn any_staying(&self) -> bool {
        self.states.values().any(|state| !state.leaving)
    }
}
