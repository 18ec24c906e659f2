//! All links of a node, one to each other node.
//!
//! A connection may fall silent for good while new ones work, and a node may be late because it has too much to do. From one
//! connection both look alike, and what helps against the first feeds the second: a new connection and everything
//! asked once more. So a link that says nothing is held against a new one: both ask the node the same, and only if the new one is answered
//! first is the old one replaced (`docs/operations/silence.md`).

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_records::Epoch;
use tokio::time::{Instant, sleep_until};

use super::link::{Link, LinkError, LinkState, ReplyReceiver};
use super::message::{KnownEngines, PeerReply, PeerRequest, ViewPosition};
use crate::clock::whole_ms;
use crate::traffic::Traffic;

/// How long nothing may come by a link on which an answer is due, before it is held against a new one. Without a bound a silent
/// connection answered nobody for as long as the process lived, with it a request is answered in under 0.8 s (loopback).
const SILENCE: Duration = Duration::from_millis(350);
/// A link is not held against a new one sooner after it was made or checked.
const CHECK_PAUSE: Duration = Duration::from_secs(2);
/// How long a check goes on where neither link is answered.
const CHECK_TIME: Duration = Duration::from_secs(2);
/// A node that takes long for its answers is given this many times as long before its link is checked, so that a check is
/// made where answers stop and not where they become slower.
const SLOWEST_REPLY_FACTOR: u32 = 3;
/// After this time a slow answer counts for half.
const SLOWEST_REPLY_HALF_LIFE: Duration = Duration::from_secs(5);

/// The slowest answer of a node lately.
#[derive(Debug, Clone, Copy)]
struct ReplyTimes {
    slowest: Duration,
    at: Instant,
}

impl ReplyTimes {
    fn new() -> Self {
        Self {
            slowest: Duration::ZERO,
            at: Instant::now(),
        }
    }

    fn slowest(&self) -> Duration {
        let half_lives = self.at.elapsed().as_secs_f64() / SLOWEST_REPLY_HALF_LIFE.as_secs_f64();
        self.slowest.mul_f64(0.5_f64.powf(half_lives))
    }

    fn note(&mut self, taken: Duration) {
        if taken >= self.slowest() {
            self.slowest = taken;
            self.at = Instant::now();
        }
    }
}

/// How long a node may say nothing whose slowest answer lately took this long, before its silence means anything. At least
/// this long.
pub fn silence_timeout(slowest_reply: Duration, least: Duration) -> Duration {
    least.max(slowest_reply * SLOWEST_REPLY_FACTOR)
}

struct Peer {
    link: Link,
    reply_times: ReplyTimes,
    next_check: Instant,
    is_checking: bool,
}

impl Peer {
    fn new(to: SocketAddr, traffic: Option<Rc<Traffic>>) -> Self {
        let mut peer = Self {
            link: Link::start(to, traffic),
            reply_times: ReplyTimes::new(),
            next_check: Instant::now(),
            is_checking: false,
        };
        peer.postpone_check();
        peer
    }

    fn postpone_check(&mut self) {
        self.next_check = Instant::now() + CHECK_PAUSE;
    }
}

/// All links of a node.
#[derive(Default)]
pub struct PeerLinks {
    table: Rc<Table>,
}

impl PeerLinks {
    /// Links whose bytes are counted here.
    pub fn counting(traffic: Option<Rc<Traffic>>) -> Self {
        let table = Table {
            traffic,
            ..Table::default()
        };
        Self {
            table: Rc::new(table),
        }
    }

    /// How far bytes go, where that is counted.
    pub(super) fn traffic(&self) -> Option<&Traffic> {
        self.table.traffic.as_deref()
    }

    /// Asks another node and waits for its reply. A request may reach the node twice: it is sent again where the link
    /// has fallen silent and a new one has not.
    pub async fn call(
        &self,
        to: SocketAddr,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, LinkError> {
        let limit = Instant::now() + timeout;
        let (state, reply) = self.table.send(to, request.clone())?;
        tokio::select! {
            // First: what was open on a link that is replaced ends with it.
            biased;
            () = self.table.wait_until_replaced(to, &state) => {}
            reply = self.table.reply(to, reply, limit) => return reply,
        }
        let (_, reply) = self.table.send(to, request)?;
        self.table.reply(to, reply, limit).await
    }

    /// Links that were replaced because they were silent.
    pub fn replaced(&self) -> u64 {
        self.table.replaced.get()
    }

    /// Whether anything has come from another node since then, also an answer that nobody waits for any more.
    pub fn has_received_since(&self, node: SocketAddr, since: Instant) -> bool {
        let peers = self.table.peers.borrow();
        let peer = peers.get(&node);
        peer.is_some_and(|peer| peer.link.state.heard_after(since).is_some())
    }

    /// How long another node's slowest answer took lately, earlier ones counting for less.
    pub fn slowest_reply(&self, node: SocketAddr) -> Duration {
        self.table.slowest_reply(node)
    }
}

#[derive(Default)]
struct Table {
    peers: RefCell<HashMap<SocketAddr, Peer>>,
    replaced: Cell<u64>,
    traffic: Option<Rc<Traffic>>,
}

impl Table {
    fn send(
        &self,
        to: SocketAddr,
        request: PeerRequest,
    ) -> Result<(Rc<LinkState>, ReplyReceiver), LinkError> {
        let mut peers = self.peers.borrow_mut();
        let peer = peers
            .entry(to)
            .or_insert_with(|| Peer::new(to, self.traffic.clone()));
        if peer.link.is_closed() {
            peer.link = Link::start(to, self.traffic.clone());
            peer.postpone_check();
        }
        let reply = peer.link.send(request)?;
        Ok((Rc::clone(&peer.link.state), reply))
    }

    async fn reply(
        self: &Rc<Self>,
        to: SocketAddr,
        reply: ReplyReceiver,
        limit: Instant,
    ) -> Result<PeerReply, LinkError> {
        let began = Instant::now();
        let Ok(reply) = tokio::time::timeout_at(limit, reply).await else {
            self.check_if_silent(to, began);
            return Err(LinkError::TimedOut);
        };
        let reply = reply.unwrap_or(Err(LinkError::Broken))?;
        if let Some(peer) = self.peers.borrow_mut().get_mut(&to) {
            peer.reply_times.note(began.elapsed());
        }
        Ok(reply)
    }

    /// Waits until a link on which an answer is due has said nothing for too long and a new one has taken its place.
    async fn wait_until_replaced(self: &Rc<Self>, to: SocketAddr, state: &LinkState) {
        let mut since = Instant::now();
        loop {
            let patience = silence_timeout(self.slowest_reply(to), SILENCE);
            sleep_until(since + patience).await;
            match state.heard_after(since) {
                Some(heard_at) => since = heard_at,
                None => break,
            }
        }
        self.check(to);
        state.replaced().await;
    }

    fn slowest_reply(&self, to: SocketAddr) -> Duration {
        let peers = self.peers.borrow();
        let peer = peers.get(&to);
        peer.map_or(Duration::ZERO, |peer| peer.reply_times.slowest())
    }

    /// Nobody waits for the answer any more, but the next request had better find a link that is answered.
    fn check_if_silent(self: &Rc<Self>, to: SocketAddr, since: Instant) {
        let is_silent = {
            let peers = self.peers.borrow();
            let peer = peers.get(&to);
            peer.is_some_and(|peer| peer.link.state.heard_after(since).is_none())
        };
        if is_silent && since.elapsed() >= SILENCE {
            self.check(to);
        }
    }

    /// Holds the link against a new one, unless that was done just now.
    fn check(self: &Rc<Self>, to: SocketAddr) {
        let mut peers = self.peers.borrow_mut();
        let Some(peer) = peers.get_mut(&to) else {
            return;
        };
        if peer.is_checking || Instant::now() < peer.next_check {
            return;
        }
        let Ok(old) = peer.link.send(probe_request()) else {
            return;
        };
        peer.is_checking = true;
        let table = Rc::clone(self);
        let state = Rc::clone(&peer.link.state);
        tokio::task::spawn_local(async move {
            let began = Instant::now();
            let found = race_links(to, old, table.traffic.clone()).await;
            table.finish_check(to, &state, found, began);
        });
    }

    /// Puts the new link in place of the old one if it was answered first.
    fn finish_check(
        &self,
        to: SocketAddr,
        state: &Rc<LinkState>,
        found: CheckOutcome,
        began: Instant,
    ) {
        let mut peers = self.peers.borrow_mut();
        let Some(peer) = peers.get_mut(&to) else {
            return;
        };
        peer.is_checking = false;
        peer.postpone_check();
        let link_ms = whole_ms(state.made_at.elapsed());
        let newer = match found {
            CheckOutcome::NewLinkReplied(newer) => newer,
            CheckOutcome::OldLinkReplied => {
                // Requests may have been given up before their answers came.
                peer.reply_times.note(SILENCE + began.elapsed());
                log::info!(target: "dependency", node:% = to, link_ms = link_ms; "late link to a node kept");
                return;
            }
            CheckOutcome::NoReply => return,
        };
        // The old one may have ended meanwhile, and another one stand in its place.
        if !Rc::ptr_eq(&peer.link.state, state) {
            newer.close();
            return;
        }
        self.replaced.set(self.replaced.get() + 1);
        log::info!(target: "dependency", node:% = to, link_ms = link_ms; "silent link to a node replaced");
        std::mem::replace(&mut peer.link, newer).replace();
    }
}

/// What a check of a link has found.
enum CheckOutcome {
    /// The node answers by it, late.
    OldLinkReplied,
    /// The node answers by a new link, and not by it.
    NewLinkReplied(Link),
    /// The node answers by neither.
    NoReply,
}

/// Asks by a new link what was just asked by the old one.
async fn race_links(
    to: SocketAddr,
    old: ReplyReceiver,
    traffic: Option<Rc<Traffic>>,
) -> CheckOutcome {
    let newer = Link::start(to, traffic);
    let Ok(answer) = newer.send(probe_request()) else {
        newer.close();
        return CheckOutcome::NoReply;
    };
    let found = tokio::select! {
        // A node that answers by both is late, not out of reach.
        biased;
        answer = old => match answer {
            Ok(Ok(_)) => CheckOutcome::OldLinkReplied,
            _ => CheckOutcome::NoReply,
        },
        answer = answer => match answer {
            Ok(Ok(_)) => return CheckOutcome::NewLinkReplied(newer),
            _ => CheckOutcome::NoReply,
        },
        () = tokio::time::sleep(CHECK_TIME) => CheckOutcome::NoReply,
    };
    newer.close();
    found
}

/// A question whose answer is empty: what is newer than everything.
fn probe_request() -> PeerRequest {
    PeerRequest::FetchView(ViewPosition {
        version: u64::MAX,
        engines: KnownEngines::Unwanted,
        epoch: Epoch(u64::MAX),
        wants_drains: false,
    })
}
