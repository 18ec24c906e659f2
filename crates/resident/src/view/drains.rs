//! Drained zones, whose engines get no new requests, as a node knows them (`docs/design/zone-drains.md`).

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_routing::{DrainChange, ZoneDrains};

use super::{Source, View};
use crate::clock::{Clock, Moment, whole_ms};
use crate::peer::{DrainSnapshot, KnownDrains};

/// What a node knows of the drains of zones.
#[derive(Debug)]
pub struct DrainView {
    clock: Clock,
    /// Whether the node uses them.
    are_used: bool,
    /// `None` before the first list.
    table: RefCell<Option<Rc<ZoneDrains>>>,
    /// When this node learned of each drain, by zone.
    since: RefCell<HashMap<String, Moment>>,
    /// When this node last learned that a zone's drain had ended, by zone.
    restored: RefCell<HashMap<String, Moment>>,
    /// When the table was last confirmed to have no newer change.
    confirmed: Cell<Option<Moment>>,
}

impl DrainView {
    /// Drains are unknown at first. `are_used` says whether the node uses them; otherwise they stay unknown.
    pub fn new(clock: Clock, are_used: bool) -> Self {
        Self {
            clock,
            are_used,
            table: RefCell::default(),
            since: RefCell::default(),
            restored: RefCell::default(),
            confirmed: Cell::new(None),
        }
    }

    /// Whether the node uses drains of zones.
    pub fn are_used(&self) -> bool {
        self.are_used
    }

    /// Whether a complete list has been received.
    pub fn are_known(&self) -> bool {
        self.table.borrow().is_some()
    }

    /// The drains in force; `None` where no zone is drained.
    pub fn in_force(&self) -> Option<Rc<ZoneDrains>> {
        let table = self.table.borrow();
        table.as_ref().filter(|table| !table.is_empty()).cloned()
    }

    /// How long this node has known that a zone is drained; `None` where it is not.
    pub fn drained_for(&self, zone: &str) -> Option<Duration> {
        let since = self.since.borrow().get(zone).copied()?;
        Some(self.clock.since(since))
    }

    /// Revision up to which all changes are known; `None` before the first list.
    pub fn revision(&self) -> Option<u64> {
        self.table.borrow().as_ref().map(|table| table.at())
    }

    /// Time since the store confirmed, to this node or another, that there is no newer change; `None` when it never did.
    pub fn confirmation_age(&self) -> Option<Duration> {
        let confirmed = self.confirmed.get()?;
        Some(self.clock.since(confirmed))
    }

    /// Records that the known drains were the newest `age` ago.
    pub fn confirm_as_of(&self, age: Duration) {
        let as_of = self.clock.ago(age);
        self.confirmed.set(self.confirmed.get().max(Some(as_of)));
    }

    /// Confirms the drains if all changes up to `newest` are known, which was the newest revision `unconfirmed_ms` ago.
    pub fn confirm(&self, newest: u64, unconfirmed_ms: Option<u64>) {
        let is_known = self.revision().is_some_and(|known| newest <= known);
        if let Some(age) = unconfirmed_ms.filter(|_| is_known) {
            self.confirm_as_of(Duration::from_millis(age));
        }
    }

    /// Whether another node knows a change that this one doesn't.
    pub fn is_behind(&self, received: &KnownDrains) -> bool {
        self.are_used && self.revision().is_none_or(|known| received.newest > known)
    }

    /// Newest revision and confirmation age, for other nodes; `None` before the first list.
    pub fn known(&self) -> Option<KnownDrains> {
        let newest = self.table.borrow().as_ref()?.unchanged_since();
        Some(KnownDrains {
            newest,
            unconfirmed_ms: self.confirmation_age().map(whole_ms),
        })
    }

    /// The whole table, for other nodes; `None` before the first list.
    pub fn snapshot(&self) -> Option<DrainSnapshot> {
        let table = self.table.borrow();
        let table = table.as_ref()?;
        Some(DrainSnapshot {
            table: ZoneDrains::clone(table),
            unconfirmed_ms: self.confirmation_age().map(whole_ms),
        })
    }

    /// Merges a table into the known one and returns what has changed.
    fn adopt(&self, received: ZoneDrains) -> Vec<DrainChange> {
        let mut table = self.table.borrow_mut();
        let mut known = table.as_deref().cloned().unwrap_or_default();
        let changes = known.take(received);
        *table = Some(Rc::new(known));
        changes
    }

    /// Records the end of a zone's drain and returns when this node had learned of the drain.
    fn on_restored(&self, zone: &str) -> Option<Moment> {
        let now = self.clock.ago(Duration::ZERO);
        self.restored.borrow_mut().insert(zone.to_owned(), now);
        self.since.borrow_mut().remove(zone)
    }
}

impl View {
    /// When this node last learned that a zone's drain had ended; `None` when none has. Its engines
    /// may have lost their cached state.
    pub fn zone_restored_at(&self, zone: &str) -> Option<Moment> {
        self.drains.restored.borrow().get(zone).copied()
    }

    /// Applies a complete table unless a newer one is known.
    pub fn adopt_drains(&self, received: ZoneDrains, source: Source) {
        if !self.drains.are_used {
            return;
        }
        let is_first = !self.drains.are_known();
        let changes = self.drains.adopt(received);
        for change in &changes {
            self.on_drain_change(change, source);
        }
        if is_first || !changes.is_empty() {
            self.announce();
        }
    }

    /// Applies changes that are complete up to revision `complete_at`: each has the zone and the revision of its drain, or `None`
    /// where the drain has ended.
    pub fn change_drains(
        &self,
        changes: &[(String, Option<u64>)],
        complete_at: u64,
        source: Source,
    ) {
        let Some(known) = self.drains.table.borrow().clone() else {
            // Changes to a table that this node doesn't have.
            return;
        };
        if complete_at < known.at() {
            return;
        }
        let next = known.after(changes, complete_at);
        let mut has_unseen_end = false;
        for (zone, revision) in changes {
            // True for a drain that began and ended since the known table. If another node has already reported the end,
            // `complete_at` is not newer, and it isn't applied again.
            let is_drained_in_neither = !known.is_drained(zone) && !next.is_drained(zone);
            if revision.is_none() && is_drained_in_neither && complete_at > known.at() {
                self.drains.on_restored(zone);
                has_unseen_end = true;
            }
        }
        self.adopt_drains(next, source);
        if has_unseen_end {
            self.announce();
        }
    }

    fn on_drain_change(&self, change: &DrainChange, source: Source) {
        let drains = &self.drains;
        match change {
            DrainChange::Started { zone, revision } => {
                let now = drains.clock.ago(Duration::ZERO);
                drains.since.borrow_mut().insert(zone.clone(), now);
                self.log_drain(zone, *revision, source, "zone drained");
            }
            DrainChange::Rewritten { zone, revision } => {
                self.log_drain(zone, *revision, source, "zone drained, ordered again");
            }
            DrainChange::Ended { zone } => {
                let since = drains.on_restored(zone);
                let stood_ms = since.map(|since| whole_ms(drains.clock.since(since)));
                log::info!(
                    target: "belief",
                    zone = zone.as_str(),
                    revision = drains.revision(),
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
