//! The parts that every role runs on, put together.

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
use crate::drain_follower::DrainFollower;
use crate::followers::{ConfigurationFollower, ConfirmationLog, EngineFollower};
use crate::peer::{
    ExtensionReply, ExtensionRequest, Gossip, GossipSources, MemberInfo, PeerLinks, PeerReply,
    PeerRequest, PeerService, fetch_members, fetch_view,
};
use crate::settings::{NodeSettings, Role};
use crate::store_client::StoreClient;
use crate::store_watch::{WatchHandler, list_once, watch_objects};
use crate::traffic::Traffic;
use crate::view::{Source, View};
use crate::watch_policy::{Place, WatchControl, WatchDuty};

/// Name of the object that holds the replica sets of all groups.
pub const REPLICA_SET_NAME: &str = "main";
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
const REGISTER_PAUSE: Duration = Duration::from_millis(300);
/// How often it is decided whether a node watches the store; four times as often in its first second.
const DUTY_PAUSE: Duration = Duration::from_millis(100);
const DUTY_START: Duration = Duration::from_secs(1);
/// How long a node's place among the watchers holds after its first second.
const PLACE_LIFETIME: Duration = Duration::from_secs(1);
/// How long a node waits for others to be heard before it looks for them in the store.
const MEMBERS_PATIENCE: Duration = Duration::from_millis(1_500);
/// How often a replica looks for the first sets. Whoever writes them tells the others within a heartbeat, so this is for one that
/// hears nobody; every 300 ms they made 290 calls of 36 replicas before the first set.
const REPLICA_PAUSE: Duration = Duration::from_secs(1);
/// How often a gateway that others tell of changes looks for the replica set itself.
const REPLICA_SET_PAUSE: Duration = Duration::from_secs(3);
const SEED_PAUSE: Duration = Duration::from_millis(100);

/// What one process shares among its parts.
pub struct Node {
    /// Its settings at the start.
    pub settings: NodeSettings,
    /// The regions of the deployment's zones.
    pub regions: ZoneRegions,
    /// The steady clock.
    pub clock: Clock,
    /// What it believes of the deployment.
    pub view: Rc<View>,
    /// The platform's store.
    pub store: Rc<StoreClient>,
    /// Links to other nodes.
    pub links: Rc<PeerLinks>,
    /// How far bytes go, where the settings name zones.
    pub traffic: Option<Rc<Traffic>>,
    /// Heartbeats.
    pub gossip: Rc<Gossip>,
    /// Whether this node follows the store itself.
    pub duty: Rc<WatchControl>,
    /// Whether it follows the drains of zones there: they have a bound of their own, and so another patience.
    drain_duty: Rc<WatchControl>,
    /// The settings as they were last read.
    reloaded: RefCell<NodeSettings>,
    settings_unreadable: Cell<bool>,
    /// Revision of the registered replica sets that could not be read last, 0 for none.
    unreadable_sets: Cell<u64>,
    /// Whether a seed has answered.
    is_seeded: Cell<bool>,
}

/// Why the settings are read again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReloadReason {
    /// The platform said that they changed.
    Signal,
    /// They may change without a signal.
    Interval,
}

impl Node {
    /// Binds the node's own sockets.
    pub async fn bind(settings: NodeSettings, clock: Clock) -> io::Result<Rc<Self>> {
        let is_gateway = settings.role == Role::Gateway;
        let view = View::new(clock, is_gateway).needing_extras(settings.need_extras());
        let has_drains = is_gateway && settings.bounds.zone_drain().is_some();
        let view = Rc::new(if has_drains { view.with_drains() } else { view });
        let bound = settings.bounds.configuration();
        let drain_bound = settings.bounds.zone_drain().unwrap_or(bound);
        let drain_duty = WatchDuty::new(&settings.name, drain_bound);
        let drain_duty = WatchControl::new(drain_duty.patience(Place::Other));
        let duty = WatchDuty::new(&settings.name, bound);
        let duty = Rc::new(WatchControl::new(duty.patience(Place::Other)));
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
            Rc::clone(&duty),
            bound,
        );
        let gossip = gossip.await?;
        Ok(Rc::new(Self {
            store: Rc::new(StoreClient::new(settings.platform.store)),
            gossip: Rc::new(gossip),
            reloaded: RefCell::new(settings.clone()),
            settings_unreadable: Cell::new(false),
            unreadable_sets: Cell::new(0),
            regions,
            traffic,
            is_seeded: Cell::new(false),
            settings,
            clock,
            view,
            links,
            duty,
            drain_duty: Rc::new(drain_duty),
        }))
    }

    /// Starts heartbeats, the answering of other nodes, and the search for what is newest.
    pub async fn start(
        self: &Rc<Self>,
        service: Rc<impl PeerService>,
        sources: Rc<impl GossipSources>,
    ) -> io::Result<()> {
        crate::peer::serve(self.settings.peer_address(), service).await?;
        let gossip = Rc::clone(&self.gossip);
        tokio::task::spawn_local(gossip.run(sources));
        tokio::task::spawn_local(Rc::clone(self).learn_members());
        tokio::task::spawn_local(Rc::clone(self).learn_replica_set());
        for seed in self.settings.seed_peers() {
            tokio::task::spawn_local(Rc::clone(self).learn_from(seed));
        }
        Ok(())
    }

    /// Follows the configuration, the engines and the drains of zones, from the store or from other nodes.
    pub fn watch_store(self: &Rc<Self>) {
        tokio::task::spawn_local(Rc::clone(self).decide_duty());
        let configuration = ConfigurationFollower(Rc::clone(&self.view));
        self.watch_objects(ObjectKind::Configuration, configuration, &self.duty);
        let engines = EngineFollower::new(Rc::clone(&self.view));
        self.watch_objects(ObjectKind::Engines, engines, &self.duty);
        if self.view.drains.are_followed() {
            let drains = DrainFollower::new(Rc::clone(&self.view));
            self.watch_objects(ObjectKind::ZoneDrains, drains, &self.drain_duty);
        }
    }

    fn watch_objects(
        &self,
        kind: ObjectKind,
        follower: impl WatchHandler + 'static,
        duty: &Rc<WatchControl>,
    ) {
        let store = Rc::clone(&self.store);
        let duty = Rc::clone(duty);
        tokio::task::spawn_local(watch_objects(store, kind, follower, duty));
    }

    /// Answers what every role answers alike, and says of other requests that they are not supported.
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

    /// Decides again and again whether this node watches the store.
    async fn decide_duty(self: Rc<Self>) {
        let bound = self.settings.bounds.configuration();
        let mut duty = WatchDuty::new(&self.settings.name, bound);
        let drain_bound = self.settings.bounds.zone_drain().unwrap_or(bound);
        let mut drain_duty = WatchDuty::new(&self.settings.name, drain_bound);
        if self.settings.is_seed() {
            duty.ask_first();
            drain_duty.ask_first();
        }
        let mut confirmation = ConfirmationLog::new(bound);
        let mut place = Place::Other;
        let mut placed_at = None;
        loop {
            let now = self.clock.now();
            // The other nodes change rarely, and a large fleet has many.
            if now < DUTY_START || placed_at.is_none_or(|at| now - at > PLACE_LIFETIME) {
                place = self.gossip.place(now);
                placed_at = Some(now);
            }
            if self.is_seeded.get() {
                duty.leave_to_seeds();
                drain_duty.leave_to_seeds();
            }
            self.decide_drain_duty(&mut drain_duty, place, now);
            let unconfirmed = self.view.confirmation_age();
            confirmation.tell(unconfirmed, self.view.version());
            let is_due = duty.is_due(now, place, unconfirmed);
            if self.duty.set(is_due, duty.patience(place)) {
                log::info!(
                    target: "belief",
                    watches = is_due,
                    place:? = place,
                    unconfirmed_ms:? = unconfirmed.map(|age| age.as_millis());
                    "watching the platform store changed"
                );
            }
            let pause = if now < DUTY_START {
                DUTY_PAUSE / 4
            } else {
                DUTY_PAUSE
            };
            tokio::time::sleep(pause).await;
        }
    }

    fn decide_drain_duty(&self, duty: &mut WatchDuty, place: Place, now: Duration) {
        if !self.view.drains.are_followed() {
            return;
        }
        let unconfirmed = self.view.drains.confirmation_age();
        let is_due = duty.is_due(now, place, unconfirmed);
        if self.drain_duty.set(is_due, duty.patience(place)) {
            log::info!(
                target: "belief",
                watches = is_due,
                place:? = place,
                unconfirmed_ms:? = unconfirmed.map(|age| age.as_millis());
                "watching for drains of zones changed"
            );
        }
    }

    /// Reads the settings file again, and takes over what may change while the process runs. Says so
    /// when it was asked to, or when something changed.
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
        let has_changed = *self.reloaded.borrow() != settings;
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
            *self.reloaded.borrow_mut() = settings;
        }
    }

    /// Reads the replica sets and their revision in the store; `None` when the store does not answer.
    pub async fn read_groups(&self) -> Option<RegisteredGroups> {
        let call = read(ObjectKind::ReplicaSets, REPLICA_SET_NAME);
        let answer = self.store.call(call, CALL_TIMEOUT).await.ok()?;
        match answer.outcome {
            StoreOutcome::NotFound => Some(RegisteredGroups::Missing),
            StoreOutcome::Done => {
                let object = read_object(&answer.body).ok()?;
                if let Err(error) = check_format_version(&object.spec) {
                    self.on_unreadable_sets(object.revision, &error);
                    return None;
                }
                let groups = match ReplicaGroups::deserialize(&object.spec) {
                    Ok(groups) => groups,
                    Err(error) => {
                        self.on_unreadable_sets(object.revision, &error);
                        return None;
                    }
                };
                self.view.adopt_groups(groups.clone(), Source::Store);
                let revision = object.revision;
                Some(RegisteredGroups::Found { groups, revision })
            }
            _ => None,
        }
    }

    /// Another writer has spoiled the object: nothing of it is believed, and what is known stays in force.
    fn on_unreadable_sets(&self, revision: u64, error: &dyn std::fmt::Display) {
        if self.unreadable_sets.replace(revision) != revision {
            log::error!(
                target: "dependency",
                revision = revision,
                detail:% = error;
                "replica sets in the platform store cannot be read"
            );
        }
    }

    /// Registers this node where nodes look for each other that hear nobody; says whether it is there.
    async fn register(&self) -> bool {
        let record = MemberRecord::of(&self.settings);
        let name = self.settings.name.as_str();
        let call = create(ObjectKind::Members, name, &record);
        let outcome = self.store.call(call, CALL_TIMEOUT).await;
        match outcome.map(|answer| answer.outcome) {
            Ok(StoreOutcome::Done) => true,
            Ok(StoreOutcome::Conflict) => {
                let call = replace(ObjectKind::Members, name, None, &record);
                let replaced = self.store.call(call, CALL_TIMEOUT).await;
                replaced.is_ok_and(|answer| answer.outcome == StoreOutcome::Done)
            }
            _ => false,
        }
    }

    /// Learns of the other nodes from the seeds until one is heard. Nodes that hear nobody for a while meet
    /// in the store, so that the calls to it do not grow with the fleet. The replicas are met anyway, once
    /// their set is known: whoever hears them hears of all others.
    async fn learn_members(self: Rc<Self>) {
        let begun = self.clock.now();
        let mut is_registered = false;
        while !self.gossip.hears_others() {
            for seed in self.settings.seed_peers() {
                let known = fetch_members(&self.links, seed).await;
                self.gossip.add_known(known);
            }
            if self.clock.now() - begun > MEMBERS_PATIENCE {
                is_registered = is_registered || self.register().await;
                self.learn_registered().await;
            }
            pause_about(REGISTER_PAUSE).await;
        }
    }

    async fn learn_registered(&self) {
        let Some(objects) = list_once(&self.store, ObjectKind::Members).await else {
            return;
        };
        let nodes: Vec<MemberInfo> = objects.iter().filter_map(MemberRecord::read).collect();
        log::info!(
            target: "belief",
            registered = nodes.len(),
            unreadable = objects.len() - nodes.len();
            "no other node heard, looked for them in the platform store"
        );
        self.gossip.add_known(nodes);
    }

    /// Gateways of a large fleet leave it to the watchers among them; replicas have to see the register.
    async fn learn_replica_set(self: Rc<Self>) {
        let is_replica = self.settings.role == Role::Replica;
        let mut asked_at = Duration::ZERO;
        if is_replica {
            // What others tell may be old: those who knew of a newer set may all be gone.
            self.read_groups().await;
        }
        while self.view.groups().is_none() {
            let now = self.clock.now();
            let is_late = now - asked_at > REPLICA_SET_PAUSE;
            if is_replica || self.duty.is_due() || is_late {
                asked_at = now;
                self.read_groups().await;
            }
            let pause = if is_replica {
                REPLICA_PAUSE
            } else {
                REGISTER_PAUSE
            };
            pause_about(pause).await;
        }
    }

    /// Asks a seed for its view until somebody has told the configuration.
    async fn learn_from(self: Rc<Self>, seed: SocketAddr) {
        const TRIES: usize = 20;
        for _ in 0..TRIES {
            if self.view.routes().is_some() && self.view.groups().is_some() {
                return;
            }
            let answered = fetch_view(&self.links, &self.view, seed).await;
            self.is_seeded.set(answered || self.is_seeded.get());
            if answered && self.view.routes().is_some() {
                return;
            }
            pause_about(SEED_PAUSE).await;
        }
    }
}

/// The replica sets as the store has them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RegisteredGroups {
    /// There are none yet.
    Missing,
    /// The sets and the revision of their object.
    Found {
        /// The sets.
        groups: ReplicaGroups,
        /// Revision to name when it is replaced.
        revision: u64,
    },
}

async fn pause_about(pause: Duration) {
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

/// A node as it registers itself in the store. Its fields stay (`docs/design/versions.md`).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Where other nodes reach it.
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
