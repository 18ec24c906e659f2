//! State shared by all requests of a gateway.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_resident::node::Node;
use ridgeworks_resident::peer::{
    ExtensionReply, ExtensionRequest, GossipSources, LoadReport, PeerReply, PeerRequest,
    PeerService, ReplicaStatus,
};
use ridgeworks_routing::{
    Engine, EngineKey, FreshConfiguration, GatewayReport, Outcome, Placement, PlacementRequest,
    PrefillDirectory, PrefillRecord, PromptPart, Refusal, RefusalReason, RegionLatencies,
    ResidencyFaults, Route, RouteTable, SoftwareHistory, WeightedSplit,
};
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::connection_pool::ConnectionPool;
use crate::end_ages::EndAges;
use crate::exchange::END_LIFETIME;
use crate::key_freshness::KeyFreshness;
use crate::memory_budget::MemoryBudget;
use crate::metrics::GatewayMetrics;
use crate::node_network::relay_request;
use crate::open_permits::OpenPermits;
use crate::rate_limits::RateLimits;
use crate::readiness::{Lack, ReadinessLog};
use crate::records_client::RecordsClient;
use crate::refusal::RETRY_AFTER;
use crate::seen_ends::SeenEnds;
use crate::stop::Stop;
use crate::turn_cache::TurnCache;
use crate::warm_ups::WarmUpAdmission;
use crate::witness_roster::WitnessRoster;
use crate::witnessed_ledgers::WitnessedLedgers;
use crate::zone_drains::ZoneDrainWatch;

/// The turn cache is limited to the process's memory limit divided by this.
const TURN_CACHE_MEMORY_DIVISOR: u64 = 8;
/// The bodies of open requests are limited to the process's memory limit divided by this.
const REQUEST_MEMORY_DIVISOR: u64 = 4;
/// What is held of engines' answers is limited to the process's memory limit divided by this.
const RESPONSE_MEMORY_DIVISOR: u64 = 6;
/// Number of prompt parts, counted from the end, that are looked up at directory nodes.
const MAX_LOOKUP_PARTS: usize = 2;
/// Maximum number of names in a list in a log line.
const MAX_LOGGED_NAMES: usize = 5;
const BYTES_PER_MB: u64 = 1024 * 1024;
/// Interval of [`Gateway::run_maintenance_once`].
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);

/// Shared state of one gateway process.
pub struct Gateway {
    /// The node that this gateway runs on.
    pub node: Rc<Node>,
    /// Estimated load and prompt caches of the engines.
    pub placement: RefCell<Placement>,
    /// For each prompt whose directory node is this gateway: the engine that last prefilled it or
    /// failed to process it.
    pub directory: RefCell<PrefillDirectory>,
    /// Weighted split of each route's requests among its services.
    pub split: RefCell<WeightedSplit>,
    /// Idle connections to engines.
    pub pool: ConnectionPool,
    /// Client of the replicated ledgers and turn records.
    pub records: Rc<RecordsClient>,
    /// Rate limits of tenants.
    pub limits: RateLimits,
    /// Recently read and written turns.
    pub turns: RefCell<TurnCache>,
    /// Whether the known API keys are recent enough to be trusted.
    pub keys: KeyFreshness,
    /// Admission of requests to engines that are warming up.
    pub warm_ups: WarmUpAdmission,
    /// Drained zones, whose engines get no new requests.
    pub drains: ZoneDrainWatch,
    /// Software versions that the engines had lately.
    pub software_history: RefCell<SoftwareHistory>,
    /// Engines that ended under requests of this gateway.
    pub engine_ends: RefCell<SeenEnds>,
    /// Sends and ends of engines that this gateway witnesses while no majority of the replicas answers.
    pub witnessed: RefCell<WitnessedLedgers>,
    /// Whether the ends in the platform's store have been read since the start.
    pub stored_ends_read: watch::Sender<bool>,
    /// Ends that are being written to the platform's store.
    pub stored_end_writes: Cell<usize>,
    /// Other gateways that may know what was witnessed.
    pub witness_roster: RefCell<WitnessRoster>,
    /// When this gateway first read of engines' ends.
    pub end_ages: RefCell<EndAges>,
    /// Permits that other gateways left open.
    pub open_permits: RefCell<OpenPermits>,
    /// Permits of this gateway that are still to be settled.
    held_permits: Cell<usize>,
    /// Number of engines that are watched for a restart after a request to them failed.
    pub watched_engines: Cell<usize>,
    /// Metrics of this gateway.
    pub metrics: GatewayMetrics,
    /// Version of the configuration whose residency faults were logged last.
    logged_residency_version: Cell<u64>,
    /// Memory for the bodies of open requests.
    pub request_memory: Rc<MemoryBudget>,
    /// Memory for what is held of engines' answers.
    pub response_memory: Rc<MemoryBudget>,
    /// Whether and when the gateway stops.
    pub stop: Stop,
    /// Logs a gateway that is not ready for long.
    readiness_log: ReadinessLog,
    open: Cell<usize>,
    /// Client connections that brought a request and are open.
    used_connections: Cell<usize>,
}

/// Counts a request as open until it is dropped.
pub struct OpenRequestGuard(Rc<Gateway>);

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get().saturating_sub(1));
        self.0.metrics.open_requests.dec();
    }
}

/// Counts a permit as held until it is dropped.
pub struct HeldPermitGuard(Rc<Gateway>);

impl Drop for HeldPermitGuard {
    fn drop(&mut self) {
        let held = &self.0.held_permits;
        held.set(held.get().saturating_sub(1));
    }
}

/// Counts a client connection that brought a request until it is dropped.
pub struct UsedConnectionGuard(Rc<Gateway>);

impl Drop for UsedConnectionGuard {
    fn drop(&mut self) {
        let used = &self.0.used_connections;
        used.set(used.get().saturating_sub(1));
    }
}

impl Gateway {
    /// Creates a gateway on this node. It serves nothing before [`crate::listen`] is called.
    pub fn new(node: Rc<Node>, metrics: GatewayMetrics) -> Rc<Self> {
        let memory = node.settings.limits.memory_mb * BYTES_PER_MB;
        let written_back = metrics.ledger_entries_written_back.clone();
        let records = Rc::new(RecordsClient::new(Rc::clone(&node), written_back));
        let limits = RateLimits::new(Rc::clone(&node), Rc::clone(&records.paths));
        let bound = node.settings.bounds.key_removal();
        let keys = KeyFreshness::new(Rc::clone(&node.view), bound);
        let warm_ups = WarmUpAdmission::new(Rc::clone(&node), metrics.warm_up.clone());
        let drains = ZoneDrainWatch::new(Rc::clone(&node));
        let latencies = RegionLatencies::new(&node.regions, &node.settings.zone);
        Rc::new(Self {
            node,
            placement: RefCell::new(Placement::with_region_latencies(latencies)),
            directory: RefCell::default(),
            split: RefCell::new(WeightedSplit::new(rand::random())),
            pool: ConnectionPool::default(),
            records,
            limits,
            turns: RefCell::new(TurnCache::new(
                (memory / TURN_CACHE_MEMORY_DIVISOR) as usize,
            )),
            keys,
            warm_ups,
            drains,
            software_history: RefCell::default(),
            engine_ends: RefCell::new(SeenEnds::new(END_LIFETIME)),
            witnessed: RefCell::new(WitnessedLedgers::new(END_LIFETIME)),
            stored_ends_read: watch::Sender::new(false),
            stored_end_writes: Cell::new(0),
            witness_roster: RefCell::new(WitnessRoster::new(END_LIFETIME)),
            end_ages: RefCell::new(EndAges::new(END_LIFETIME)),
            open_permits: RefCell::new(OpenPermits::default()),
            held_permits: Cell::new(0),
            watched_engines: Cell::new(0),
            metrics,
            logged_residency_version: Cell::new(0),
            request_memory: MemoryBudget::new((memory / REQUEST_MEMORY_DIVISOR) as usize),
            response_memory: MemoryBudget::new((memory / RESPONSE_MEMORY_DIVISOR) as usize),
            stop: Stop::default(),
            readiness_log: ReadinessLog::default(),
            open: Cell::new(0),
            used_connections: Cell::new(0),
        })
    }

    /// Time since the start of the process.
    pub fn now(&self) -> Duration {
        self.node.clock.now()
    }

    /// Whether routes and engines are known, and zone drains are known or need no longer be waited
    /// for.
    pub fn has_routing_state(&self) -> bool {
        let mut conditions = self.routing_lacks().into_iter();
        conditions.all(|(_, is_lacking)| !is_lacking)
    }

    /// What of the routing state may be lacking, and whether it is.
    fn routing_lacks(&self) -> [(Lack, bool); 3] {
        let view = &self.node.view;
        [
            (Lack::Configuration, view.version() == 0),
            (Lack::Engines, !view.engines_known()),
            (Lack::ZoneDrains, !self.drains.are_known_or_overdue()),
        ]
    }

    /// What this gateway lacks to be ready; nothing if it is.
    pub fn lacks(&self) -> Vec<Lack> {
        let conditions = [
            (Lack::Stop, self.stop.has_begun()),
            (Lack::Majorities, self.records.has_lost_most_majorities()),
            (Lack::Keys, self.keys.blocks_requests()),
        ];
        let conditions = self.routing_lacks().into_iter().chain(conditions);
        let lacking = conditions.filter(|(_, is_lacking)| *is_lacking);
        lacking.map(|(lack, _)| lack).collect()
    }

    /// Whether the deployment is known to have no replicas. False as long as that is not known, so that a gateway that has just
    /// started waits for them instead of doing without.
    pub fn has_no_replicas(&self) -> bool {
        self.node.gossip.has_no_replicas()
    }

    /// Whether the platform may send new clients here; the readiness endpoint reports it.
    pub fn is_ready(&self) -> bool {
        self.lacks().is_empty()
    }

    /// Number of open requests.
    pub fn open_requests(&self) -> usize {
        self.open.get()
    }

    /// Number of open client connections that brought a request. Once the stop has begun, each of them ends when its client has been
    /// sent the answer.
    pub fn used_connections(&self) -> usize {
        self.used_connections.get()
    }

    /// Number of permits of this gateway that are still to be settled.
    pub fn held_permits(&self) -> usize {
        self.held_permits.get()
    }

    /// Counts a permit as held until the guard is dropped.
    pub fn hold_permit(self: &Rc<Self>) -> HeldPermitGuard {
        self.held_permits.set(self.held_permits.get() + 1);
        HeldPermitGuard(Rc::clone(self))
    }

    /// Counts a client connection that brought a request until the guard is dropped.
    pub fn track_connection(self: &Rc<Self>) -> UsedConnectionGuard {
        self.used_connections.set(self.used_connections.get() + 1);
        UsedConnectionGuard(Rc::clone(self))
    }

    /// Counts a request as open until the guard is dropped.
    pub fn track_request(self: &Rc<Self>) -> OpenRequestGuard {
        self.open.set(self.open.get() + 1);
        self.metrics.requests.inc();
        self.metrics.open_requests.inc();
        OpenRequestGuard(Rc::clone(self))
    }

    /// The proof that the configuration in force is the newest one, or the refusal of a request that only a newer one may allow.
    pub fn fresh_configuration(&self) -> Result<FreshConfiguration, Refusal> {
        let bound = self.node.settings.bounds.configuration();
        let fresh = FreshConfiguration::of_age(self.node.view.confirmation_age(), bound);
        let reason = RefusalReason::ConfigurationStale;
        fresh.ok_or(Refusal::retry_later(reason, RETRY_AFTER))
    }

    /// Selects the service for the route's next request; `None` when the route has no service.
    pub fn next_service(&self, route: &Route) -> Option<String> {
        let index = self.split.borrow_mut().next(route)?;
        route.services.get(index).map(|part| part.service.clone())
    }

    /// The engine with the lowest expected cost, and that cost in milliseconds. `None` when no
    /// engine may get the request.
    pub fn choose_engine(&self, placement_request: &PlacementRequest<'_>) -> Option<(Engine, f64)> {
        let now = self.now();
        let mut placement = self.placement.borrow_mut();
        self.node.view.with_engines(|table| {
            let choice = placement.choose(table, placement_request, now)?;
            Some((choice.engine.clone(), choice.cost_ms))
        })
    }

    /// The engine with the fewest requests in flight, and its expected cost in milliseconds.
    pub fn choose_idlest_engine(
        &self,
        placement_request: &PlacementRequest<'_>,
    ) -> Option<(Engine, f64)> {
        let now = self.now();
        let mut placement = self.placement.borrow_mut();
        self.node.view.with_engines(|table| {
            let choice = placement.choose_idlest(table, placement_request, now)?;
            Some((choice.engine.clone(), choice.cost_ms))
        })
    }

    /// Tells the directory node of a prompt that `engine` is about to prefill it.
    pub fn publish_prefill(self: &Rc<Self>, engine: &Engine, parts: &[PromptPart]) {
        let record = PrefillRecord {
            engine: engine.key().0,
            parts: parts.to_vec(),
        };
        // Clients choose the hashes of parts, and must not be able to report failures with them.
        if !record.is_failure() {
            self.publish_record(record);
        }
    }

    /// Tells the directory node of a prompt that `engine` failed to process it.
    pub fn publish_failure(self: &Rc<Self>, engine: &Engine, parts: &[PromptPart]) {
        if let Some(failed) = PrefillRecord::failed(engine.key().0, parts) {
            self.publish_record(failed);
        }
    }

    fn publish_record(self: &Rc<Self>, record: PrefillRecord) {
        if record.key().is_none() {
            return;
        }
        let gateway = Rc::clone(self);
        tokio::task::spawn_local(async move {
            if let Some(local_record) = gateway.node.gossip.publish_prefill(record).await {
                let now = gateway.now();
                gateway.directory.borrow_mut().insert(local_record, now);
            }
        });
    }

    /// Looks up, at their directory nodes, which engines last prefilled the last two parts of a
    /// prompt (never the first part): the session's own part and the part that it branches off
    /// from. Returns the engine that failed the last part, if any.
    pub async fn look_up_prefills(&self, parts: &[PromptPart]) -> Option<EngineKey> {
        let from = parts.len().saturating_sub(MAX_LOOKUP_PARTS).max(1);
        let lookups = parts
            .iter()
            .skip(from)
            .map(|part| self.look_up_prefill(part.hash));
        let failed = futures_util::future::join_all(lookups).await;
        failed.into_iter().next_back()?
    }

    /// Asks the directory node which engine last prefilled the prompt that ends with the part
    /// that has this hash. Returns that engine if it failed the prompt.
    pub async fn look_up_prefill(&self, part_hash: u64) -> Option<EngineKey> {
        let record = match self.node.gossip.directory_node(part_hash) {
            Some(node) => self.node.gossip.query_prefill(node, part_hash).await,
            None => self.find_prefill(part_hash),
        };
        let record = record?;
        if record.is_failure() {
            return Some(EngineKey(record.engine));
        }
        self.placement.borrow_mut().on_prefill(&record);
        None
    }

    /// Records how a request ended at an engine.
    pub fn on_outcome(&self, engine: EngineKey, outcome: Outcome) {
        let now = self.now();
        let mut placement = self.placement.borrow_mut();
        placement.on_outcome(engine, outcome, now);
    }

    /// Runs [`Self::run_maintenance_once`] at a fixed interval until the process ends.
    pub async fn run_maintenance(self: Rc<Self>) {
        let mut ticks = tokio::time::interval(MAINTENANCE_INTERVAL);
        loop {
            ticks.tick().await;
            self.run_maintenance_once();
        }
    }

    /// Drops state that is no longer needed, and logs changed estimates.
    pub fn run_maintenance_once(&self) {
        let now = self.now();
        let mut placement = self.placement.borrow_mut();
        self.node.view.with_engines(|table| {
            placement.retain(table, now);
            self.pool.prune(table);
            if self.node.view.engines_known() {
                self.software_history.borrow_mut().observe(table, now);
            }
            for change in placement.failure_state_changes(table, now) {
                log::info!(
                    target: "belief",
                    engine = change.instance,
                    is_failing = change.is_failing,
                    failed = change.outcomes.failed,
                    ended = change.outcomes.ended;
                    "failure state of an engine changed"
                );
            }
        });
        for (service, costs, samples) in placement.cost_changes() {
            log::info!(
                target: "belief",
                service:% = service,
                tokens_per_ms = costs.prefill_tokens_per_ms,
                share_ms = costs.slowdown_ms,
                turn_ms = costs.request_ms,
                samples = samples;
                "cost estimates of a service changed"
            );
        }
        self.drains.log_emptied_zones(&placement);
        for (region, round_ms) in placement.latency_changes() {
            log::info!(
                target: "belief",
                region = region.as_str(),
                round_ms = round_ms;
                "estimated round-trip time to the engines of a region changed"
            );
        }
        self.turns.borrow_mut().expire(now);
        self.witnessed.borrow_mut().expire(now);
        self.update_witness_roster();
        self.limits.remove_expired();
        self.warm_ups.update();
        self.readiness_log.update(self);
        if let Some(routes) = self.node.view.routes() {
            let mut split = self.split.borrow_mut();
            split.retain_routes(|name| routes.has_route(name));
            drop(split);
            self.log_residency_faults(&routes);
        }
    }

    /// Milliseconds since the configuration was last confirmed to be the newest, -1 when it never
    /// was.
    pub fn version_age_ms(&self) -> i64 {
        let age = self.node.view.confirmation_age();
        age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX))
    }

    /// Logs once per configuration version the routes and tenants that no region may serve.
    fn log_residency_faults(&self, routes: &RouteTable) {
        if self.logged_residency_version.replace(routes.version()) == routes.version() {
            return;
        }
        let faults = ResidencyFaults::of(routes, &self.node.regions);
        let count = i64::try_from(faults.count()).unwrap_or(i64::MAX);
        self.metrics.residency_faults.set(count);
        if count == 0 {
            return;
        }
        let join_names = |names: &BTreeSet<String>| {
            let logged: Vec<&str> = names
                .iter()
                .take(MAX_LOGGED_NAMES)
                .map(String::as_str)
                .collect();
            logged.join(",")
        };
        log::warn!(
            target: "belief",
            version = routes.version(),
            routes = join_names(&faults.routes).as_str(),
            tenants = join_names(&faults.tenants).as_str(),
            keeping_turns = join_names(&faults.partly_allowed_turn_routes).as_str(),
            count = count;
            "routes or tenants cannot be served in their regions"
        );
    }

    /// Sets the gauges that are computed when metrics are scraped.
    pub fn update_gauges(&self) {
        let view = &self.node.view;
        let metrics = &self.metrics;
        let to_gauge = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        metrics.configuration_version.set(to_gauge(view.version()));
        let age = view
            .confirmation_age()
            .map_or(-1, |age| to_gauge(age.as_secs()));
        metrics.configuration_age_seconds.set(age);
        let engines = view.with_engines(|table| table.len() as u64);
        metrics.engines.set(to_gauge(engines));
        let unreadable = view.unreadable_engines() as u64;
        metrics.unreadable_engines.set(to_gauge(unreadable));
        self.drains.update_gauges(&self.placement.borrow(), metrics);
        metrics.replica_set_epoch.set(to_gauge(view.epoch().0));
        let store = &self.node.store;
        metrics.store_calls.set(to_gauge(store.calls()));
        metrics.store_checks.set(to_gauge(store.probes()));
        metrics.silent_watches.set(to_gauge(store.silent_watches()));
        let silent_links = self.node.links.replaced();
        metrics.silent_links.set(to_gauge(silent_links));
    }
}

impl GossipSources for Gateway {
    fn load_report(&self) -> LoadReport {
        let placement = self.placement.borrow();
        let report = placement.report(self.now());
        let in_flight = report.in_flight.into_iter();
        LoadReport {
            open: in_flight.map(|(key, own)| (key.0, own)).collect(),
            suspects: report.suspects,
            services: placement.summaries(),
        }
    }

    fn replica(&self) -> Option<ReplicaStatus> {
        None
    }

    fn on_load_report(&self, from: &str, load: LoadReport) {
        let now = self.now();
        let in_flight = load
            .open
            .into_iter()
            .map(|(key, own)| (EngineKey(key), own));
        let mut placement = self.placement.borrow_mut();
        let report = GatewayReport {
            in_flight: in_flight.collect(),
            suspects: load.suspects,
        };
        placement.on_report(from, report, now);
        placement.on_summaries(load.services);
    }

    fn on_prefill(&self, record: PrefillRecord) {
        let now = self.now();
        if !record.is_failure() {
            self.placement.borrow_mut().on_prefill(&record);
        }
        self.directory.borrow_mut().insert(record, now);
    }

    fn find_prefill(&self, part_hash: u64) -> Option<PrefillRecord> {
        let directory = self.directory.borrow();
        directory.find(part_hash, self.now()).cloned()
    }
}

impl PeerService for Gateway {
    fn on_request(&self, request: PeerRequest, reply: oneshot::Sender<PeerReply>) {
        if let PeerRequest::Relay(relayed) = request {
            self.metrics.relayed_requests.inc();
            relay_request(&self.node, &self.records.paths, *relayed, reply);
            return;
        }
        let answer = match &request {
            PeerRequest::Extension(ExtensionRequest::Witness(witness)) => {
                PeerReply::Extension(ExtensionReply::Witness(self.on_witness_request(witness)))
            }
            _ => self.node.answer(&request),
        };
        // The receiver is gone when the requester has given up.
        let _ = reply.send(answer);
    }
}
