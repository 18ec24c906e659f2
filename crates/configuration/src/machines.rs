//! The platform's list of machines, which lags behind and travels beside the configuration.
#![allow(
    missing_docs,
    reason = "the resolvers that rkyv derives carry undocumented fields"
)]

use std::collections::BTreeMap;

use ridgeworks_domain::objects::Backend;
use rkyv::{Archive, Deserialize, Serialize};

/// Machines that left whose end is remembered, so that a difference can name it.
pub const REMEMBERED_DEPARTURES: usize = 1024;

/// What the platform says about a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Archive, Serialize, Deserialize)]
pub enum MachineState {
    /// It takes work.
    Live,
    /// It is leaving and takes no new work; final for its incarnation.
    Leaving,
    /// The platform no longer lists it.
    Gone,
}

/// One machine of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Machine {
    /// Its name on the platform.
    pub name: String,
    /// Number of its start; a replacement under the same name has a higher one.
    pub incarnation: u64,
    /// What the platform says about it.
    pub state: MachineState,
    /// The back end that it runs, if any.
    pub backend: Option<Backend>,
}

/// A machine and the version of the list in which a change of it was first seen.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Version of the list in which the change was first seen, never earlier than the change.
    pub changed_in: u64,
    /// The machine.
    pub machine: Machine,
}

/// The list of machines, or what changed in it since a version.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct MachineUpdate {
    /// The version this difference starts from; `None` for the whole list.
    pub base: Option<u64>,
    /// The version it leads to.
    pub version: u64,
    /// Machines of the list, or those that changed.
    pub machines: Vec<ListedMachine>,
}

/// The newest known list of machines. Not durable: the platform gives it again.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct MachineList {
    version: u64,
    /// Departures at or below this version have been forgotten.
    forgotten: u64,
    machines: BTreeMap<String, ListedMachine>,
}

impl MachineList {
    /// Version that the platform gave the list; zero before the first one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// All machines in order of their names, those that left included.
    pub fn machines(&self) -> impl Iterator<Item = &Machine> {
        self.machines.values().map(|listed| &listed.machine)
    }

    /// The machine of this name.
    pub fn get(&self, name: &str) -> Option<&Machine> {
        self.machines.get(name).map(|listed| &listed.machine)
    }

    /// Takes a whole list as read from the platform. Returns whether it was newer.
    pub fn observe(&mut self, version: u64, listed: Vec<Machine>) -> bool {
        if version <= self.version {
            return false;
        }
        let mut absent: Vec<Machine> = self.machines().cloned().collect();
        absent.retain(|known| listed.iter().all(|machine| machine.name != known.name));
        for mut machine in absent {
            machine.state = MachineState::Gone;
            self.merge(version, machine);
        }
        for machine in listed {
            self.merge(version, machine);
        }
        self.version = version;
        self.forget_departures();
        true
    }

    /// Takes a difference or whole list from another node. Returns whether it was newer and fitted.
    pub fn apply(&mut self, update: &MachineUpdate) -> bool {
        if update.version <= self.version {
            return false;
        }
        match update.base {
            None => {
                let machines = update.machines.iter();
                let listed = machines.map(|listed| listed.machine.clone()).collect();
                self.observe(update.version, listed)
            }
            Some(base) if base <= self.version => {
                for listed in &update.machines {
                    self.merge(listed.changed_in, listed.machine.clone());
                }
                self.version = update.version;
                self.forget_departures();
                true
            }
            Some(_) => false,
        }
    }

    /// What a node that knows version `known` needs; `None` when it is up to date.
    pub fn update_since(&self, known: u64) -> Option<MachineUpdate> {
        if known >= self.version {
            return None;
        }
        let base = (known > 0 && known >= self.forgotten).then_some(known);
        let newer = |listed: &&ListedMachine| base.is_none_or(|base| listed.changed_in > base);
        Some(MachineUpdate {
            base,
            version: self.version,
            machines: self.machines.values().filter(newer).cloned().collect(),
        })
    }

    /// A machine of an older incarnation, or a step back within one incarnation, changes nothing.
    fn merge(&mut self, changed_in: u64, mut machine: Machine) {
        if let Some(known) = self.machines.get(&machine.name) {
            if machine.incarnation < known.machine.incarnation {
                return;
            }
            if machine.incarnation == known.machine.incarnation {
                machine.state = machine.state.max(known.machine.state);
            }
            if machine == known.machine {
                return;
            }
        }
        let listed = ListedMachine {
            changed_in,
            machine,
        };
        self.machines.insert(listed.machine.name.clone(), listed);
    }

    fn forget_departures(&mut self) {
        let gone = |listed: &&ListedMachine| listed.machine.state == MachineState::Gone;
        let mut departures: Vec<u64> = self
            .machines
            .values()
            .filter(gone)
            .map(|listed| listed.changed_in)
            .collect();
        if departures.len() <= REMEMBERED_DEPARTURES {
            return;
        }
        departures.sort_unstable();
        let floor = departures[departures.len() - REMEMBERED_DEPARTURES - 1];
        self.forgotten = self.forgotten.max(floor);
        self.machines.retain(|_, listed| {
            listed.machine.state != MachineState::Gone || listed.changed_in > floor
        });
    }
}
