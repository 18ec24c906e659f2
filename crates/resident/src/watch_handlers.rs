//! Applies the configuration and the engines in the platform's store to the node's view.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_platform::{
    CONFIGURATION_NAME, Object, ObjectEvent, read_configuration, read_engine,
};
use ridgeworks_routing::EngineEntry;

use crate::clock::whole_ms;
use crate::store_watch::WatchHandler;
use crate::view::{Source, View};

/// Applies the configuration; ignores objects of other names.
pub struct ConfigurationHandler(pub Rc<View>);

impl ConfigurationHandler {
    fn apply(&self, object: &Object) {
        if object.name != CONFIGURATION_NAME {
            return;
        }
        match read_configuration(&object.spec) {
            Ok(configuration) => self.0.adopt_configuration(configuration, Source::Store),
            Err(error) => {
                self.0.on_unreadable_configuration();
                log::error!(
                    target: "belief",
                    revision = object.revision,
                    error:% = error;
                    "configuration in the platform store cannot be decoded"
                );
            }
        }
    }
}

impl WatchHandler for ConfigurationHandler {
    fn on_list(&self, objects: Vec<Object>, _revision: u64) {
        objects.iter().for_each(|object| self.apply(object));
    }

    fn on_events(&self, events: Vec<ObjectEvent>, _revision: u64) {
        let present = events.iter().filter(|event| !event.gone);
        present.for_each(|event| self.apply(&event.object));
    }

    fn on_confirmed(&self, age: Duration) {
        self.0.confirm_as_of(age);
    }

    fn on_probe_confirmed(&self) {
        self.0.announce_confirmation();
    }

    fn confirmation_age(&self) -> Option<Duration> {
        self.0.confirmation_age()
    }
}

/// Applies the engines.
pub struct EngineHandler {
    view: Rc<View>,
    /// Names of the entries whose last change could not be decoded.
    unreadable: RefCell<BTreeSet<String>>,
}

impl EngineHandler {
    pub fn new(view: Rc<View>) -> Self {
        Self {
            view,
            unreadable: RefCell::default(),
        }
    }

    /// Decodes an entry; `None` where that fails. Logs when an entry becomes unreadable or readable again.
    fn read(&self, object: &Object) -> Option<EngineEntry> {
        let read = read_engine(object);
        let mut unreadable = self.unreadable.borrow_mut();
        match &read {
            Ok(_) if unreadable.remove(&object.name) => log::info!(
                target: "belief",
                engine = object.name.as_str(),
                revision = object.revision;
                "entry of an engine can be read again"
            ),
            Ok(_) => {}
            Err(error) => {
                if unreadable.insert(object.name.clone()) {
                    log::warn!(
                        target: "belief",
                        engine = object.name.as_str(),
                        revision = object.revision,
                        detail:% = error;
                        "entry of an engine cannot be read, it names none"
                    );
                }
            }
        }
        self.view.set_unreadable_engines(unreadable.len());
        read.ok()
    }

    fn forget(&self, name: &str) {
        let mut unreadable = self.unreadable.borrow_mut();
        unreadable.remove(name);
        self.view.set_unreadable_engines(unreadable.len());
    }
}

impl WatchHandler for EngineHandler {
    fn on_list(&self, objects: Vec<Object>, list_revision: u64) {
        let is_listed = |name: &String| objects.iter().any(|object| object.name == *name);
        self.unreadable.borrow_mut().retain(is_listed);
        let entries = objects.iter().filter_map(|object| self.read(object));
        self.view
            .adopt_engines(entries.collect(), list_revision, Source::Store);
    }

    fn on_events(&self, events: Vec<ObjectEvent>, complete_at: u64) {
        for event in events {
            let Object { name, revision, .. } = &event.object;
            if event.gone {
                self.forget(name);
                self.view
                    .remove_engine(name, *revision, complete_at, Source::Store);
            } else if let Some(entry) = self.read(&event.object) {
                self.view.adopt_engine(entry, Source::Store);
            } else {
                // The changed entry can't be decoded. The engine that it described before may have been replaced, so it is removed.
                self.view
                    .remove_engine(name, *revision, complete_at, Source::Store);
            }
        }
        self.view.advance_engines(complete_at);
    }

    fn on_confirmed(&self, age: Duration) {
        self.view.confirm_engines_as_of(age);
    }

    fn on_probe_confirmed(&self) {
        self.view.announce_confirmation();
    }

    fn confirmation_age(&self) -> Option<Duration> {
        self.view.engines_confirmation_age()
    }

    fn known_revision(&self) -> Option<u64> {
        self.view
            .engines_known()
            .then(|| self.view.with_engines(|engines| engines.at()))
    }
}

/// Logs once when the configuration has been unconfirmed for longer than its bound, and once when it is confirmed again. In between,
/// requests may be handled by an old configuration.
#[derive(Debug)]
pub struct OverdueConfirmationLog {
    bound: Duration,
    /// Greatest age of the last confirmation observed since it exceeded the bound; `None` while it is within the bound.
    overdue: Option<Duration>,
}

impl OverdueConfirmationLog {
    /// `bound` is the time within which a new configuration must be in force.
    pub fn new(bound: Duration) -> Self {
        Self {
            bound,
            overdue: None,
        }
    }

    /// `unconfirmed` is the age of the last confirmation; `None` while there is no configuration.
    pub fn update(&mut self, unconfirmed: Option<Duration>, version: u64) {
        let Some(age) = unconfirmed else { return };
        if age > self.bound {
            if self.overdue.is_none() {
                log::warn!(
                    target: "belief",
                    version = version,
                    unconfirmed_ms = whole_ms(age);
                    "configuration unconfirmed for longer than its bound"
                );
            }
            self.overdue = self.overdue.max(Some(age));
        } else if let Some(max_age) = self.overdue.take() {
            log::info!(
                target: "belief",
                version = version,
                unconfirmed_ms = whole_ms(max_age);
                "configuration confirmed again"
            );
        }
    }
}
