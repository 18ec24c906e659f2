//! The platform's list of machines. It lags behind the platform and is distributed together with the
//! configuration, but has its own version.
#![allow(
    missing_docs,
    reason = "the resolvers that rkyv derives carry undocumented fields"
)]

use std::collections::BTreeMap;

use ridgeworks_domain::objects::Backend;
use rkyv::{Archive, Deserialize, Serialize};

/// Number of machines in state `Gone` that are kept, so that a delta can include them.
pub const MAX_RECORDED_DEPARTURES: usize = 1024;

/// State of a machine, as the platform reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Archive, Serialize, Deserialize)]
pub enum MachineState {
    /// It accepts work.
    Live,
    /// It is leaving and accepts no new work; it never becomes `Live` again in the same incarnation.
    Leaving,
    /// The platform no longer lists it.
    Gone,
}

/// One machine of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Machine {
    /// Its name on the platform.
    pub name: String,
    /// Increases with every replacement of the machine under the same name.
    pub incarnation: u64,
    /// Its state on the platform.
    pub state: MachineState,
    /// The back end that runs on it, if any.
    pub backend: Option<Backend>,
}

/// A machine with the version of the list that last changed it.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Version of the list in which the last change was first seen; never earlier than the change.
    pub changed_in: u64,
    /// The machine.
    pub machine: Machine,
}

/// The full list of machines, or a delta since a version.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct MachineUpdate {
    /// The version that the delta starts from; `None` for the full list.
    pub base: Option<u64>,
    /// The version that it results in.
    pub version: u64,
    /// All machines, or those that changed.
    pub machines: Vec<ListedMachine>,
}

/// The newest known list of machines. Not durable, since it can be read again from the platform.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct MachineList {
    version: u64,
    /// Gone machines whose `changed_in` is at or below this version may have been removed.
    pruned_through: u64,
    machines: BTreeMap<String, ListedMachine>,
}

impl MachineList {
    /// Version assigned by the platform; zero before the first list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// All machines in order of their names, including those in state `Gone`.
    pub fn machines(&self) -> impl Iterator<Item = &Machine> {
        self.machines.values().map(|listed| &listed.machine)
    }

    /// The machine of this name, if it is listed or kept as `Gone`.
    pub fn get(&self, name: &str) -> Option<&Machine> {
        self.machines.get(name).map(|listed| &listed.machine)
    }

    /// Applies a full list read from the platform. Returns whether it was newer.
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
        self.prune_departures();
        true
    }

    /// Applies a delta or full list from another node. Returns whether it was newer and its base was
    /// not ahead of this list.
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
                self.prune_departures();
                true
            }
            Some(_) => false,
        }
    }

    /// The update for a node that holds version `known`; `None` if it is up to date.
    pub fn update_since(&self, known: u64) -> Option<MachineUpdate> {
        if known >= self.version {
            return None;
        }
        let base = (known > 0 && known >= self.pruned_through).then_some(known);
        let newer = |listed: &&ListedMachine| base.is_none_or(|base| listed.changed_in > base);
        Some(MachineUpdate {
            base,
            version: self.version,
            machines: self.machines.values().filter(newer).cloned().collect(),
        })
    }

    /// Ignores an older incarnation; within one incarnation the state never moves backwards.
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

    fn prune_departures(&mut self) {
        let gone = |listed: &&ListedMachine| listed.machine.state == MachineState::Gone;
        let mut departures: Vec<u64> = self
            .machines
            .values()
            .filter(gone)
            .map(|listed| listed.changed_in)
            .collect();
        if departures.len() <= MAX_RECORDED_DEPARTURES {
            return;
        }
        departures.sort_unstable();
        let floor = departures[departures.len() - MAX_RECORDED_DEPARTURES - 1];
        self.pruned_through = self.pruned_through.max(floor);
        self.machines.retain(|_, listed| {
            listed.machine.state != MachineState::Gone || listed.changed_in > floor
        });
    }
}
