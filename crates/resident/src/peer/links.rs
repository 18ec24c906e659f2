//! The links of a node, one to each other node.
//!
//! A connection may fall silent without an error while new ones work, or a node may be slow because it is overloaded. One
//! connection can't tell these apart, and the remedy for the first, a new connection with all requests sent again, makes the
//! second worse. So a silent link is checked against a new one: the same probe is sent on both, and the old link is replaced only if the
//! new one is answered first (`docs/operations/silence.md`).

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

/// How long a link with pending replies may be silent before it is checked. Without the check, requests on a silent connection would
/// time out for as long as the process runs; with it a request is answered in under 0.8 s.
const SILENCE: Duration = Duration::from_millis(350);
/// Minimum time between the start or a check of a link and its next check.
const MIN_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Timeout of a check.
const CHECK_TIMEOUT: Duration = Duration::from_secs(2);
/// A link may be silent for this many times the node's recent slowest reply, so that it is checked when replies stop and not
/// when they become slower.
const SLOWEST_REPLY_FACTOR: u32 = 3;
/// Half-life of the slowest reply's duration.
const SLOWEST_REPLY_HALF_LIFE: Duration = Duration::from_secs(5);

/// The slowest recent reply of a node.
#[derive(Debug, Clone, Copy)]
struct ReplyTimes {
    slowest: Duration,
    recorded_at: Instant,
}

impl ReplyTimes {
    fn new() -> Self {
        Self {
            slowest: Duration::ZERO,
            recorded_at: Instant::now(),
        }
    }

    fn slowest(&self) -> Duration {
        let half_lives =
            self.recorded_at.elapsed().as_secs_f64() / SLOWEST_REPLY_HALF_LIFE.as_secs_f64();
        self.slowest.mul_f64(0.5_f64.powf(half_lives))
    }

    fn record(&mut self, taken: Duration) {
        if taken >= self.slowest() {
            self.slowest = taken;
            self.recorded_at = Instant::now();
        }
    }
}

/// How long a node with this slowest recent reply may be silent before its link is checked; at least `min_timeout`.
pub fn silence_timeout(slowest_reply: Duration, min_timeout: Duration) -> Duration {
    min_timeout.max(slowest_reply * SLOWEST_REPLY_FACTOR)
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
        self.next_check = Instant::now() + MIN_CHECK_INTERVAL;
    }
}

/// All links of a node.
#[derive(Default)]
pub struct PeerLinks {
    table: Rc<LinkTable>,
}

impl PeerLinks {
    /// Links whose bytes are counted in `traffic`; `None` counts nothing.
    pub fn counting(traffic: Option<Rc<Traffic>>) -> Self {
        let table = LinkTable {
            traffic,
            ..LinkTable::default()
        };
        Self {
            table: Rc::new(table),
        }
    }

    /// The byte counts; `None` where nothing is counted.
    pub(super) fn traffic(&self) -> Option<&Traffic> {
        self.table.traffic.as_deref()
    }

    /// Sends a request to another node and waits for its reply. The node may receive the request twice: it is sent again when a
    /// silent link is replaced.
    pub async fn call(
        &self,
        to: SocketAddr,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, LinkError> {
        let limit = Instant::now() + timeout;
        let (state, reply) = self.table.send(to, request.clone())?;
        tokio::select! {
            // Polled first, because a replaced link also fails its pending replies.
            biased;
            () = self.table.wait_until_replaced(to, &state) => {}
            reply = self.table.reply(to, reply, limit) => return reply,
        }
        let (_, reply) = self.table.send(to, request)?;
        self.table.reply(to, reply, limit).await
    }

    /// Number of links that were replaced because they were silent.
    pub fn replaced(&self) -> u64 {
        self.table.replaced.get()
    }

    /// Whether another node has sent a frame at `since` or later on its current link, even a reply that nobody waits for any more.
    pub fn has_received_since(&self, node: SocketAddr, since: Instant) -> bool {
        let peers = self.table.peers.borrow();
        let peer = peers.get(&node);
        peer.is_some_and(|peer| peer.link.state.received_since(since).is_some())
    }

    /// Duration of another node's slowest recent reply, with older ones counting for less; zero for an unknown node.
    pub fn slowest_reply(&self, node: SocketAddr) -> Duration {
        self.table.slowest_reply(node)
    }
}

#[derive(Default)]
struct LinkTable {
    peers: RefCell<HashMap<SocketAddr, Peer>>,
    replaced: Cell<u64>,
    traffic: Option<Rc<Traffic>>,
}

impl LinkTable {
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
            peer.reply_times.record(began.elapsed());
        }
        Ok(reply)
    }

    /// Waits until a link with a pending reply has been silent for too long and a new one has replaced it.
    async fn wait_until_replaced(self: &Rc<Self>, to: SocketAddr, state: &LinkState) {
        let mut since = Instant::now();
        loop {
            let timeout = silence_timeout(self.slowest_reply(to), SILENCE);
            sleep_until(since + timeout).await;
            match state.received_since(since) {
                Some(heard_at) => since = heard_at,
                None => break,
            }
        }
        self.start_check(to);
        state.replaced().await;
    }

    fn slowest_reply(&self, to: SocketAddr) -> Duration {
        let peers = self.peers.borrow();
        let peer = peers.get(&to);
        peer.map_or(Duration::ZERO, |peer| peer.reply_times.slowest())
    }

    /// Checks a silent link after a timeout, for the sake of later requests.
    fn check_if_silent(self: &Rc<Self>, to: SocketAddr, since: Instant) {
        let is_silent = {
            let peers = self.peers.borrow();
            let peer = peers.get(&to);
            peer.is_some_and(|peer| peer.link.state.received_since(since).is_none())
        };
        if is_silent && since.elapsed() >= SILENCE {
            self.start_check(to);
        }
    }

    /// Starts a check of the link, unless one is running or was done recently.
    fn start_check(self: &Rc<Self>, to: SocketAddr) {
        let mut peers = self.peers.borrow_mut();
        let Some(peer) = peers.get_mut(&to) else {
            return;
        };
        if peer.is_checking || Instant::now() < peer.next_check {
            return;
        }
        let Ok(old_reply) = peer.link.send(probe_request()) else {
            return;
        };
        peer.is_checking = true;
        let table = Rc::clone(self);
        let state = Rc::clone(&peer.link.state);
        tokio::task::spawn_local(async move {
            let began = Instant::now();
            let outcome = race_links(to, old_reply, table.traffic.clone()).await;
            table.finish_check(to, &state, outcome, began);
        });
    }

    /// Replaces the old link by the new one if that was answered first.
    fn finish_check(
        &self,
        to: SocketAddr,
        state: &Rc<LinkState>,
        outcome: CheckOutcome,
        began: Instant,
    ) {
        let mut peers = self.peers.borrow_mut();
        let Some(peer) = peers.get_mut(&to) else {
            return;
        };
        peer.is_checking = false;
        peer.postpone_check();
        let link_ms = whole_ms(state.made_at.elapsed());
        let new_link = match outcome {
            CheckOutcome::NewLinkReplied(new_link) => new_link,
            CheckOutcome::OldLinkReplied => {
                // Requests that timed out recorded no reply time. The check's is recorded instead, which lengthens the silence
                // timeout.
                peer.reply_times.record(SILENCE + began.elapsed());
                log::info!(target: "dependency", node:% = to, link_ms = link_ms; "late link to a node kept");
                return;
            }
            CheckOutcome::NoReply => return,
        };
        // The old link may have been replaced meanwhile.
        if !Rc::ptr_eq(&peer.link.state, state) {
            new_link.close();
            return;
        }
        self.replaced.set(self.replaced.get() + 1);
        log::info!(target: "dependency", node:% = to, link_ms = link_ms; "silent link to a node replaced");
        std::mem::replace(&mut peer.link, new_link).replace();
    }
}

/// Result of a check of a link.
enum CheckOutcome {
    /// The old link works, but the node is slow.
    OldLinkReplied,
    /// The new link was answered before the old one.
    NewLinkReplied(Link),
    /// Neither link was answered in time, or one of them failed first.
    NoReply,
}

/// Sends the probe on a new link and waits for the first reply on either.
async fn race_links(
    to: SocketAddr,
    old_reply: ReplyReceiver,
    traffic: Option<Rc<Traffic>>,
) -> CheckOutcome {
    let new_link = Link::start(to, traffic);
    let Ok(new_reply) = new_link.send(probe_request()) else {
        new_link.close();
        return CheckOutcome::NoReply;
    };
    let outcome = tokio::select! {
        // If both links are answered, the old one works.
        biased;
        reply = old_reply => match reply {
            Ok(Ok(_)) => CheckOutcome::OldLinkReplied,
            _ => CheckOutcome::NoReply,
        },
        reply = new_reply => match reply {
            Ok(Ok(_)) => return CheckOutcome::NewLinkReplied(new_link),
            _ => CheckOutcome::NoReply,
        },
        () = tokio::time::sleep(CHECK_TIMEOUT) => CheckOutcome::NoReply,
    };
    new_link.close();
    outcome
}

/// A request with an empty reply: nothing is newer than the highest versions.
fn probe_request() -> PeerRequest {
    PeerRequest::FetchView(ViewPosition {
        version: u64::MAX,
        engines: KnownEngines::Unwanted,
        epoch: Epoch(u64::MAX),
        wants_drains: false,
    })
}
