//! Limits requests to warming engines to those with a grant (`docs/design/warm-up.md`).

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_quota::{
    Grant, GrantDelay, GrantPool, GrantSelection, LimiterCandidate, LimiterKey,
};
use ridgeworks_records::{GroupId, Replica};
use ridgeworks_resident::clock::{Moment, whole_ms};
use ridgeworks_resident::node::Node;
use ridgeworks_resident::peer::{
    ExtensionReply, ExtensionRequest, GrantReply, GrantRequest, LinkError, PeerReply, PeerRequest,
};
use ridgeworks_routing::{
    EligibilityRule, Engine, EngineKey, EngineTable, Exclusion, WarmUpLimit, WarmUps,
};
use tokio::sync::watch;

use crate::metrics::WarmUpMetrics;
use crate::refusal::RETRY_AFTER;

/// How long one limiter may take. Kept short, because another engine can serve the request and a
/// grant expires soon.
const LIMITER_TIMEOUT: Duration = Duration::from_millis(20);
/// How long all limiters may take, which leaves time for a second one if the first does not answer.
const TOTAL_TIMEOUT: Duration = LIMITER_TIMEOUT.saturating_mul(2);
/// How long an engine is passed over after no limiter answered.
const UNANSWERED_BACKOFF: Duration = Duration::from_millis(200);
/// How long a limiter that did not answer stays last in the order in which limiters are asked.
const UNRESPONSIVE_PERIOD: Duration = Duration::from_secs(3);

/// Tracks warming engines and the grants for them. Disabled if the settings have no warm-up bound.
pub struct WarmUpAdmission {
    node: Rc<Node>,
    is_enabled: bool,
    changes: RefCell<watch::Receiver<()>>,
    has_engine_list: Cell<bool>,
    engines: RefCell<WarmUps>,
    grant_pool: RefCell<GrantPool>,
    /// When each unresponsive limiter regains its normal place in the order.
    unresponsive: RefCell<HashMap<LimiterKey, Duration>>,
    /// End of the last drain of each zone that has been applied to `engines`.
    drain_ends: RefCell<HashMap<String, Moment>>,
    metrics: WarmUpMetrics,
}

/// Excludes warming engines for which no grant is available.
pub struct WarmUpRule<'a> {
    admission: &'a WarmUpAdmission,
    now: Duration,
    /// Random number from 0 to 1, drawn once per request. The request needs no grant for an engine
    /// if the fraction of requests to it that need none ([`WarmUps::grant_free_fraction`]) is greater than this.
    draw: f64,
    /// Whether the request may ask a limiter for a grant.
    may_ask: bool,
}

impl EligibilityRule for WarmUpRule<'_> {
    fn exclusion(&self, engine: &Engine) -> Option<Exclusion> {
        let key = engine.key();
        if !self.admission.needs_grant(key, self.draw, self.now) {
            return None;
        }
        let grant_pool = self.admission.grant_pool.borrow();
        let may_acquire = self.may_ask && grant_pool.exhausted_for(key, self.now).is_none();
        (!may_acquire && !grant_pool.has(key, self.now)).then_some(Exclusion::WarmUp)
    }
}

impl WarmUpAdmission {
    /// Creates the admission without any grants. It is enabled if the node's settings have a
    /// warm-up bound.
    pub fn new(node: Rc<Node>, metrics: WarmUpMetrics) -> Self {
        Self {
            is_enabled: node.settings.bounds.warm_up().is_some(),
            changes: RefCell::new(node.view.changes()),
            node,
            has_engine_list: Cell::new(false),
            engines: RefCell::default(),
            grant_pool: RefCell::default(),
            unresponsive: RefCell::default(),
            drain_ends: RefCell::default(),
            metrics,
        }
    }

    /// The rule for a request to a service; `None` while no engine of the service is warming up.
    pub fn rule(&self, service: &str, draw: f64, may_ask: bool) -> Option<WarmUpRule<'_>> {
        if !self.is_enabled {
            return None;
        }
        self.refresh();
        let now = self.now();
        let engines = self.engines.borrow();
        engines
            .has_limited_engines(service, now)
            .then_some(WarmUpRule {
                admission: self,
                now,
                draw,
                may_ask,
            })
    }

    /// Acquires a grant for a request to an engine. `Ok(None)` if it needs none, an error if none
    /// is available.
    pub async fn acquire_grant(
        &self,
        request: &str,
        engine: &Engine,
        draw: f64,
    ) -> Result<Option<Grant>, Exclusion> {
        let key = engine.key();
        if !self.is_enabled || !self.needs_grant(key, draw, self.now()) {
            return Ok(None);
        }
        if self.ensure_grant(engine).await {
            let grant = self.grant_pool.borrow_mut().take(key, self.now());
            if grant.is_some() {
                return Ok(grant);
            }
        }
        self.back_off(engine);
        self.log_passed_over(request, engine);
        Err(Exclusion::WarmUp)
    }

    /// Stores a grant for the request that prefetched it, or for another one.
    pub fn store_grant(&self, engine: &Engine, grant: Option<Grant>) {
        if let Some(grant) = grant {
            self.grant_pool.borrow_mut().put(engine.key(), grant);
        }
    }

    /// Checks a request right before it is sent: the engine may have started to warm up since it
    /// was chosen, and the grant may have expired.
    pub fn admit(&self, engine: &Engine, draw: f64, grant: Option<Grant>) -> Result<(), Exclusion> {
        let now = self.now();
        if !self.is_enabled || !self.needs_grant(engine.key(), draw, now) {
            return Ok(());
        }
        let grant = grant.filter(|grant| now < grant.until);
        let other = || self.grant_pool.borrow_mut().take(engine.key(), now);
        grant.or_else(other).ok_or(Exclusion::WarmUp)?;
        self.metrics.on_granted_send(&engine.service);
        Ok(())
    }

    /// Handles a response of an engine, which may contain its remaining warm-up time.
    pub fn on_response(&self, engine: &Engine, warm_up: Option<Duration>) {
        if !self.is_enabled {
            return;
        }
        let now = self.now();
        self.engines.borrow_mut().on_reached(engine.key(), now);
        let Some(warm_up) = warm_up else {
            return;
        };
        if let Some(limit) = self.limit(&engine.service) {
            let mut engines = self.engines.borrow_mut();
            engines.on_answer(engine, limit, warm_up, now);
        }
    }

    /// Handles a failed connection to an engine.
    pub fn on_unreachable(&self, engine: &Engine) {
        if !self.is_enabled {
            return;
        }
        if let Some(limit) = self.limit(&engine.service) {
            let now = self.now();
            let mut engines = self.engines.borrow_mut();
            engines.on_unreachable(engine, limit, now);
        }
    }

    /// Applies changes of the engine list, drops expired state and updates metrics.
    pub fn update(&self) {
        if !self.is_enabled {
            return;
        }
        self.refresh();
        let now = self.now();
        self.log_changes(now);
        self.grant_pool.borrow_mut().clean_up(now);
        self.unresponsive
            .borrow_mut()
            .retain(|_, until| now < *until);
        self.metrics
            .set_warming(&self.engines.borrow().warming(now));
    }

    fn now(&self) -> Duration {
        self.node.clock.now()
    }

    fn limit(&self, service: &str) -> Option<WarmUpLimit> {
        self.node.view.routes()?.service(service)?.warm_up
    }

    fn needs_grant(&self, engine: EngineKey, draw: f64, now: Duration) -> bool {
        draw >= self.engines.borrow().grant_free_fraction(engine, now)
    }

    /// Applies the current list of engines if it has changed.
    fn refresh(&self) {
        let view = &self.node.view;
        let mut changes = self.changes.borrow_mut();
        let is_changed = changes.has_changed().unwrap_or(false);
        if (self.has_engine_list.get() && !is_changed) || !view.engines_known() {
            return;
        }
        let Some(routes) = view.routes() else {
            return;
        };
        changes.borrow_and_update();
        self.has_engine_list.set(true);
        let limits = routes.warm_ups();
        let now = self.now();
        let mut engines = self.engines.borrow_mut();
        view.with_engines(|table| {
            engines.on_list(table.listed(), &limits, now);
            self.apply_drain_ends(table, &mut engines, &limits);
        });
        drop(engines);
        self.log_changes(now);
    }

    /// Restarts the warm-up of engines whose zone's drain has ended.
    fn apply_drain_ends(
        &self,
        table: &EngineTable,
        engines: &mut WarmUps,
        limits: &HashMap<&str, WarmUpLimit>,
    ) {
        let zones: BTreeSet<&str> = table.engines().map(|engine| engine.zone.as_str()).collect();
        let mut drain_ends = self.drain_ends.borrow_mut();
        for zone in zones {
            let Some(ended) = self.node.view.zone_restored_at(zone) else {
                continue;
            };
            if drain_ends.insert(zone.to_owned(), ended) == Some(ended) {
                continue;
            }
            let since = self.node.clock.since(ended);
            let zone_engines = table.engines().filter(|engine| engine.zone == zone);
            engines.on_drain_ended(zone_engines, limits, self.now().saturating_sub(since));
        }
    }

    fn log_changes(&self, now: Duration) {
        for change in self.engines.borrow_mut().changes(now) {
            log::info!(
                target: "belief",
                engine = change.instance.as_str(),
                service = change.service.as_str(),
                born_ms = change.born_ms,
                is_warm = change.left.is_none(),
                left_ms = change.left.map_or(0, whole_ms),
                source = change.source.name();
                "warm-up of an engine changed"
            );
        }
    }

    fn group_of(&self, engine: &Engine) -> GroupId {
        let groups = self.node.view.replica_sets();
        groups.map_or(GroupId::default(), |groups| {
            groups.group_of_engine(&engine.instance)
        })
    }

    fn limiters(&self, group: GroupId) -> Vec<Replica> {
        let set = self.node.view.replica_set(group);
        set.map(|set| set.voters).unwrap_or_default()
    }

    fn select_limiters(&self, engine: &Engine, limiters: &[Replica]) -> GrantSelection {
        let now = self.now();
        let unresponsive = self.unresponsive.borrow();
        let candidates = limiters.iter().map(|limiter| {
            let key = LimiterKey(limiter.id.0);
            let is_unresponsive = unresponsive.get(&key).is_some_and(|until| now < *until);
            LimiterCandidate {
                key,
                is_unresponsive,
            }
        });
        let candidates: Vec<LimiterCandidate> = candidates.collect();
        let mut grant_pool = self.grant_pool.borrow_mut();
        let instance = &engine.instance;
        grant_pool.next(engine.key(), instance, &candidates, now, &mut rand::rng())
    }

    /// Requests a grant for an engine unless one is in the pool. Returns whether one is available.
    async fn ensure_grant(&self, engine: &Engine) -> bool {
        let Some(limit) = self.limit(&engine.service) else {
            return false;
        };
        let group = self.group_of(engine);
        let limiters = self.limiters(group);
        let order = match self.select_limiters(engine, &limiters) {
            GrantSelection::Available => return true,
            GrantSelection::Exhausted(_) => return false,
            GrantSelection::Ask(order) => order,
        };
        let asking = self.ask_in_order(engine, limit, group, &limiters, order);
        let asked = tokio::time::timeout(TOTAL_TIMEOUT, asking).await;
        asked.unwrap_or(false)
    }

    /// Asks limiters one by one. Returns whether one issued a grant.
    async fn ask_in_order(
        &self,
        engine: &Engine,
        limit: WarmUpLimit,
        group: GroupId,
        limiters: &[Replica],
        order: Vec<LimiterKey>,
    ) -> bool {
        for key in order {
            let limiter = limiters.iter().find(|limiter| limiter.id.0 == key.0);
            let Some(limiter) = limiter else {
                continue;
            };
            // Marked before the call, because the call may be cancelled before it returns.
            self.unresponsive
                .borrow_mut()
                .insert(key, self.now() + UNRESPONSIVE_PERIOD);
            let requested = self.now();
            let reply = self.ask_limiter(engine, limit, group, limiter).await;
            if self.apply_reply(engine, key, reply, requested) {
                return true;
            }
        }
        false
    }

    async fn ask_limiter(
        &self,
        engine: &Engine,
        limit: WarmUpLimit,
        group: GroupId,
        limiter: &Replica,
    ) -> Result<PeerReply, LinkError> {
        let address = limiter.address.parse();
        let address = address.map_err(|_| LinkError::Unreachable)?;
        let request = GrantRequest {
            group,
            engine: engine.instance.clone(),
            per_ks: limit.per_ks,
            version: self.node.view.version(),
        };
        self.metrics.on_grant_requested(&engine.service);
        let request = PeerRequest::Extension(ExtensionRequest::Grant(request));
        let links = &self.node.links;
        links.call(address, request, LIMITER_TIMEOUT).await
    }

    fn apply_reply(
        &self,
        engine: &Engine,
        from: LimiterKey,
        reply: Result<PeerReply, LinkError>,
        requested: Duration,
    ) -> bool {
        let Ok(PeerReply::Extension(ExtensionReply::Grant(reply))) = reply else {
            return false;
        };
        self.unresponsive.borrow_mut().remove(&from);
        let mut grant_pool = self.grant_pool.borrow_mut();
        match reply {
            GrantReply::Granted => {
                grant_pool.put(engine.key(), Grant::requested_at(requested));
                return true;
            }
            GrantReply::Exhausted { next_ms, retry_ms } => {
                let wait = GrantDelay {
                    next: Duration::from_millis(next_ms),
                    retry: Duration::from_millis(retry_ms),
                };
                let now = self.now();
                grant_pool.on_exhausted(engine.key(), &engine.instance, from, wait, now);
            }
            GrantReply::NotMember => {}
        }
        false
    }

    /// Closes the engine to this gateway's requests for [`UNANSWERED_BACKOFF`], unless it is closed
    /// already, as after a reply that says when a grant is expected.
    fn back_off(&self, engine: &Engine) {
        let now = self.now();
        let mut grant_pool = self.grant_pool.borrow_mut();
        if grant_pool.exhausted_for(engine.key(), now).is_none() {
            grant_pool.set_exhausted(engine.key(), UNANSWERED_BACKOFF, now);
        }
    }

    fn log_passed_over(&self, request: &str, engine: &Engine) {
        self.metrics.on_passed_over(&engine.service);
        let closed = self
            .grant_pool
            .borrow()
            .exhausted_for(engine.key(), self.now());
        log::info!(
            target: "attempt",
            request = request,
            engine = engine.instance.as_str(),
            service = engine.service.as_str(),
            reason = Exclusion::WarmUp.name(),
            closed_ms = closed.map_or(0, whole_ms);
            "engine passed over"
        );
    }

    /// Retry delay until a grant is expected for any engine of the service; at least the limit's
    /// interval between grants and [`RETRY_AFTER`]. `None` if the service has no warm-up limit.
    pub fn retry_after(&self, service: &str) -> Option<Duration> {
        let now = self.now();
        let min_interval = self.limit(service)?.min_interval();
        let grant_pool = self.grant_pool.borrow();
        let first = self.node.view.with_engines(|table| {
            let closed = table.ready(service);
            let closed = closed.filter_map(|engine| grant_pool.exhausted_for(engine.key(), now));
            closed.min()
        });
        Some(
            first
                .unwrap_or(min_interval)
                .max(min_interval)
                .max(RETRY_AFTER),
        )
    }
}
