//! Counters and histograms of a gateway.

use std::collections::HashMap;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use ridgeworks_routing::{Engine, RefusalReason};

/// Upper bounds of the classes of times, in seconds.
const TIME_BOUNDS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 15.0,
];

/// Label of counters by reason.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabel {
    /// Why.
    pub reason: &'static str,
}

/// Label of counters by service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabel {
    /// Name of the service.
    pub service: String,
}

impl ServiceLabel {
    fn of(service: &str) -> Self {
        Self {
            service: service.to_owned(),
        }
    }
}

/// Metrics of engines that warm up.
#[derive(Debug, Clone, Default)]
pub struct WarmUpMetrics {
    /// Engines that warm up.
    pub warming: Family<ServiceLabel, Gauge>,
    /// Questions for grants.
    pub asked: Family<ServiceLabel, Counter>,
    /// Requests that used a grant.
    pub granted: Family<ServiceLabel, Counter>,
    /// Requests that passed an engine over.
    pub withheld: Family<ServiceLabel, Counter>,
}

impl WarmUpMetrics {
    fn register(&self, registry: &mut Registry) {
        let help = "Engines that warm up, by service";
        registry.register("warming_engines", help, self.warming.clone());
        let counters = [
            (
                "warm_up_questions",
                "Questions for grants for engines that warm up, by service",
                &self.asked,
            ),
            (
                "warm_up_sends",
                "Requests that went to engines that warm up, by service",
                &self.granted,
            ),
            (
                "warm_up_withheld",
                "Requests that passed over an engine that warms up, by service",
                &self.withheld,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
    }

    /// Counts a question for a grant.
    pub fn on_asked(&self, service: &str) {
        self.asked.get_or_create(&ServiceLabel::of(service)).inc();
    }

    /// Counts a request with a grant.
    pub fn on_granted_send(&self, service: &str) {
        self.granted.get_or_create(&ServiceLabel::of(service)).inc();
    }

    /// Counts a request that got no grant.
    pub fn on_withheld(&self, service: &str) {
        self.withheld
            .get_or_create(&ServiceLabel::of(service))
            .inc();
    }

    /// Sets how many engines of each service warm up.
    pub fn set_warming(&self, warming: &HashMap<&str, u64>) {
        // A service may have lost its limit.
        self.warming.clear();
        for (service, count) in warming {
            let count = i64::try_from(*count).unwrap_or(i64::MAX);
            let gauge = self.warming.get_or_create(&ServiceLabel::of(service));
            gauge.set(count);
        }
    }
}

/// Label of metrics by zone and service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ZoneServiceLabel {
    /// The engines' zone.
    pub zone: String,
    /// The engines' service.
    pub service: String,
}

impl ZoneServiceLabel {
    /// Of an engine.
    pub fn of(engine: &Engine) -> Self {
        Self {
            zone: engine.zone.clone(),
            service: engine.service.clone(),
        }
    }
}

/// All metrics of a gateway.
pub struct GatewayMetrics {
    /// Requests taken.
    pub requests: Counter,
    /// Requests that are open.
    pub open_requests: Gauge,
    /// Requests by how they ended.
    pub ended: Family<ReasonLabel, Counter>,
    /// Requests refused, by reason.
    pub refused: Family<ReasonLabel, Counter>,
    /// Attempts at engines that did not succeed, by reason.
    pub failed_attempts: Family<ReasonLabel, Counter>,
    /// Of engines that warm up.
    pub warm_up: WarmUpMetrics,
    /// New connections to engines.
    pub engine_connections: Counter,
    /// Requests passed on to replicas for other gateways.
    pub passed_on: Counter,
    /// Time to reserve tokens.
    pub reserve_seconds: Histogram,
    /// Time to read earlier turns.
    pub chain_read_seconds: Histogram,
    /// Time to write the record of a turn.
    pub append_seconds: Histogram,
    /// Time from the request to the first event.
    pub first_event_seconds: Histogram,
    /// Time from the request to the end of its answer.
    pub request_seconds: Histogram,
    /// Time to connect to an engine.
    pub connect_seconds: Histogram,
    /// Version of the configuration in force.
    pub configuration_version: Gauge,
    /// Seconds since the configuration was confirmed as the newest one.
    pub configuration_age_seconds: Gauge,
    /// Routes and tenants that cannot be served in their regions.
    pub residency_faults: Gauge,
    /// Engines that are known.
    pub engines: Gauge,
    /// Entries of engines that cannot be read, where this gateway watches the store.
    pub unreadable_engines: Gauge,
    /// Zones that are drained.
    pub drained_zones: Gauge,
    /// Engines that get nothing because their zone is drained.
    pub drained_engines: Family<ZoneServiceLabel, Gauge>,
    /// Requests that are open at them.
    pub drained_requests: Family<ZoneServiceLabel, Gauge>,
    /// Requests whose engine was chosen, and that were not sent since the engine got nothing any more by then, for whatever reason.
    pub withheld: Family<ZoneServiceLabel, Counter>,
    /// Epoch of the replica set.
    pub replica_set_epoch: Gauge,
    /// Calls to the platform's store.
    pub store_calls: Gauge,
    /// Calls beside a watch that said nothing.
    pub store_checks: Gauge,
    /// Watches that had missed changes.
    pub silent_watches: Gauge,
    /// Links to other nodes that were replaced because they were silent.
    pub silent_links: Gauge,
}

fn times() -> Histogram {
    Histogram::new(TIME_BOUNDS)
}

impl GatewayMetrics {
    /// Registers all metrics.
    pub fn register(registry: &mut Registry) -> Self {
        let metrics = Self {
            requests: Counter::default(),
            open_requests: Gauge::default(),
            ended: Family::default(),
            refused: Family::default(),
            failed_attempts: Family::default(),
            warm_up: WarmUpMetrics::default(),
            engine_connections: Counter::default(),
            passed_on: Counter::default(),
            reserve_seconds: times(),
            chain_read_seconds: times(),
            append_seconds: times(),
            first_event_seconds: times(),
            request_seconds: times(),
            connect_seconds: times(),
            configuration_version: Gauge::default(),
            configuration_age_seconds: Gauge::default(),
            residency_faults: Gauge::default(),
            engines: Gauge::default(),
            unreadable_engines: Gauge::default(),
            drained_zones: Gauge::default(),
            drained_engines: Family::default(),
            drained_requests: Family::default(),
            withheld: Family::default(),
            replica_set_epoch: Gauge::default(),
            store_calls: Gauge::default(),
            store_checks: Gauge::default(),
            silent_watches: Gauge::default(),
            silent_links: Gauge::default(),
        };
        metrics.register_requests(registry);
        metrics.warm_up.register(registry);
        metrics.register_times(registry);
        metrics.register_beliefs(registry);
        metrics.register_drains(registry);
        metrics
    }

    fn register_requests(&self, registry: &mut Registry) {
        let requests = self.requests.clone();
        registry.register("requests", "Requests taken", requests);
        let open = self.open_requests.clone();
        registry.register("open_requests", "Requests that are open", open);
        let ended = self.ended.clone();
        registry.register("requests_ended", "Requests by how they ended", ended);
        let refused = self.refused.clone();
        registry.register("requests_refused", "Requests refused, by reason", refused);
        let failed = self.failed_attempts.clone();
        let help = "Attempts at engines that did not succeed, by reason";
        registry.register("attempts_failed", help, failed);
        let connections = self.engine_connections.clone();
        registry.register(
            "engine_connections",
            "New connections to engines",
            connections,
        );
        let passed_on = self.passed_on.clone();
        let help = "Requests passed on to replicas for other gateways";
        registry.register("replica_requests_passed_on", help, passed_on);
    }

    fn register_times(&self, registry: &mut Registry) {
        let histograms = [
            (
                "reserve_seconds",
                "Time to reserve tokens",
                &self.reserve_seconds,
            ),
            (
                "chain_read_seconds",
                "Time to read earlier turns at replicas",
                &self.chain_read_seconds,
            ),
            (
                "append_seconds",
                "Time to write the record of a turn",
                &self.append_seconds,
            ),
            (
                "first_event_seconds",
                "Time from the request to the first event",
                &self.first_event_seconds,
            ),
            (
                "request_seconds",
                "Time from the request to the end of its answer",
                &self.request_seconds,
            ),
            (
                "engine_connect_seconds",
                "Time to connect to an engine",
                &self.connect_seconds,
            ),
        ];
        for (name, help, histogram) in histograms {
            registry.register(name, help, histogram.clone());
        }
    }

    fn register_beliefs(&self, registry: &mut Registry) {
        let gauges = [
            (
                "configuration_version",
                "Version of the configuration in force",
                &self.configuration_version,
            ),
            (
                "configuration_age_seconds",
                "Seconds since the configuration was confirmed as the newest one",
                &self.configuration_age_seconds,
            ),
            (
                "residency_faults",
                "Routes and tenants that cannot be served in their regions",
                &self.residency_faults,
            ),
            ("engines", "Engines that are known", &self.engines),
            (
                "unreadable_engines",
                "Entries of engines that cannot be read, where this gateway watches the store",
                &self.unreadable_engines,
            ),
            (
                "replica_set_epoch",
                "Epoch of the replica set",
                &self.replica_set_epoch,
            ),
            (
                "store_calls",
                "Calls to the platform's store so far",
                &self.store_calls,
            ),
            (
                "store_checks",
                "Calls to the platform's store beside a watch that said nothing, so far",
                &self.store_checks,
            ),
            (
                "silent_watches",
                "Watches of the platform's store that had missed changes, so far",
                &self.silent_watches,
            ),
            (
                "silent_links",
                "Links to other nodes that were replaced because they were silent, so far",
                &self.silent_links,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
    }

    fn register_drains(&self, registry: &mut Registry) {
        let zones = self.drained_zones.clone();
        registry.register("drained_zones", "Zones that are drained", zones);
        let engines = self.drained_engines.clone();
        let help = "Engines that get nothing because their zone is drained";
        registry.register("drained_engines", help, engines);
        let requests = self.drained_requests.clone();
        let help = "Requests of this gateway that are open at engines of drained zones";
        registry.register("drained_requests", help, requests);
        let withheld = self.withheld.clone();
        let help = "Requests not sent since their engine got nothing any more after the choice";
        registry.register("sends_withheld", help, withheld);
    }

    /// Counts a request that was not sent to the engine that had been chosen.
    pub fn on_withheld(&self, engine: &Engine) {
        let label = ZoneServiceLabel::of(engine);
        self.withheld.get_or_create(&label).inc();
    }

    /// Counts a refusal.
    pub fn on_refused(&self, reason: RefusalReason) {
        let reason = reason.name();
        self.refused.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts the end of a request.
    pub fn on_ended(&self, reason: &'static str, taken: Duration) {
        self.ended.get_or_create(&ReasonLabel { reason }).inc();
        self.request_seconds.observe(taken.as_secs_f64());
    }

    /// Counts an attempt at an engine that did not succeed.
    pub fn on_failed_attempt(&self, reason: &'static str) {
        let label = ReasonLabel { reason };
        self.failed_attempts.get_or_create(&label).inc();
    }
}
