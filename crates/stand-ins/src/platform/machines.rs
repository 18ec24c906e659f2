//! The list of live and leaving machines, which lags behind what is registered.

use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::failure::Failure;
use crate::history::{HistoryEvent, Recorder};
use crate::lagging::Lagging;

/// Whether a machine is there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// It serves.
    #[default]
    Live,
    /// It will be taken away: it is to get no new work.
    Leaving,
    /// It is no longer there.
    Gone,
}

/// Body of `PUT /machines/{name}`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct MachineRegistration {
    /// IP address and port.
    pub address: String,
    /// The service it serves.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Requests it serves at a time.
    pub slots: u32,
}

/// A machine as listed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Machine {
    /// Its name.
    pub name: String,
    /// IP address and port.
    pub address: String,
    /// The service it serves.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Requests it serves at a time.
    pub slots: u32,
    /// Whether it is there.
    pub state: MachineState,
}

/// Answer to `GET /machines`.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct MachineList {
    /// Grows with every change.
    pub version: u64,
    /// The machines, by name.
    pub machines: Vec<Machine>,
}

#[derive(Debug)]
struct Inner {
    version: u64,
    machines: BTreeMap<String, Machine>,
    list: Lagging<MachineList>,
    is_closed: bool,
}

/// All machines.
#[derive(Debug)]
pub struct MachineRegistry {
    inner: Mutex<Inner>,
    changed: Condvar,
}

impl MachineRegistry {
    /// No machines; changes are published `lag` late.
    pub fn new(lag: Duration) -> Self {
        Self {
            inner: Mutex::new(Inner {
                version: 0,
                machines: BTreeMap::new(),
                list: Lagging::new(MachineList::default(), lag),
                is_closed: false,
            }),
            changed: Condvar::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of this lock panics")
    }

    /// Registers a live machine; answers the list's version.
    pub fn register(&self, name: &str, registration: MachineRegistration) -> u64 {
        let machine = Machine {
            name: name.to_owned(),
            address: registration.address,
            service: registration.service,
            zone: registration.zone,
            slots: registration.slots,
            state: MachineState::Live,
        };
        let mut inner = self.lock();
        inner.machines.insert(name.to_owned(), machine);
        self.finish_change(inner)
    }

    /// Changes a machine's state; answers the list's version.
    pub fn set_state(&self, name: &str, state: MachineState) -> Result<u64, Failure> {
        let mut inner = self.lock();
        let machine = inner.machines.get_mut(name).ok_or(Failure::NotFound)?;
        machine.state = state;
        Ok(self.finish_change(inner))
    }

    fn finish_change(&self, mut inner: MutexGuard<'_, Inner>) -> u64 {
        inner.version += 1;
        let list = MachineList {
            version: inner.version,
            machines: inner.machines.values().cloned().collect(),
        };
        inner.list.set(list, Instant::now());
        self.changed.notify_all();
        inner.version
    }

    /// The list as published now.
    pub fn published(&self) -> MachineList {
        self.lock().list.published(Instant::now()).clone()
    }

    /// Records machines as leaving when that is published. Runs until [`Self::close`].
    pub fn record_publications(&self, history: &Recorder) {
        let mut before = MachineList::default();
        let mut inner = self.lock();
        while !inner.is_closed {
            let list = inner.list.published(Instant::now()).clone();
            record_leaving(&before, &list, history);
            before = list;
            let due = inner.list.next_publication();
            let wait = due.map(|due| due.saturating_duration_since(Instant::now()));
            inner = match wait {
                None => self.changed.wait(inner).expect("no holder panics"),
                Some(wait) => {
                    let waited = self.changed.wait_timeout(inner, wait);
                    waited.expect("no holder panics").0
                }
            };
        }
    }

    /// Ends [`Self::record_publications`].
    pub fn close(&self) {
        self.lock().is_closed = true;
        self.changed.notify_all();
    }
}

fn record_leaving(before: &MachineList, list: &MachineList, history: &Recorder) {
    let was_live = |machine: &Machine| {
        let earlier = before
            .machines
            .iter()
            .find(|earlier| earlier.name == machine.name);
        earlier.is_none_or(|earlier| earlier.state == MachineState::Live)
    };
    for machine in &list.machines {
        if machine.state != MachineState::Live && was_live(machine) {
            history.record(&HistoryEvent::BackendLeaving {
                backend: machine.name.clone(),
            });
        }
    }
}
