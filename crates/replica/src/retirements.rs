//! Orders to empty a storage machine, as the store has them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_platform::{Object, ObjectEvent, RetirementState, read_retirement_state};
use ridgeworks_resident::store_watch::WatchHandler;

/// The orders by the name of the node, with how far each has come.
#[derive(Debug, Clone, Default)]
pub struct Retirements(Rc<RefCell<BTreeMap<String, Option<RetirementState>>>>);

impl Retirements {
    /// Whether a node is to be emptied.
    pub fn is_retiring(&self, node: &str) -> bool {
        self.0.borrow().contains_key(node)
    }

    /// Orders that are not carried out yet, with the state that was last written.
    pub fn open(&self) -> Vec<(String, Option<RetirementState>)> {
        let orders = self.0.borrow();
        let open = orders
            .iter()
            .filter(|(_, state)| **state != Some(RetirementState::Done));
        open.map(|(node, state)| (node.clone(), *state)).collect()
    }

    /// Notes what was written.
    pub fn on_written(&self, node: &str, state: RetirementState) {
        if let Some(known) = self.0.borrow_mut().get_mut(node) {
            *known = Some(state);
        }
    }

    fn take(&self, order: &Object) {
        let state = read_retirement_state(order);
        self.0.borrow_mut().insert(order.name.clone(), state);
    }
}

impl WatchHandler for Retirements {
    fn on_list(&self, objects: Vec<Object>, _at: u64) {
        self.0.borrow_mut().clear();
        objects.iter().for_each(|order| self.take(order));
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
                    "retirement ordered or changed"
                );
                self.take(&event.object);
            }
        }
    }

    fn on_confirmed(&self, _age: Duration) {}
}
