//! What the node's view takes in of orders to drain zones.

use std::rc::Rc;
use std::time::Duration;

use ridgeworks_platform::{Object, ObjectEvent};
use ridgeworks_routing::ZoneDrains;

use crate::store_watch::WatchHandler;
use crate::view::{Source, View};

/// Takes in orders to drain zones.
///
/// An order is the object that bears the zone's name, whatever else it says: another writer's with fields missing or spoiled
/// names its zone all the same, and to send nothing there is what harms least. One that is about to be deleted stands until it is gone.
pub struct DrainFollower {
    view: Rc<View>,
}

impl DrainFollower {
    /// A follower that has read nothing yet.
    pub fn new(view: Rc<View>) -> Self {
        Self { view }
    }
}

impl WatchHandler for DrainFollower {
    fn on_list(&self, objects: Vec<Object>, at: u64) {
        let orders = objects
            .into_iter()
            .map(|object| (object.name, object.revision));
        let table = ZoneDrains::listed(orders.collect(), at);
        self.view.adopt_drains(table, Source::Store);
    }

    fn on_events(&self, events: Vec<ObjectEvent>, at: u64) {
        let changes = events.into_iter().map(|event| {
            let Object { name, revision, .. } = event.object;
            (name, (!event.gone).then_some(revision))
        });
        let changes: Vec<(String, Option<u64>)> = changes.collect();
        self.view.change_drains(&changes, at, Source::Store);
    }

    fn on_confirmed(&self, age: Duration) {
        self.view.drains.confirm_as_of(age);
    }

    fn on_checked(&self) {
        self.view.announce_confirmation();
    }

    fn unconfirmed(&self) -> Option<Duration> {
        self.view.drains.confirmation_age()
    }

    fn told_up_to(&self) -> Option<u64> {
        self.view.drains.at()
    }
}
