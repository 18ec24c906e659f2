//! Reaches replicas directly, or through another gateway while the network between is partitioned.
//!
//! A gateway that is cut off from the storage machines can usually still reach other gateways that
//! are not. Requests to replicas may be duplicated or delayed, so a relay only adds latency
//! (`docs/design/large-fleets.md`, "Gateways that are cut off").

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

/// Shortest time for which a replica may be completely silent before a relay is tried too. Shorter
/// than the time that a turn waits for replicas, so that a relay can still answer, and longer than
/// the silence of a busy replica. A replica that was slow recently is given more time, because
/// relaying sends it the request again.
const MIN_RELAY_DELAY: Duration = Duration::from_millis(400);
/// Timeout of a relayed request.
pub const RELAY_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of relays that are tried for one request while they report that they cannot reach
/// the replica either. A relay that times out is not followed by another, because a replica that is
/// slow for all would get the request several times.
const MAX_RELAYS: usize = 3;
/// How often a closed path is probed while requests are relayed.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
/// Age at which a closed path is forgotten, checked whenever a path is being closed. If it is still
/// unusable, that is detected again.
const CLOSED_PATH_LIFETIME: Duration = Duration::from_secs(60);
/// How long a replica that did not answer stays last in the order in which replicas are asked. Long
/// enough for a failed replica to be replaced.
const SUSPICION_PERIOD: Duration = Duration::from_secs(3);

/// Future reply of a replica.
pub type ReplyFuture = Pin<Box<dyn Future<Output = Result<ReplicaReply, LinkError>>>>;

/// Transport of requests to replicas.
pub trait ReplicaNetwork {
    /// Sends a request directly to a replica.
    fn ask(&self, replica: &Replica, request: ReplicaRequest, timeout: Duration) -> ReplyFuture;
    /// Sends a request to a replica through another gateway.
    fn ask_via(&self, relay: SocketAddr, replica: &Replica, request: ReplicaRequest)
    -> ReplyFuture;
    /// Whether anything has arrived directly from a replica since then.
    fn has_received_since(&self, replica: &Replica, since: Instant) -> bool;
    /// Latency of the slowest recent direct reply of a replica.
    fn slowest_reply(&self, replica: &Replica) -> Duration;
    /// Gateways that were heard from recently, in regions that the residency allows.
    fn relays(&self, residency: &Residency) -> Vec<SocketAddr>;
}

/// State of the path to one replica.
#[derive(Debug, Clone, Copy, Default)]
struct PathState {
    /// The replica is asked last until this time, because it did not answer.
    suspected_until: Option<Instant>,
    /// `None` while the direct path is open.
    closed: Option<ClosedPath>,
}

/// A direct path on which no replies arrive.
#[derive(Debug, Clone, Copy)]
struct ClosedPath {
    since: Instant,
    probe_at: Instant,
}

/// Paths to all replicas.
pub struct ReplicaPaths {
    network: Rc<dyn ReplicaNetwork>,
    states: RefCell<HashMap<ReplicaId, PathState>>,
    /// The gateway that last relayed a request successfully.
    relay: Cell<Option<SocketAddr>>,
    /// When a relay last reported that it cannot reach a replica either.
    reported_unreachable_at: Cell<Option<Instant>>,
}

impl ReplicaPaths {
    /// Creates paths that all count as open.
    pub fn new(network: Rc<dyn ReplicaNetwork>) -> Self {
        Self {
            network,
            states: RefCell::default(),
            relay: Cell::new(None),
            reported_unreachable_at: Cell::new(None),
        }
    }

    /// Whether the direct path to a replica is believed to be open.
    pub fn is_open(&self, replica: ReplicaId) -> bool {
        let states = self.states.borrow();
        states
            .get(&replica)
            .is_none_or(|state| state.closed.is_none())
    }

    /// Whether a replica recently failed to answer.
    pub fn is_suspected(&self, replica: ReplicaId) -> bool {
        let states = self.states.borrow();
        let until = states.get(&replica).and_then(|state| state.suspected_until);
        until.is_some_and(|until| Instant::now() < until)
    }

    /// Whether to relay another gateway's request to a replica: only if the direct path is believed
    /// to be open and the replica has not recently failed to answer this gateway. Otherwise the
    /// relay fails at once, which tells the requesting gateway that others cannot reach the replica
    /// either. It then gives its clients a longer retry delay, so that they do not use up their
    /// tries: with a delay of 50 ms instead of up to 0.8 s, a loss of 2.6 s caused 807 refusals
    /// instead of 481.
    pub fn can_relay_to(&self, replica: ReplicaId) -> bool {
        self.is_open(replica) && !self.is_suspected(replica)
    }

    /// Whether a relay has reported within this time that it cannot reach a replica either.
    pub fn is_reported_unreachable(&self, within: Duration) -> bool {
        let at = self.reported_unreachable_at.get();
        at.is_some_and(|at| at.elapsed() < within)
    }

    /// Sends a request that any gateway may relay.
    pub async fn ask(
        self: &Rc<Self>,
        replica: &Replica,
        request: ReplicaRequest,
        timeout: Duration,
    ) -> Result<ReplicaReply, LinkError> {
        let anywhere = Residency::anywhere();
        self.ask_in_residency(replica, request, timeout, &anywhere)
            .await
    }

    /// Sends a request to a replica, through a relay if the direct path is silent. Only gateways
    /// that `residency` allows are used as relays.
    pub async fn ask_in_residency(
        self: &Rc<Self>,
        replica: &Replica,
        request: ReplicaRequest,
        timeout: Duration,
        residency: &Residency,
    ) -> Result<ReplicaReply, LinkError> {
        let asking = async {
            if self.is_open(replica.id) {
                self.ask_direct_first(replica, request, timeout, residency)
                    .await
            } else {
                self.probe_when_due(replica, &request);
                self.ask_via_relays(replica, &request, residency).await
            }
        };
        let result = tokio::time::timeout(timeout, asking).await;
        let reply = result.unwrap_or(Err(LinkError::TimedOut));
        self.record_outcome(replica.id, reply.is_ok());
        reply
    }

    /// Sends a request with a timeout of at least `min_timeout`, and longer if the replica's recent
    /// replies were slow: abandoning a busy replica wastes its work and moves the load to the next
    /// one.
    pub async fn ask_with_adaptive_timeout(
        self: &Rc<Self>,
        replica: &Replica,
        request: ReplicaRequest,
        min_timeout: Duration,
        residency: &Residency,
    ) -> Result<ReplicaReply, LinkError> {
        let timeout = silence_timeout(self.network.slowest_reply(replica), min_timeout);
        self.ask_in_residency(replica, request, timeout, residency)
            .await
    }

    async fn ask_direct_first(
        self: &Rc<Self>,
        replica: &Replica,
        request: ReplicaRequest,
        timeout: Duration,
        residency: &Residency,
    ) -> Result<ReplicaReply, LinkError> {
        let mut direct = self.network.ask(replica, request.clone(), timeout);
        loop {
            let waiting_since = Instant::now();
            let silence_timeout =
                silence_timeout(self.network.slowest_reply(replica), MIN_RELAY_DELAY);
            if let Ok(reply) = tokio::time::timeout(silence_timeout, &mut direct).await {
                // An error before the timeout comes from the replica's machine itself, so a relay
                // would fail as well.
                return reply;
            }
            if !self.network.has_received_since(replica, waiting_since) {
                break;
            }
        }
        let via_relays = Box::pin(self.ask_via_relays(replica, &request, residency));
        match select(direct, via_relays).await {
            Either::Left((Ok(reply), _)) => Ok(reply),
            Either::Left((Err(_), via_relays)) => {
                let reply = via_relays.await?;
                self.close(replica);
                Ok(reply)
            }
            Either::Right((Ok(reply), direct)) => {
                // The replica may only be slow; a late direct reply reopens the path.
                self.close(replica);
                self.reopen_on_reply(replica, direct);
                Ok(reply)
            }
            Either::Right((Err(_), direct)) => direct.await,
        }
    }

    fn reopen_on_reply(self: &Rc<Self>, replica: &Replica, direct: ReplyFuture) {
        let paths = Rc::clone(self);
        let replica = replica.clone();
        tokio::task::spawn_local(async move {
            if direct.await.is_ok() {
                paths.reopen(&replica);
            }
        });
    }

    async fn ask_via_relays(
        &self,
        replica: &Replica,
        request: &ReplicaRequest,
        residency: &Residency,
    ) -> Result<ReplicaReply, LinkError> {
        let mut last = LinkError::Unreachable;
        let mut tried = Vec::new();
        for _ in 0..MAX_RELAYS {
            let Some(relay) = self.choose_relay(&tried, residency) else {
                return Err(last);
            };
            tried.push(relay);
            let result = self.network.ask_via(relay, replica, request.clone()).await;
            match result {
                Ok(reply) => {
                    self.relay.set(Some(relay));
                    return Ok(reply);
                }
                Err(error) => {
                    if error == LinkError::RelayTargetUnreachable {
                        self.reported_unreachable_at.set(Some(Instant::now()));
                    }
                    self.forget_relay(relay);
                    if error == LinkError::TimedOut {
                        return Err(error);
                    }
                    last = error;
                }
            }
        }
        Err(last)
    }

    /// The relay that succeeded last, or a random one that was not tried.
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

    fn forget_relay(&self, relay: SocketAddr) {
        if self.relay.get() == Some(relay) {
            self.relay.set(None);
        }
    }

    fn record_outcome(&self, replica: ReplicaId, has_replied: bool) {
        let mut states = self.states.borrow_mut();
        if has_replied {
            if let Some(state) = states.get_mut(&replica) {
                state.suspected_until = None;
            }
            states.retain(|_, state| state.closed.is_some() || state.suspected_until.is_some());
            return;
        }
        drop(states);
        self.suspect(replica);
    }

    /// How long the slowest of these replicas may be silent, at least `min_timeout`.
    pub fn silence_timeout(&self, replicas: &[Replica], min_timeout: Duration) -> Duration {
        let reply_times = replicas
            .iter()
            .map(|replica| self.network.slowest_reply(replica));
        let slowest = reply_times.max();
        silence_timeout(slowest.unwrap_or_default(), min_timeout)
    }

    /// Orders replicas by preference: not suspected first, then directly reachable, then by
    /// distance from `zone`, then by a hash of `hash_key`, which spreads the load.
    pub fn order_by_preference(
        &self,
        mut replicas: Vec<Replica>,
        zone: &str,
        regions: &ZoneRegions,
        hash_key: &str,
    ) -> Vec<Replica> {
        let seed = xxh3_64(hash_key.as_bytes());
        replicas.sort_by_cached_key(|replica| {
            let is_suspected = self.is_suspected(replica.id);
            let is_closed = !self.is_open(replica.id);
            let distance = regions.distance(zone, &replica.zone);
            let rank = xxh3_64_with_seed(replica.node.as_bytes(), seed);
            (is_suspected, is_closed, distance, rank)
        });
        replicas
    }

    /// Marks those of the replicas as suspected that have sent nothing since then. Returns whether
    /// there are any.
    pub fn suspect_silent(&self, replicas: &[Replica], since: Instant) -> bool {
        let is_silent = |replica: &&Replica| !self.network.has_received_since(replica, since);
        let silent: Vec<&Replica> = replicas.iter().filter(is_silent).collect();
        for replica in &silent {
            self.suspect(replica.id);
        }
        !silent.is_empty()
    }

    /// Marks a replica as suspected, so that it is asked last for a while.
    pub fn suspect(&self, replica: ReplicaId) {
        let mut states = self.states.borrow_mut();
        let state = states.entry(replica).or_default();
        state.suspected_until = Some(Instant::now() + SUSPICION_PERIOD);
    }

    fn close(&self, replica: &Replica) {
        let now = Instant::now();
        let mut states = self.states.borrow_mut();
        // Paths to replicas that are gone would otherwise stay forever.
        states.retain(|_, state| {
            let closed = state.closed.as_ref();
            closed.is_none_or(|closed| closed.since.elapsed() < CLOSED_PATH_LIFETIME)
        });
        let state = states.entry(replica.id).or_default();
        if state.closed.is_some() {
            return;
        }
        state.closed = Some(ClosedPath {
            since: now,
            probe_at: now + PROBE_INTERVAL,
        });
        log::info!(
            target: "belief",
            node = replica.node.as_str(),
            relay:? = self.relay.get();
            "direct path to a replica closed; requests go through other gateways"
        );
    }

    /// Probes a closed path with a request that is also relayed.
    fn probe_when_due(self: &Rc<Self>, replica: &Replica, request: &ReplicaRequest) {
        let now = Instant::now();
        let is_due = {
            let mut states = self.states.borrow_mut();
            let state = states.get_mut(&replica.id);
            let closed = state.and_then(|state| state.closed.as_mut());
            let due = closed.filter(|closed| now >= closed.probe_at);
            due.map(|closed| closed.probe_at = now + PROBE_INTERVAL)
                .is_some()
        };
        if !is_due {
            return;
        }
        let probing = self.network.ask(replica, request.clone(), PROBE_TIMEOUT);
        self.reopen_on_reply(replica, probing);
    }

    fn reopen(&self, replica: &Replica) {
        let mut states = self.states.borrow_mut();
        let state = states.get_mut(&replica.id);
        let Some(closed) = state.and_then(|state| state.closed.take()) else {
            return;
        };
        log::info!(
            target: "belief",
            node = replica.node.as_str(),
            closed_ms = whole_ms(closed.since.elapsed());
            "direct path to a replica is open again"
        );
    }
}
