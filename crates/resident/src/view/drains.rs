//! Zones whose engines get nothing more, as far as a node knows (`docs/design/zone-drains.md`).

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_routing::{DrainChange, ZoneDrains};

use super::{Source, View};
use crate::clock::{Clock, Moment, whole_ms};
use crate::peer::{KnownDrains, ToldDrains};

/// The drains of zones that a node knows.
#[derive(Debug)]
pub struct DrainView {
    clock: Clock,
    /// Whether the node has a use for them.
    are_followed: bool,
    /// `None` before the first list.
    table: RefCell<Option<Rc<ZoneDrains>>>,
    /// Since when this node has known of each order.
    since: RefCell<HashMap<String, Moment>>,
    /// When this node heard that a zone was taken back.
    returned: RefCell<HashMap<String, Moment>>,
    /// As of when it was last proved that there is no newer change.
    confirmed: Cell<Option<Moment>>,
}

impl DrainView {
    /// A view that knows nothing.
    pub fn new(clock: Clock, are_followed: bool) -> Self {
        Self {
            clock,
            are_followed,
            table: RefCell::default(),
            since: RefCell::default(),
            returned: RefCell::default(),
            confirmed: Cell::new(None),
        }
    }

    /// Whether the node has a use for them.
    pub fn are_followed(&self) -> bool {
        self.are_followed
    }

    /// Whether a list of them has been seen.
    pub fn are_known(&self) -> bool {
        self.table.borrow().is_some()
    }

    /// The orders in force; `None` where no zone is drained.
    pub fn in_force(&self) -> Option<Rc<ZoneDrains>> {
        let table = self.table.borrow();
        table.as_ref().filter(|table| !table.is_empty()).cloned()
    }

    /// For how long this node has known that a zone is drained.
    pub fn drained_for(&self, zone: &str) -> Option<Duration> {
        let since = self.since.borrow().get(zone).copied()?;
        Some(self.clock.since(since))
    }

    /// Revision as of which all orders are known.
    pub fn at(&self) -> Option<u64> {
        self.table.borrow().as_ref().map(|table| table.at())
    }

    /// Time since somebody confirmed that there is no newer change.
    pub fn confirmation_age(&self) -> Option<Duration> {
        let confirmed = self.confirmed.get()?;
        Some(self.clock.since(confirmed))
    }

    /// Notes that what is known was the newest this long ago.
    pub fn confirm_as_of(&self, age: Duration) {
        let at = self.clock.ago(age);
        self.confirmed.set(self.confirmed.get().max(Some(at)));
    }

    /// Takes in that there was no change after this revision so many milliseconds ago, if all up to it are known.
    pub fn confirm(&self, newest: u64, unconfirmed_ms: Option<u64>) {
        let is_known = self.at().is_some_and(|at| newest <= at);
        if let Some(age) = unconfirmed_ms.filter(|_| is_known) {
            self.confirm_as_of(Duration::from_millis(age));
        }
    }

    /// Whether another node knows a change that this one lacks.
    pub fn lack(&self, told: &KnownDrains) -> bool {
        self.are_followed && self.at().is_none_or(|at| told.newest > at)
    }

    /// How far this node knows them, for others.
    pub fn known(&self) -> Option<KnownDrains> {
        let newest = self.table.borrow().as_ref()?.newest();
        Some(KnownDrains {
            newest,
            unconfirmed_ms: self.confirmation_age().map(whole_ms),
        })
    }

    /// All that this node knows of them, for others.
    pub fn told(&self) -> Option<ToldDrains> {
        let table = self.table.borrow();
        let table = table.as_ref()?;
        Some(ToldDrains {
            table: ZoneDrains::clone(table),
            unconfirmed_ms: self.confirmation_age().map(whole_ms),
        })
    }

    /// Takes in a table; says what has changed.
    fn adopt(&self, told: ZoneDrains) -> Vec<DrainChange> {
        let mut table = self.table.borrow_mut();
        let mut known = table.as_deref().cloned().unwrap_or_default();
        let changes = known.take(told);
        *table = Some(Rc::new(known));
        changes
    }

    /// Since when a zone was drained that is so no more.
    fn on_returned(&self, zone: &str) -> Option<Moment> {
        let now = self.clock.ago(Duration::ZERO);
        self.returned.borrow_mut().insert(zone.to_owned(), now);
        self.since.borrow_mut().remove(zone)
    }
}

impl View {
    /// When this node heard that a zone was taken back last; its engines may have lost what they held.
    pub fn zone_restored_at(&self, zone: &str) -> Option<Moment> {
        self.drains.returned.borrow().get(zone).copied()
    }

    /// Takes in all orders as of a revision, unless newer ones are known.
    pub fn adopt_drains(&self, told: ZoneDrains, source: Source) {
        if !self.drains.are_followed {
            return;
        }
        let is_first = !self.drains.are_known();
        let changes = self.drains.adopt(told);
        for change in &changes {
            self.on_drain_change(change, source);
        }
        if is_first || !changes.is_empty() {
            self.announce();
        }
    }

    /// Takes in changes of orders, complete as of a revision: the zone, and the revision of its order or `None` where it is over.
    pub fn change_drains(&self, changes: &[(String, Option<u64>)], at: u64, source: Source) {
        let Some(known) = self.drains.table.borrow().clone() else {
            // Changes of a table that this node never had.
            return;
        };
        if at < known.at() {
            return;
        }
        let next = known.after(changes, at);
        let mut is_news = false;
        for (zone, revision) in changes {
            // An order of which nothing was heard before its end. What others have told already is none.
            let is_unheard = !known.is_drained(zone) && !next.is_drained(zone);
            if revision.is_none() && is_unheard && at > known.at() {
                self.drains.on_returned(zone);
                is_news = true;
            }
        }
        self.adopt_drains(next, source);
        if is_news {
            self.announce();
        }
    }

    fn on_drain_change(&self, change: &DrainChange, source: Source) {
        let drains = &self.drains;
        match change {
            DrainChange::Started { zone, revision } => {
                let age = drains.clock.ago(Duration::ZERO);
                drains.since.borrow_mut().insert(zone.clone(), age);
                self.log_drain(zone, *revision, source, "zone drained");
            }
            DrainChange::Rewritten { zone, revision } => {
                self.log_drain(zone, *revision, source, "zone drained, ordered again");
            }
            DrainChange::Ended { zone } => {
                let since = drains.on_returned(zone);
                let stood_ms = since.map(|since| whole_ms(drains.clock.since(since)));
                log::info!(
                    target: "belief",
                    zone = zone.as_str(),
                    revision = drains.at(),
                    stood_ms = stood_ms,
                    source = source.name();
                    "zone taken back"
                );
            }
        }
    }

    fn log_drain(&self, zone: &str, revision: u64, source: Source, message: &str) {
        let engines = self.engines.borrow();
        let engines = engines.engines().filter(|engine| engine.zone == zone);
        let age_ms = self.drains.confirmation_age().map(whole_ms);
        log::info!(
            target: "belief",
            zone = zone,
            revision = revision,
            unconfirmed_ms = age_ms,
            engines = engines.count(),
            source = source.name();
            "{message}"
        );
    }
}
