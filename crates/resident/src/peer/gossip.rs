//! Heartbeats between nodes: who is there, what is newest, how loaded engines are.
//!
//! Nothing that must be safe rests on them. A node that hears of something newer than it knows fetches
//! it from whoever told it; so a node follows the configuration while it cannot reach the store.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use rand::seq::IndexedRandom;
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;

use super::links::PeerLinks;
use super::members::{Member, Members};
use super::message::{
    Heartbeat, MemberInfo, PeerReply, PeerRequest, ReplicaStatus, decode, encode,
};
use crate::clock::Clock;
use crate::view::View;

const INTERVAL: Duration = Duration::from_millis(250);
/// Nodes that get a heartbeat at each interval, beside the replicas.
const FAN_OUT: usize = 8;
/// Replicas that a replica sends to at each interval.
const REPLICA_FAN_OUT: usize = 8;
/// Other nodes named in a heartbeat.
const KNOWN_REPLICAS: usize = 5;
const KNOWN_OTHERS: usize = 2;
/// Engines named in a heartbeat, so that it fits one packet.
const MAX_LOAD_ENTRIES: usize = 56;
const MAX_DATAGRAM: usize = 8 * 1024;
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Engines that another node knows newer are fetched only if they stay newer for so long: the store
/// tells most nodes at about the same time.
const ENGINES_PATIENCE: Duration = Duration::from_millis(400);

/// What a node's role puts into its heartbeats and takes from others'.
pub trait GossipSources: 'static {
    /// Open requests by engine.
    fn load(&self) -> Vec<(u64, u32)>;
    /// The replica that runs here.
    fn replica(&self) -> Option<ReplicaStatus>;
    /// Another node's open requests by engine.
    fn on_load(&self, from: &str, load: Vec<(u64, u32)>);
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
}

impl Gossip {
    /// Binds the socket.
    pub async fn bind(
        me: MemberInfo,
        seeds: Vec<SocketAddr>,
        clock: Clock,
        view: Rc<View>,
        links: Rc<PeerLinks>,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(me.address).await?;
        Ok(Self {
            socket,
            me,
            incarnation: crate::clock::wall_ms(),
            clock,
            view,
            links,
            members: RefCell::default(),
            seeds: RefCell::new(seeds),
            fetching: Rc::default(),
            engines_behind_since: Cell::new(None),
            next_target: Cell::new(rand::rng().random_range(0..1_024)),
        })
    }

    /// Takes in nodes that the store lists.
    pub fn add_known(&self, nodes: Vec<MemberInfo>) {
        let now = self.clock.now();
        let others = nodes.into_iter().filter(|node| node.name != self.me.name);
        for node in others {
            self.members.borrow_mut().on_known(node, now);
        }
    }

    /// Replaces the seeds.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.borrow_mut() = seeds;
    }

    /// The other nodes.
    pub fn members(&self) -> Vec<Member> {
        self.members.borrow().iter().cloned().collect()
    }

    /// Exchanges heartbeats until the process ends.
    pub async fn run(self: Rc<Self>, sources: Rc<impl GossipSources>) {
        let mut ticks = tokio::time::interval(INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            tokio::select! {
                _ = ticks.tick() => self.send_round(&*sources).await,
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
        let targets = self.targets();
        if targets.is_empty() {
            return;
        }
        let Ok(datagram) = encode(&self.heartbeat(sources)) else {
            return;
        };
        for target in targets {
            // A datagram that is lost is replaced by the next one.
            let _ = self.socket.send_to(&datagram, target).await;
        }
    }

    /// Replicas first, then the others in turn; seeds as long as nobody is known.
    fn targets(&self) -> Vec<SocketAddr> {
        let members = self.members.borrow();
        let (replicas, others): (Vec<&Member>, Vec<&Member>) = members
            .iter()
            .partition(|member| self.me.is_replica && member.info.is_replica);
        let mut targets: Vec<SocketAddr> = replicas
            .iter()
            .take(REPLICA_FAN_OUT)
            .map(|member| member.info.address)
            .collect();
        let begin = self.next_target.get();
        self.next_target.set(begin.wrapping_add(FAN_OUT));
        let count = others.len();
        let in_turn = (0..count.min(FAN_OUT)).map(|index| (begin + index) % count);
        targets.extend(in_turn.map(|index| others[index].info.address));
        if targets.len() < 2 {
            targets.extend(self.seeds.borrow().iter().copied());
        }
        targets
    }

    fn heartbeat(&self, sources: &impl GossipSources) -> Heartbeat {
        let mut load = sources.load();
        load.truncate(MAX_LOAD_ENTRIES);
        Heartbeat {
            from: self.me.clone(),
            incarnation: self.incarnation,
            version: self.view.version(),
            unconfirmed_ms: self.view.unconfirmed_for().map(whole_ms),
            engines_at: self.view.with_engines(|engines| engines.at()),
            epoch: self.view.epoch(),
            replica: sources.replica(),
            load,
            known: self.some_known(),
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
        let Ok(heartbeat) = decode::<Heartbeat>(bytes) else {
            return;
        };
        if heartbeat.from.name == self.me.name {
            return;
        }
        let now = self.clock.now();
        let is_new = self.members.borrow_mut().on_heartbeat(&heartbeat, now);
        self.add_known(heartbeat.known.clone());
        if is_new {
            log::info!(
                target: "belief",
                node = heartbeat.from.name.as_str(),
                incarnation = heartbeat.incarnation;
                "node joined"
            );
            if let Ok(reply) = encode(&self.heartbeat(sources)) {
                let _ = self.socket.send_to(&reply, from).await;
            }
        }
        if self.is_behind(&heartbeat, now) {
            self.fetch(heartbeat.from.address);
        }
        sources.on_load(&heartbeat.from.name, heartbeat.load);
    }

    /// Whether the sender knows something newer that is worth fetching from it.
    fn is_behind(&self, heartbeat: &Heartbeat, now: Duration) -> bool {
        if let Some(age) = heartbeat.unconfirmed_ms
            && heartbeat.version == self.view.version()
        {
            self.view.confirm_as_of(Duration::from_millis(age));
        }
        if heartbeat.version > self.view.version() || heartbeat.epoch > self.view.epoch() {
            return true;
        }
        if self.me.is_replica {
            return false;
        }
        if heartbeat.engines_at <= self.view.with_engines(|engines| engines.at()) {
            return false;
        }
        if !self.view.engines_known() {
            return true;
        }
        let since = self.engines_behind_since.get().unwrap_or(now);
        self.engines_behind_since.set(Some(since));
        now.saturating_sub(since) > ENGINES_PATIENCE
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

fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Fetches a node's view and takes it in; says whether the node answered.
pub async fn fetch_view(links: &PeerLinks, view: &View, from: SocketAddr) -> bool {
    let reply = links
        .call(from, PeerRequest::FetchView, FETCH_TIMEOUT)
        .await;
    match reply {
        Ok(PeerReply::View(snapshot)) => {
            view.adopt_snapshot(snapshot);
            true
        }
        _ => false,
    }
}
