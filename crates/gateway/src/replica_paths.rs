//! How a gateway reaches the replicas: straight, or by way of another gateway while the network between is cut.
//!
//! A gateway that is cut off from the storage machines mostly still reaches other gateways, and they the
//! replicas. What is asked of a replica may be asked twice and may come late, so that a detour changes
//! nothing but the time it takes (`docs/design/large-fleets.md`, "Gateways that are cut off").

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{Either, select};
use rand::seq::IndexedRandom;
use ridgeworks_records::{Replica, ReplicaId, ReplicaReply, ReplicaRequest};
use ridgeworks_resident::clock::whole_ms;
use ridgeworks_resident::peer::{LinkError, silence_timeout};
use ridgeworks_routing::{Residency, ZoneRegions};
use tokio::time::Instant;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// How long a request may be open while nothing at all comes from its replica before another gateway is asked
/// too. A busy replica answers other requests meanwhile, and a turn waits for 0.7 s in all. A replica that was slow lately is
/// given longer: a detour asks it once more.
const SILENCE: Duration = Duration::from_millis(400);
/// How long another gateway may take to pass a request on and its answer back.
pub const RELAY_TIMEOUT: Duration = Duration::from_millis(500);
/// Other gateways that are asked one after the other for one request, as long as they say that they do not
/// reach the replica either. One that is silent is not followed by another: replicas that are slow for all
/// would get each request several times.
const RELAY_TRIES: usize = 3;
/// How often a way that is closed is tried again, beside the detour.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// How long a way may take on such a try.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
/// How long a closed way is remembered; a way that is closed still is found so again.
const CLOSED_LIFETIME: Duration = Duration::from_secs(60);
/// How long a replica that did not answer is asked last. Finding it out costs a request a quarter of a second, and
/// a replica that is gone is replaced within two or three.
const SUSPICION: Duration = Duration::from_secs(3);

/// An answer of a replica that is on its way.
pub type Answering = Pin<Box<dyn Future<Output = Result<ReplicaReply, LinkError>>>>;

/// What carries requests to replicas.
pub trait ReplicaNetwork {
    /// Asks a replica straight.
    fn ask(&self, replica: &Replica, request: ReplicaRequest, timeout: Duration) -> Answering;
    /// Asks a replica by way of another gateway.
    fn ask_by(&self, relay: SocketAddr, replica: &Replica, request: ReplicaRequest) -> Answering;
    /// Whether anything has come straight from a replica since then.
    fn has_received_since(&self, replica: &Replica, since: Instant) -> bool;
    /// How long the slowest answer took that came straight from a replica lately.
    fn slowest_reply(&self, replica: &Replica) -> Duration;
    /// Gateways that were heard lately and stand where this may be sent.
    fn relays(&self, residency: &Residency) -> Vec<SocketAddr>;
}

/// What is known of the way to one replica.
#[derive(Debug, Clone, Copy, Default)]
struct Way {
    /// Until when the replica is asked last, after it did not answer.
    suspected_until: Option<Instant>,
    /// Since when the straight way is closed, and when it is tried next; `None` while it is open.
    closed: Option<Closed>,
}

/// A straight way on which nothing comes back.
#[derive(Debug, Clone, Copy)]
struct Closed {
    since: Instant,
    probe_at: Instant,
}

/// The ways to all replicas.
pub struct ReplicaPaths {
    network: Rc<dyn ReplicaNetwork>,
    ways: RefCell<HashMap<ReplicaId, Way>>,
    /// The gateway that passed a request on last.
    relay: Cell<Option<SocketAddr>>,
    /// When another gateway last said that it does not reach a replica either.
    unreached_at: Cell<Option<Instant>>,
}

impl ReplicaPaths {
    /// Ways of which nothing is known yet.
    pub fn new(network: Rc<dyn ReplicaNetwork>) -> Self {
        Self {
            network,
            ways: RefCell::default(),
            relay: Cell::new(None),
            unreached_at: Cell::new(None),
        }
    }

    /// Whether the straight way to a replica is open, as far as is known.
    pub fn is_open(&self, replica: ReplicaId) -> bool {
        let ways = self.ways.borrow();
        ways.get(&replica).is_none_or(|way| way.closed.is_none())
    }

    /// Whether a replica did not answer lately.
    pub fn is_suspected(&self, replica: ReplicaId) -> bool {
        let ways = self.ways.borrow();
        let until = ways.get(&replica).and_then(|way| way.suspected_until);
        until.is_some_and(|until| Instant::now() < until)
    }

    /// Whether another gateway's request may be passed on to a replica. Where it did not answer this gateway lately either, whoever asks
    /// learns at once that it is lost for all and tells callers to stay away longer: with 50 ms in place of up to 0.8 s they used their
    /// tries up in a loss of 2.6 s, and 807 refusals took the place of 481.
    pub fn can_pass_on(&self, replica: ReplicaId) -> bool {
        self.is_open(replica) && !self.is_suspected(replica)
    }

    /// Whether another gateway has said within this time that it does not reach a replica either.
    pub fn is_unreached_by_others(&self, within: Duration) -> bool {
        let at = self.unreached_at.get();
        at.is_some_and(|at| at.elapsed() < within)
    }

    /// Asks a replica for what any gateway may pass on.
    pub async fn ask(
        self: &Rc<Self>,
        replica: &Replica,
        request: ReplicaRequest,
        timeout: Duration,
    ) -> Result<ReplicaReply, LinkError> {
        let anywhere = Residency::anywhere();
        self.ask_within(replica, request, timeout, &anywhere).await
    }

    /// Asks a replica, by a detour where the straight way is silent: one that leads only where question and answer may be sent.
    pub async fn ask_within(
        self: &Rc<Self>,
        replica: &Replica,
        request: ReplicaRequest,
        timeout: Duration,
        residency: &Residency,
    ) -> Result<ReplicaReply, LinkError> {
        let asking = async {
            if self.is_open(replica.id) {
                self.ask_straight_first(replica, request, timeout, residency)
                    .await
            } else {
                self.probe_when_due(replica, &request);
                self.ask_by_others(replica, &request, residency).await
            }
        };
        let asked = tokio::time::timeout(timeout, asking).await;
        let reply = asked.unwrap_or(Err(LinkError::TimedOut));
        self.note_answer(replica.id, reply.is_ok());
        reply
    }

    /// Asks a replica for this long at least, and for longer where its answers took long lately: a busy one that is given up is
    /// asked for nothing, and so is the next.
    pub async fn ask_patiently(
        self: &Rc<Self>,
        replica: &Replica,
        request: ReplicaRequest,
        least: Duration,
        residency: &Residency,
    ) -> Result<ReplicaReply, LinkError> {
        let timeout = silence_timeout(self.network.slowest_reply(replica), least);
        self.ask_within(replica, request, timeout, residency).await
    }

    async fn ask_straight_first(
        self: &Rc<Self>,
        replica: &Replica,
        request: ReplicaRequest,
        timeout: Duration,
        residency: &Residency,
    ) -> Result<ReplicaReply, LinkError> {
        let mut straight = self.network.ask(replica, request.clone(), timeout);
        loop {
            let waited_since = Instant::now();
            // An error that comes at once is the machine's own: a detour would end there as well.
            let patience = silence_timeout(self.network.slowest_reply(replica), SILENCE);
            if let Ok(reply) = tokio::time::timeout(patience, &mut straight).await {
                return reply;
            }
            if !self.network.has_received_since(replica, waited_since) {
                break;
            }
        }
        let by_others = Box::pin(self.ask_by_others(replica, &request, residency));
        match select(straight, by_others).await {
            Either::Left((Ok(reply), _)) => Ok(reply),
            Either::Left((Err(_), by_others)) => {
                let reply = by_others.await?;
                self.close(replica);
                Ok(reply)
            }
            Either::Right((Ok(reply), straight)) => {
                // It may have been slow only; what comes straight yet says so.
                self.close(replica);
                self.reopen_when_answered(replica, straight);
                Ok(reply)
            }
            Either::Right((Err(_), straight)) => straight.await,
        }
    }

    fn reopen_when_answered(self: &Rc<Self>, replica: &Replica, straight: Answering) {
        let paths = Rc::clone(self);
        let replica = replica.clone();
        tokio::task::spawn_local(async move {
            if straight.await.is_ok() {
                paths.reopen(&replica);
            }
        });
    }

    async fn ask_by_others(
        &self,
        replica: &Replica,
        request: &ReplicaRequest,
        residency: &Residency,
    ) -> Result<ReplicaReply, LinkError> {
        let mut last = LinkError::Unreachable;
        let mut tried = Vec::new();
        for _ in 0..RELAY_TRIES {
            let Some(relay) = self.choose_relay(&tried, residency) else {
                return Err(last);
            };
            tried.push(relay);
            let asked = self.network.ask_by(relay, replica, request.clone()).await;
            match asked {
                Ok(reply) => {
                    self.relay.set(Some(relay));
                    return Ok(reply);
                }
                Err(error) => {
                    if error == LinkError::RelayTargetUnreachable {
                        self.unreached_at.set(Some(Instant::now()));
                    }
                    self.drop_relay(relay);
                    if error == LinkError::TimedOut {
                        return Err(error);
                    }
                    last = error;
                }
            }
        }
        Err(last)
    }

    /// The gateway that passed something on last, or any that was not tried.
    fn choose_relay(&self, tried: &[SocketAddr], residency: &Residency) -> Option<SocketAddr> {
        let known = self.relay.get();
        if let Some(known) = known.filter(|_| residency.is_anywhere()) {
            return Some(known);
        }
        let mut relays = self.network.relays(residency);
        if let Some(known) = known.filter(|known| relays.contains(known)) {
            return Some(known);
        }
        relays.retain(|relay| !tried.contains(relay));
        relays.choose(&mut rand::rng()).copied()
    }

    fn drop_relay(&self, relay: SocketAddr) {
        if self.relay.get() == Some(relay) {
            self.relay.set(None);
        }
    }

    fn note_answer(&self, replica: ReplicaId, is_answered: bool) {
        let mut ways = self.ways.borrow_mut();
        if is_answered {
            if let Some(way) = ways.get_mut(&replica) {
                way.suspected_until = None;
            }
            ways.retain(|_, way| way.closed.is_some() || way.suspected_until.is_some());
            return;
        }
        drop(ways);
        self.suspect(replica);
    }

    /// How long the slowest of these replicas may say nothing, at least this long.
    pub fn patience(&self, replicas: &[Replica], least: Duration) -> Duration {
        let slowest = |replica| self.network.slowest_reply(replica);
        let slowest = replicas.iter().map(slowest).max();
        silence_timeout(slowest.unwrap_or_default(), least)
    }

    /// The order in which replicas are asked. Those that answered lately come first, among them those that are reached straight,
    /// then those of the own zone, then those of its region, then by a hash of what is asked for, so that the replicas share the work.
    pub fn in_order(
        &self,
        mut replicas: Vec<Replica>,
        zone: &str,
        regions: &ZoneRegions,
        subject: &str,
    ) -> Vec<Replica> {
        let seed = xxh3_64(subject.as_bytes());
        replicas.sort_by_cached_key(|replica| {
            let is_suspected = self.is_suspected(replica.id);
            let is_closed = !self.is_open(replica.id);
            let distance = regions.distance(zone, &replica.zone);
            let rank = xxh3_64_with_seed(replica.node.as_bytes(), seed);
            (is_suspected, is_closed, distance, rank)
        });
        replicas
    }

    /// Suspects those of these replicas from which nothing has come since then; says whether there are any.
    pub fn suspect_silent(&self, replicas: &[Replica], since: Instant) -> bool {
        let is_silent = |replica: &&Replica| !self.network.has_received_since(replica, since);
        let silent: Vec<&Replica> = replicas.iter().filter(is_silent).collect();
        for replica in &silent {
            self.suspect(replica.id);
        }
        !silent.is_empty()
    }

    /// A replica that does not answer, or not with what was asked, is asked last for a while.
    pub fn suspect(&self, replica: ReplicaId) {
        let mut ways = self.ways.borrow_mut();
        let way = ways.entry(replica).or_default();
        way.suspected_until = Some(Instant::now() + SUSPICION);
    }

    fn close(&self, replica: &Replica) {
        let now = Instant::now();
        let mut ways = self.ways.borrow_mut();
        // Those of replicas that are gone would stay for ever.
        ways.retain(|_, way| {
            let closed = way.closed.as_ref();
            closed.is_none_or(|closed| closed.since.elapsed() < CLOSED_LIFETIME)
        });
        let way = ways.entry(replica.id).or_default();
        if way.closed.is_some() {
            return;
        }
        way.closed = Some(Closed {
            since: now,
            probe_at: now + PROBE_INTERVAL,
        });
        log::info!(
            target: "belief",
            node = replica.node.as_str(),
            relay:? = self.relay.get();
            "way to a replica closed, others pass requests on"
        );
    }

    /// Tries a closed way with a request that goes by a detour as well.
    fn probe_when_due(self: &Rc<Self>, replica: &Replica, request: &ReplicaRequest) {
        let now = Instant::now();
        let is_due = {
            let mut ways = self.ways.borrow_mut();
            let way = ways.get_mut(&replica.id);
            let closed = way.and_then(|way| way.closed.as_mut());
            let due = closed.filter(|closed| now >= closed.probe_at);
            due.map(|closed| closed.probe_at = now + PROBE_INTERVAL)
                .is_some()
        };
        if !is_due {
            return;
        }
        let probing = self.network.ask(replica, request.clone(), PROBE_TIMEOUT);
        self.reopen_when_answered(replica, probing);
    }

    fn reopen(&self, replica: &Replica) {
        let mut ways = self.ways.borrow_mut();
        let way = ways.get_mut(&replica.id);
        let Some(closed) = way.and_then(|way| way.closed.take()) else {
            return;
        };
        log::info!(
            target: "belief",
            node = replica.node.as_str(),
            closed_ms = whole_ms(closed.since.elapsed());
            "way to a replica open again"
        );
    }
}
