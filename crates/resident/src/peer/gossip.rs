//! Heartbeats between nodes: membership, versions of views, load of engines.
//!
//! No safety property depends on them. A node that learns of a newer version than its own fetches it from the sender of the
//! heartbeat, so it stays up to date while it can't reach the store.

mod prefill_directory;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use rand::seq::IndexedRandom;
use ridgeworks_records::Epoch;
use ridgeworks_routing::{MAX_SUSPECTS, PrefillRecord};
use tokio::net::UdpSocket;
use tokio::time::{Instant, MissedTickBehavior};

pub use self::prefill_directory::PendingQueries;
use super::confirmation_query::{ConfirmationAges, ConfirmationQuery};
use super::encoding::{MessageKind, decode, encode};
use super::extension::ExtensionDatagram;
use super::frame::PROTOCOL;
use super::links::PeerLinks;
use super::members::{Member, Members};
use super::message::{
    Confirmations, Datagram, Heartbeat, LoadReport, MemberInfo, PeerReply, PeerRequest,
    ReplicaStatus,
};
use super::purpose;
use super::rejected::REJECTED;
use super::targets::{FAN_OUT, targets};
use crate::clock::Clock;
use crate::listen;
use crate::view::View;
use crate::watch_policy::{self, LARGE_FLEET_GATEWAYS, WatchControl, WatcherRole};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// How many other nodes a heartbeat names.
const NAMED_REPLICAS: usize = 5;
const NAMED_GATEWAYS: usize = 2;
/// One in this many rounds of heartbeats names other nodes. The names are most of a heartbeat's bytes, and members change rarely.
const ROUNDS_PER_NAMING: usize = 8;
/// For this long after its start a node names others in every heartbeat, so that the nodes of a starting fleet find each other.
const NAMING_START: Duration = Duration::from_secs(5);
/// Maximum number of engines in a heartbeat, so that it fits in one packet.
const MAX_LOAD_ENTRIES: usize = 56;
/// Maximum number of services in a heartbeat.
const MAX_SERVICE_ENTRIES: usize = 16;
const MAX_DATAGRAM: usize = 8 * 1024;
/// Delay before a change is announced, so that changes in quick succession go out together.
const CHANGE_DELAY: Duration = Duration::from_millis(5);
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// A node that watches the store fetches newer engines from another node only if it has been behind for this long, since the
/// store tells all watchers at about the same time.
const ENGINES_FETCH_DELAY: Duration = Duration::from_millis(400);

/// Supplies the role's part of heartbeats and handles that of other nodes.
pub trait GossipSources: 'static {
    /// This node's observations of the engines.
    fn load_report(&self) -> LoadReport;
    /// This node's replica, if it runs one.
    fn replica(&self) -> Option<ReplicaStatus>;
    /// Handles another node's observations of the engines; `from` is its name.
    fn on_load_report(&self, from: &str, load: LoadReport);
    /// Records a prefill that another node reports to this node as the directory node of the prompt.
    fn on_prefill(&self, prefill: PrefillRecord);
    /// The most recently recorded prefill of a prompt whose last part has this hash.
    fn find_prefill(&self, last_part_hash: u64) -> Option<PrefillRecord>;
}

/// Sends and receives heartbeats.
pub struct Gossip {
    socket: UdpSocket,
    me: MemberInfo,
    incarnation: u64,
    clock: Clock,
    view: Rc<View>,
    links: Rc<PeerLinks>,
    members: RefCell<Members>,
    seeds: RefCell<Vec<SocketAddr>>,
    fetching: Rc<Cell<bool>>,
    engines_behind_since: Cell<Option<Duration>>,
    next_offset: Cell<usize>,
    /// Combined epoch of the replica sets whose nodes were last added to the members.
    added_epoch: Cell<Epoch>,
    watch_control: Rc<WatchControl>,
    queries: PendingQueries,
    confirmation_query: ConfirmationQuery,
}

impl Gossip {
    /// Binds the UDP socket. `bound` is the time within which a new configuration must be in force.
    pub async fn bind(
        me: MemberInfo,
        seeds: Vec<SocketAddr>,
        clock: Clock,
        view: Rc<View>,
        links: Rc<PeerLinks>,
        watch_control: Rc<WatchControl>,
        bound: Duration,
    ) -> io::Result<Self> {
        let socket = listen::udp(me.address).await?;
        Ok(Self {
            socket,
            me,
            incarnation: crate::clock::unix_time_ms(),
            clock,
            view,
            links,
            members: RefCell::default(),
            seeds: RefCell::new(seeds),
            fetching: Rc::default(),
            engines_behind_since: Cell::new(None),
            next_offset: Cell::new(rand::rng().random_range(0..1_024)),
            added_epoch: Cell::new(Epoch::default()),
            watch_control,
            queries: PendingQueries::default(),
            confirmation_query: ConfirmationQuery::new(bound),
        })
    }

    /// Adds nodes that other nodes know to the members.
    pub fn add_known(&self, nodes: Vec<MemberInfo>) {
        let now = self.clock.now();
        let others = nodes.into_iter().filter(|node| node.name != self.me.name);
        for node in others {
            if let Some(traffic) = self.links.traffic() {
                traffic.set_machine_zone(node.address.ip(), &node.zone);
            }
            self.members.borrow_mut().on_known(node, now);
        }
    }

    /// Whether a heartbeat of another node has been received.
    pub fn has_heard_peers(&self) -> bool {
        let members = self.members.borrow();
        members.iter().any(|member| member.heard_at.is_some())
    }

    /// Adds the replicas' nodes to the members. All nodes know the replica sets, so they find each other through the replicas
    /// when the seeds are gone or stale.
    fn add_replicas(&self) {
        if self.added_epoch.replace(self.view.epoch()) == self.view.epoch() {
            return;
        }
        let Some(groups) = self.view.replica_sets() else {
            return;
        };
        let infos = groups.members().into_iter().filter_map(|replica| {
            Some(MemberInfo {
                name: replica.node.clone(),
                address: replica.address.parse().ok()?,
                zone: replica.zone.clone(),
                is_replica: true,
            })
        });
        self.add_known(infos.collect());
    }

    /// Replaces the seeds.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.borrow_mut() = seeds;
    }

    /// The other nodes, in the order of their names.
    pub fn members(&self) -> Vec<Member> {
        self.members.borrow().iter().cloned().collect()
    }

    /// Whether the deployment is known to have no replicas: neither sets of them nor a node that runs one. False as long as that is
    /// not known, so that a node that has just started waits for them instead of doing without.
    pub fn has_no_replicas(&self) -> bool {
        self.view.has_no_replica_sets() && !self.knows_replica()
    }

    fn knows_replica(&self) -> bool {
        let members = self.members.borrow();
        members.iter().any(|member| member.info.is_replica)
    }

    /// What this node tells of its view. That there are no replica sets is no news where replicas run, which are about to have some.
    fn confirmations(&self) -> Confirmations {
        let told = self.view.confirmations();
        let no_replica_sets_ms = told.no_replica_sets_ms.filter(|_| !self.knows_replica());
        Confirmations {
            no_replica_sets_ms,
            ..told
        }
    }

    /// A node by name; `None` where no heartbeat of it has been received.
    pub fn heard_member(&self, name: &str) -> Option<Member> {
        let members = self.members.borrow();
        let mut heard = members.iter().filter(|member| member.heard_at.is_some());
        heard.find(|member| member.info.name == name).cloned()
    }

    /// The other nodes whose heartbeats name a replica. Cheaper than all members for coordinators, which call this several times
    /// a second.
    pub fn replicas(&self) -> Vec<Member> {
        let members = self.members.borrow();
        let replicas = members.iter().filter(|member| member.replica.is_some());
        replicas.cloned().collect()
    }

    /// This node's watcher role, from the gateways that it knows.
    pub fn watcher_role(&self, now: Duration) -> WatcherRole {
        let members = self.members.borrow();
        // Nodes whose views this one refuses don't count as watchers.
        let usable = members.iter();
        let usable = usable.filter(|member| {
            let protocol = member.protocol;
            self.view.is_protocol_sufficient(protocol) && self.view.accepts_engines_from(protocol)
        });
        watch_policy::watcher_role(&self.me.name, &self.me.zone, usable, now)
    }

    /// The other nodes and this one, for a reply to [`PeerRequest::ListMembers`].
    pub fn known(&self) -> Vec<MemberInfo> {
        let members = self.members.borrow();
        let others = members.iter().map(|member| member.info.clone());
        others.chain([self.me.clone()]).collect()
    }

    /// Sends and receives datagrams until the process ends.
    pub async fn run(self: Rc<Self>, sources: Rc<impl GossipSources>) {
        let mut ticks = tokio::time::interval(HEARTBEAT_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; MAX_DATAGRAM];
        let mut changes = self.view.changes();
        let mut announcement_due = std::pin::pin!(tokio::time::sleep(Duration::ZERO));
        let mut is_announcement_pending = false;
        loop {
            tokio::select! {
                _ = ticks.tick() => self.send_heartbeats(&*sources).await,
                changed = changes.changed(), if !is_announcement_pending => if changed.is_ok() {
                    is_announcement_pending = true;
                    announcement_due.as_mut().reset(tokio::time::Instant::now() + CHANGE_DELAY);
                },
                () = announcement_due.as_mut(), if is_announcement_pending => {
                    is_announcement_pending = false;
                    self.announce_change(&*sources).await;
                }
                () = self.view.wait_for_announcement() => self.announce_confirmation(&*sources).await,
                received = self.socket.recv_from(&mut buffer) => {
                    if let Ok((length, from)) = received {
                        self.on_datagram(&buffer[..length], from, &*sources).await;
                    }
                }
            }
        }
    }

    async fn send_heartbeats(&self, sources: &impl GossipSources) {
        self.members.borrow_mut().forget_silent(self.clock.now());
        self.add_replicas();
        self.send_to(self.targets(), sources).await;
    }

    /// Sends a heartbeat to a few random nodes after a change, without waiting for the next interval. They fetch the change and
    /// announce it in turn, so it spreads faster than by periodic heartbeats. While fewer than [`LARGE_FLEET_GATEWAYS`] other nodes
    /// are known nothing is sent, since in a small fleet every gateway watches the store itself.
    async fn announce_change(&self, sources: &impl GossipSources) {
        if self.members.borrow().len() < LARGE_FLEET_GATEWAYS {
            return;
        }
        self.send_to(self.random_members(FAN_OUT), sources).await;
    }

    /// Sends a heartbeat after the store has confirmed this node's view. In a small fleet it goes to all nodes, so that one probe
    /// of the store is enough for all.
    async fn announce_confirmation(&self, sources: &impl GossipSources) {
        self.send_to(self.random_members(LARGE_FLEET_GATEWAYS), sources)
            .await;
    }

    /// Addresses of at most `max_count` other nodes, chosen at random.
    fn random_members(&self, max_count: usize) -> Vec<SocketAddr> {
        let members = self.members.borrow();
        let all: Vec<&Member> = members.iter().collect();
        let some = all.sample(&mut rand::rng(), max_count);
        some.map(|member| member.info.address).collect()
    }

    async fn send_to(&self, targets: Vec<SocketAddr>, sources: &impl GossipSources) {
        if targets.is_empty() {
            return;
        }
        let should_name_members = self.should_name_members();
        let heartbeat = Datagram::Heartbeat(Box::new(self.heartbeat(sources, should_name_members)));
        let Ok(datagram) = encode(&heartbeat) else {
            return;
        };
        for target in targets {
            self.count(&heartbeat, target, datagram.len());
            // A lost heartbeat is made up for by the next one.
            let _ = self.socket.send_to(&datagram, target).await;
        }
    }

    fn count(&self, datagram: &Datagram, to: SocketAddr, bytes: usize) {
        if let Some(traffic) = self.links.traffic() {
            traffic.add(purpose::of_datagram(datagram), to.ip(), bytes);
        }
    }

    /// Targets of the next heartbeat. The seeds are among them while fewer than two others are known.
    fn targets(&self) -> Vec<SocketAddr> {
        let members = self.members.borrow();
        let groups = self.view.replica_sets();
        let offset = self.next_offset.get();
        self.next_offset.set(offset.wrapping_add(FAN_OUT));
        let mut targets = targets(&self.me, members.iter(), groups.as_deref(), offset);
        if targets.len() < 2 {
            targets.extend(self.seeds.borrow().iter().copied());
        }
        targets
    }

    /// Whether the next heartbeat names other nodes.
    fn should_name_members(&self) -> bool {
        let round = self.next_offset.get() / FAN_OUT;
        self.clock.now() < NAMING_START || round.is_multiple_of(ROUNDS_PER_NAMING)
    }

    fn heartbeat(&self, sources: &impl GossipSources, should_name_members: bool) -> Heartbeat {
        let mut load = sources.load_report();
        load.open.truncate(MAX_LOAD_ENTRIES);
        load.suspects.truncate(MAX_SUSPECTS);
        load.services.truncate(MAX_SERVICE_ENTRIES);
        Heartbeat {
            from: self.me.clone(),
            incarnation: self.incarnation,
            confirmations: self.confirmations(),
            epoch: self.view.epoch(),
            replica: sources.replica(),
            load,
            known: if should_name_members {
                self.sample_members()
            } else {
                Vec::new()
            },
            protocol: PROTOCOL,
        }
    }

    fn sample_members(&self) -> Vec<MemberInfo> {
        let members = self.members.borrow();
        let heard: Vec<&Member> = members
            .iter()
            .filter(|member| member.heard_at.is_some())
            .collect();
        let (replicas, others): (Vec<&Member>, Vec<&Member>) =
            heard.into_iter().partition(|member| member.info.is_replica);
        let mut random = rand::rng();
        let replicas = replicas.sample(&mut random, NAMED_REPLICAS);
        let mut known: Vec<MemberInfo> = replicas.map(|member| member.info.clone()).collect();
        let others = others.sample(&mut random, NAMED_GATEWAYS);
        known.extend(others.map(|member| member.info.clone()));
        known
    }

    async fn on_datagram(&self, bytes: &[u8], from: SocketAddr, sources: &impl GossipSources) {
        match decode::<Datagram>(bytes) {
            Ok(Datagram::Heartbeat(heartbeat)) => {
                self.on_heartbeat(*heartbeat, from, sources).await;
            }
            Ok(Datagram::Read(prefill)) => sources.on_prefill(prefill),
            Ok(Datagram::FindRead { number, part }) => {
                let read = sources.find_prefill(part);
                self.send(from, &Datagram::FoundRead { number, read }).await;
            }
            Ok(Datagram::FoundRead { number, read }) => self.queries.on_reply(number, read),
            Ok(Datagram::AskConfirmations { number }) => {
                let told = self.confirmations();
                self.send(from, &Datagram::Confirmed { number, told }).await;
            }
            Ok(Datagram::Confirmed { number, told }) => self.on_confirmed(number, &told),
            Ok(Datagram::Extension(ExtensionDatagram::Unknown(kind))) => {
                REJECTED.on_unknown(from.ip(), kind)
            }
            Err(error) => REJECTED.on_unreadable(from.ip(), MessageKind::Datagram, error),
        }
    }

    async fn send(&self, to: SocketAddr, datagram: &Datagram) {
        if let Ok(bytes) = encode(datagram) {
            self.count(datagram, to, bytes.len());
            // A lost datagram does no harm.
            let _ = self.socket.send_to(&bytes, to).await;
        }
    }

    async fn on_heartbeat(
        &self,
        heartbeat: Heartbeat,
        from: SocketAddr,
        sources: &impl GossipSources,
    ) {
        if heartbeat.from.name == self.me.name {
            return;
        }
        let now = self.clock.now();
        if let Some(traffic) = self.links.traffic() {
            traffic.set_machine_zone(heartbeat.from.address.ip(), &heartbeat.from.zone);
        }
        let is_new = self.members.borrow_mut().on_heartbeat(&heartbeat, now);
        self.add_known(heartbeat.known.clone());
        if is_new {
            log::info!(
                target: "belief",
                node = heartbeat.from.name.as_str(),
                incarnation = heartbeat.incarnation,
                protocol = heartbeat.protocol;
                "node joined"
            );
            let reply = Datagram::Heartbeat(Box::new(self.heartbeat(sources, true)));
            self.send(from, &reply).await;
        }
        if self.is_behind(&heartbeat, now) {
            self.fetch(heartbeat.from.address);
        } else {
            self.query_if_fresher(&heartbeat.confirmations, from, now)
                .await;
        }
        sources.on_load_report(&heartbeat.from.name, heartbeat.load);
    }

    /// Queries a node whose view seems to have been confirmed more recently than this node's.
    async fn query_if_fresher(&self, reported: &Confirmations, node: SocketAddr, now: Duration) {
        let age = |unconfirmed_ms: Option<u64>| unconfirmed_ms.map(Duration::from_millis);
        let configuration = ConfirmationAges {
            own: self.view.confirmation_age(),
            peer: age(reported.unconfirmed_ms),
        };
        let has_engines = self.view.has_engines_up_to(reported.engines_newest);
        let engines = ConfirmationAges {
            own: self.view.engines_confirmation_age(),
            peer: age(reported.engines_unconfirmed_ms).filter(|_| has_engines),
        };
        let drains = &self.view.drains;
        let drains_unconfirmed_ms = reported.drains.and_then(|known| known.unconfirmed_ms);
        let drains = ConfirmationAges {
            own: drains.confirmation_age(),
            peer: age(drains_unconfirmed_ms).filter(|_| drains.are_used()),
        };
        let no_replica_sets = ConfirmationAges {
            own: self.view.no_replica_sets_age(),
            peer: age(reported.no_replica_sets_ms).filter(|_| self.view.needs_told_replica_sets()),
        };
        let ages = [configuration, engines, drains, no_replica_sets];
        if let Some(number) = self.confirmation_query.start(&ages, now) {
            self.send(node, &Datagram::AskConfirmations { number })
                .await;
        }
    }

    fn on_confirmed(&self, number: u64, confirmations: &Confirmations) {
        if let Some(query_age) = self.confirmation_query.on_reply(number, self.clock.now()) {
            self.view.confirm(confirmations, query_age);
        }
    }

    /// Whether the sender has a newer view that should be fetched from it.
    fn is_behind(&self, heartbeat: &Heartbeat, now: Duration) -> bool {
        let reported = &heartbeat.confirmations;
        let is_useful = self.view.accepts_views_from(heartbeat.protocol);
        let has_newer = is_useful && reported.version > self.view.version();
        if has_newer || heartbeat.epoch > self.view.epoch() {
            return true;
        }
        if self.me.is_replica || !is_useful {
            return false;
        }
        if reported
            .drains
            .is_some_and(|reported| self.view.drains.is_behind(&reported))
        {
            return true;
        }
        if !self.view.accepts_engines_from(heartbeat.protocol) {
            return false;
        }
        // An empty list has no newest change by which to notice that it is known elsewhere.
        if !self.view.engines_known() && reported.engines_unconfirmed_ms.is_some() {
            return true;
        }
        if reported.engines_newest <= self.view.with_engines(|engines| engines.at()) {
            self.engines_behind_since.set(None);
            return false;
        }
        if !self.view.engines_known() || !self.watch_control.should_watch() {
            return true;
        }
        let since = self.engines_behind_since.get().unwrap_or(now);
        self.engines_behind_since.set(Some(since));
        now.saturating_sub(since) > ENGINES_FETCH_DELAY
    }

    /// Starts to fetch another node's view, unless a fetch is running.
    fn fetch(&self, from: SocketAddr) {
        if self.fetching.replace(true) {
            return;
        }
        self.engines_behind_since.set(None);
        let fetching = Rc::clone(&self.fetching);
        let links = Rc::clone(&self.links);
        let view = Rc::clone(&self.view);
        tokio::task::spawn_local(async move {
            fetch_view(&links, &view, from).await;
            fetching.set(false);
        });
    }
}

/// Fetches a node's view and applies it; returns whether the node replied.
pub async fn fetch_view(links: &PeerLinks, view: &View, from: SocketAddr) -> bool {
    let request = PeerRequest::FetchView(view.position());
    let sent_at = Instant::now();
    let reply = links.call(from, request, FETCH_TIMEOUT).await;
    match reply {
        Ok(PeerReply::View(update)) => {
            view.adopt_update(update, sent_at.elapsed());
            true
        }
        _ => false,
    }
}

/// Fetches the nodes that another node knows; empty when it doesn't reply.
pub async fn fetch_members(links: &PeerLinks, from: SocketAddr) -> Vec<MemberInfo> {
    let reply = links
        .call(from, PeerRequest::ListMembers, FETCH_TIMEOUT)
        .await;
    match reply {
        Ok(PeerReply::Members(members)) => members,
        _ => Vec::new(),
    }
}
