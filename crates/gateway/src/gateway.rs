//! What all requests of a gateway share.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_resident::node::Node;
use ridgeworks_resident::peer::{
    GossipSources, LoadReport, PeerReply, PeerRequest, PeerService, ReplicaStatus,
};
use ridgeworks_routing::{
    Engine, EngineKey, GatewayReport, Outcome, Placement, PlacementRequest, PrefillDirectory,
    PrefillRecord, PromptPart, RegionLatencies, ResidencyFaults, Route, RouteTable, WeightedSplit,
};
use tokio::sync::oneshot;

use crate::engine_pool::EnginePool;
use crate::key_proof::KeyProof;
use crate::metrics::GatewayMetrics;
use crate::node_network::pass_on;
use crate::rate_limits::RateLimits;
use crate::records_client::RecordsClient;
use crate::turn_cache::TurnCache;
use crate::warm_ups::WarmUpCare;
use crate::zone_drains::ZoneDrainWatch;

/// Part of the process's memory that cached turns may take.
const CACHE_SHARE: u64 = 8;
/// Part of the process's memory that bodies of open requests may take.
const BODY_SHARE: u64 = 4;
/// Parts of a prompt, from its end, whose reads are asked for.
const ASKED_PARTS: usize = 2;
/// Routes and tenants of each kind that one line of the log names.
const TOLD_NAMES: usize = 5;
const BYTES_PER_MB: u64 = 1024 * 1024;
/// How often connections and beliefs that are no longer needed are let go.
const TIDY_INTERVAL: Duration = Duration::from_secs(1);

/// State of one gateway.
pub struct Gateway {
    /// The node that it runs on.
    pub node: Rc<Node>,
    /// Load and contents of the engines.
    pub placement: RefCell<Placement>,
    /// Where prompts were read whose directory node this gateway is.
    pub directory: RefCell<PrefillDirectory>,
    /// Splits of routes among services.
    pub split: RefCell<WeightedSplit>,
    /// Connections to engines.
    pub pool: EnginePool,
    /// Replicated records.
    pub records: Rc<RecordsClient>,
    /// Grants of the limits of tenants.
    pub limits: RateLimits,
    /// Turns seen lately.
    pub turns: RefCell<TurnCache>,
    /// Whether keys that are known are still in force.
    pub keys: KeyProof,
    /// Engines that warm up.
    pub warm_ups: WarmUpCare,
    /// Zones whose engines get nothing more.
    pub drains: ZoneDrainWatch,
    /// Metrics.
    pub metrics: GatewayMetrics,
    /// Version of the configuration whose residencies were told last.
    checked_version: Cell<u64>,
    body_bytes: Cell<usize>,
    max_body_bytes: usize,
    open: Cell<usize>,
    draining: Cell<bool>,
}

/// Room for the body of one request; given back when dropped.
pub struct BodyRoom {
    gateway: Rc<Gateway>,
    bytes: usize,
}

impl Drop for BodyRoom {
    fn drop(&mut self) {
        let taken = &self.gateway.body_bytes;
        taken.set(taken.get().saturating_sub(self.bytes));
    }
}

/// A request that is open; closed when dropped.
pub struct OpenRequest(Rc<Gateway>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get().saturating_sub(1));
        self.0.metrics.open_requests.dec();
    }
}

impl Gateway {
    /// A gateway on this node.
    pub fn new(node: Rc<Node>, metrics: GatewayMetrics) -> Rc<Self> {
        let memory = node.settings.limits.memory_mb * BYTES_PER_MB;
        let records = Rc::new(RecordsClient::new(Rc::clone(&node)));
        let limits = RateLimits::new(Rc::clone(&node), Rc::clone(&records.paths));
        let bound = node.settings.bounds.key_removal();
        let keys = KeyProof::new(Rc::clone(&node.view), bound);
        let warm_ups = WarmUpCare::new(Rc::clone(&node), metrics.warm_up.clone());
        let drains = ZoneDrainWatch::new(Rc::clone(&node));
        let ways = RegionLatencies::new(&node.regions, &node.settings.zone);
        Rc::new(Self {
            node,
            placement: RefCell::new(Placement::with_region_latencies(ways)),
            directory: RefCell::default(),
            split: RefCell::new(WeightedSplit::new(rand::random())),
            pool: EnginePool::default(),
            records,
            limits,
            turns: RefCell::new(TurnCache::new((memory / CACHE_SHARE) as usize)),
            keys,
            warm_ups,
            drains,
            metrics,
            checked_version: Cell::new(0),
            body_bytes: Cell::new(0),
            max_body_bytes: (memory / BODY_SHARE) as usize,
            open: Cell::new(0),
            draining: Cell::new(false),
        })
    }

    /// Time since the start of the process.
    pub fn now(&self) -> Duration {
        self.node.clock.now()
    }

    /// Whether routes and engines are known, and which of these get nothing.
    pub fn knows_traffic(&self) -> bool {
        let view = &self.node.view;
        view.version() > 0 && view.engines_known() && self.drains.are_known()
    }

    /// Whether the platform should send new clients here.
    pub fn is_ready(&self) -> bool {
        !self.draining.get()
            && self.knows_traffic()
            && !self.records.is_mostly_lost()
            && !self.keys.are_in_doubt()
    }

    /// No new clients are wanted from now on.
    pub fn drain(&self) {
        self.draining.set(true);
    }

    /// Requests that are open.
    pub fn open_requests(&self) -> usize {
        self.open.get()
    }

    /// Counts a request as open.
    pub fn open(self: &Rc<Self>) -> OpenRequest {
        self.open.set(self.open.get() + 1);
        self.metrics.requests.inc();
        self.metrics.open_requests.inc();
        OpenRequest(Rc::clone(self))
    }

    /// Room for a body of so many bytes; `None` when open requests take all there is.
    pub fn body_room(self: &Rc<Self>, bytes: usize) -> Option<BodyRoom> {
        let taken = self.body_bytes.get() + bytes;
        if taken > self.max_body_bytes {
            return None;
        }
        self.body_bytes.set(taken);
        Some(BodyRoom {
            gateway: Rc::clone(self),
            bytes,
        })
    }

    /// The service of a route's next request.
    pub fn next_service(&self, route: &Route) -> Option<String> {
        let index = self.split.borrow_mut().next(route)?;
        route.services.get(index).map(|part| part.service.clone())
    }

    /// The engine that should get a request, and what the request is expected to lose there, in
    /// milliseconds.
    pub fn choose_engine(&self, demand: &PlacementRequest<'_>) -> Option<(Engine, f64)> {
        let now = self.now();
        let mut placement = self.placement.borrow_mut();
        self.node.view.with_engines(|table| {
            let choice = placement.choose(table, demand, now)?;
            Some((choice.engine.clone(), choice.cost_ms))
        })
    }

    /// Tells the directory node of a prompt that an engine is about to read it.
    pub fn publish_prefill(self: &Rc<Self>, engine: &Engine, parts: &[PromptPart]) {
        let read = PrefillRecord {
            engine: engine.key().0,
            parts: parts.to_vec(),
        };
        // Parts are named by clients, which must not tell of failures.
        if !read.is_failure() {
            self.tell(read);
        }
    }

    /// Tells the directory node of a prompt that an engine has failed it.
    pub fn tell_failed(self: &Rc<Self>, engine: &Engine, parts: &[PromptPart]) {
        if let Some(failed) = PrefillRecord::failed(engine.key().0, parts) {
            self.tell(failed);
        }
    }

    fn tell(self: &Rc<Self>, read: PrefillRecord) {
        if read.key().is_none() {
            return;
        }
        let gateway = Rc::clone(self);
        tokio::task::spawn_local(async move {
            if let Some(own) = gateway.node.gossip.publish_prefill(read).await {
                let now = gateway.now();
                gateway.directory.borrow_mut().insert(own, now);
            }
        });
    }

    /// Learns from directory nodes where a prompt was read last: the session's own part, and the one that
    /// it branches off from. Gives back the engine that failed it, if the last one did.
    pub async fn learn_reads(&self, parts: &[PromptPart]) -> Option<EngineKey> {
        let from = parts.len().saturating_sub(ASKED_PARTS).max(1);
        let asked = parts
            .iter()
            .skip(from)
            .map(|part| self.learn_read(part.hash));
        let failed = futures_util::future::join_all(asked).await;
        failed.into_iter().next_back()?
    }

    /// Learns where the prompt with this last part was read last; gives back the engine where that one failed it.
    pub async fn learn_read(&self, part: u64) -> Option<EngineKey> {
        let read = match self.node.gossip.directory_node(part) {
            Some(node) => self.node.gossip.query_prefill(node, part).await,
            None => self.find_read(part),
        };
        let read = read?;
        if read.is_failure() {
            return Some(EngineKey(read.engine));
        }
        self.placement.borrow_mut().on_prefill(&read);
        None
    }

    /// Notes how a request ended at an engine.
    pub fn on_outcome(&self, engine: EngineKey, outcome: Outcome) {
        let now = self.now();
        let mut placement = self.placement.borrow_mut();
        placement.on_outcome(engine, outcome, now);
    }

    /// Lets go of what is no longer needed, until the process ends.
    pub async fn clean_up(self: Rc<Self>) {
        let mut ticks = tokio::time::interval(TIDY_INTERVAL);
        loop {
            ticks.tick().await;
            self.tidy_once();
        }
    }

    /// Lets go of what is no longer needed now.
    pub fn tidy_once(&self) {
        let now = self.now();
        let mut placement = self.placement.borrow_mut();
        self.node.view.with_engines(|table| {
            placement.retain(table, now);
            self.pool.prune(table);
            for news in placement.failure_state_changes(table, now) {
                log::info!(
                    target: "belief",
                    engine = news.instance,
                    is_failing = news.is_failing,
                    failed = news.outcomes.failed,
                    ended = news.outcomes.ended;
                    "failures of an engine changed"
                );
            }
        });
        for (service, costs, samples) in placement.news() {
            log::info!(
                target: "belief",
                service:% = service,
                tokens_per_ms = costs.tokens_per_ms,
                share_ms = costs.share_ms,
                turn_ms = costs.turn_ms,
                samples = samples;
                "costs of a service changed"
            );
        }
        self.drains.tell_empty(&placement);
        for (region, round_ms) in placement.latency_changes() {
            log::info!(
                target: "belief",
                region = region.as_str(),
                round_ms = round_ms;
                "way to the engines of a region changed"
            );
        }
        self.turns.borrow_mut().expire(now);
        self.limits.clean_up();
        self.warm_ups.clean_up();
        if let Some(routes) = self.node.view.routes() {
            let mut split = self.split.borrow_mut();
            split.retain_routes(|name| routes.has_route(name));
            drop(split);
            self.check_residencies(&routes);
        }
    }

    /// Milliseconds since the configuration was confirmed, -1 when it never was.
    pub fn version_age_ms(&self) -> i64 {
        let age = self.node.view.confirmation_age();
        age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX))
    }

    /// Tells once for each configuration which routes and tenants are refused for their regions.
    fn check_residencies(&self, routes: &RouteTable) {
        if self.checked_version.replace(routes.version()) == routes.version() {
            return;
        }
        let faults = ResidencyFaults::of(routes, &self.node.regions);
        let count = i64::try_from(faults.count()).unwrap_or(i64::MAX);
        self.metrics.residency_faults.set(count);
        if count == 0 {
            return;
        }
        let some = |names: &BTreeSet<String>| {
            let some: Vec<&str> = names.iter().take(TOLD_NAMES).map(String::as_str).collect();
            some.join(",")
        };
        log::warn!(
            target: "belief",
            version = routes.version(),
            routes = some(&faults.routes).as_str(),
            tenants = some(&faults.tenants).as_str(),
            keeping_turns = some(&faults.keeping).as_str(),
            count = count;
            "routes or tenants cannot be served in their regions"
        );
    }

    /// Brings the gauges up to date.
    pub fn update_gauges(&self) {
        let view = &self.node.view;
        let metrics = &self.metrics;
        let whole = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        metrics.configuration_version.set(whole(view.version()));
        let age = view
            .confirmation_age()
            .map_or(-1, |age| whole(age.as_secs()));
        metrics.configuration_age_seconds.set(age);
        let engines = view.with_engines(|table| table.len() as u64);
        metrics.engines.set(whole(engines));
        let unreadable = view.unreadable_engines() as u64;
        metrics.unreadable_engines.set(whole(unreadable));
        self.drains.update_gauges(&self.placement.borrow(), metrics);
        metrics.replica_set_epoch.set(whole(view.epoch().0));
        let store = &self.node.store;
        metrics.store_calls.set(whole(store.calls()));
        metrics.store_checks.set(whole(store.checks()));
        metrics.silent_watches.set(whole(store.silent_watches()));
        let silent_links = self.node.links.replaced();
        metrics.silent_links.set(whole(silent_links));
    }
}

impl GossipSources for Gateway {
    fn load(&self) -> LoadReport {
        let placement = self.placement.borrow();
        let report = placement.report(self.now());
        let open = report.open.into_iter();
        LoadReport {
            open: open.map(|(key, own)| (key.0, own)).collect(),
            suspects: report.suspects,
            services: placement.summaries(),
        }
    }

    fn replica(&self) -> Option<ReplicaStatus> {
        None
    }

    fn on_load(&self, from: &str, load: LoadReport) {
        let now = self.now();
        let open = load
            .open
            .into_iter()
            .map(|(key, own)| (EngineKey(key), own));
        let mut placement = self.placement.borrow_mut();
        let report = GatewayReport {
            open: open.collect(),
            suspects: load.suspects,
        };
        placement.on_report(from, report, now);
        placement.on_summaries(load.services);
    }

    fn on_prefill(&self, read: PrefillRecord) {
        let now = self.now();
        if !read.is_failure() {
            self.placement.borrow_mut().on_prefill(&read);
        }
        self.directory.borrow_mut().insert(read, now);
    }

    fn find_read(&self, part: u64) -> Option<PrefillRecord> {
        let directory = self.directory.borrow();
        directory.find(part, self.now()).cloned()
    }
}

impl PeerService for Gateway {
    fn on_request(&self, request: PeerRequest, reply: oneshot::Sender<PeerReply>) {
        if let PeerRequest::Relay(passed) = request {
            self.metrics.passed_on.inc();
            pass_on(&self.node, &self.records.paths, *passed, reply);
            return;
        }
        let answer = self.node.answer(&request);
        // Whoever asked may have given up.
        let _ = reply.send(answer);
    }
}
