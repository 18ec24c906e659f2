//! Chooses the engine of a request.
//!
//! The cost of an engine is the time in milliseconds that the request is expected to lose there: the wait for
//! a slot, the slower steps of a larger batch, and the prefill of prompt parts that the engine has not
//! cached. These costs are estimated from the service's engines ([`ServiceModel`];
//! `docs/design/decisions.md`).
//!
//! Gateways decide independently and know each other's load only with a delay. If all of them took the engine
//! that looked least loaded, they would overload it together. So each session has a few *preferred engines*
//! by rendezvous hashing, the same at all gateways, and another engine is chosen only if it is better by a
//! margin.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::eligibility::{EligibilityRule, first_exclusion};
use crate::engine_health::{EngineHealth, Outcome, OutcomeCounts};
use crate::engine_load::{EngineKey, EngineLoads, GatewayReport, PRIOR_OUTCOMES, prompt_tokens};
use crate::engine_table::{Engine, EngineTable};
use crate::prefill_directory::PrefillRecord;
use crate::region_latencies::RegionLatencies;
use crate::request::PromptPart;
use crate::service_model::{
    PrefillSample, RequestSample, ServiceCosts, ServiceKey, ServiceModel, ServiceSummary,
};

/// Margin by which an engine that is not a preferred one of the session has to be better, in in-flight
/// requests. Counts lag by a heartbeat, in which each engine gets a few requests.
const NON_PREFERRED_MARGIN_REQUESTS: f64 = 4.0;
/// Preferred engines of a session in the gateway's region, and in its zone.
const PREFERRED_PER_SESSION: usize = 2;
/// Sessions whose last engine is remembered.
const MAX_SESSION_ENGINES: usize = 8_192;
/// Extra cost of an engine in another zone, in milliseconds, for latency and traffic. The extra cost of
/// another region is measured ([`RegionLatencies`]).
const OTHER_ZONE_MS: f64 = 20.0;
/// Extra cost of an engine that is backing off after a failure, in milliseconds.
const BACKOFF_COST_MS: f64 = 10_000.0;
/// Cost of a failed request, as a multiple of a request's duration: its own duration, the client's pause
/// before a retry, and the risk that it is the third failure, at which the program ends.
const FAILURE_COST_REQUESTS: f64 = 4.0;
/// Fraction of a request's duration that grows with the engine's step time. The rest is prefill and waiting,
/// and step times of one engine also differ with its batch.
const STEP_FRACTION: f64 = 0.4;
/// Weight of a shared prompt prefix in the wait of the batch. With 0 it is prefilled once for all requests;
/// with 1 it counts as memory that other prompts lose (`docs/design/decisions.md`, "Ablation").
const SHARED_PREFILL_WEIGHT: f64 = 0.25;
/// Maximum number of services with a cost model.
const MAX_SERVICES: usize = 256;
const MS_PER_S: f64 = 1_000.0;

/// What placement needs to know of a request.
#[derive(Clone, Copy)]
pub struct PlacementRequest<'a> {
    pub service: &'a str,
    /// Key for rendezvous hashing, by which gateways agree on an engine where costs are equal.
    pub key: &'a str,
    /// Parts of its prompt, in order.
    pub parts: &'a [PromptPart],
    /// Zone of the gateway.
    pub zone: &'a str,
    /// Instances that must not get the request.
    pub excluded: &'a [String],
    /// Rules that exclude further engines.
    pub rules: &'a [&'a dyn EligibilityRule],
}

/// Load and cached prompts of the engines as known to one gateway. Times are since the start of the process.
#[derive(Debug, Clone, Default)]
pub struct Placement {
    loads: EngineLoads,
    models: HashMap<ServiceKey, ServiceModel>,
    /// The engine that got the last request, by the hash of the request's key.
    session_engines: HashMap<u64, EngineKey>,
    /// `None` if the deployment has one region.
    latencies: Option<RegionLatencies>,
}

/// The engine chosen for a request.
#[derive(Debug, Clone, Copy)]
pub struct Choice<'a> {
    pub engine: &'a Engine,
    /// Time that the request is expected to lose there, in milliseconds.
    pub cost_ms: f64,
}

/// An engine has started or ceased to fail requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FailureStateChange<'a> {
    pub instance: &'a str,
    /// Whether it fails them now.
    pub is_failing: bool,
    /// Recent outcomes that this gateway and others saw.
    pub outcomes: OutcomeCounts,
}

/// What was believed of an engine when a request was sent to it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Forecast {
    /// Prompt tokens that the engine was believed to lack in its cache.
    pub missing_tokens: u64,
    /// Tokens of this gateway's earlier requests that the engine had yet to prefill.
    pub pending_tokens: u64,
    /// In-flight requests at the engine.
    pub in_flight: u32,
    /// Whether the engine was believed to have cached the prompt's first part, so that only the session's own
    /// part was missing. First parts are shared, and other gateways may have had them prefilled unnoticed.
    pub is_certain: bool,
}

/// How much the reports of other gateways count.
#[derive(Debug, Clone, Copy)]
struct ReportWeight {
    /// Mean number of their in-flight requests at an engine.
    mean: f64,
    /// Weight of an engine's reported count against the mean, from 0 to 1.
    weight: f64,
}

/// An eligible engine.
struct EligibleEngine<'a> {
    engine: &'a Engine,
    key: EngineKey,
    /// Rank by rendezvous hashing; the highest is preferred.
    rank: u64,
}

impl Placement {
    /// A placement without state; `latencies` is `None` if the deployment has one region.
    pub fn with_region_latencies(latencies: Option<RegionLatencies>) -> Self {
        Self {
            latencies,
            ..Self::default()
        }
    }

    /// Records the time that it took to connect to the engine.
    pub fn on_connected(&mut self, engine: &Engine, elapsed: Duration) {
        if let Some(latencies) = &mut self.latencies {
            latencies.on_connected(&engine.zone, elapsed);
        }
    }

    /// Regions whose round-trip time differs enough from the one last returned for them, each with its current
    /// round-trip time in milliseconds; see [`RegionLatencies::changes`].
    pub fn latency_changes(&mut self) -> Vec<(String, f64)> {
        self.latencies
            .as_mut()
            .map(RegionLatencies::changes)
            .unwrap_or_default()
    }

    /// The engine with the least cost; `None` if no engine of the service is eligible.
    pub fn choose<'a>(
        &mut self,
        table: &'a EngineTable,
        request: &PlacementRequest<'a>,
        now: Duration,
    ) -> Option<Choice<'a>> {
        self.loads.expire(now);
        let costs = self.costs(request.service);
        let session = xxh3_64(request.key.as_bytes());
        let eligible_engines = eligible_engines(table, request, session);
        let fastest_step_ms = self.fastest_step_ms(&eligible_engines);
        let last_engine = self.session_engines.get(&session);
        let preferred = preferred(&eligible_engines, request.zone, self.latencies.as_ref());
        let reports = self.report_weight(&eligible_engines, &costs);
        let typical_failed_fraction = self.typical_failed_fraction(&eligible_engines, now);
        let costed = eligible_engines.iter().map(|eligible| {
            let in_flight = self.estimated_in_flight(eligible.key, reports);
            let mut cost = self.cost(eligible, request, &costs, in_flight, now);
            cost += self.slow_step_ms(eligible, &costs, fastest_step_ms);
            cost += self.failure_ms(eligible, &costs, typical_failed_fraction, now);
            let has_affinity = last_engine == Some(&eligible.key)
                || self.caches_session_part(eligible.key, request);
            if !has_affinity && !preferred.contains(&eligible.key) {
                cost +=
                    NON_PREFERRED_MARGIN_REQUESTS * costs.added_request_ms(eligible.engine.slots);
            }
            (cost, eligible)
        });
        let best = costed.min_by(|one, two| {
            let by_cost = one.0.total_cmp(&two.0);
            by_cost.then(two.1.rank.cmp(&one.1.rank))
        });
        best.map(|(cost_ms, eligible)| Choice {
            engine: eligible.engine,
            cost_ms,
        })
    }

    /// The engine with the fewest requests in flight, for a request that may end it: of those that do not back off, and of several
    /// the one with the least cost. `None` if no engine of the service is eligible.
    pub fn choose_idlest<'a>(
        &mut self,
        table: &'a EngineTable,
        request: &PlacementRequest<'a>,
        now: Duration,
    ) -> Option<Choice<'a>> {
        self.loads.expire(now);
        let costs = self.costs(request.service);
        let session = xxh3_64(request.key.as_bytes());
        let eligible_engines = eligible_engines(table, request, session);
        let costed = eligible_engines.iter().map(|eligible| {
            let in_flight = self.loads.in_flight_at(eligible.key);
            let load = self.loads.get(eligible.key);
            let backs_off = load.is_some_and(|load| load.health.is_backing_off(now));
            let cost = self.cost(eligible, request, &costs, f64::from(in_flight), now);
            ((backs_off, in_flight), cost, eligible)
        });
        let idlest = costed.min_by(|one, two| {
            let by_load = one.0.cmp(&two.0);
            by_load.then(one.1.total_cmp(&two.1))
        });
        idlest.map(|(_, cost_ms, eligible)| Choice {
            engine: eligible.engine,
            cost_ms,
        })
    }

    /// In-flight requests of this gateway and of recent reports.
    pub fn in_flight_at(&mut self, engine: EngineKey, now: Duration) -> u32 {
        self.loads.expire(now);
        self.loads.in_flight_at(engine)
    }

    /// In-flight requests of this gateway.
    pub fn own_in_flight_at(&self, engine: EngineKey) -> u32 {
        self.loads.own_in_flight_at(engine)
    }

    /// The current estimates; defaults for a service without samples.
    pub fn costs(&self, service: &str) -> ServiceCosts {
        let model = self.models.get(&ServiceKey::of(service));
        model.map_or_else(|| ServiceModel::default().costs(), ServiceModel::costs)
    }

    /// A request with this key is being sent to the engine.
    pub fn on_sent(&mut self, key: &str, engine: &Engine, parts: &[PromptPart]) -> Forecast {
        if self.session_engines.len() >= MAX_SESSION_ENGINES {
            self.session_engines.clear();
        }
        let engine_key = engine.key();
        self.session_engines
            .insert(xxh3_64(key.as_bytes()), engine_key);
        let in_flight = self.loads.in_flight_at(engine_key);
        let load = self.loads.entry(engine_key);
        let forecast = Forecast {
            missing_tokens: load.parts.missing(parts),
            pending_tokens: load.pending_prefill_tokens,
            in_flight,
            is_certain: parts.len() == 1
                || parts
                    .first()
                    .is_some_and(|part| load.parts.is_cached(*part)),
        };
        load.own_in_flight += 1;
        load.pending_prefill_tokens = load
            .pending_prefill_tokens
            .saturating_add(forecast.missing_tokens);
        for part in parts {
            load.parts.insert(*part);
        }
        forecast
    }

    /// The first event of a request has arrived, so its prompt is prefilled.
    pub fn on_first_event(&mut self, engine: &Engine, forecast: Forecast, elapsed: Duration) {
        let load = self.loads.entry(engine.key());
        load.pending_prefill_tokens = load
            .pending_prefill_tokens
            .saturating_sub(forecast.missing_tokens);
        if forecast.in_flight >= engine.slots || forecast.pending_tokens > 0 {
            // It waited for a slot or for other prefills, perhaps also for those of other gateways, so it is
            // no sample.
            return;
        }
        self.model(&engine.service)
            .on_prefill_sample(PrefillSample {
                tokens: forecast.missing_tokens,
                first_ms: elapsed.as_secs_f64() * MS_PER_S,
                is_certain: forecast.is_certain,
            });
    }

    /// A request was answered.
    pub fn on_request_sample(&mut self, engine: &Engine, sample: RequestSample) {
        if let Some(step_ms) = sample.step_ms {
            self.health(engine.key()).on_step_time(step_ms);
        }
        if sample.in_flight < engine.slots {
            self.model(&engine.service).on_request_sample(sample);
        }
    }

    /// A request has ended at an engine; `pending_prefill_tokens` of its tokens were not prefilled.
    pub fn on_ended(&mut self, engine: EngineKey, pending_prefill_tokens: u64) {
        let load = self.loads.entry(engine);
        load.own_in_flight = load.own_in_flight.saturating_sub(1);
        load.pending_prefill_tokens = load
            .pending_prefill_tokens
            .saturating_sub(pending_prefill_tokens);
    }

    /// Services whose costs differ enough from those last returned for them, each with its current costs and
    /// the number of this gateway's own samples; see [`ServiceModel::changed_costs`].
    pub fn cost_changes(&mut self) -> Vec<(ServiceKey, ServiceCosts, u32)> {
        let models = self.models.iter_mut();
        let changes =
            models.filter_map(|(key, model)| Some((*key, model.changed_costs()?, model.samples())));
        changes.collect()
    }

    /// Summaries for the other gateways.
    pub fn summaries(&self) -> Vec<ServiceSummary> {
        let models = self.models.iter();
        models
            .filter_map(|(key, model)| model.summary(*key))
            .collect()
    }

    /// An engine prefilled a prompt for another gateway.
    pub fn on_prefill(&mut self, record: &PrefillRecord) {
        let load = self.loads.entry(EngineKey(record.engine));
        for part in &record.parts {
            load.parts.insert(*part);
        }
    }

    /// Takes summaries of another gateway.
    pub fn on_summaries(&mut self, summaries: Vec<ServiceSummary>) {
        for summary in summaries {
            let has_room = self.models.len() < MAX_SERVICES;
            let key = ServiceKey(summary.service);
            if has_room || self.models.contains_key(&key) {
                self.models.entry(key).or_default().on_summary(summary);
            }
        }
    }

    /// A request of this gateway ended at an engine.
    pub fn on_outcome(&mut self, engine: EngineKey, outcome: Outcome, now: Duration) {
        self.health(engine).on_outcome(outcome, now);
    }

    /// Engines that have started or ceased to fail requests since the last call.
    pub fn failure_state_changes<'a>(
        &mut self,
        table: &'a EngineTable,
        now: Duration,
    ) -> Vec<FailureStateChange<'a>> {
        let mut changes = Vec::new();
        for engine in table.engines() {
            let Some(load) = self.loads.get_mut(engine.key()) else {
                continue;
            };
            if let Some(is_failing) = load.update_failure_state(now) {
                changes.push(FailureStateChange {
                    instance: &engine.instance,
                    is_failing,
                    outcomes: load.outcomes(now),
                });
            }
        }
        changes
    }

    /// The health of an engine, created if it is new.
    pub fn health(&mut self, engine: EngineKey) -> &mut EngineHealth {
        &mut self.loads.entry(engine).health
    }

    /// The report for the other gateways.
    pub fn report(&self, now: Duration) -> GatewayReport {
        self.loads.report(now)
    }

    /// Replaces a gateway's report.
    pub fn on_report(&mut self, gateway: &str, report: GatewayReport, now: Duration) {
        self.loads.on_report(gateway, report, now);
    }

    /// Drops engines that are not listed and reports that are too old.
    pub fn retain(&mut self, table: &EngineTable, now: Duration) {
        self.loads.expire(now);
        let listed: HashSet<EngineKey> = table.engines().map(Engine::key).collect();
        self.loads.retain(|key| listed.contains(&key));
    }

    /// The older a report is in relation to a request's duration, the more of the reported requests have
    /// ended, so the less it counts.
    fn report_weight(
        &self,
        eligible_engines: &[EligibleEngine<'_>],
        costs: &ServiceCosts,
    ) -> ReportWeight {
        let reported = eligible_engines
            .iter()
            .map(|eligible| f64::from(self.loads.reported_in_flight_at(eligible.key)));
        let mean = reported.sum::<f64>() / eligible_engines.len().max(1) as f64;
        let age = self.loads.report_age_ms() / costs.request_ms.max(1.0);
        ReportWeight {
            mean,
            weight: (-age).exp(),
        }
    }

    /// Estimated in-flight requests at an engine: this gateway's own, and those of others between the
    /// reported count and the mean of all engines.
    fn estimated_in_flight(&self, key: EngineKey, reports: ReportWeight) -> f64 {
        let reported = f64::from(self.loads.reported_in_flight_at(key));
        let others = reports.mean + reports.weight * (reported - reports.mean);
        f64::from(self.loads.own_in_flight_at(key)) + others
    }

    /// Whether the engine has cached the last part of the prompt, which is the session's own.
    fn caches_session_part(&self, key: EngineKey, request: &PlacementRequest<'_>) -> bool {
        let last = request.parts.last().zip(self.loads.get(key));
        last.is_some_and(|(part, load)| load.parts.cached(*part) > 0)
    }

    fn fastest_step_ms(&self, eligible_engines: &[EligibleEngine<'_>]) -> Option<f64> {
        let steps = eligible_engines.iter().filter_map(|eligible| {
            let load = self.loads.get(eligible.key)?;
            load.health.step_ms()
        });
        steps.min_by(f64::total_cmp)
    }

    /// Fraction of requests that failed, over all eligible engines.
    fn typical_failed_fraction(
        &self,
        eligible_engines: &[EligibleEngine<'_>],
        now: Duration,
    ) -> f64 {
        // Only this gateway's own requests: reports cover only engines suspected of failing (see
        // `reported_outcomes`) and would bias the fraction.
        let loads = eligible_engines
            .iter()
            .filter_map(|eligible| self.loads.get(eligible.key));
        let outcomes = loads.map(|load| load.health.outcomes(now));
        let all = outcomes.fold(OutcomeCounts::default(), OutcomeCounts::plus);
        all.failed_fraction(PRIOR_OUTCOMES, 0.0)
    }

    /// Expected loss at an engine that fails more requests than is typical.
    fn failure_ms(
        &self,
        eligible: &EligibleEngine<'_>,
        costs: &ServiceCosts,
        typical_failed_fraction: f64,
        now: Duration,
    ) -> f64 {
        let Some(load) = self.loads.get(eligible.key) else {
            return 0.0;
        };
        let excess = load.failed_fraction(typical_failed_fraction, now) - typical_failed_fraction;
        excess.max(0.0) * FAILURE_COST_REQUESTS * costs.request_ms
    }

    fn model(&mut self, service: &str) -> &mut ServiceModel {
        let key = ServiceKey::of(service);
        if self.models.len() >= MAX_SERVICES && !self.models.contains_key(&key) {
            self.models.clear();
        }
        self.models.entry(key).or_default()
    }

    fn cost(
        &self,
        eligible: &EligibleEngine<'_>,
        request: &PlacementRequest<'_>,
        costs: &ServiceCosts,
        in_flight: f64,
        now: Duration,
    ) -> f64 {
        let engine = eligible.engine;
        let slots = f64::from(engine.slots);
        let queued = (in_flight + 1.0 - slots).max(0.0);
        let mut cost = in_flight * costs.added_request_ms(engine.slots);
        cost += queued * costs.queue_position_ms(engine.slots);
        if engine.zone != request.zone {
            cost += OTHER_ZONE_MS;
            cost += self
                .latencies
                .as_ref()
                .map_or(0.0, |latencies| latencies.extra_ms(&engine.zone));
        }
        let known = self.loads.get(eligible.key);
        let missing = known.map_or_else(
            || prompt_tokens(request.parts),
            |load| load.parts.missing(request.parts),
        );
        // All other requests at the engine wait during the prefill.
        let waiting = 1.0 + in_flight.min(slots);
        cost += prefill_wait_tokens(request.parts, missing, waiting) / costs.prefill_tokens_per_ms;
        if known.is_some_and(|load| load.health.is_backing_off(now)) {
            cost += BACKOFF_COST_MS;
        }
        cost
    }

    /// Expected loss at an engine whose decode steps are longer than those of the fastest.
    fn slow_step_ms(
        &self,
        eligible: &EligibleEngine<'_>,
        costs: &ServiceCosts,
        fastest_step_ms: Option<f64>,
    ) -> f64 {
        let step = self
            .loads
            .get(eligible.key)
            .and_then(|load| load.health.step_ms());
        let (Some(step), Some(fastest_step_ms)) = (step, fastest_step_ms) else {
            return 0.0;
        };
        (step / fastest_step_ms.max(0.1) - 1.0) * STEP_FRACTION * costs.request_ms
    }
}

/// Tokens of prefill that the requests of a batch wait for, summed over the requests.
fn prefill_wait_tokens(parts: &[PromptPart], missing: u64, waiting: f64) -> f64 {
    let own_tokens = parts.last().map_or(0, |part| part.tokens.min(missing));
    let shared = (missing - own_tokens) as f64;
    let shared_waiting = 1.0 + SHARED_PREFILL_WEIGHT * (waiting - 1.0);
    waiting * own_tokens as f64 + shared_waiting * shared
}

fn eligible_engines<'a>(
    table: &'a EngineTable,
    request: &PlacementRequest<'a>,
    session: u64,
) -> Vec<EligibleEngine<'a>> {
    let ready = table.ready(request.service);
    let allowed = ready.filter(|engine| !request.excluded.contains(&engine.instance));
    let allowed = allowed.filter(|engine| first_exclusion(request.rules, engine).is_none());
    let eligible_engines = allowed.map(|engine| {
        let key = engine.key();
        EligibleEngine {
            engine,
            key,
            rank: rendezvous_rank(session, key),
        }
    });
    eligible_engines.collect()
}

/// The engines that a session prefers: the first by rank in the gateway's region and in its zone. If its
/// region has none, the first of all regions count, or gateways would all choose the engine that looks least
/// loaded.
fn preferred(
    eligible_engines: &[EligibleEngine<'_>],
    zone: &str,
    latencies: Option<&RegionLatencies>,
) -> Vec<EngineKey> {
    let mut ranked: Vec<&EligibleEngine<'_>> = eligible_engines.iter().collect();
    ranked.sort_unstable_by_key(|eligible| std::cmp::Reverse(eligible.rank));
    let is_own_region =
        |zone: &str| latencies.is_none_or(|latencies| latencies.is_own_region(zone));
    let own_region = ranked
        .iter()
        .filter(|eligible| is_own_region(&eligible.engine.zone));
    let first: Vec<_> = own_region.take(PREFERRED_PER_SESSION).collect();
    let first = if first.is_empty() {
        ranked.iter().take(PREFERRED_PER_SESSION).collect()
    } else {
        first
    };
    let in_own_zone = ranked
        .iter()
        .filter(|eligible| eligible.engine.zone == zone);
    let preferred = first
        .into_iter()
        .chain(in_own_zone.take(PREFERRED_PER_SESSION));
    preferred.map(|eligible| eligible.key).collect()
}

fn rendezvous_rank(session: u64, key: EngineKey) -> u64 {
    xxh3_64_with_seed(&key.0.to_le_bytes(), session)
}
