//! Heartbeats between nodes: who is there, what is newest, how loaded engines are.
//!
//! Nothing that must be safe rests on them. A node that hears of something newer than it knows fetches
//! it from whoever told it; so a node follows the configuration while it cannot reach the store.

mod reads;

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

pub use self::reads::PendingQueries;
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
use crate::view::View;
use crate::watch_policy::{self, SMALL_FLEET, WatchControl, WatcherRole};

const INTERVAL: Duration = Duration::from_millis(250);
/// Other nodes named in a heartbeat.
const KNOWN_REPLICAS: usize = 5;
const KNOWN_OTHERS: usize = 2;
/// Heartbeats between two that name other nodes. Names are most of a heartbeat's bytes, and who is there changes rarely.
const KNOWN_ROUNDS: usize = 8;
/// For so long after its start a node names others in every heartbeat, so that a fleet that starts finds together.
const KNOWN_START: Duration = Duration::from_secs(5);
/// Engines named in a heartbeat, so that it fits one packet.
const MAX_LOAD_ENTRIES: usize = 56;
/// Services named in a heartbeat.
const MAX_SERVICE_ENTRIES: usize = 16;
const MAX_DATAGRAM: usize = 8 * 1024;
/// Pause before news are told, so that those of a moment go out together.
const CHANGE_DELAY: Duration = Duration::from_millis(5);
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Engines that another node knows newer are fetched only if they stay newer for so long: the store
/// tells most nodes at about the same time.
const ENGINES_FETCH_DELAY: Duration = Duration::from_millis(400);

/// What a node's role puts into its heartbeats and takes from others'.
pub trait GossipSources: 'static {
    /// What this node tells of the engines.
    fn load(&self) -> LoadReport;
    /// The replica that runs here.
    fn replica(&self) -> Option<ReplicaStatus>;
    /// What another node tells of the engines.
    fn on_load(&self, from: &str, load: LoadReport);
    /// An engine reads a prompt that this node keeps track of.
    fn on_prefill(&self, read: PrefillRecord);
    /// The last read with this last part that was told to this node.
    fn find_read(&self, part: u64) -> Option<PrefillRecord>;
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
    next_target: Cell<usize>,
    /// Epoch of the replica set whose nodes were taken in last.
    added_epoch: Cell<Epoch>,
    duty: Rc<WatchControl>,
    queries: PendingQueries,
    confirmation_query: ConfirmationQuery,
}

impl Gossip {
    /// Binds the socket, under the bound within which configurations come in force.
    pub async fn bind(
        me: MemberInfo,
        seeds: Vec<SocketAddr>,
        clock: Clock,
        view: Rc<View>,
        links: Rc<PeerLinks>,
        duty: Rc<WatchControl>,
        bound: Duration,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(me.address).await?;
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
            next_target: Cell::new(rand::rng().random_range(0..1_024)),
            added_epoch: Cell::new(Epoch::default()),
            duty,
            queries: PendingQueries::default(),
            confirmation_query: ConfirmationQuery::new(bound),
        })
    }

    /// Takes in nodes that others have heard of.
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

    /// Whether another node has been heard.
    pub fn has_heard_peers(&self) -> bool {
        let members = self.members.borrow();
        members.iter().any(|member| member.heard_at.is_some())
    }

    /// Takes in the replicas' nodes. All nodes learn of the replica set, so that they find each other there
    /// when the seeds are gone or old.
    fn add_replicas(&self) {
        if self.added_epoch.replace(self.view.epoch()) == self.view.epoch() {
            return;
        }
        let Some(groups) = self.view.groups() else {
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

    /// The other nodes.
    pub fn members(&self) -> Vec<Member> {
        self.members.borrow().iter().cloned().collect()
    }

    /// Another node that was heard.
    pub fn heard_member(&self, name: &str) -> Option<Member> {
        let members = self.members.borrow();
        let mut heard = members.iter().filter(|member| member.heard_at.is_some());
        heard.find(|member| member.info.name == name).cloned()
    }

    /// The other nodes that run a replica, as far as they have said so. They are few; coordinators ask several times a
    /// second.
    pub fn replicas(&self) -> Vec<Member> {
        let members = self.members.borrow();
        let replicas = members.iter().filter(|member| member.replica.is_some());
        replicas.cloned().collect()
    }

    /// This node's place among those that may watch the store.
    pub fn watcher_role(&self, now: Duration) -> WatcherRole {
        let members = self.members.borrow();
        // Somebody has to watch whose news are of use here.
        let speaking = members.iter();
        let speaking = speaking.filter(|member| self.view.is_protocol_sufficient(member.protocol));
        watch_policy::watcher_role(&self.me.name, &self.me.zone, speaking, now)
    }

    /// Who the other nodes and this one are, for a node that asks.
    pub fn known(&self) -> Vec<MemberInfo> {
        let members = self.members.borrow();
        let others = members.iter().map(|member| member.info.clone());
        others.chain([self.me.clone()]).collect()
    }

    /// Exchanges heartbeats until the process ends.
    pub async fn run(self: Rc<Self>, sources: Rc<impl GossipSources>) {
        let mut ticks = tokio::time::interval(INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; MAX_DATAGRAM];
        let mut changes = self.view.changes();
        let mut news_due = std::pin::pin!(tokio::time::sleep(Duration::ZERO));
        let mut has_news = false;
        loop {
            tokio::select! {
                _ = ticks.tick() => self.send_round(&*sources).await,
                changed = changes.changed(), if !has_news => if changed.is_ok() {
                    has_news = true;
                    news_due.as_mut().reset(tokio::time::Instant::now() + CHANGE_DELAY);
                },
                () = news_due.as_mut(), if has_news => {
                    has_news = false;
                    self.announce_change(&*sources).await;
                }
                () = self.view.confirmation() => self.send_confirmation(&*sources).await,
                received = self.socket.recv_from(&mut buffer) => {
                    if let Ok((length, from)) = received {
                        self.on_datagram(&buffer[..length], from, &*sources).await;
                    }
                }
            }
        }
    }

    async fn send_round(&self, sources: &impl GossipSources) {
        self.members.borrow_mut().forget_silent(self.clock.now());
        self.add_replicas();
        self.send_to(self.targets(), sources).await;
    }

    /// Tells a few nodes at once that something is newer here. They fetch it and tell others, so that a
    /// large fleet knows long before everybody's turn for a heartbeat has come. In a small one
    /// everybody hears from the store itself.
    async fn announce_change(&self, sources: &impl GossipSources) {
        if self.members.borrow().len() < SMALL_FLEET {
            return;
        }
        self.send_to(self.some_members(FAN_OUT), sources).await;
    }

    /// Tells that the store has just confirmed what this node knows: everybody in a small fleet, so that one question
    /// does for all.
    async fn send_confirmation(&self, sources: &impl GossipSources) {
        self.send_to(self.some_members(SMALL_FLEET), sources).await;
    }

    /// Addresses of so many other nodes, drawn at random.
    fn some_members(&self, most: usize) -> Vec<SocketAddr> {
        let members = self.members.borrow();
        let all: Vec<&Member> = members.iter().collect();
        let some = all.sample(&mut rand::rng(), most);
        some.map(|member| member.info.address).collect()
    }

    async fn send_to(&self, targets: Vec<SocketAddr>, sources: &impl GossipSources) {
        if targets.is_empty() {
            return;
        }
        let names_others = self.names_others();
        let heartbeat = Datagram::Heartbeat(Box::new(self.heartbeat(sources, names_others)));
        let Ok(datagram) = encode(&heartbeat) else {
            return;
        };
        for target in targets {
            self.count(&heartbeat, target, datagram.len());
            // A datagram that is lost is replaced by the next one.
            let _ = self.socket.send_to(&datagram, target).await;
        }
    }

    fn count(&self, datagram: &Datagram, to: SocketAddr, bytes: usize) {
        if let Some(traffic) = self.links.traffic() {
            traffic.add(purpose::of_datagram(datagram), to.ip(), bytes);
        }
    }

    /// Those whose turn it is; seeds as long as nobody is known.
    fn targets(&self) -> Vec<SocketAddr> {
        let members = self.members.borrow();
        let groups = self.view.groups();
        let begin = self.next_target.get();
        self.next_target.set(begin.wrapping_add(FAN_OUT));
        let mut targets = targets(&self.me, members.iter(), groups.as_deref(), begin);
        if targets.len() < 2 {
            targets.extend(self.seeds.borrow().iter().copied());
        }
        targets
    }

    /// Whether the next heartbeat names other nodes.
    fn names_others(&self) -> bool {
        let round = self.next_target.get() / FAN_OUT;
        self.clock.now() < KNOWN_START || round.is_multiple_of(KNOWN_ROUNDS)
    }

    fn heartbeat(&self, sources: &impl GossipSources, names_others: bool) -> Heartbeat {
        let mut load = sources.load();
        load.open.truncate(MAX_LOAD_ENTRIES);
        load.suspects.truncate(MAX_SUSPECTS);
        load.services.truncate(MAX_SERVICE_ENTRIES);
        Heartbeat {
            from: self.me.clone(),
            incarnation: self.incarnation,
            confirmations: self.view.confirmations(),
            epoch: self.view.epoch(),
            replica: sources.replica(),
            load,
            known: if names_others {
                self.some_known()
            } else {
                Vec::new()
            },
            protocol: PROTOCOL,
        }
    }

    fn some_known(&self) -> Vec<MemberInfo> {
        let members = self.members.borrow();
        let heard: Vec<&Member> = members
            .iter()
            .filter(|member| member.heard_at.is_some())
            .collect();
        let (replicas, others): (Vec<&Member>, Vec<&Member>) =
            heard.into_iter().partition(|member| member.info.is_replica);
        let mut random = rand::rng();
        let replicas = replicas.sample(&mut random, KNOWN_REPLICAS);
        let mut known: Vec<MemberInfo> = replicas.map(|member| member.info.clone()).collect();
        let others = others.sample(&mut random, KNOWN_OTHERS);
        known.extend(others.map(|member| member.info.clone()));
        known
    }

    async fn on_datagram(&self, bytes: &[u8], from: SocketAddr, sources: &impl GossipSources) {
        match decode::<Datagram>(bytes) {
            Ok(Datagram::Heartbeat(heartbeat)) => {
                self.on_heartbeat(*heartbeat, from, sources).await;
            }
            Ok(Datagram::Read(read)) => sources.on_prefill(read),
            Ok(Datagram::FindRead { number, part }) => {
                let read = sources.find_read(part);
                self.send(from, &Datagram::FoundRead { number, read }).await;
            }
            Ok(Datagram::FoundRead { number, read }) => self.queries.answer(number, read),
            Ok(Datagram::AskConfirmations { number }) => {
                let told = self.view.confirmations();
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
            // A datagram that is lost is repeated or missed without harm.
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
        sources.on_load(&heartbeat.from.name, heartbeat.load);
    }

    /// Asks a node whose knowledge seems to have been confirmed later than this node's own.
    async fn query_if_fresher(&self, told: &Confirmations, node: SocketAddr, now: Duration) {
        let age = |unconfirmed_ms: Option<u64>| unconfirmed_ms.map(Duration::from_millis);
        let configuration = ConfirmationAges {
            own: self.view.confirmation_age(),
            told: age(told.unconfirmed_ms),
        };
        let has_engines = self.view.has_engines_up_to(told.engines_newest);
        let engines = ConfirmationAges {
            own: self.view.engines_confirmation_age(),
            told: age(told.engines_unconfirmed_ms).filter(|_| has_engines),
        };
        let drains = &self.view.drains;
        let told_drains = told.drains.and_then(|known| known.unconfirmed_ms);
        let drains = ConfirmationAges {
            own: drains.confirmation_age(),
            told: age(told_drains).filter(|_| drains.are_followed()),
        };
        let ages = [configuration, engines, drains];
        if let Some(number) = self.confirmation_query.ask(&ages, now) {
            self.send(node, &Datagram::AskConfirmations { number })
                .await;
        }
    }

    fn on_confirmed(&self, number: u64, told: &Confirmations) {
        if let Some(asked) = self.confirmation_query.on_answer(number, self.clock.now()) {
            self.view.confirm(told, asked);
        }
    }

    /// Whether the sender knows something newer that is worth fetching from it.
    fn is_behind(&self, heartbeat: &Heartbeat, now: Duration) -> bool {
        let told = &heartbeat.confirmations;
        let is_useful = self.view.accepts_views_from(heartbeat.protocol);
        let has_newer = is_useful && told.version > self.view.version();
        if has_newer || heartbeat.epoch > self.view.epoch() {
            return true;
        }
        if self.me.is_replica || !is_useful {
            return false;
        }
        if told
            .drains
            .is_some_and(|told| self.view.drains.is_behind(&told))
        {
            return true;
        }
        if told.engines_newest <= self.view.with_engines(|engines| engines.at()) {
            self.engines_behind_since.set(None);
            return false;
        }
        if !self.view.engines_known() || !self.duty.should_watch() {
            return true;
        }
        let since = self.engines_behind_since.get().unwrap_or(now);
        self.engines_behind_since.set(Some(since));
        now.saturating_sub(since) > ENGINES_FETCH_DELAY
    }

    /// Fetches another node's view; one fetch at a time.
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

/// Fetches a node's view and takes it in; says whether the node answered.
pub async fn fetch_view(links: &PeerLinks, view: &View, from: SocketAddr) -> bool {
    let request = PeerRequest::FetchView(view.position());
    let asked_at = Instant::now();
    let reply = links.call(from, request, FETCH_TIMEOUT).await;
    match reply {
        Ok(PeerReply::View(update)) => {
            view.adopt_update(update, asked_at.elapsed());
            true
        }
        _ => false,
    }
}

/// Asks a node which others it has heard of; nobody when it does not answer.
pub async fn fetch_members(links: &PeerLinks, from: SocketAddr) -> Vec<MemberInfo> {
    let reply = links
        .call(from, PeerRequest::ListMembers, FETCH_TIMEOUT)
        .await;
    match reply {
        Ok(PeerReply::Members(members)) => members,
        _ => Vec::new(),
    }
}
