//! Selects the engine for the next attempt, and records what a failed attempt means for later ones.

use std::time::Duration;

use ridgeworks_quota::Grant;
use ridgeworks_resident::clock::whole_ms;
use ridgeworks_routing::{
    Denial, EligibilityRule, Engine, EngineKey, Exclusion, Forecast, Outcome, PlacementRequest,
    Refusal, RefusalReason, RequestKind, SoftwareKey, service_exclusion,
};
use tokio::time::Instant;

use super::Exchange;
use crate::attempt::AttemptFailure;
use crate::engine_rules::EngineRules;
use crate::refusal::RETRY_AFTER;

/// Rejections by engines before the client is told to retry later.
const MAX_REJECTIONS: usize = 3;
/// Unreachable engines before the client is told to retry later.
const MAX_UNREACHABLE: usize = 6;
/// Time from the receipt of a request in which full or unreachable engines are tried again, as a
/// fraction of the time to its deadline.
const CAPACITY_WAIT_FRACTION: f64 = 0.35;
/// Retry delay of a final refusal, as a fraction of the time from the receipt of the request to its
/// deadline; at least [`RETRY_AFTER`]. A refusal because of zone drains has its own delay.
const RETRY_AFTER_FRACTION: f64 = 0.2;
/// Shortest wait for a first event before another engine is tried.
const MIN_FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(300);
/// Multiple of the route's target time that a first event may take before another engine is tried.
const FIRST_EVENT_TARGET_FACTOR: u32 = 4;

/// Number of warming engines without an available grant after which the request asks for no more
/// grants.
const MAX_PASSED_OVER: usize = 3;

/// Attempts of one request so far.
#[derive(Default)]
pub(super) struct AttemptHistory {
    /// Engines that are not to be tried again.
    pub(super) excluded: Vec<String>,
    /// The engine that failed the client's previous try of the turn, which may have gone through
    /// another gateway.
    pub(super) failed_previous_try: Option<String>,
    /// Engines that may have run the request. Never shrinks, because the client must not be told
    /// that a request did not run if it may have.
    pub(super) may_have_run_on: Vec<String>,
    /// Engine process that may have run the request last.
    pub(super) last_run: Option<EngineKey>,
    /// Engines of `may_have_run_on` that have terminated since. They do not count against
    /// the route's maximum number of attempts.
    pub(super) terminated: Vec<String>,
    /// Engine at which the stream was resumed after that engine had failed.
    pub(super) resumed_at: Option<String>,
    pub(super) rejections: usize,
    pub(super) unreachable: usize,
    /// Warming engines for which no grant was available.
    pub(super) passed_over: usize,
    /// Grant for the engine that was chosen last, if it is warming up.
    pub(super) warm_up_grant: Option<Grant>,
    /// Whether the request has waited because all engines were full or unreachable.
    pub(super) has_waited: bool,
    /// Instance of the engine that was chosen last.
    pub(super) last_chosen: String,
    /// Software version of the engine that was chosen last.
    pub(super) last_software: String,
    /// Engines of the service excluded by zone drains at the last choice.
    pub(super) drained_engines: usize,
    /// Expected cost of the engine that was chosen last, in milliseconds.
    pub(super) cost_ms: f64,
    /// Estimated state of the last engine when the request was sent.
    pub(super) forecast: Forecast,
}

impl AttemptHistory {
    /// Allows engines that did not run the request to be tried again.
    pub(super) fn reset(&mut self) {
        self.excluded.clear();
        self.rejections = 0;
        self.unreachable = 0;
        self.passed_over = 0;
        self.has_waited = true;
    }

    /// Number of attempts that count against the route's maximum.
    pub(super) fn counted_attempts(&self) -> usize {
        let counted_attempts = self
            .may_have_run_on
            .iter()
            .filter(|ran| !self.terminated.contains(ran));
        counted_attempts.count()
    }
}

impl Exchange {
    /// Whether to wait and try full or unreachable engines again: none may have run the request
    /// yet, and the client has time left to retry after a refusal.
    pub(super) fn may_wait_for_capacity(&self) -> bool {
        let time = self.call.deadline - self.call.received;
        let until = self.call.received + time.mul_f64(CAPACITY_WAIT_FRACTION);
        let has_not_run = self.history.may_have_run_on.is_empty() && self.forwarded.events == 0;
        has_not_run && Instant::now() < until && self.drain_refusal().is_none()
    }

    /// What excludes all engines of the service, if waiting does not help.
    pub(super) fn permanent_exclusion(&self) -> Option<Exclusion> {
        self.exclusion()
            .filter(|exclusion| matches!(exclusion, Exclusion::Residency | Exclusion::Software))
    }

    /// The rules in force for the request, whatever it costs to obey them.
    fn rules(&self) -> EngineRules<'_> {
        EngineRules::current(&self.gateway, &self.call).with_software(self.required_software())
    }

    /// What excludes all engines of the service regardless of their capacity.
    fn exclusion(&self) -> Option<Exclusion> {
        let rules = self.rules();
        let view = &self.gateway.node.view;
        view.with_engines(|table| {
            rules.with_rules(None, |rules| {
                service_exclusion(table, &self.call.service, rules)
            })
        })
    }

    /// The engine to try next, as far as the route and the failures so far allow.
    pub(super) fn next_engine(&mut self) -> Option<Engine> {
        let history = &self.history;
        let is_exhausted =
            history.rejections >= MAX_REJECTIONS || history.unreachable >= MAX_UNREACHABLE;
        if is_exhausted || Instant::now() >= self.call.deadline {
            return None;
        }
        let may_repeat = history.may_have_run_on.is_empty() || self.call.route.is_repeatable();
        if !may_repeat || !self.may_risk_another_engine() {
            return None;
        }
        if history.counted_attempts() >= self.call.route.max_attempts as usize {
            return self.resume_at_same_engine();
        }
        if self.gateway.drains.has_any() {
            self.log_drained_engines();
        }
        let (engine, cost_ms) = self.choose_by_preference()?;
        let history = &mut self.history;
        history.cost_ms = cost_ms;
        history.last_chosen = engine.instance.clone();
        history.last_software = engine.software.clone();
        Some(engine)
    }

    /// Chooses among all engines but the one that failed the client's previous try, or else among all; each time first among those
    /// of the software version that is recorded as the stream's origin, which saves recording another one.
    fn choose_by_preference(&self) -> Option<(Engine, f64)> {
        let excluded = &self.history.excluded;
        let failed = self.history.failed_previous_try.as_ref();
        let avoiding_failed = failed.map(|failed| {
            let excluded = excluded.iter().chain([failed]);
            excluded.cloned().collect::<Vec<String>>()
        });
        let avoiding_failed = avoiding_failed.as_deref();
        let exclusions = avoiding_failed.into_iter().chain([excluded.as_slice()]);
        exclusions
            .flat_map(|excluded| {
                let versions = self.software_by_preference().into_iter();
                versions.map(move |software| (excluded, software))
            })
            .find_map(|(excluded, software)| self.choose(excluded, software))
    }

    /// The engine that the request would go to now.
    pub(super) fn likely_engine(&self) -> Option<Engine> {
        let (engine, _) = self.choose(&self.history.excluded, None)?;
        Some(engine)
    }

    /// The engine of least cost, or the idlest one for a request that may end it; `software` restricts the choice to a software version.
    fn choose(&self, excluded: &[String], software: Option<SoftwareKey>) -> Option<(Engine, f64)> {
        let may_ask = self.history.passed_over < MAX_PASSED_OVER;
        let warm_ups = &self.gateway.warm_ups;
        let warm_up = warm_ups.rule(&self.call.service, self.draw, may_ask);
        let warm_up = warm_up.as_ref().map(|rule| rule as &dyn EligibilityRule);
        let metadata = &self.call.metadata;
        let rules = EngineRules::current(&self.gateway, &self.call).with_software(software);
        rules.with_rules(warm_up, |rules| {
            let placement_request = PlacementRequest {
                service: &self.call.service,
                key: metadata.placement_key(),
                parts: &metadata.prompt_parts,
                zone: &self.gateway.node.settings.zone,
                excluded,
                rules,
            };
            if self.is_suspected() {
                self.gateway.choose_idlest_engine(&placement_request)
            } else {
                self.gateway.choose_engine(&placement_request)
            }
        })
    }

    /// Requests a grant concurrently with the other preparations if the request would go to a
    /// warming engine.
    pub(super) async fn prefetch_warm_up_grant(&self) {
        let warm_ups = &self.gateway.warm_ups;
        let service = &self.call.service;
        if warm_ups.rule(service, self.draw, true).is_none() {
            return;
        }
        if let Some((engine, _)) = self.choose_by_preference() {
            let request = &self.call.metadata.request_id;
            let acquired = warm_ups.acquire_grant(request, &engine, self.draw).await;
            warm_ups.store_grant(&engine, acquired.unwrap_or_default());
        }
    }

    /// Acquires the grant that the chosen engine needs, if any. Returns false if the engine has to
    /// be passed over.
    pub(super) async fn try_acquire_warm_up_grant(&mut self, engine: &Engine) -> bool {
        let request = &self.call.metadata.request_id;
        let acquiring = self
            .gateway
            .warm_ups
            .acquire_grant(request, engine, self.draw);
        let acquired = acquiring.await;
        self.history.passed_over += usize::from(acquired.is_err());
        self.history.warm_up_grant = acquired.unwrap_or_default();
        acquired.is_ok()
    }

    /// The refusal if all engines of the service are warming up and at their limit.
    pub(super) fn warm_up_refusal(&self) -> Option<Refusal> {
        if !self.history.may_have_run_on.is_empty() || self.forwarded.events > 0 {
            return None;
        }
        let service = &self.call.service;
        let warm_ups = &self.gateway.warm_ups;
        let rule = warm_ups.rule(service, self.draw, false)?;
        let view = &self.gateway.node.view;
        let exclusion = self.rules().with_rules(Some(&rule), |rules| {
            view.with_engines(|table| service_exclusion(table, service, rules))
        });
        let after = warm_ups.retry_after(service)?;
        let refusal = Refusal::retry_later(RefusalReason::EnginesWarmUp, after);
        (exclusion == Some(Exclusion::WarmUp)).then_some(refusal)
    }

    /// The instance of the engine that failed the client's previous try, unless that process has
    /// terminated.
    pub(super) fn failed_engine(&self, key: EngineKey) -> Option<String> {
        let view = &self.gateway.node.view;
        let failed = view.with_engines(|table| {
            let mut engines = table.engines();
            let failed = engines.find(|engine| engine.key() == key);
            failed.map(|engine| engine.instance.clone())
        })?;
        log::info!(
            target: "request",
            request = self.call.metadata.request_id.as_str(),
            engine = failed.as_str();
            "an engine failed the client's previous try of this request"
        );
        Some(failed)
    }

    /// Logs how many engines zone drains exclude, whenever that number changes.
    fn log_drained_engines(&mut self) {
        let drained_engines = self.gateway.drains.drained_engines(&self.call.service);
        if std::mem::replace(&mut self.history.drained_engines, drained_engines) == drained_engines
        {
            return;
        }
        log::info!(
            target: "attempt",
            request = self.call.metadata.request_id.as_str(),
            service = self.call.service.as_str(),
            shut_out = drained_engines;
            "engines of drained zones passed over"
        );
    }

    /// Resumes a stream at the engine that broke it off. Allowed once, even if the route's maximum
    /// number of attempts is reached.
    fn resume_at_same_engine(&mut self) -> Option<Engine> {
        let is_stream = self.call.route.kind == RequestKind::Stream;
        let last = self.history.may_have_run_on.last().filter(|_| is_stream)?;
        let run = self.history.last_run?;
        if self.history.resumed_at.is_some() {
            return None;
        }
        let engine = self
            .gateway
            .node
            .view
            .with_engines(|table| table.get(last).cloned())?;
        if engine.key() != run {
            // The engine has restarted, so it counts as a further engine.
            return None;
        }
        if self.rules().exclusion(&engine).is_some() {
            return None;
        }
        self.history.resumed_at = Some(engine.instance.clone());
        Some(engine)
    }

    /// Deadline for the first event: the request's own deadline, or earlier if another engine may
    /// be tried.
    pub(super) fn first_event_deadline(&self) -> Instant {
        let route = &self.call.route;
        let may_try_another = self.history.counted_attempts() + 1 < route.max_attempts as usize;
        if !may_try_another || !route.is_repeatable() {
            return self.call.deadline;
        }
        let target = Duration::from_millis(route.target_ms);
        let timeout = (target * FIRST_EVENT_TARGET_FACTOR).max(MIN_FIRST_EVENT_TIMEOUT);
        self.call.deadline.min(Instant::now() + timeout)
    }

    pub(super) fn record_possible_run(&mut self, engine: &Engine) {
        self.history.last_run = Some(engine.key());
        let may_have_run_on = &mut self.history.may_have_run_on;
        if !may_have_run_on.contains(&engine.instance) {
            may_have_run_on.push(engine.instance.clone());
        }
    }

    /// Records how the request ended at an engine. A failure is also sent to the prompt's directory
    /// node, where a retry by the client finds it.
    pub(super) fn on_outcome(&self, engine: &Engine, outcome: Outcome) {
        self.gateway.on_outcome(engine.key(), outcome);
        if outcome != Outcome::Served {
            let parts = &self.call.metadata.prompt_parts;
            self.gateway.publish_failure(engine, parts);
        }
    }

    pub(super) fn on_failure(&mut self, engine: &Engine, failure: &AttemptFailure, began: Instant) {
        if let AttemptFailure::Excluded(_) = failure {
            self.on_withheld(engine, failure, began);
            return;
        }
        let instance = &engine.instance;
        self.gateway.metrics.on_failed_attempt(failure.name());
        let history = &mut self.history;
        let was_excluded = history.excluded.contains(instance);
        if !was_excluded {
            history.excluded.push(instance.clone());
        }
        match failure {
            AttemptFailure::ConnectFailed(_) | AttemptFailure::ClosedBeforeSend => {
                history.unreachable += 1;
                self.gateway.warm_ups.on_unreachable(engine);
                // The engine may have run the request and accepts no connection any more: it has
                // terminated.
                if was_excluded && history.may_have_run_on.contains(instance) {
                    history.terminated.push(instance.clone());
                }
            }
            AttemptFailure::Rejected(_) => history.rejections += 1,
            _ => {}
        }
        if let Some(outcome) = failure.outcome() {
            self.on_outcome(engine, outcome);
        }
        if !failure.did_not_run() {
            self.record_possible_run(engine);
        }
        log::info!(
            target: "attempt",
            request = self.call.metadata.request_id.as_str(),
            engine = instance.as_str(),
            service = engine.service.as_str(),
            software = engine.software.as_str(),
            reason = failure.name(),
            detail:% = failure,
            connection = self.used_connections.last().map_or(0, |connection| connection.0),
            events_passed = self.forwarded.events,
            took_ms = whole_ms(began.elapsed()),
            engines_at = self.gateway.node.view.with_engines(|engines| engines.at());
            "attempt failed"
        );
    }

    /// The request was not sent, which says nothing about the engine's health. The engine is chosen
    /// again only after a wait.
    fn on_withheld(&mut self, engine: &Engine, failure: &AttemptFailure, began: Instant) {
        self.history.excluded.push(engine.instance.clone());
        self.gateway.metrics.on_withheld(engine);
        log::info!(
            target: "attempt",
            request = self.call.metadata.request_id.as_str(),
            engine = engine.instance.as_str(),
            service = engine.service.as_str(),
            zone = engine.zone.as_str(),
            reason = failure.name(),
            events_passed = self.forwarded.events,
            took_ms = whole_ms(began.elapsed());
            "request withheld from an engine"
        );
    }

    /// The refusal if zone drains exclude all engines of the service.
    pub(super) fn drain_refusal(&self) -> Option<Refusal> {
        let drains = &self.gateway.drains;
        if !drains.has_any() || self.exclusion() != Some(Exclusion::ZoneDrain) {
            return None;
        }
        let after = drains.retry_after(&self.call.service);
        Some(Refusal::retry_later(RefusalReason::ZonesDrained, after))
    }

    /// The refusal if the request's API key is no longer valid. The request may have waited since
    /// its key was looked up: for replicas, for capacity, or at an engine that failed it.
    pub(super) fn key_refusal(&self) -> Option<Refusal> {
        let tenant = self.call.tenant.as_ref()?;
        let routes = self.gateway.node.view.routes()?;
        let owner = routes.tenant(&self.call.route, self.call.metadata.key);
        let is_key_valid =
            owner.is_ok_and(|owner| owner.is_none_or(|owner| owner.name == tenant.name));
        if is_key_valid && self.gateway.keys.is_fresh() {
            return None;
        }
        if let Some(refusal) = self.refusal_after_run() {
            return Some(refusal);
        }
        if is_key_valid {
            let after = self.gateway.keys.retry_after();
            return Some(Refusal::retry_later(RefusalReason::KeyStateStale, after));
        }
        let fresh = self.gateway.fresh_configuration();
        Some(fresh.map_or_else(|stale| stale, |fresh| Denial::unknown_key(fresh).into()))
    }

    /// The refusal of a request that an engine may have run, whatever ends it.
    pub(super) fn refusal_after_run(&self) -> Option<Refusal> {
        let may_have_run = !self.history.may_have_run_on.is_empty();
        may_have_run.then(|| Refusal::without_retry(RefusalReason::EngineFailed))
    }

    pub(super) fn final_refusal(&self, exclusion: Option<Exclusion>) -> Refusal {
        if let Some(refusal) = self.refusal_after_run() {
            return refusal;
        }
        if let Some(refusal) = self.drain_refusal() {
            return refusal;
        }
        let time = self.call.deadline - self.call.received;
        let after = time.mul_f64(RETRY_AFTER_FRACTION).max(RETRY_AFTER);
        match exclusion {
            Some(Exclusion::Residency) => {
                return Refusal::retry_later(RefusalReason::NoAllowedRegion, after);
            }
            // The client is better served by a new stream than by waiting for a version that is gone.
            Some(Exclusion::Software) => {
                return Refusal::without_retry(RefusalReason::SoftwareGone);
            }
            _ => {}
        }
        if self.history.rejections > 0 || self.history.has_waited {
            return Refusal::retry_later(RefusalReason::EnginesFull, after);
        }
        Refusal::retry_later(RefusalReason::NoEngine, after)
    }
}
