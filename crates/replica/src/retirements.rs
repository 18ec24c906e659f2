//! Retirements of storage nodes, as the platform store holds them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_platform::{Object, ObjectEvent, RetirementState, read_retirement_state};
use ridgeworks_resident::store_watch::WatchHandler;

/// The retirements by the name of the node, with the state last written.
#[derive(Debug, Clone, Default)]
pub struct Retirements(Rc<RefCell<BTreeMap<String, Option<RetirementState>>>>);

impl Retirements {
    /// Whether a node is being retired.
    pub fn is_retiring(&self, node: &str) -> bool {
        self.0.borrow().contains_key(node)
    }

    /// Unfinished retirements, with the state last written; `None` if none was.
    pub fn open(&self) -> Vec<(String, Option<RetirementState>)> {
        let retirements = self.0.borrow();
        let open = retirements
            .iter()
            .filter(|(_, state)| **state != Some(RetirementState::Done));
        open.map(|(node, state)| (node.clone(), *state)).collect()
    }

    /// Updates the state of a retirement after it was written to the platform store.
    pub fn on_written(&self, node: &str, state: RetirementState) {
        if let Some(known) = self.0.borrow_mut().get_mut(node) {
            *known = Some(state);
        }
    }

    fn insert(&self, retirement: &Object) {
        let state = read_retirement_state(retirement);
        self.0.borrow_mut().insert(retirement.name.clone(), state);
    }
}

impl WatchHandler for Retirements {
    fn on_list(&self, objects: Vec<Object>, _at: u64) {
        self.0.borrow_mut().clear();
        objects
            .iter()
            .for_each(|retirement| self.insert(retirement));
    }

    fn on_events(&self, events: Vec<ObjectEvent>, _at: u64) {
        for event in events {
            if event.gone {
                self.0.borrow_mut().remove(&event.object.name);
            } else {
                log::info!(
                    target: "belief",
                    node = event.object.name.as_str(),
                    revision = event.object.revision;
                    "retirement created or changed"
                );
                self.insert(&event.object);
            }
        }
    }

    fn on_confirmed(&self, _age: Duration) {}
}
