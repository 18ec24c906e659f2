//! A node: settings, view, store client, links and heartbeats that every role shares.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use ridgeworks_platform::{
    Object, ObjectKind, StoreOutcome, check_format_version, create, read, read_object, replace,
};
use ridgeworks_records::ReplicaGroups;
use ridgeworks_routing::ZoneRegions;
use serde::{Deserialize, Serialize};

use crate::build;
use crate::clock::Clock;
use crate::drain_handler::DrainHandler;
use crate::peer::{
    ExtensionReply, ExtensionRequest, Gossip, GossipSources, MemberInfo, PeerLinks, PeerReply,
    PeerRequest, PeerService, fetch_members, fetch_view,
};
use crate::settings::{NodeSettings, Role};
use crate::store_client::StoreClient;
use crate::store_watch::{WatchHandler, list_once, watch_objects};
use crate::traffic::Traffic;
use crate::view::{Source, View};
use crate::watch_handlers::{ConfigurationHandler, EngineHandler, OverdueConfirmationLog};
use crate::watch_policy::{WatchControl, WatchPolicy, WatcherRole};

/// Name of the store object that holds the replica sets of all groups.
pub const REPLICA_SET_NAME: &str = "main";
const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(300);
/// How often a node decides whether it watches the store; four times as often in its first second.
const WATCH_DECISION_INTERVAL: Duration = Duration::from_millis(100);
const FAST_DECISION_PERIOD: Duration = Duration::from_secs(1);
/// How long a watcher role is kept before it is computed again, after the node's first second.
const WATCHER_ROLE_LIFETIME: Duration = Duration::from_secs(1);
/// How long a node waits for a first heartbeat before it looks for other nodes in the store.
const STORE_DISCOVERY_DELAY: Duration = Duration::from_millis(1_500);
/// How often a replica reads the replica sets from the store until some are known. Their writer announces them in its next
/// heartbeat, so only a replica that receives none depends on this. A shorter interval would load the store, since all replicas
/// read: every 300 ms, 36 replicas made 290 calls before the first set.
const REPLICA_SET_READ_INTERVAL: Duration = Duration::from_secs(1);
/// How often a gateway that doesn't watch the store reads the replica sets itself.
const FALLBACK_REPLICA_SET_READ_INTERVAL: Duration = Duration::from_secs(3);
const SEED_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// State and connections that all parts of one process share.
pub struct Node {
    /// Settings at the start; a reload doesn't change them.
    pub settings: NodeSettings,
    /// The regions of the deployment's zones.
    pub regions: ZoneRegions,
    /// The monotonic clock.
    pub clock: Clock,
    /// What the node knows of the deployment.
    pub view: Rc<View>,
    /// Client of the platform's store.
    pub store: Rc<StoreClient>,
    /// Links to other nodes.
    pub links: Rc<PeerLinks>,
    /// Bytes by purpose and distance; `None` where the settings name no zones.
    pub traffic: Option<Rc<Traffic>>,
    /// Heartbeats.
    pub gossip: Rc<Gossip>,
    /// Whether this node watches the configuration and the engines in the store, and the timings of these watches.
    pub watch_control: Rc<WatchControl>,
    /// The same for the drains of zones, which have a bound of their own, and so other timings.
    drain_watch_control: Rc<WatchControl>,
    /// The settings as last read from the file.
    current_settings: RefCell<NodeSettings>,
    settings_unreadable: Cell<bool>,
    /// Last revision of the stored replica sets that could not be decoded; 0 for none.
    unreadable_replica_sets: Cell<u64>,
    /// Whether a seed has replied.
    has_seed_replied: Cell<bool>,
}

/// Why the settings are reloaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReloadReason {
    /// The process received SIGHUP.
    Signal,
    /// Periodic check, since they may change without a signal.
    Interval,
}

impl Node {
    /// Binds the socket for heartbeats. [`Node::start`] binds the one for requests.
    pub async fn bind(settings: NodeSettings, clock: Clock) -> io::Result<Rc<Self>> {
        let is_gateway = settings.role == Role::Gateway;
        let view = View::new(clock, is_gateway).needing_protocol_1(settings.needs_protocol_1());
        let has_drains = is_gateway && settings.bounds.zone_drain().is_some();
        let view = Rc::new(if has_drains { view.with_drains() } else { view });
        let bound = settings.bounds.configuration();
        let drain_bound = settings.bounds.zone_drain().unwrap_or(bound);
        let drain_policy = WatchPolicy::new(&settings.name, drain_bound);
        let drain_watch_control = WatchControl::new(drain_policy.timings(WatcherRole::Other));
        let policy = WatchPolicy::new(&settings.name, bound);
        let watch_control = Rc::new(WatchControl::new(policy.timings(WatcherRole::Other)));
        let regions = settings.zone_regions();
        let traffic = Traffic::new(&settings.zone, regions.clone()).map(Rc::new);
        let links = Rc::new(PeerLinks::counting(traffic.clone()));
        let seeds = settings.seed_peers();
        let me = member_info(&settings);
        let gossip = Gossip::bind(
            me,
            seeds,
            clock,
            Rc::clone(&view),
            Rc::clone(&links),
            Rc::clone(&watch_control),
            bound,
        );
        let gossip = gossip.await?;
        Ok(Rc::new(Self {
            store: Rc::new(StoreClient::new(settings.platform.store)),
            gossip: Rc::new(gossip),
            current_settings: RefCell::new(settings.clone()),
            settings_unreadable: Cell::new(false),
            unreadable_replica_sets: Cell::new(0),
            regions,
            traffic,
            has_seed_replied: Cell::new(false),
            settings,
            clock,
            view,
            links,
            watch_control,
            drain_watch_control: Rc::new(drain_watch_control),
        }))
    }

    /// Starts heartbeats, the service for other nodes, and the discovery of members and replica sets.
    pub async fn start(
        self: &Rc<Self>,
        service: Rc<impl PeerService>,
        sources: Rc<impl GossipSources>,
    ) -> io::Result<()> {
        crate::peer::serve(self.settings.peer_address(), service).await?;
        let gossip = Rc::clone(&self.gossip);
        tokio::task::spawn_local(gossip.run(sources));
        tokio::task::spawn_local(Rc::clone(self).discover_members());
        tokio::task::spawn_local(Rc::clone(self).discover_replica_sets());
        for seed in self.settings.seed_peers() {
            tokio::task::spawn_local(Rc::clone(self).fetch_view_from(seed));
        }
        Ok(())
    }

    /// Keeps the configuration, the engines and the drains of zones up to date, from the store or from other nodes.
    pub fn watch_store(self: &Rc<Self>) {
        tokio::task::spawn_local(Rc::clone(self).update_watch_control());
        let configuration = ConfigurationHandler(Rc::clone(&self.view));
        self.watch_objects(
            ObjectKind::Configuration,
            configuration,
            &self.watch_control,
        );
        let engines = EngineHandler::new(Rc::clone(&self.view));
        self.watch_objects(ObjectKind::Engines, engines, &self.watch_control);
        if self.view.drains.are_used() {
            let drains = DrainHandler::new(Rc::clone(&self.view));
            self.watch_objects(ObjectKind::ZoneDrains, drains, &self.drain_watch_control);
        }
    }

    fn watch_objects(
        &self,
        kind: ObjectKind,
        handler: impl WatchHandler + 'static,
        watch_control: &Rc<WatchControl>,
    ) {
        let store = Rc::clone(&self.store);
        let watch_control = Rc::clone(watch_control);
        tokio::task::spawn_local(watch_objects(store, kind, handler, watch_control));
    }

    /// Handles the requests that are common to all roles; any other is [`PeerReply::Unsupported`].
    pub fn answer(&self, request: &PeerRequest) -> PeerReply {
        match request {
            PeerRequest::FetchView(known) => PeerReply::View(self.view.update_since(known)),
            PeerRequest::ListMembers => PeerReply::Members(self.gossip.known()),
            PeerRequest::Extension(ExtensionRequest::FetchBuild) => {
                PeerReply::Extension(ExtensionReply::Build(build::here()))
            }
            _ => PeerReply::Unsupported,
        }
    }

    /// Decides periodically whether this node watches the store.
    async fn update_watch_control(self: Rc<Self>) {
        let bound = self.settings.bounds.configuration();
        let mut policy = WatchPolicy::new(&self.settings.name, bound);
        let drain_bound = self.settings.bounds.zone_drain().unwrap_or(bound);
        let mut drain_policy = WatchPolicy::new(&self.settings.name, drain_bound);
        if self.settings.is_seed() {
            policy.query_immediately();
            drain_policy.query_immediately();
        }
        let mut overdue_log = OverdueConfirmationLog::new(bound);
        let mut role = WatcherRole::Other;
        let mut role_found_at = None;
        loop {
            let now = self.clock.now();
            // The role depends on all members, which are many in a large fleet and change rarely.
            if now < FAST_DECISION_PERIOD
                || role_found_at.is_none_or(|at| now - at > WATCHER_ROLE_LIFETIME)
            {
                role = self.gossip.watcher_role(now);
                role_found_at = Some(now);
            }
            if self.has_seed_replied.get() {
                policy.defer_to_seeds();
                drain_policy.defer_to_seeds();
            }
            self.update_drain_watch_control(&mut drain_policy, role, now);
            let unconfirmed = self.view.confirmation_age();
            overdue_log.update(unconfirmed, self.view.version());
            let should_watch = policy.should_watch(now, role, unconfirmed);
            if self.watch_control.set(should_watch, policy.timings(role)) {
                log::info!(
                    target: "belief",
                    watches = should_watch,
                    place:? = role,
                    unconfirmed_ms:? = unconfirmed.map(|age| age.as_millis());
                    "watching the platform store changed"
                );
            }
            let pause = if now < FAST_DECISION_PERIOD {
                WATCH_DECISION_INTERVAL / 4
            } else {
                WATCH_DECISION_INTERVAL
            };
            tokio::time::sleep(pause).await;
        }
    }

    fn update_drain_watch_control(
        &self,
        policy: &mut WatchPolicy,
        role: WatcherRole,
        now: Duration,
    ) {
        if !self.view.drains.are_used() {
            return;
        }
        let unconfirmed = self.view.drains.confirmation_age();
        let should_watch = policy.should_watch(now, role, unconfirmed);
        if self
            .drain_watch_control
            .set(should_watch, policy.timings(role))
        {
            log::info!(
                target: "belief",
                watches = should_watch,
                place:? = role,
                unconfirmed_ms:? = unconfirmed.map(|age| age.as_millis());
                "started or stopped watching zone drains in the platform store"
            );
        }
    }

    /// Reads the settings file again and applies what may change while the process runs: the store's address and the seeds. Logs
    /// the result after a signal or a change.
    pub fn reload(&self, path: &Path, reason: ReloadReason) {
        let settings = match NodeSettings::load(path) {
            Ok(settings) => settings,
            Err(error) => {
                let is_new = !self.settings_unreadable.replace(true);
                if is_new || reason == ReloadReason::Signal {
                    log::error!(
                        target: "process",
                        detail:% = error;
                        "settings not reloaded, the earlier ones hold"
                    );
                }
                return;
            }
        };
        self.settings_unreadable.set(false);
        let has_changed = *self.current_settings.borrow() != settings;
        if has_changed || reason == ReloadReason::Signal {
            self.store.set_address(settings.platform.store);
            self.gossip.set_seeds(settings.seed_peers());
            log::info!(
                target: "process",
                has_changed = has_changed,
                store:% = settings.platform.store,
                seeds = settings.seeds.len();
                "settings reloaded"
            );
            *self.current_settings.borrow_mut() = settings;
        }
    }

    /// Reads the replica sets and their revision from the store; `None` when the call fails, when its outcome is neither done nor
    /// not found, or when the object can't be decoded.
    pub async fn read_replica_sets(&self) -> Option<RegisteredReplicaSets> {
        let call = read(ObjectKind::ReplicaSets, REPLICA_SET_NAME);
        let answer = self.store.call(call, STORE_CALL_TIMEOUT).await.ok()?;
        match answer.outcome {
            StoreOutcome::NotFound => {
                self.view.on_no_replica_sets();
                Some(RegisteredReplicaSets::Missing)
            }
            StoreOutcome::Done => {
                let object = read_object(&answer.body).ok()?;
                if let Err(error) = check_format_version(&object.spec) {
                    self.log_unreadable_replica_sets(object.revision, &error);
                    return None;
                }
                let groups = match ReplicaGroups::deserialize(&object.spec) {
                    Ok(groups) => groups,
                    Err(error) => {
                        self.log_unreadable_replica_sets(object.revision, &error);
                        return None;
                    }
                };
                self.view.adopt_replica_sets(groups.clone(), Source::Store);
                let revision = object.revision;
                Some(RegisteredReplicaSets::Found { groups, revision })
            }
            _ => None,
        }
    }

    /// Logs, once per revision, that the object can't be decoded. The known sets stay in force.
    fn log_unreadable_replica_sets(&self, revision: u64, error: &dyn std::fmt::Display) {
        if self.unreadable_replica_sets.replace(revision) != revision {
            log::error!(
                target: "dependency",
                revision = revision,
                detail:% = error;
                "replica sets in the platform store cannot be read"
            );
        }
    }

    /// Registers this node in the store, for nodes that receive no heartbeats; returns whether it is registered.
    async fn register(&self) -> bool {
        let record = MemberRecord::of(&self.settings);
        let name = self.settings.name.as_str();
        let call = create(ObjectKind::Members, name, &record);
        let outcome = self.store.call(call, STORE_CALL_TIMEOUT).await;
        match outcome.map(|answer| answer.outcome) {
            Ok(StoreOutcome::Done) => true,
            Ok(StoreOutcome::Conflict) => {
                let call = replace(ObjectKind::Members, name, None, &record);
                let replaced = self.store.call(call, STORE_CALL_TIMEOUT).await;
                replaced.is_ok_and(|answer| answer.outcome == StoreOutcome::Done)
            }
            _ => false,
        }
    }

    /// Asks the seeds for other nodes until a heartbeat arrives. A node that receives none for a while registers itself in
    /// the store and looks for others there; the others don't, so that calls to the store don't grow with the fleet. The replicas
    /// become known with their sets in any case, and their heartbeats name the other nodes.
    async fn discover_members(self: Rc<Self>) {
        let started_at = self.clock.now();
        let mut is_registered = false;
        while !self.gossip.has_heard_peers() {
            for seed in self.settings.seed_peers() {
                let known = fetch_members(&self.links, seed).await;
                self.gossip.add_known(known);
            }
            if self.clock.now() - started_at > STORE_DISCOVERY_DELAY {
                is_registered = is_registered || self.register().await;
                self.add_registered_members().await;
            }
            sleep_with_jitter(DISCOVERY_INTERVAL).await;
        }
    }

    async fn add_registered_members(&self) {
        let Some(objects) = list_once(&self.store, ObjectKind::Members).await else {
            return;
        };
        let nodes: Vec<MemberInfo> = objects.iter().filter_map(MemberRecord::read).collect();
        log::info!(
            target: "belief",
            registered = nodes.len(),
            unreadable = objects.len() - nodes.len();
            "no heartbeat of another node received; looked up the members registered in the platform store"
        );
        self.gossip.add_known(nodes);
    }

    /// Reads the replica sets until some are known. A replica reads the stored sets at once. A gateway reads them early too, since its
    /// requests wait until it is known whether there are any, but only after other nodes had the time to tell it of replicas; then
    /// one that doesn't watch the store relies on those that do.
    async fn discover_replica_sets(self: Rc<Self>) {
        let is_replica = self.settings.role == Role::Replica;
        let mut read_at = None;
        if is_replica {
            // Sets from other nodes may be stale: all that knew newer ones may be gone.
            self.read_replica_sets().await;
        } else {
            sleep_with_jitter(DISCOVERY_INTERVAL).await;
        }
        while self.view.replica_sets().is_none() {
            let now = self.clock.now();
            let is_due = read_at.is_none_or(|at| now - at > FALLBACK_REPLICA_SET_READ_INTERVAL);
            if is_replica || self.watch_control.should_watch() || is_due {
                read_at = Some(now);
                self.read_replica_sets().await;
            }
            let pause = if is_replica {
                REPLICA_SET_READ_INTERVAL
            } else {
                DISCOVERY_INTERVAL
            };
            sleep_with_jitter(pause).await;
        }
    }

    /// Fetches a seed's view, at most `MAX_ATTEMPTS` times, until the seed has replied and the routes are known, or until the
    /// routes and the replica sets are known from elsewhere.
    async fn fetch_view_from(self: Rc<Self>, seed: SocketAddr) {
        const MAX_ATTEMPTS: usize = 20;
        for _ in 0..MAX_ATTEMPTS {
            if self.view.routes().is_some() && self.view.replica_sets().is_some() {
                return;
            }
            let replied = fetch_view(&self.links, &self.view, seed).await;
            self.has_seed_replied
                .set(replied || self.has_seed_replied.get());
            if replied && self.view.routes().is_some() {
                return;
            }
            sleep_with_jitter(SEED_RETRY_INTERVAL).await;
        }
    }
}

/// The replica sets in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RegisteredReplicaSets {
    /// None have been written yet.
    Missing,
    /// The sets and the revision of their object.
    Found {
        /// The sets.
        groups: ReplicaGroups,
        /// Expected revision for a compare-and-swap of the object.
        revision: u64,
    },
}

async fn sleep_with_jitter(pause: Duration) {
    let factor = rand::rng().random_range(0.5..1.5);
    tokio::time::sleep(pause.mul_f64(factor)).await;
}

fn member_info(settings: &NodeSettings) -> MemberInfo {
    MemberInfo {
        name: settings.name.clone(),
        address: settings.peer_address(),
        zone: settings.zone.clone(),
        is_replica: settings.role == Role::Replica,
    }
}

/// A node's registration in the store. Its fields must not change (`docs/design/versions.md`).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Address of its links and heartbeats.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Whether it runs a replica.
    pub is_replica: bool,
}

impl MemberRecord {
    fn of(settings: &NodeSettings) -> Self {
        Self {
            address: settings.peer_address(),
            zone: settings.zone.clone(),
            is_replica: settings.role == Role::Replica,
        }
    }

    fn read(object: &Object) -> Option<MemberInfo> {
        check_format_version(&object.spec).ok()?;
        let record = Self::deserialize(&object.spec).ok()?;
        Some(MemberInfo {
            name: object.name.clone(),
            address: record.address,
            zone: record.zone,
            is_replica: record.is_replica,
        })
    }
}
