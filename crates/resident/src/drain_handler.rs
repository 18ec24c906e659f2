//! Applies the zone drains in the platform's store to the node's view.

use std::rc::Rc;
use std::time::Duration;

use ridgeworks_platform::{Object, ObjectEvent};
use ridgeworks_routing::ZoneDrains;

use crate::store_watch::WatchHandler;
use crate::view::{Source, View};

/// Applies the zone-drain objects to the view.
///
/// A zone is drained while an object of its name exists, whatever the object's fields contain: for an invalid object it is safest
/// to send the zone no new requests. An object that is being deleted counts until it is gone.
pub struct DrainHandler {
    view: Rc<View>,
}

impl DrainHandler {
    pub fn new(view: Rc<View>) -> Self {
        Self { view }
    }
}

impl WatchHandler for DrainHandler {
    fn on_list(&self, objects: Vec<Object>, list_revision: u64) {
        let drains = objects
            .into_iter()
            .map(|object| (object.name, object.revision));
        let table = ZoneDrains::listed(drains.collect(), list_revision);
        self.view.adopt_drains(table, Source::Store);
    }

    fn on_events(&self, events: Vec<ObjectEvent>, complete_at: u64) {
        let changes = events.into_iter().map(|event| {
            let Object { name, revision, .. } = event.object;
            (name, (!event.gone).then_some(revision))
        });
        let changes: Vec<(String, Option<u64>)> = changes.collect();
        self.view
            .change_drains(&changes, complete_at, Source::Store);
    }

    fn on_confirmed(&self, age: Duration) {
        self.view.drains.confirm_as_of(age);
    }

    fn on_probe_confirmed(&self) {
        self.view.announce_confirmation();
    }

    fn confirmation_age(&self) -> Option<Duration> {
        self.view.drains.confirmation_age()
    }

    fn known_revision(&self) -> Option<u64> {
        self.view.drains.revision()
    }
}
