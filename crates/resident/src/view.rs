//! What a node believes of the deployment: configuration, engines, replica set.
//!
//! Each part only moves forward. Where it comes from does not matter: the platform's store and other
//! nodes feed the same view.

mod drains;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_records::{Epoch, GroupId, ReplicaGroups, ReplicaSet};
use ridgeworks_routing::{EngineChanges, EngineEntry, EngineTable, RouteConfiguration, RouteTable};
use tokio::sync::{Notify, watch};

use crate::clock::{Clock, Moment, whole_ms};
use crate::peer::{Confirmations, KnownEngines, PROTOCOL, ViewPosition, ViewUpdate};

pub use self::drains::DrainView;

/// Who told a part of the view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The platform's store.
    Store,
    /// Another node.
    Peer,
}

impl Source {
    fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}

/// What a node believes.
#[derive(Debug)]
pub struct View {
    clock: Clock,
    /// Whether the node has a use for engines.
    follows_engines: bool,
    configuration: RefCell<Option<RouteConfiguration>>,
    routes: RefCell<Option<Rc<RouteTable>>>,
    engines: RefCell<EngineTable>,
    engines_known: Cell<bool>,
    unreadable_engines: Cell<usize>,
    groups: RefCell<Option<Rc<ReplicaGroups>>>,
    /// Zones whose engines get nothing more.
    pub drains: DrainView,
    /// As of when the configuration was last proved to be the newest. Counted from when the question was
    /// asked that was answered so, here and at every node that passed it on.
    confirmed: Cell<Option<Moment>>,
    /// The same for the engines.
    engines_confirmed: Cell<Option<Moment>>,
    changed: watch::Sender<()>,
    confirmation: Notify,
    /// Tells of confirmations of the configuration.
    proofs: Notify,
    needs_extras: bool,
    /// Whether nothing came from a node that does not know all of it.
    has_extras: Cell<bool>,
    /// The same for the engines.
    has_starts: Cell<bool>,
    refused: Cell<Option<Refusal>>,
}

/// What another node told without what this one needs of it.
#[derive(Debug, Clone, Copy)]
struct Refusal {
    /// Version of the configuration, 0 where engines alone were told.
    version: u64,
    at: Moment,
}

/// How long nothing more is fetched from others after they told less than this node needs.
const REFUSED_PAUSE: Duration = Duration::from_secs(1);

impl View {
    /// A view that knows nothing, of a node that has no use for drains of zones.
    pub fn new(clock: Clock, follows_engines: bool) -> Self {
        Self {
            clock,
            follows_engines,
            configuration: RefCell::default(),
            routes: RefCell::default(),
            engines: RefCell::default(),
            engines_known: Cell::new(false),
            unreadable_engines: Cell::new(0),
            groups: RefCell::default(),
            drains: DrainView::new(clock, false),
            confirmed: Cell::new(None),
            engines_confirmed: Cell::new(None),
            changed: watch::Sender::new(()),
            confirmation: Notify::new(),
            proofs: Notify::new(),
            needs_extras: false,
            has_extras: Cell::new(true),
            has_starts: Cell::new(true),
            refused: Cell::new(None),
        }
    }

    /// The same for a node whose settings promise what nodes of the first protocol version do not know: what those tell of the
    /// configuration and the engines lacks it and is not taken in (`docs/design/versions.md`, "What rests on all of them").
    pub fn needing_extras(mut self, needs_extras: bool) -> Self {
        self.needs_extras = needs_extras;
        self
    }

    /// Whether what a node that speaks this protocol may know of the configuration and the engines is enough here.
    pub fn speaks_enough(&self, protocol: u16) -> bool {
        !self.needs_extras || protocol > 0
    }

    /// Whether it is worth asking such a node for what it knows.
    pub fn takes_from(&self, protocol: u16) -> bool {
        self.speaks_enough(protocol) && !self.refused_lately()
    }

    fn refused_lately(&self) -> bool {
        let refused = self.refused.get();
        refused.is_some_and(|refused| self.clock.since(refused.at) < REFUSED_PAUSE)
    }

    /// The same for a node that has a use for drains of zones.
    pub fn with_drains(mut self) -> Self {
        self.drains = DrainView::new(self.clock, true);
        self
    }

    /// Tells of changes.
    pub fn changes(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// The routes in force.
    pub fn routes(&self) -> Option<Rc<RouteTable>> {
        self.routes.borrow().clone()
    }

    /// Version of the configuration in force, 0 when there is none.
    pub fn version(&self) -> u64 {
        self.routes
            .borrow()
            .as_ref()
            .map_or(0, |routes| routes.version())
    }

    /// Gives access to the engines.
    pub fn with_engines<R>(&self, read: impl FnOnce(&EngineTable) -> R) -> R {
        read(&self.engines.borrow())
    }

    /// Whether a list of engines has been seen.
    pub fn engines_known(&self) -> bool {
        self.engines_known.get()
    }

    /// Whether all changes of engines up to this revision are known.
    pub fn has_engines_up_to(&self, newest: u64) -> bool {
        self.engines_known.get() && newest <= self.engines.borrow().at()
    }

    /// Entries of engines that cannot be read, at a node that watches the store.
    pub fn unreadable_engines(&self) -> usize {
        self.unreadable_engines.get()
    }

    /// Notes how many entries of engines cannot be read.
    pub fn set_unreadable_engines(&self, count: usize) {
        self.unreadable_engines.set(count);
    }

    /// The newest replica sets that are known.
    pub fn groups(&self) -> Option<Rc<ReplicaGroups>> {
        self.groups.borrow().clone()
    }

    /// The newest known set of a group.
    pub fn replica_set(&self, group: GroupId) -> Option<ReplicaSet> {
        let groups = self.groups.borrow();
        let set = groups.as_ref().and_then(|groups| groups.set(group));
        set.cloned()
    }

    /// The epochs of the newest replica sets together, 0 when there are none.
    pub fn epoch(&self) -> Epoch {
        let groups = self.groups.borrow();
        groups
            .as_ref()
            .map_or(Epoch::default(), |groups| groups.epoch())
    }

    /// Time since somebody confirmed that the configuration is the newest one.
    pub fn confirmation_age(&self) -> Option<Duration> {
        let confirmed = self.confirmed.get()?;
        Some(self.clock.since(confirmed))
    }

    /// Time since somebody confirmed that no newer change of the engines is there.
    pub fn engines_unconfirmed_for(&self) -> Option<Duration> {
        let confirmed = self.engines_confirmed.get()?;
        Some(self.clock.since(confirmed))
    }

    /// Notes that the engines that are known were the newest ones this long ago.
    pub fn confirm_engines_as_of(&self, age: Duration) {
        let at = self.clock.ago(age);
        let confirmed = self.engines_confirmed.get().max(Some(at));
        self.engines_confirmed.set(confirmed);
    }

    /// Waits until the configuration is confirmed anew.
    pub async fn wait_for_confirmation(&self) {
        self.proofs.notified().await;
    }

    /// What this node knows of the deployment and for how long nobody has confirmed it, for a node that asks.
    pub fn confirmations(&self) -> Confirmations {
        Confirmations {
            version: self.version(),
            unconfirmed_ms: self.confirmation_age().map(whole_ms),
            engines_newest: self.engines.borrow().newest(),
            engines_unconfirmed_ms: self.engines_unconfirmed_for().map(whole_ms),
            drains: self.drains.known(),
        }
    }

    /// Takes in what another node answered to a question that was asked this long ago.
    pub fn confirm(&self, told: &Confirmations, asked: Duration) {
        let asked_ms = whole_ms(asked);
        let since_asked = |age: Option<u64>| age.map(|age| age.saturating_add(asked_ms));
        self.confirm_version(told.version, since_asked(told.unconfirmed_ms));
        self.confirm_engines(
            told.engines_newest,
            since_asked(told.engines_unconfirmed_ms),
        );
        if let Some(known) = told.drains {
            self.drains
                .confirm(known.newest, since_asked(known.unconfirmed_ms));
        }
    }

    /// Has other nodes told at once that this node's knowledge was confirmed, before they ask the store too.
    pub fn announce_confirmation(&self) {
        self.confirmation.notify_one();
    }

    /// Waits until a confirmation is to be told.
    pub async fn confirmation(&self) {
        self.confirmation.notified().await;
    }

    /// Takes in that this version was the newest one so many milliseconds ago, if nothing older is in force.
    fn confirm_version(&self, version: u64, unconfirmed_ms: Option<u64>) {
        let age = unconfirmed_ms.filter(|_| version <= self.version());
        if let Some(age) = age {
            self.confirm_as_of(Duration::from_millis(age));
        }
    }

    /// Takes in that there was no change of engines after this revision so many milliseconds ago, if all up to it are known.
    fn confirm_engines(&self, newest: u64, unconfirmed_ms: Option<u64>) {
        let is_known = self.has_engines_up_to(newest);
        if let Some(age) = unconfirmed_ms.filter(|_| is_known) {
            self.confirm_engines_as_of(Duration::from_millis(age));
        }
    }

    /// Notes that the configuration was the newest one this long ago.
    pub fn confirm_as_of(&self, age: Duration) {
        let at = self.clock.ago(age);
        self.confirmed.set(self.confirmed.get().max(Some(at)));
        self.proofs.notify_waiters();
    }

    /// Takes in a configuration unless it is not newer than the one in force.
    pub fn adopt_configuration(&self, configuration: RouteConfiguration, source: Source) {
        let before = self.version();
        if configuration.version <= before {
            return;
        }
        if source == Source::Store {
            self.has_extras.set(true);
        }
        log::info!(
            target: "belief",
            version = configuration.version,
            before = before,
            routes = configuration.routes.len(),
            source = source.name();
            "configuration in force"
        );
        *self.routes.borrow_mut() = Some(Rc::new(RouteTable::new(&configuration)));
        *self.configuration.borrow_mut() = Some(configuration);
        self.announce();
    }

    /// Takes in a complete list of engines.
    pub fn adopt_engines(&self, entries: Vec<EngineEntry>, at: u64, source: Source) {
        let changed = self.engines.borrow_mut().replace(entries, at);
        let first = !self.engines_known.replace(true);
        if changed || first {
            self.announce_engines(source);
        }
    }

    /// Takes in one change of an engine.
    pub fn adopt_engine(&self, entry: EngineEntry, source: Source) {
        let state = entry.engine.state;
        let born_ms = entry.engine.born_ms;
        let instance = entry.engine.instance.clone();
        let revision = entry.revision;
        if self.engines.borrow_mut().apply(entry) {
            log::info!(
                target: "belief",
                engine = instance.as_str(),
                state:? = state,
                born_ms = born_ms,
                revision = revision,
                source = source.name();
                "engine changed"
            );
            self.announce();
        }
    }

    /// Takes in that an engine is gone, from somebody who knows all changes up to `told_at`.
    pub fn remove_engine(&self, instance: &str, revision: u64, told_at: u64, source: Source) {
        let removed = self
            .engines
            .borrow_mut()
            .remove(instance, revision, told_at);
        if removed {
            log::info!(
                target: "belief",
                engine = instance,
                revision = revision,
                source = source.name();
                "engine gone"
            );
            self.announce();
        }
    }

    /// Notes that all changes of engines up to this revision are in.
    pub fn advance_engines(&self, at: u64) {
        self.engines.borrow_mut().advance(at);
    }

    /// Takes in replica sets unless they are not newer than the known ones.
    pub fn adopt_groups(&self, groups: ReplicaGroups, source: Source) {
        if groups.epoch() <= self.epoch() {
            return;
        }
        let changing = groups.iter().filter(|(_, set)| set.incoming.is_some());
        let changing: Vec<u16> = changing.map(|(group, _)| group.0).collect();
        log::info!(
            target: "belief",
            epoch = groups.epoch().0,
            groups = groups.iter().count(),
            changing:? = changing,
            source = source.name();
            "replica set in force"
        );
        *self.groups.borrow_mut() = Some(Rc::new(groups));
        self.announce();
    }

    /// How far this node knows the deployment.
    pub fn position(&self) -> ViewPosition {
        let engines = if !self.follows_engines {
            KnownEngines::Unwanted
        } else if self.engines_known.get() {
            KnownEngines::UpTo(self.engines.borrow().at())
        } else {
            KnownEngines::Nothing
        };
        ViewPosition {
            version: self.version(),
            engines,
            epoch: self.epoch(),
            wants_drains: self.drains.are_followed(),
        }
    }

    /// What another node lacks that knows the deployment this far.
    pub fn update_since(&self, known: &ViewPosition) -> ViewUpdate {
        let configuration = self.configuration.borrow();
        let configuration = configuration
            .as_ref()
            .filter(|configuration| configuration.version > known.version);
        let engines = match known.engines {
            _ if !self.engines_known.get() => None,
            KnownEngines::Unwanted => None,
            KnownEngines::Nothing => Some(self.engines.borrow().changes_since(0)),
            KnownEngines::UpTo(at) => Some(self.engines.borrow().changes_since(at)),
        };
        let groups = self.groups();
        let groups = groups.filter(|groups| groups.epoch() > known.epoch);
        ViewUpdate {
            configuration: configuration.cloned(),
            engines,
            groups: groups.map(|groups| ReplicaGroups::clone(&groups)),
            unconfirmed_ms: self.confirmation_age().map(whole_ms),
            engines_unconfirmed_ms: self.engines_unconfirmed_for().map(whole_ms),
            drains: self
                .drains
                .told()
                .filter(|_| known.wants_drains)
                .map(Box::new),
            protocol: PROTOCOL,
            has_extras: self.has_extras.get(),
            has_starts: self.has_starts.get(),
        }
    }

    /// Takes in what another node knows, as it answered to a question that was asked this long ago.
    pub fn adopt_update(&self, update: ViewUpdate, asked: Duration) {
        let asked_ms = whole_ms(asked);
        let since_asked = |age: Option<u64>| age.map(|age| age.saturating_add(asked_ms));
        let ViewUpdate {
            configuration,
            engines,
            groups,
            unconfirmed_ms,
            engines_unconfirmed_ms,
            drains,
            protocol: _,
            has_extras,
            has_starts,
        } = update;
        // A node that tells no newer configuration knows none that is newer than what this one asked with.
        let version = configuration
            .as_ref()
            .map_or(0, |configuration| configuration.version);
        let lacks_extras = configuration.is_some() && !has_extras;
        let lacks_starts = engines.is_some() && !has_starts;
        if self.needs_extras && (lacks_extras || lacks_starts) {
            self.refuse(version);
        }
        let configuration = configuration.filter(|_| !(self.needs_extras && lacks_extras));
        let engines = engines.filter(|_| !(self.needs_extras && lacks_starts));
        if let Some(configuration) = configuration {
            if version > self.version() {
                self.has_extras.set(has_extras);
            }
            self.adopt_configuration(configuration, Source::Peer);
        }
        self.confirm_version(version, since_asked(unconfirmed_ms));
        if let Some(engines) = engines {
            let told_at = engines.at;
            self.has_starts.set(has_starts && self.has_starts.get());
            self.adopt_engine_changes(engines, Source::Peer);
            self.confirm_engines(told_at, since_asked(engines_unconfirmed_ms));
        }
        if let Some(groups) = groups {
            self.adopt_groups(groups, Source::Peer);
        }
        if let Some(told) = drains {
            let newest = told.table.newest();
            self.adopt_drains(told.table, Source::Peer);
            self.drains
                .confirm(newest, since_asked(told.unconfirmed_ms));
        }
    }

    /// Leaves it to the store, or to a node that knows all of it, to tell what another node told in part.
    fn refuse(&self, version: u64) {
        let before = self.refused.get();
        let at = self.clock.ago(Duration::ZERO);
        self.refused.set(Some(Refusal { version, at }));
        if before.is_none_or(|before| before.version != version) {
            log::warn!(
                target: "belief",
                version = version,
                before = self.version();
                "told by a node of an earlier version without what the settings need, not taken in"
            );
        }
    }

    fn adopt_engine_changes(&self, changes: EngineChanges, source: Source) {
        if !self.engines_known.get() && !changes.is_whole {
            // Changes of a table that this node never had.
            return;
        }
        let changed = self.engines.borrow_mut().apply_changes(changes);
        let first = !self.engines_known.replace(true);
        if changed || first {
            self.announce_engines(source);
        }
    }

    fn announce_engines(&self, source: Source) {
        let engines = self.engines.borrow();
        log::info!(
            target: "belief",
            engines = engines.len(),
            revision = engines.at(),
            source = source.name();
            "list of engines in force"
        );
        drop(engines);
        self.announce();
    }

    fn announce(&self) {
        self.changed.send_replace(());
    }
}
