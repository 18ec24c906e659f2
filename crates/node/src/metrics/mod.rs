//! Counters and gauges of all roles, and their Prometheus text.
//!
//! Roles count through typed handles. What other crates count is read at each request, and what
//! only the actor thread can see is copied here by its roles.

pub mod labels;
mod readings;

use std::fmt;
use std::hash::Hash;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Metric, Registry};
use ridgeworks_api::caller_error::ErrorMapping;
use ridgeworks_configuration::ConfigurationCounters;
use ridgeworks_domain::{Refusal, ServiceName};
use ridgeworks_http_edge::EdgeCounters;
use ridgeworks_link::LinkCounters;
use ridgeworks_membership::{Counters as MembershipCounters, Member, MemberState};
use ridgeworks_storage::StoreCounters;

use labels::{
    AttemptLabels, CallEndLabel, CallKind, CallKindLabels, CallLabels, CodeLabel, FenceLabels,
    MemberLabels, MemberStateLabel, RefusalLabels, RequestLabels, Route, ServiceLabels,
    StatusClass,
};
use readings::{NamedReading, Readings};

/// Media type of the text.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// How often roles publish what only the actor thread can see.
pub const PUBLISH_INTERVAL: Duration = Duration::from_secs(1);

const PREFIX: &str = "ridgeworks";
/// Upper bounds of the classes of times, in seconds: fine where the product promises milliseconds.
const TIME_BOUNDS: [f64; 16] = [
    0.001, 0.002, 0.003, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 15.0, 60.0, 300.0,
];

type Times<L> = Family<L, Histogram, fn() -> Histogram>;

/// All counters of a node.
pub struct Metrics {
    registry: Mutex<Registry>,
    published: Arc<Mutex<Published>>,
    requests: Family<RequestLabels, Counter>,
    refusals: Family<RefusalLabels, Counter>,
    calls: Family<CallLabels, Counter>,
    first_chunk_times: Times<CallKindLabels>,
    call_times: Times<CallKindLabels>,
    /// Streamed answers that have begun and not ended.
    pub open_streams: Gauge,
    /// Requests that wait in the gateway role.
    pub gateway_open: Gauge,
    /// Attempts by their end.
    pub attempts: Family<AttemptLabels, Counter>,
    /// Attempts under way.
    pub open_attempts: Gauge,
    /// Fences by what the back end answered.
    pub fences: Family<FenceLabels, Counter>,
    /// Runs that the owner role holds, taken over or being taken over.
    pub runs_owned: Gauge,
    /// Runs claimed from their replicas.
    pub takeovers: Counter,
    /// Runs given up because another node owns them.
    pub step_downs: Counter,
    /// Attempts cancelled in favour of urgent calls.
    pub preemptions: Counter,
    /// Runs that the replica role holds.
    pub replica_runs: Gauge,
    /// Requests of owners that the replica role took.
    pub replica_requests: Counter,
    /// Writes that the replica role handed to the store.
    pub replica_writes: Counter,
    queued: Family<ServiceLabels, Gauge>,
    in_flight: Family<ServiceLabels, Gauge>,
    grants: Family<ServiceLabels, Counter>,
    dispatcher_refusals: Family<ServiceLabels, Counter>,
    members: Family<MemberLabels, Gauge>,
    /// Revision of the configuration known last.
    pub configuration_revision: Gauge,
    /// 1 while the node can prove that its configuration is the newest, 0 otherwise.
    pub ready: Gauge,
    /// Nodes that renew their configuration lease with this one.
    pub configuration_clients: Gauge,
}

/// What only the actor thread can see.
#[derive(Debug, Default)]
struct Published {
    membership: MembershipCounters,
    configuration: ConfigurationCounters,
}

/// Counters and gauges of one service's dispatcher.
#[derive(Debug, Clone)]
pub struct ServiceMetrics {
    /// Calls that wait for a slot.
    pub queued: Gauge,
    /// Grants that have not ended.
    pub in_flight: Gauge,
    /// Slots granted.
    pub grants: Counter,
    /// Requests for a slot that were refused.
    pub refusals: Counter,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Metrics")
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let mut to = Registrar(Registry::with_prefix(PREFIX));
        let metrics = Self {
            published: Arc::default(),
            requests: to.add("requests", "Requests answered"),
            refusals: to.add("refusals", "Refusals sent to callers"),
            calls: to.add("calls", "Calls by what the caller heard"),
            first_chunk_times: to.add_times(
                "first_chunk_seconds",
                "Time from a request to the first chunk of its answer",
            ),
            call_times: to.add_times(
                "call_seconds",
                "Time from a request to the end of its answer",
            ),
            open_streams: to.add("open_streams", "Streamed answers under way"),
            gateway_open: to.add("gateway_open_requests", "Requests that wait for an owner"),
            attempts: to.add("attempts", "Attempts that ended"),
            open_attempts: to.add("open_attempts", "Attempts under way"),
            fences: to.add("fences", "Fences of attempts"),
            runs_owned: to.add("runs_owned", "Runs that this node owns or takes over"),
            takeovers: to.add("run_takeovers", "Runs claimed from their replicas"),
            step_downs: to.add("run_step_downs", "Runs given up to another owner"),
            preemptions: to.add(
                "run_preemptions",
                "Attempts cancelled in favour of urgent calls",
            ),
            replica_runs: to.add("replica_runs", "Runs held by the replica role"),
            replica_requests: to.add("replica_requests", "Requests of owners"),
            replica_writes: to.add("replica_writes", "Writes handed to the store"),
            queued: to.add("dispatcher_queued", "Calls that wait for a slot"),
            in_flight: to.add("dispatcher_in_flight", "Grants that have not ended"),
            grants: to.add("dispatcher_grants", "Slots granted"),
            dispatcher_refusals: to.add("dispatcher_refusals", "Requests for a slot refused"),
            members: to.add("members", "Known members by state"),
            configuration_revision: to.add("configuration_revision", "Revision known last"),
            ready: to.add(
                "ready",
                "Whether the configuration is proved to be the newest",
            ),
            configuration_clients: to
                .add("configuration_clients", "Nodes that renew their lease here"),
            registry: Mutex::new(to.0),
        };
        let published = Arc::clone(&metrics.published);
        metrics.collect(move || {
            let published = lock(&published);
            let mut all = readings::membership(&published.membership);
            all.extend(readings::configuration(&published.configuration));
            all
        });
        metrics.collect(readings::process);
        metrics
    }
}

impl Metrics {
    /// All counters as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &lock(&self.registry)).expect("text grows in memory");
        text
    }

    /// Shows the counters of the HTTP edge.
    pub fn show_edge(&self, counters: Arc<EdgeCounters>) {
        self.collect(move || readings::edge(&counters.snapshot()));
    }

    /// Shows the counters of the links.
    pub fn show_links(&self, counters: Arc<LinkCounters>) {
        self.collect(move || readings::link(&counters));
    }

    /// Shows the counters of the store.
    pub fn show_store(&self, counters: Arc<StoreCounters>) {
        self.collect(move || readings::store(&counters.snapshot()));
    }

    /// Counts a request by its route and status.
    pub fn count_request(&self, route: Route, status: u16) {
        let status = StatusClass::of(status);
        self.requests
            .get_or_create(&RequestLabels { route, status })
            .inc();
    }

    /// Counts a refusal by its code.
    pub fn count_refusal(&self, refusal: &Refusal) {
        let code = CodeLabel(ErrorMapping::of(&refusal.reason).code);
        self.refusals.get_or_create(&RefusalLabels { code }).inc();
    }

    /// Counts the end of a call, with the time since its request.
    pub fn count_call(&self, kind: CallKind, outcome: CallEndLabel, elapsed: Duration) {
        self.calls
            .get_or_create(&CallLabels { kind, outcome })
            .inc();
        if outcome == CallEndLabel::Answered {
            self.call_times
                .get_or_create(&CallKindLabels { kind })
                .observe(elapsed.as_secs_f64());
        }
    }

    /// Notes the time from a request to the first chunk of its answer.
    pub fn note_first_chunk(&self, kind: CallKind, elapsed: Duration) {
        self.first_chunk_times
            .get_or_create(&CallKindLabels { kind })
            .observe(elapsed.as_secs_f64());
    }

    /// The handles of one service's dispatcher.
    pub fn service(&self, service: &ServiceName) -> ServiceMetrics {
        let labels = ServiceLabels {
            service: service.to_string(),
        };
        ServiceMetrics {
            queued: self.queued.get_or_create_owned(&labels),
            in_flight: self.in_flight.get_or_create_owned(&labels),
            grants: self.grants.get_or_create_owned(&labels),
            refusals: self.dispatcher_refusals.get_or_create_owned(&labels),
        }
    }

    /// Publishes the membership role's state.
    pub fn publish_membership<'a>(
        &self,
        counters: MembershipCounters,
        members: impl Iterator<Item = &'a Member>,
    ) {
        lock(&self.published).membership = counters;
        let mut by_state = [0; MEMBER_STATES.len()];
        for member in members {
            by_state[state_index(member.state)] += 1;
        }
        for (state, count) in MEMBER_STATES.into_iter().zip(by_state) {
            let labels = MemberLabels { state };
            self.members.get_or_create(&labels).set(count);
        }
    }

    /// Publishes the configuration role's counters.
    pub fn publish_configuration(&self, counters: ConfigurationCounters) {
        lock(&self.published).configuration = counters;
    }

    fn collect(&self, read: impl Fn() -> Vec<NamedReading> + Send + Sync + 'static) {
        let readings = Box::new(Readings(Box::new(read)));
        lock(&self.registry).register_collector(readings);
    }
}

const MEMBER_STATES: [MemberStateLabel; 5] = [
    MemberStateLabel::Alive,
    MemberStateLabel::Suspect,
    MemberStateLabel::Leaving,
    MemberStateLabel::Left,
    MemberStateLabel::Dead,
];

fn state_index(state: MemberState) -> usize {
    match state {
        MemberState::Alive => 0,
        MemberState::Suspect => 1,
        MemberState::Leaving => 2,
        MemberState::Left => 3,
        MemberState::Dead => 4,
    }
}

/// Makes metrics and registers them.
struct Registrar(Registry);

impl Registrar {
    fn add<M: Metric + Clone + Default>(&mut self, name: &str, help: &str) -> M {
        self.register(name, help, M::default())
    }

    fn add_times<L>(&mut self, name: &str, help: &str) -> Times<L>
    where
        L: Clone + Eq + Hash,
        Times<L>: Metric,
    {
        let times: fn() -> Histogram = || Histogram::new(TIME_BOUNDS);
        self.register(name, help, Family::new_with_constructor(times))
    }

    fn register<M: Metric + Clone>(&mut self, name: &str, help: &str, metric: M) -> M {
        self.0.register(name, help, metric.clone());
        metric
    }
}

// A panic elsewhere leaves whole values behind, so the lock's state does not matter.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
