//! Which engine is asked next, and what its failure means for the engines after it.

use std::time::Duration;

use ridgeworks_quota::Grant;
use ridgeworks_resident::clock::whole_ms;
use ridgeworks_routing::{
    EligibilityRule, Engine, EngineKey, Exclusion, Forecast, Outcome, PlacementRequest, Refusal,
    RefusalReason, RequestKind, service_exclusion,
};
use tokio::time::Instant;

use super::Exchange;
use crate::attempt::AttemptFailure;
use crate::engine_rules::EngineRules;
use crate::refusal::COME_BACK;

/// Engines that may reject a request before the client is told to come back.
const MAX_REJECTIONS: usize = 3;
/// Engines that may turn out to be unreachable before the client is told to come back.
const MAX_UNREACHABLE: usize = 6;
/// Part of a request's time for which engines that are full or out of reach are asked again.
const WAIT_SHARE: f64 = 0.35;
/// Part of a request's time after which its client may come back.
const COME_BACK_SHARE: f64 = 0.2;
/// Shortest wait for a first event before another engine is asked.
const LEAST_FIRST_EVENT_PATIENCE: Duration = Duration::from_millis(300);
/// How many times its target a first event may take before another engine is asked.
const FIRST_EVENT_PATIENCE: u32 = 4;

/// Engines that warm up and had nothing for a request before it asks for no further one.
const MAX_PASSED_OVER: usize = 3;

/// What is known about the engines that were asked.
#[derive(Default)]
pub(super) struct Tried {
    /// Engines that must not be asked again.
    pub(super) excluded: Vec<String>,
    /// The engine that failed the client's last try of the turn, through another gateway.
    pub(super) failed_last: Option<String>,
    /// Engines that may have run the request. Never shrinks: what may have run must not be promised to
    /// be unrun.
    pub(super) ran_on: Vec<String>,
    /// The run of the engine that may have run it last.
    pub(super) ran_last: Option<EngineKey>,
    /// Those of them that have ended since and so do not count among the attempts that the route allows.
    pub(super) ended: Vec<String>,
    /// An engine at which the stream was taken up although it had failed before.
    pub(super) taken_up_at: Option<String>,
    pub(super) rejections: usize,
    pub(super) unreachable: usize,
    /// Engines that warm up and had nothing for the request.
    pub(super) passed_over: usize,
    /// For the engine that was chosen last, where it warms up.
    pub(super) grant: Option<Grant>,
    /// Whether all engines were full or out of reach once before.
    pub(super) has_waited: bool,
    /// The engine that was chosen last.
    pub(super) asked_last: String,
    /// Engines of its service that were passed over for their zones' sake at the last choice.
    pub(super) shut_out: usize,
    /// What the request was expected to lose at the engine that was chosen last, in milliseconds.
    pub(super) cost_ms: f64,
    /// What was believed of the engine that was asked last.
    pub(super) forecast: Forecast,
}

impl Tried {
    /// Engines that did not run the request may be asked again.
    pub(super) fn ask_all_again(&mut self) {
        self.excluded.clear();
        self.rejections = 0;
        self.unreachable = 0;
        self.passed_over = 0;
        self.has_waited = true;
    }

    /// Engines that count among the attempts that the route allows.
    pub(super) fn counted(&self) -> usize {
        let counted = self.ran_on.iter().filter(|ran| !self.ended.contains(ran));
        counted.count()
    }
}

impl Exchange {
    /// Whether engines that are full or out of reach are asked again in a moment: none may have run the
    /// request, and time is left for the client to come back after a refusal.
    pub(super) fn may_wait_for_room(&self) -> bool {
        let time = self.call.limit - self.call.received;
        let until = self.call.received + time.mul_f64(WAIT_SHARE);
        let may_come = self.tried.ran_on.is_empty() && self.passed.events == 0;
        may_come && Instant::now() < until && self.refusal_of_drains().is_none()
    }

    /// What keeps the request from all engines of its service, if waiting does not help against it.
    pub(super) fn lasting_bar(&self) -> Option<Exclusion> {
        self.exclusion()
            .filter(|exclusion| *exclusion == Exclusion::Residency)
    }

    /// What keeps the request from all engines of its service, whatever room they have.
    fn exclusion(&self) -> Option<Exclusion> {
        let rules = EngineRules::now(&self.gateway, &self.call);
        let view = &self.gateway.node.view;
        view.with_engines(|table| {
            rules.apply(None, |rules| {
                service_exclusion(table, &self.call.service, rules)
            })
        })
    }

    /// The engine to ask next, as far as the route and the failures so far allow.
    pub(super) fn next_engine(&mut self) -> Option<Engine> {
        let tried = &self.tried;
        let worn_out = tried.rejections >= MAX_REJECTIONS || tried.unreachable >= MAX_UNREACHABLE;
        if worn_out || Instant::now() >= self.call.limit {
            return None;
        }
        let may_repeat = tried.ran_on.is_empty() || self.call.route.is_repeatable();
        if !may_repeat {
            return None;
        }
        if tried.counted() >= self.call.route.max_attempts as usize {
            return self.same_engine();
        }
        if self.gateway.drains.has_any() {
            self.note_shut_out();
        }
        let chosen = self
            .choose_another()
            .or_else(|| self.choose(&self.tried.excluded));
        let (engine, cost_ms) = chosen?;
        let tried = &mut self.tried;
        tried.cost_ms = cost_ms;
        tried.asked_last = engine.instance.clone();
        Some(engine)
    }

    fn choose(&self, excluded: &[String]) -> Option<(Engine, f64)> {
        let may_ask = self.tried.passed_over < MAX_PASSED_OVER;
        let warm_ups = &self.gateway.warm_ups;
        let warm_up = warm_ups.rule(&self.call.service, self.draw, may_ask);
        let warm_up = warm_up.as_ref().map(|rule| rule as &dyn EligibilityRule);
        let metadata = &self.call.metadata;
        EngineRules::now(&self.gateway, &self.call).apply(warm_up, |rules| {
            self.gateway.choose_engine(&PlacementRequest {
                service: &self.call.service,
                key: metadata.placement_key(),
                parts: &metadata.prompt_parts,
                zone: &self.gateway.node.settings.zone,
                excluded,
                rules,
            })
        })
    }

    /// Asks for a grant beside what the request waits for anyway, where it would go to an engine that warms up.
    pub(super) async fn foresee_grant(&self) {
        let warm_ups = &self.gateway.warm_ups;
        let service = &self.call.service;
        if warm_ups.rule(service, self.draw, true).is_none() {
            return;
        }
        if let Some((engine, _)) = self.choose(&self.tried.excluded) {
            let request = &self.call.metadata.request_id;
            let secured = warm_ups.secure(request, &engine, self.draw).await;
            warm_ups.put_by(&engine, secured.unwrap_or_default());
        }
    }

    /// Whether the request may go to the engine that was chosen; it is passed over otherwise.
    pub(super) async fn is_secured(&mut self, engine: &Engine) -> bool {
        let request = &self.call.metadata.request_id;
        let securing = self.gateway.warm_ups.secure(request, engine, self.draw);
        let secured = securing.await;
        self.tried.passed_over += usize::from(secured.is_err());
        self.tried.grant = secured.unwrap_or_default();
        secured.is_ok()
    }

    /// The refusal of a request whose service has only engines that warm up and have what they bear.
    pub(super) fn refusal_of_warm_ups(&self) -> Option<Refusal> {
        if !self.tried.ran_on.is_empty() || self.passed.events > 0 {
            return None;
        }
        let service = &self.call.service;
        let warm_ups = &self.gateway.warm_ups;
        let rule = warm_ups.rule(service, self.draw, false)?;
        let view = &self.gateway.node.view;
        let exclusion = EngineRules::now(&self.gateway, &self.call).apply(Some(&rule), |rules| {
            view.with_engines(|table| service_exclusion(table, service, rules))
        });
        let after = warm_ups.retry_later(service)?;
        let refusal = Refusal::retry_later(RefusalReason::EnginesWarmUp, after);
        (exclusion == Some(Exclusion::WarmUp)).then_some(refusal)
    }

    /// An engine besides the one that failed the client's last try, if there is any.
    fn choose_another(&self) -> Option<(Engine, f64)> {
        let failed = self.tried.failed_last.clone()?;
        let mut excluded = self.tried.excluded.clone();
        excluded.push(failed);
        self.choose(&excluded)
    }

    /// The instance of an engine that failed the client's last try, unless it has ended since.
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
            "an engine has failed the last try"
        );
        Some(failed)
    }

    /// Says once of a request how many engines were passed over for their zones' sake.
    fn note_shut_out(&mut self) {
        let shut_out = self.gateway.drains.shut_out(&self.call.service);
        if std::mem::replace(&mut self.tried.shut_out, shut_out) == shut_out {
            return;
        }
        log::info!(
            target: "attempt",
            request = self.call.metadata.request_id.as_str(),
            service = self.call.service.as_str(),
            shut_out = shut_out;
            "engines of drained zones passed over"
        );
    }

    /// A stream may be taken up once at the engine that broke it off: that is no further engine.
    fn same_engine(&mut self) -> Option<Engine> {
        let is_stream = self.call.route.kind == RequestKind::Stream;
        let last = self.tried.ran_on.last().filter(|_| is_stream)?;
        let run = self.tried.ran_last?;
        if self.tried.taken_up_at.is_some() {
            return None;
        }
        let engine = self
            .gateway
            .node
            .view
            .with_engines(|table| table.get(last).cloned())?;
        if engine.key() != run {
            // It has started anew, which makes it a further engine.
            return None;
        }
        if EngineRules::now(&self.gateway, &self.call)
            .exclusion(&engine)
            .is_some()
        {
            return None;
        }
        self.tried.taken_up_at = Some(engine.instance.clone());
        Some(engine)
    }

    /// Until when an engine may be silent: to the end, unless another one may be asked instead.
    pub(super) fn first_event_limit(&self) -> Instant {
        let route = &self.call.route;
        let another = self.tried.counted() + 1 < route.max_attempts as usize;
        if !another || !route.is_repeatable() {
            return self.call.limit;
        }
        let target = Duration::from_millis(route.target_ms);
        let patience = (target * FIRST_EVENT_PATIENCE).max(LEAST_FIRST_EVENT_PATIENCE);
        self.call.limit.min(Instant::now() + patience)
    }

    pub(super) fn on_maybe_run(&mut self, engine: &Engine) {
        self.tried.ran_last = Some(engine.key());
        let ran_on = &mut self.tried.ran_on;
        if !ran_on.contains(&engine.instance) {
            ran_on.push(engine.instance.clone());
        }
    }

    /// Notes how the request ended at an engine. A client that tries again finds the engine's failure at the prompt's directory node.
    pub(super) fn on_outcome(&self, engine: &Engine, outcome: Outcome) {
        self.gateway.on_outcome(engine.key(), outcome);
        if outcome != Outcome::Served {
            let parts = &self.call.metadata.prompt_parts;
            self.gateway.tell_failed(engine, parts);
        }
    }

    pub(super) fn on_failure(&mut self, engine: &Engine, failure: &AttemptFailure, began: Instant) {
        if let AttemptFailure::Barred(_) = failure {
            self.on_withheld(engine, failure, began);
            return;
        }
        let instance = &engine.instance;
        self.gateway.metrics.on_failed_attempt(failure.name());
        let tried = &mut self.tried;
        let was_excluded = tried.excluded.contains(instance);
        if !was_excluded {
            tried.excluded.push(instance.clone());
        }
        match failure {
            AttemptFailure::NotSent(_) | AttemptFailure::Unsent => {
                tried.unreachable += 1;
                self.gateway.warm_ups.on_unreachable(engine);
                // It ran the request and takes no connection any more: it has ended.
                if was_excluded && tried.ran_on.contains(instance) {
                    tried.ended.push(instance.clone());
                }
            }
            AttemptFailure::Rejected(_) => tried.rejections += 1,
            _ => {}
        }
        if let Some(outcome) = failure.outcome() {
            self.on_outcome(engine, outcome);
        }
        if !failure.is_not_run() {
            self.on_maybe_run(engine);
        }
        log::info!(
            target: "attempt",
            request = self.call.metadata.request_id.as_str(),
            engine = instance.as_str(),
            service = engine.service.as_str(),
            reason = failure.name(),
            detail:% = failure,
            events_passed = self.passed.events,
            took_ms = whole_ms(began.elapsed()),
            engines_at = self.gateway.node.view.with_engines(|engines| engines.at());
            "attempt failed"
        );
    }

    /// The request was not sent, which says nothing of the engine. It is chosen again only after a wait.
    fn on_withheld(&mut self, engine: &Engine, failure: &AttemptFailure, began: Instant) {
        self.tried.excluded.push(engine.instance.clone());
        self.gateway.metrics.on_withheld(engine);
        log::info!(
            target: "attempt",
            request = self.call.metadata.request_id.as_str(),
            engine = engine.instance.as_str(),
            service = engine.service.as_str(),
            zone = engine.zone.as_str(),
            reason = failure.name(),
            events_passed = self.passed.events,
            took_ms = whole_ms(began.elapsed());
            "request withheld from an engine"
        );
    }

    /// The refusal of a request whose service has no engine for it outside drained zones.
    pub(super) fn refusal_of_drains(&self) -> Option<Refusal> {
        let drains = &self.gateway.drains;
        if !drains.has_any() || self.exclusion() != Some(Exclusion::ZoneDrain) {
            return None;
        }
        let after = drains.retry_later(&self.call.service);
        Some(Refusal::retry_later(RefusalReason::ZonesDrained, after))
    }

    /// Why no further engine may be asked with the request's key. A request may have waited since its key was looked up, for replicas,
    /// for room, or at an engine that failed it.
    pub(super) fn refusal_of_key(&self) -> Option<Refusal> {
        let tenant = self.call.tenant.as_ref()?;
        let routes = self.gateway.node.view.routes()?;
        let holder = routes.tenant(&self.call.route, self.call.metadata.key);
        let is_held =
            holder.is_ok_and(|holder| holder.is_none_or(|holder| holder.name == tenant.name));
        if is_held && self.gateway.keys.are_proven() {
            return None;
        }
        if !self.tried.ran_on.is_empty() {
            return Some(Refusal::last(RefusalReason::EngineFailed));
        }
        Some(if is_held {
            Refusal::retry_later(
                RefusalReason::KeyStateStale,
                self.gateway.keys.retry_later(),
            )
        } else {
            Refusal::last(RefusalReason::UnknownKey)
        })
    }

    pub(super) fn failure(&self, exclusion: Option<Exclusion>) -> Refusal {
        if !self.tried.ran_on.is_empty() {
            return Refusal::last(RefusalReason::EngineFailed);
        }
        if let Some(refusal) = self.refusal_of_drains() {
            return refusal;
        }
        let time = self.call.limit - self.call.received;
        let after = time.mul_f64(COME_BACK_SHARE).max(COME_BACK);
        if exclusion == Some(Exclusion::Residency) {
            return Refusal::retry_later(RefusalReason::NoAllowedRegion, after);
        }
        if self.tried.rejections > 0 || self.tried.has_waited {
            return Refusal::retry_later(RefusalReason::EnginesFull, after);
        }
        Refusal::retry_later(RefusalReason::NoEngine, after)
    }
}
