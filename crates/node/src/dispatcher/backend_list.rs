//! Merges the back ends of a service from the configuration and the platform's list of machines.

use std::collections::BTreeMap;

use ridgeworks_configuration::{ConfigurationSet, MachineList, MachineState};
use ridgeworks_domain::objects::Backend;
use ridgeworks_domain::safeguard::{Safeguard, is_disabled};
use ridgeworks_domain::{BackendName, ServiceName};
use ridgeworks_scheduling::Event;

/// A back end and its drain state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedBackend {
    /// The platform's entry if it lists the back end, otherwise the configuration's.
    pub backend: Backend,
    /// A leaving back end takes no new calls.
    pub leaving: bool,
}

/// All back ends of a service. For a back end in both sources, the platform's entry overrides the
/// configuration's.
pub fn merge_backends(
    service: &ServiceName,
    configuration: &ConfigurationSet,
    machines: &MachineList,
) -> BTreeMap<BackendName, ListedBackend> {
    let mut listed = BTreeMap::new();
    for backend in configuration.backends() {
        if backend.service == *service {
            let backend = backend.clone();
            let leaving = false;
            listed.insert(backend.name.clone(), ListedBackend { backend, leaving });
        }
    }
    for machine in machines.machines() {
        let Some(backend) = &machine.backend else {
            continue;
        };
        if backend.service != *service {
            continue;
        }
        if machine.state == MachineState::Gone {
            listed.remove(&backend.name);
            continue;
        }
        let leaving = machine.state == MachineState::Leaving && !is_disabled(Safeguard::Leaving);
        let backend = backend.clone();
        listed.insert(backend.name.clone(), ListedBackend { backend, leaving });
    }
    listed
}

/// Events that tell the scheduler which back ends are gone, new, changed or newly leaving. That a
/// back end is no longer leaving causes no event.
pub fn backend_events(
    before: &BTreeMap<BackendName, ListedBackend>,
    after: &BTreeMap<BackendName, ListedBackend>,
) -> Vec<Event> {
    let mut events = Vec::new();
    for name in before.keys() {
        if !after.contains_key(name) {
            events.push(Event::BackendGone(name.clone()));
        }
    }
    for (name, listed) in after {
        let known = before.get(name);
        if known.map(|known| &known.backend) != Some(&listed.backend) {
            events.push(Event::BackendUp(listed.backend.clone()));
        }
        let was_leaving = known.is_some_and(|known| known.leaving);
        if listed.leaving && !was_leaving {
            events.push(Event::BackendLeaving(name.clone()));
        }
    }
    events
}
