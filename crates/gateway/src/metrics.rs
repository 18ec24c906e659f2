//! Metrics of a gateway.

use std::collections::HashMap;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use ridgeworks_records::SendVerdict;
use ridgeworks_routing::{Engine, RefusalReason};

/// Upper bounds of histogram buckets, in seconds.
const TIME_BOUNDS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 15.0,
];

/// Label of metrics that are counted per reason or outcome.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabel {
    /// Name of a refusal reason, attempt failure or outcome.
    pub reason: &'static str,
}

/// Label of metrics that are counted per service of the engines.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabel {
    /// Service name, as in the configuration.
    pub service: String,
}

impl ServiceLabel {
    fn of(service: &str) -> Self {
        Self {
            service: service.to_owned(),
        }
    }
}

/// Metrics of warming engines.
#[derive(Debug, Clone, Default)]
pub struct WarmUpMetrics {
    /// Engines that are warming up.
    pub warming: Family<ServiceLabel, Gauge>,
    /// Requests for grants sent to limiters.
    pub grant_requests: Family<ServiceLabel, Counter>,
    /// Requests sent with a grant.
    pub granted_sends: Family<ServiceLabel, Counter>,
    /// Requests that passed over an engine for lack of a grant.
    pub passed_over: Family<ServiceLabel, Counter>,
}

impl WarmUpMetrics {
    fn register(&self, registry: &mut Registry) {
        let help = "Engines that warm up, by service";
        registry.register("warming_engines", help, self.warming.clone());
        let counters = [
            (
                "warm_up_questions",
                "Questions for grants for engines that warm up, by service",
                &self.grant_requests,
            ),
            (
                "warm_up_sends",
                "Requests that went to engines that warm up, by service",
                &self.granted_sends,
            ),
            (
                "warm_up_withheld",
                "Requests that passed over an engine that warms up, by service",
                &self.passed_over,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
    }

    /// Counts one request to a limiter.
    pub fn on_grant_requested(&self, service: &str) {
        self.grant_requests
            .get_or_create(&ServiceLabel::of(service))
            .inc();
    }

    /// Counts a request that is sent with a grant.
    pub fn on_granted_send(&self, service: &str) {
        self.granted_sends
            .get_or_create(&ServiceLabel::of(service))
            .inc();
    }

    /// Counts a request that passed over an engine because it got no grant.
    pub fn on_passed_over(&self, service: &str) {
        self.passed_over
            .get_or_create(&ServiceLabel::of(service))
            .inc();
    }

    /// Sets the number of warming engines of each service.
    pub fn set_warming(&self, warming: &HashMap<&str, u64>) {
        // Removes services that no longer have a limit.
        self.warming.clear();
        for (service, count) in warming {
            let count = i64::try_from(*count).unwrap_or(i64::MAX);
            let gauge = self.warming.get_or_create(&ServiceLabel::of(service));
            gauge.set(count);
        }
    }
}

/// Labels of metrics by an engine's zone and service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ZoneServiceLabel {
    /// Zone of the engines.
    pub zone: String,
    /// Service of the engines.
    pub service: String,
}

impl ZoneServiceLabel {
    /// The labels of an engine.
    pub fn of(engine: &Engine) -> Self {
        Self {
            zone: engine.zone.clone(),
            service: engine.service.clone(),
        }
    }
}

/// Metrics of one gateway. Gauges that mirror other state are set by
/// [`crate::Gateway::update_gauges`].
pub struct GatewayMetrics {
    /// Requests received.
    pub requests: Counter,
    /// Requests received that have not ended yet.
    pub open_requests: Gauge,
    /// Requests by outcome.
    pub ended: Family<ReasonLabel, Counter>,
    /// Refused requests by reason.
    pub refused: Family<ReasonLabel, Counter>,
    /// Connections of clients that failed, by reason.
    pub failed_client_connections: Family<ReasonLabel, Counter>,
    /// Failed attempts at engines by reason.
    pub failed_attempts: Family<ReasonLabel, Counter>,
    /// Streams that clients resumed, by whether they continued.
    pub resumed_streams: Family<ReasonLabel, Counter>,
    /// Engines that ended under requests of this gateway, by what showed it.
    pub engine_ends: Family<ReasonLabel, Counter>,
    /// Requests that were served although engines had ended under them.
    pub engine_ends_cleared: Counter,
    /// Turns that their program's budget did not hold at once, by what became of them.
    pub budget_waits: Family<ReasonLabel, Counter>,
    /// Sends that needed a permit, by the verdict.
    pub send_permits: Family<ReasonLabel, Counter>,
    /// Entries that other gateways were asked to witness, by outcome.
    pub witnessed: Family<ReasonLabel, Counter>,
    /// Streams that began without a record of their software version, by reason.
    pub unrecorded_streams: Family<ReasonLabel, Counter>,
    /// Metrics of warming engines.
    pub warm_up: WarmUpMetrics,
    /// Connections opened to engines.
    pub engine_connections: Counter,
    /// Entries of ledgers that replicas lacked and were written again.
    pub ledger_entries_written_back: Counter,
    /// Requests relayed to replicas for other gateways.
    pub relayed_requests: Counter,
    /// Time to reserve tokens.
    pub reserve_seconds: Histogram,
    /// Time to read earlier turns.
    pub chain_read_seconds: Histogram,
    /// Time to write the record of a turn.
    pub append_seconds: Histogram,
    /// Time from the request to the first event.
    pub first_event_seconds: Histogram,
    /// Time from the request to the end of its response.
    pub request_seconds: Histogram,
    /// Time to connect to an engine.
    pub connect_seconds: Histogram,
    /// Version of the current configuration, 0 when there is none.
    pub configuration_version: Gauge,
    /// Seconds since the configuration was confirmed as the newest one, -1 when it never was.
    pub configuration_age_seconds: Gauge,
    /// Routes and tenants that no region may serve.
    pub residency_faults: Gauge,
    /// Engines in the current engine list.
    pub engines: Gauge,
    /// Engine entries that cannot be parsed; counted only if this gateway watches the store.
    pub unreadable_engines: Gauge,
    /// Zones with a drain in force.
    pub drained_zones: Gauge,
    /// Engines excluded because their zone is drained.
    pub drained_engines: Family<ZoneServiceLabel, Gauge>,
    /// Requests of this gateway that are open at these engines.
    pub drained_requests: Family<ZoneServiceLabel, Gauge>,
    /// Requests that were not sent because their engine was excluded after it had been chosen.
    pub withheld: Family<ZoneServiceLabel, Counter>,
    /// Epoch of the replica sets.
    pub replica_set_epoch: Gauge,
    /// Calls to the platform's store.
    pub store_calls: Gauge,
    /// Answered calls to the store that check, beside an open watch, whether the watch has missed
    /// changes. Made after the known objects have been unconfirmed for too long.
    pub store_checks: Gauge,
    /// Watches for which such a check found missed changes.
    pub silent_watches: Gauge,
    /// Links to other nodes that were replaced because no data arrived.
    pub silent_links: Gauge,
}

fn time_histogram() -> Histogram {
    Histogram::new(TIME_BOUNDS)
}

impl GatewayMetrics {
    /// Creates the metrics and adds them to the registry.
    pub fn register(registry: &mut Registry) -> Self {
        let metrics = Self {
            requests: Counter::default(),
            open_requests: Gauge::default(),
            ended: Family::default(),
            refused: Family::default(),
            failed_client_connections: Family::default(),
            failed_attempts: Family::default(),
            resumed_streams: Family::default(),
            engine_ends: Family::default(),
            engine_ends_cleared: Counter::default(),
            budget_waits: Family::default(),
            send_permits: Family::default(),
            witnessed: Family::default(),
            unrecorded_streams: Family::default(),
            warm_up: WarmUpMetrics::default(),
            engine_connections: Counter::default(),
            ledger_entries_written_back: Counter::default(),
            relayed_requests: Counter::default(),
            reserve_seconds: time_histogram(),
            chain_read_seconds: time_histogram(),
            append_seconds: time_histogram(),
            first_event_seconds: time_histogram(),
            request_seconds: time_histogram(),
            connect_seconds: time_histogram(),
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
        metrics.register_state_gauges(registry);
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
        let failed = self.failed_client_connections.clone();
        let help = "Connections of clients that failed, by reason";
        registry.register("client_connections_failed", help, failed);
        let failed = self.failed_attempts.clone();
        let help = "Attempts at engines that did not succeed, by reason";
        registry.register("attempts_failed", help, failed);
        let resumed = self.resumed_streams.clone();
        let help = "Streams that clients resumed, by whether they continued";
        registry.register("streams_resumed", help, resumed);
        let ends = self.engine_ends.clone();
        let help = "Engines that ended under requests, by what showed it";
        registry.register("engine_ends", help, ends);
        let cleared = self.engine_ends_cleared.clone();
        let help = "Requests that were served although engines had ended under them";
        registry.register("engine_ends_cleared", help, cleared);
        let waits = self.budget_waits.clone();
        let help = "Turns that their program's budget did not hold at once, by what became of them";
        registry.register("budget_waits", help, waits);
        let permits = self.send_permits.clone();
        let help = "Sends of requests that may end engines, by whether they were permitted";
        registry.register("send_permits", help, permits);
        let witnessed = self.witnessed.clone();
        let help = "Entries that gateways were asked to witness while no majority of the replicas answered";
        registry.register("witnessed_entries", help, witnessed);
        let unrecorded = self.unrecorded_streams.clone();
        let help = "Streams that began without a record of their software version";
        registry.register("streams_unrecorded", help, unrecorded);
        let connections = self.engine_connections.clone();
        registry.register(
            "engine_connections",
            "New connections to engines",
            connections,
        );
        let written_back = self.ledger_entries_written_back.clone();
        let help = "Entries of ledgers that replicas lacked and were written again";
        registry.register("ledger_entries_written_back", help, written_back);
        let relayed_requests = self.relayed_requests.clone();
        let help = "Requests passed on to replicas for other gateways";
        registry.register("replica_requests_passed_on", help, relayed_requests);
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

    fn register_state_gauges(&self, registry: &mut Registry) {
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

    /// Counts a request withheld from the chosen engine.
    pub fn on_withheld(&self, engine: &Engine) {
        let label = ZoneServiceLabel::of(engine);
        self.withheld.get_or_create(&label).inc();
    }

    /// Counts a refused request.
    pub fn on_refused(&self, reason: RefusalReason) {
        let reason = reason.name();
        self.refused.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a failed connection of a client.
    pub fn on_failed_client_connection(&self, reason: &'static str) {
        let label = ReasonLabel { reason };
        self.failed_client_connections.get_or_create(&label).inc();
    }

    /// Counts the end of a request and observes its duration.
    pub fn on_ended(&self, reason: &'static str, taken: Duration) {
        self.ended.get_or_create(&ReasonLabel { reason }).inc();
        self.request_seconds.observe(taken.as_secs_f64());
    }

    /// Counts a stream that a client resumed.
    pub fn on_resumed_stream(&self, reason: &'static str) {
        let label = ReasonLabel { reason };
        self.resumed_streams.get_or_create(&label).inc();
    }

    /// Counts an engine that ended under a request.
    pub fn on_engine_end(&self, reason: &'static str) {
        let label = ReasonLabel { reason };
        self.engine_ends.get_or_create(&label).inc();
    }

    /// Counts a turn that its program's budget did not hold at once.
    pub fn on_budget_wait(&self, reason: &'static str) {
        let label = ReasonLabel { reason };
        self.budget_waits.get_or_create(&label).inc();
    }

    /// Counts a send that needed a permit.
    pub fn on_send_verdict(&self, verdict: SendVerdict) {
        let reason = match verdict {
            SendVerdict::Permitted => "permitted",
            SendVerdict::Unsettled => "tries_unsettled",
            SendVerdict::EndsEngines => "ends_engines",
        };
        let label = ReasonLabel { reason };
        self.send_permits.get_or_create(&label).inc();
    }

    /// Counts an entry that other gateways were asked to witness.
    pub fn on_witnessed(&self, reason: &'static str) {
        let label = ReasonLabel { reason };
        self.witnessed.get_or_create(&label).inc();
    }

    /// Counts a stream that begins without a record of its software version.
    pub fn on_unrecorded_stream(&self, reason: &'static str) {
        let label = ReasonLabel { reason };
        self.unrecorded_streams.get_or_create(&label).inc();
    }

    /// Counts a failed attempt at an engine.
    pub fn on_failed_attempt(&self, reason: &'static str) {
        let label = ReasonLabel { reason };
        self.failed_attempts.get_or_create(&label).inc();
    }
}
