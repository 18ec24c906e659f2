//! A node's view of the deployment: configuration, engines, replica sets, drains of zones.
//!
//! Each part only moves to newer versions, whether they come from the platform's store or from other nodes.

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

/// Where a part of the view came from.
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

/// What a node knows of the deployment.
#[derive(Debug)]
pub struct View {
    clock: Clock,
    /// Whether the node uses engines.
    uses_engines: bool,
    configuration: RefCell<Option<RouteConfiguration>>,
    routes: RefCell<Option<Rc<RouteTable>>>,
    engines: RefCell<EngineTable>,
    engines_known: Cell<bool>,
    unreadable_engines: Cell<usize>,
    replica_sets: RefCell<Option<Rc<ReplicaGroups>>>,
    /// When this node last read in the store that there are no replica sets.
    no_replica_sets_read: Cell<Option<Moment>>,
    /// When, by what other nodes told, one of them last read that; a node that can't read the store relies on it.
    no_replica_sets_told: Cell<Option<Moment>>,
    /// Zones whose engines get no new requests.
    pub drains: DrainView,
    /// When the configuration was last confirmed to be the newest. The age counts from when the confirming request was sent; each
    /// node that relays the confirmation adds the age of its own request.
    confirmed: Cell<Option<Moment>>,
    /// Whether the store has a newer configuration that cannot be decoded, so that nothing confirms the one in force.
    has_unreadable_configuration: Cell<bool>,
    /// When the engines were last confirmed to have no newer change; the age counts as for `confirmed`.
    engines_confirmed: Cell<Option<Moment>>,
    changed: watch::Sender<()>,
    /// Notified when a confirmation is to be announced to other nodes.
    announcement: Notify,
    /// Notified at each confirmation of the configuration.
    confirmed_notify: Notify,
    needs_protocol_1: bool,
    /// Whether the configuration is complete: it did not come, directly or indirectly, from a node of protocol version 0.
    has_extras: Cell<bool>,
    /// Whether the engines have their warm-up times: no update of them came, directly or indirectly, from a node of protocol
    /// version 0.
    has_starts: Cell<bool>,
    refused: Cell<Option<Refusal>>,
}

/// An update that lacked what this node needs.
#[derive(Debug, Clone, Copy)]
struct Refusal {
    /// Version of its configuration; 0 where it had engines only.
    version: u64,
    refused_at: Moment,
}

/// First protocol version that tells the engines' software versions.
const SOFTWARE_PROTOCOL: u16 = 2;
/// How long it counts that another node read in the store that there are no replica sets: over two of the readings of a node that
/// doesn't watch the store.
const TOLD_LIFETIME: Duration = Duration::from_secs(10);
/// How long no view is fetched from other nodes after a refused update.
const REFUSAL_BACKOFF: Duration = Duration::from_secs(1);

impl View {
    /// An empty view of a node that ignores drains of zones. `uses_engines` says whether it uses engines.
    pub fn new(clock: Clock, uses_engines: bool) -> Self {
        Self {
            clock,
            uses_engines,
            configuration: RefCell::default(),
            routes: RefCell::default(),
            engines: RefCell::default(),
            engines_known: Cell::new(false),
            unreadable_engines: Cell::new(0),
            replica_sets: RefCell::default(),
            no_replica_sets_read: Cell::new(None),
            no_replica_sets_told: Cell::new(None),
            drains: DrainView::new(clock, false),
            confirmed: Cell::new(None),
            has_unreadable_configuration: Cell::new(false),
            engines_confirmed: Cell::new(None),
            changed: watch::Sender::new(()),
            announcement: Notify::new(),
            confirmed_notify: Notify::new(),
            needs_protocol_1: false,
            has_extras: Cell::new(true),
            has_starts: Cell::new(true),
            refused: Cell::new(None),
        }
    }

    /// Sets whether the node's settings guarantee something (regions, warm-up limits) that needs fields which protocol version
    /// 0 doesn't have. Configurations and engines that lack them are refused (`docs/design/versions.md`, "What rests on all of
    /// them").
    pub fn needing_protocol_1(mut self, needs_protocol_1: bool) -> Self {
        self.needs_protocol_1 = needs_protocol_1;
        self
    }

    /// Whether configurations and engines from a node of this protocol version have all that this node needs.
    pub fn is_protocol_sufficient(&self, protocol: u16) -> bool {
        !self.needs_protocol_1 || protocol > 0
    }

    /// Whether lists of engines from a node of this protocol version have the engines' software versions, without which streams
    /// cannot be kept at the version that began them. Others are left out of its updates.
    pub fn accepts_engines_from(&self, protocol: u16) -> bool {
        !self.uses_engines || protocol >= SOFTWARE_PROTOCOL
    }

    /// Whether to fetch the view of a node of this protocol version: its updates would not be refused, and none was lately.
    pub fn accepts_views_from(&self, protocol: u16) -> bool {
        self.is_protocol_sufficient(protocol) && !self.was_refused_recently()
    }

    fn was_refused_recently(&self) -> bool {
        let refused = self.refused.get();
        refused.is_some_and(|refused| self.clock.since(refused.refused_at) < REFUSAL_BACKOFF)
    }

    /// Makes the node use drains of zones.
    pub fn with_drains(mut self) -> Self {
        self.drains = DrainView::new(self.clock, true);
        self
    }

    /// Receives a notification at each change of the view.
    pub fn changes(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// The routes of the configuration in force; `None` before the first one.
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

    /// Borrows the engines for `read`, which must not change the view.
    pub fn with_engines<R>(&self, read: impl FnOnce(&EngineTable) -> R) -> R {
        read(&self.engines.borrow())
    }

    /// Whether a complete list of engines has been received.
    pub fn engines_known(&self) -> bool {
        self.engines_known.get()
    }

    /// Whether all changes of engines up to this revision are known.
    pub fn has_engines_up_to(&self, newest: u64) -> bool {
        self.engines_known.get() && newest <= self.engines.borrow().at()
    }

    /// Number of stored engines that can't be decoded; kept up to date only while this node watches the store.
    pub fn unreadable_engines(&self) -> usize {
        self.unreadable_engines.get()
    }

    /// See [`View::unreadable_engines`].
    pub fn set_unreadable_engines(&self, count: usize) {
        self.unreadable_engines.set(count);
    }

    /// The newest known replica sets; `None` before the first ones.
    pub fn replica_sets(&self) -> Option<Rc<ReplicaGroups>> {
        self.replica_sets.borrow().clone()
    }

    /// Whether the deployment is known to have no replica sets yet; false also where nobody could be asked. What other nodes told
    /// lapses with [`TOLD_LIFETIME`], and nothing of it holds against sets that are known.
    pub fn has_no_replica_sets(&self) -> bool {
        if self.replica_sets.borrow().is_some() {
            return false;
        }
        self.no_replica_sets_read.get().is_some()
            || self
                .no_replica_sets_age()
                .is_some_and(|age| age < TOLD_LIFETIME)
    }

    /// Whether this node relies on others to tell whether there are replica sets.
    pub fn needs_told_replica_sets(&self) -> bool {
        self.replica_sets.borrow().is_none() && self.no_replica_sets_read.get().is_none()
    }

    /// Time since the store last said, to this node or another, that it has no replica sets; `None` when it never did.
    pub fn no_replica_sets_age(&self) -> Option<Duration> {
        let read = self.no_replica_sets_read.get();
        let newest = read.max(self.no_replica_sets_told.get())?;
        Some(self.clock.since(newest))
    }

    /// Records that the store has just said that it has no replica sets.
    pub fn on_no_replica_sets(&self) {
        let had_none = self.has_no_replica_sets();
        let now = self.clock.ago(Duration::ZERO);
        self.no_replica_sets_read.set(Some(now));
        self.announce_no_replica_sets(had_none, Source::Store);
    }

    /// Records that the store said so `age` ago to another node. One that is too old says nothing: sets may have been written since.
    fn on_told_no_replica_sets(&self, age: Duration) {
        if age >= TOLD_LIFETIME {
            return;
        }
        let had_none = self.has_no_replica_sets();
        let told = self.no_replica_sets_told.get();
        let as_of = self.clock.ago(age);
        self.no_replica_sets_told.set(told.max(Some(as_of)));
        self.announce_no_replica_sets(had_none, Source::Peer);
    }

    /// Wakes what waits for replica sets, once it is known that there are none.
    fn announce_no_replica_sets(&self, had_none: bool, source: Source) {
        if had_none || !self.has_no_replica_sets() {
            return;
        }
        log::info!(
            target: "belief",
            age_ms:? = self.no_replica_sets_age().map(whole_ms),
            source = source.name();
            "the deployment has no replica sets"
        );
        self.announce();
    }

    /// The newest known set of a group; `None` where none is known.
    pub fn replica_set(&self, group: GroupId) -> Option<ReplicaSet> {
        let groups = self.replica_sets.borrow();
        let set = groups.as_ref().and_then(|groups| groups.set(group));
        set.cloned()
    }

    /// Combined epoch of the newest known replica sets; 0 when none are known.
    pub fn epoch(&self) -> Epoch {
        let groups = self.replica_sets.borrow();
        groups
            .as_ref()
            .map_or(Epoch::default(), |groups| groups.epoch())
    }

    /// Time since the store confirmed, to this node or another, that the configuration is the newest; `None` when it never did.
    pub fn confirmation_age(&self) -> Option<Duration> {
        let confirmed = self.confirmed.get()?;
        Some(self.clock.since(confirmed))
    }

    /// Time since the store confirmed, to this node or another, that the engines have no newer change; `None` when it never did.
    pub fn engines_confirmation_age(&self) -> Option<Duration> {
        let confirmed = self.engines_confirmed.get()?;
        Some(self.clock.since(confirmed))
    }

    /// Records that the known engines were the newest `age` ago.
    pub fn confirm_engines_as_of(&self, age: Duration) {
        let as_of = self.clock.ago(age);
        let confirmed = self.engines_confirmed.get().max(Some(as_of));
        self.engines_confirmed.set(confirmed);
    }

    /// Waits until the configuration is confirmed again.
    pub async fn wait_for_confirmation(&self) {
        self.confirmed_notify.notified().await;
    }

    /// Versions and confirmation ages of this view, for another node.
    pub fn confirmations(&self) -> Confirmations {
        Confirmations {
            version: self.version(),
            unconfirmed_ms: self.confirmation_age().map(whole_ms),
            engines_newest: self.engines.borrow().newest(),
            engines_unconfirmed_ms: self.engines_confirmation_age().map(whole_ms),
            drains: self.drains.known(),
            no_replica_sets_ms: self
                .no_replica_sets_age()
                .filter(|_| self.has_no_replica_sets())
                .map(whole_ms),
        }
    }

    /// Applies another node's reply to a request that was sent `request_age` ago.
    pub fn confirm(&self, received: &Confirmations, request_age: Duration) {
        let request_age_ms = whole_ms(request_age);
        let plus_request_age = |age: Option<u64>| age.map(|age| age.saturating_add(request_age_ms));
        self.confirm_version(received.version, plus_request_age(received.unconfirmed_ms));
        self.confirm_engines(
            received.engines_newest,
            plus_request_age(received.engines_unconfirmed_ms),
        );
        if let Some(known) = received.drains {
            self.drains
                .confirm(known.newest, plus_request_age(known.unconfirmed_ms));
        }
        if let Some(age_ms) = plus_request_age(received.no_replica_sets_ms) {
            self.on_told_no_replica_sets(Duration::from_millis(age_ms));
        }
    }

    /// Requests a heartbeat that tells other nodes of a confirmation before they probe the store too.
    pub fn announce_confirmation(&self) {
        self.announcement.notify_one();
    }

    /// Waits for [`View::announce_confirmation`].
    pub async fn wait_for_announcement(&self) {
        self.announcement.notified().await;
    }

    /// Confirms the configuration if it is at least the version that was the newest `unconfirmed_ms` ago.
    fn confirm_version(&self, version: u64, unconfirmed_ms: Option<u64>) {
        let age = unconfirmed_ms.filter(|_| version <= self.version());
        if let Some(age) = age {
            self.confirm_as_of(Duration::from_millis(age));
        }
    }

    /// Confirms the engines if all changes up to `newest` are known, which was the newest revision `unconfirmed_ms` ago.
    fn confirm_engines(&self, newest: u64, unconfirmed_ms: Option<u64>) {
        let is_known = self.has_engines_up_to(newest);
        if let Some(age) = unconfirmed_ms.filter(|_| is_known) {
            self.confirm_engines_as_of(Duration::from_millis(age));
        }
    }

    /// Records that the store has a newer configuration that cannot be decoded. Nodes of earlier versions may go on confirming the
    /// one in force.
    pub fn on_unreadable_configuration(&self) {
        self.has_unreadable_configuration.set(true);
    }

    /// Records that the known configuration was the newest `age` ago.
    pub fn confirm_as_of(&self, age: Duration) {
        if self.has_unreadable_configuration.get() {
            return;
        }
        let as_of = self.clock.ago(age);
        self.confirmed.set(self.confirmed.get().max(Some(as_of)));
        self.confirmed_notify.notify_waiters();
    }

    /// Applies a configuration if it is newer than the one in force.
    pub fn adopt_configuration(&self, configuration: RouteConfiguration, source: Source) {
        let before = self.version();
        let is_newer = configuration.version > before;
        if is_newer || source == Source::Store {
            self.has_unreadable_configuration.set(false);
        }
        if !is_newer {
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

    /// Applies a complete list of engines as of `revision`.
    pub fn adopt_engines(&self, entries: Vec<EngineEntry>, revision: u64, source: Source) {
        let newer = self.newer_engines(&entries);
        let changed = self.engines.borrow_mut().replace(entries, revision);
        self.on_engines_applied(&newer, changed, source);
    }

    /// The entries that are newer than the known ones; none before the first list, which is logged as a whole.
    fn newer_engines(&self, entries: &[EngineEntry]) -> Vec<EngineEntry> {
        if !self.engines_known.get() {
            return Vec::new();
        }
        let engines = self.engines.borrow();
        let is_newer = |entry: &&EngineEntry| engines.is_newer(entry);
        entries.iter().filter(is_newer).cloned().collect()
    }

    fn on_engines_applied(&self, newer: &[EngineEntry], changed: bool, source: Source) {
        let first = !self.engines_known.replace(true);
        if changed || first {
            newer
                .iter()
                .for_each(|entry| log_changed_engine(entry, source));
            self.announce_engines(source);
        }
    }

    /// Applies one new or changed engine.
    pub fn adopt_engine(&self, entry: EngineEntry, source: Source) {
        let applied = self.engines.borrow_mut().apply(entry.clone());
        if applied {
            log_changed_engine(&entry, source);
            self.announce();
        }
    }

    /// Removes an engine, as reported by a source that knows all changes up to `complete_at`.
    pub fn remove_engine(&self, instance: &str, revision: u64, complete_at: u64, source: Source) {
        let removed = self
            .engines
            .borrow_mut()
            .remove(instance, revision, complete_at);
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

    /// Records that all changes of engines up to this revision are known.
    pub fn advance_engines(&self, revision: u64) {
        self.engines.borrow_mut().advance(revision);
    }

    /// Applies replica sets if they are newer than the known ones.
    pub fn adopt_replica_sets(&self, groups: ReplicaGroups, source: Source) {
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
        *self.replica_sets.borrow_mut() = Some(Rc::new(groups));
        self.announce();
    }

    /// Versions of this view, for a request for what is newer.
    pub fn position(&self) -> ViewPosition {
        let engines = if !self.uses_engines {
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
            wants_drains: self.drains.are_used(),
        }
    }

    /// All that is newer here than in the view of a node with this position.
    pub fn update_since(&self, known: &ViewPosition) -> ViewUpdate {
        let configuration = self.configuration.borrow();
        let configuration = configuration
            .as_ref()
            .filter(|configuration| configuration.version > known.version);
        let engines = match known.engines {
            _ if !self.engines_known.get() => None,
            KnownEngines::Unwanted => None,
            KnownEngines::Nothing => Some(self.engines.borrow().whole()),
            KnownEngines::UpTo(revision) => Some(self.engines.borrow().changes_since(revision)),
        };
        let groups = self.replica_sets();
        let groups = groups.filter(|groups| groups.epoch() > known.epoch);
        ViewUpdate {
            configuration: configuration.cloned(),
            engines,
            groups: groups.map(|groups| ReplicaGroups::clone(&groups)),
            unconfirmed_ms: self.confirmation_age().map(whole_ms),
            engines_unconfirmed_ms: self.engines_confirmation_age().map(whole_ms),
            drains: self
                .drains
                .snapshot()
                .filter(|_| known.wants_drains)
                .map(Box::new),
            protocol: PROTOCOL,
            has_extras: self.has_extras.get(),
            has_starts: self.has_starts.get(),
            has_software: true,
        }
    }

    /// Applies another node's reply to a request for its view that was sent `request_age` ago.
    pub fn adopt_update(&self, update: ViewUpdate, request_age: Duration) {
        let request_age_ms = whole_ms(request_age);
        let plus_request_age = |age: Option<u64>| age.map(|age| age.saturating_add(request_age_ms));
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
            has_software,
        } = update;
        // An update without a configuration says that the sender knows none newer than the version in the request.
        let version = configuration
            .as_ref()
            .map_or(0, |configuration| configuration.version);
        let lacks_extras = configuration.is_some() && !has_extras;
        let lacks_warm_ups = engines.is_some() && !has_starts;
        if self.needs_protocol_1 && (lacks_extras || lacks_warm_ups) {
            self.refuse(version);
        }
        let configuration = configuration.filter(|_| !(self.needs_protocol_1 && lacks_extras));
        let engines = engines.filter(|_| !(self.needs_protocol_1 && lacks_warm_ups));
        let engines = engines.filter(|_| has_software);
        if let Some(configuration) = configuration {
            if version > self.version() {
                self.has_extras.set(has_extras);
            }
            self.adopt_configuration(configuration, Source::Peer);
        }
        self.confirm_version(version, plus_request_age(unconfirmed_ms));
        if let Some(engines) = engines {
            let complete_at = engines.at;
            self.has_starts.set(has_starts && self.has_starts.get());
            self.adopt_engine_changes(engines, Source::Peer);
            self.confirm_engines(complete_at, plus_request_age(engines_unconfirmed_ms));
        }
        if let Some(groups) = groups {
            self.adopt_replica_sets(groups, Source::Peer);
        }
        if let Some(received) = drains {
            let newest = received.table.unchanged_since();
            self.adopt_drains(received.table, Source::Peer);
            self.drains
                .confirm(newest, plus_request_age(received.unconfirmed_ms));
        }
    }

    /// Notes that an update was refused because it is incomplete. The complete one comes from the store or another node.
    fn refuse(&self, version: u64) {
        let before = self.refused.get();
        let refused_at = self.clock.ago(Duration::ZERO);
        self.refused.set(Some(Refusal {
            version,
            refused_at,
        }));
        if before.is_none_or(|before| before.version != version) {
            log::warn!(
                target: "belief",
                version = version,
                before = self.version();
                "update from a node of an earlier protocol version lacks what the settings need; not applied"
            );
        }
    }

    fn adopt_engine_changes(&self, changes: EngineChanges, source: Source) {
        if !self.engines_known.get() && !changes.is_whole {
            // Changes to a table that this node doesn't have.
            return;
        }
        let newer = self.newer_engines(&changes.entries);
        let changed = self.engines.borrow_mut().apply_changes(changes);
        self.on_engines_applied(&newer, changed, source);
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

fn log_changed_engine(entry: &EngineEntry, source: Source) {
    let engine = &entry.engine;
    log::info!(
        target: "belief",
        engine = engine.instance.as_str(),
        state:? = engine.state,
        born_ms = engine.born_ms,
        software = engine.software.as_str(),
        revision = entry.revision,
        source = source.name();
        "engine changed"
    );
}
