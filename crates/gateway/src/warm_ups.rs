//! Keeps requests away from engines that warm up, but for those with a grant (`docs/design/warm-up.md`).

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_quota::{Grant, GrantDelay, GrantPool, GrantState, LimiterCandidate, LimiterKey};
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
use crate::refusal::COME_BACK;

/// How long one limiter may take: another engine serves the request meanwhile, and a grant lapses soon after.
const LIMITER_PATIENCE: Duration = Duration::from_millis(20);
/// How long limiters may take in all, so that the next one is asked where the first is silent.
const PATIENCE: Duration = LIMITER_PATIENCE.saturating_mul(2);
/// How long an engine is passed over where no limiter answered.
const SILENCE: Duration = Duration::from_millis(200);
/// How long a limiter that did not answer is asked last.
const LATE_TIME: Duration = Duration::from_secs(3);

/// Which engines warm up, and the grants for them, at a gateway. Without bounds in the settings it does nothing.
pub struct WarmUpCare {
    node: Rc<Node>,
    is_wanted: bool,
    changes: RefCell<watch::Receiver<()>>,
    has_list: Cell<bool>,
    engines: RefCell<WarmUps>,
    stock: RefCell<GrantPool>,
    /// Until when limiters that did not answer are asked last.
    late: RefCell<HashMap<LimiterKey, Duration>>,
    /// When drains of zones ended, as far as that is taken in.
    returns: RefCell<HashMap<String, Moment>>,
    metrics: WarmUpMetrics,
}

/// Bars engines that warm up and for which nothing is to be had.
pub struct WarmUpRule<'a> {
    care: &'a WarmUpCare,
    now: Duration,
    /// Drawn for the request, from 0 to 1: decides whether it may go to an engine that is hardly warm.
    draw: f64,
    /// Whether it may ask for a grant.
    may_ask: bool,
}

impl EligibilityRule for WarmUpRule<'_> {
    fn exclusion(&self, engine: &Engine) -> Option<Exclusion> {
        let key = engine.key();
        if !self.care.is_counted(key, self.draw, self.now) {
            return None;
        }
        let stock = self.care.stock.borrow();
        let may_be_had = self.may_ask && stock.closed_for(key, self.now).is_none();
        (!may_be_had && !stock.has(key, self.now)).then_some(Exclusion::WarmUp)
    }
}

impl WarmUpCare {
    /// Care for the engines of a gateway on this node.
    pub fn new(node: Rc<Node>, metrics: WarmUpMetrics) -> Self {
        Self {
            is_wanted: node.settings.bounds.warm_up().is_some(),
            changes: RefCell::new(node.view.changes()),
            node,
            has_list: Cell::new(false),
            engines: RefCell::default(),
            stock: RefCell::default(),
            late: RefCell::default(),
            returns: RefCell::default(),
            metrics,
        }
    }

    /// The rule for a request of a service; `None` while none of the service's engines warms up.
    pub fn rule(&self, service: &str, draw: f64, may_ask: bool) -> Option<WarmUpRule<'_>> {
        if !self.is_wanted {
            return None;
        }
        self.refresh();
        let now = self.now();
        let engines = self.engines.borrow();
        engines
            .has_limited_engines(service, now)
            .then_some(WarmUpRule {
                care: self,
                now,
                draw,
                may_ask,
            })
    }

    /// Gets a grant for a request to an engine if it needs one; [`Exclusion`] where none is to be had.
    pub async fn secure(
        &self,
        request: &str,
        engine: &Engine,
        draw: f64,
    ) -> Result<Option<Grant>, Exclusion> {
        let key = engine.key();
        if !self.is_wanted || !self.is_counted(key, draw, self.now()) {
            return Ok(None);
        }
        if self.ask(engine).await {
            let grant = self.stock.borrow_mut().take(key, self.now());
            if grant.is_some() {
                return Ok(grant);
            }
        }
        self.close(engine);
        self.tell_passed_over(request, engine);
        Err(Exclusion::WarmUp)
    }

    /// Puts a grant by that a request needs in a moment, or another one.
    pub fn put_by(&self, engine: &Engine, grant: Option<Grant>) {
        if let Some(grant) = grant {
            self.stock.borrow_mut().put(engine.key(), grant);
        }
    }

    /// Judges right before a request is written: an engine may have begun to warm up since, and a grant may have lapsed.
    pub fn admit(&self, engine: &Engine, draw: f64, grant: Option<Grant>) -> Result<(), Exclusion> {
        let now = self.now();
        if !self.is_wanted || !self.is_counted(engine.key(), draw, now) {
            return Ok(());
        }
        let grant = grant.filter(|grant| now < grant.until);
        let other = || self.stock.borrow_mut().take(engine.key(), now);
        grant.or_else(other).ok_or(Exclusion::WarmUp)?;
        self.metrics.on_granted_send(&engine.service);
        Ok(())
    }

    /// An engine has answered; it may say for how long it warms up.
    pub fn on_answer(&self, engine: &Engine, warm_up: Option<Duration>) {
        if !self.is_wanted {
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

    /// No connection to an engine came about.
    pub fn on_unreachable(&self, engine: &Engine) {
        if !self.is_wanted {
            return;
        }
        if let Some(limit) = self.limit(&engine.service) {
            let now = self.now();
            let mut engines = self.engines.borrow_mut();
            engines.on_unreachable(engine, limit, now);
        }
    }

    /// Takes in what has changed, and lets go of what lies in the past.
    pub fn clean_up(&self) {
        if !self.is_wanted {
            return;
        }
        self.refresh();
        let now = self.now();
        self.tell_news(now);
        self.stock.borrow_mut().clean_up(now);
        self.late.borrow_mut().retain(|_, until| now < *until);
        self.metrics
            .set_warming(&self.engines.borrow().warming(now));
    }

    fn now(&self) -> Duration {
        self.node.clock.now()
    }

    fn limit(&self, service: &str) -> Option<WarmUpLimit> {
        self.node.view.routes()?.service(service)?.warm_up
    }

    fn is_counted(&self, engine: EngineKey, draw: f64, now: Duration) -> bool {
        draw >= self.engines.borrow().share(engine, now)
    }

    /// Takes in the engines as they are listed now, if anything has changed.
    fn refresh(&self) {
        let view = &self.node.view;
        let mut changes = self.changes.borrow_mut();
        let is_changed = changes.has_changed().unwrap_or(false);
        if (self.has_list.get() && !is_changed) || !view.engines_known() {
            return;
        }
        let Some(routes) = view.routes() else {
            return;
        };
        changes.borrow_and_update();
        self.has_list.set(true);
        let limits = routes.warm_ups();
        let now = self.now();
        let mut engines = self.engines.borrow_mut();
        view.with_engines(|table| {
            engines.on_list(table.listed(), &limits, now);
            self.take_returns(table, &mut engines, &limits);
        });
        drop(engines);
        self.tell_news(now);
    }

    /// Engines of a zone whose drain has ended may warm up again.
    fn take_returns(
        &self,
        table: &EngineTable,
        engines: &mut WarmUps,
        limits: &HashMap<&str, WarmUpLimit>,
    ) {
        let zones: BTreeSet<&str> = table.engines().map(|engine| engine.zone.as_str()).collect();
        let mut returns = self.returns.borrow_mut();
        for zone in zones {
            let Some(returned) = self.node.view.zone_restored_at(zone) else {
                continue;
            };
            if returns.insert(zone.to_owned(), returned) == Some(returned) {
                continue;
            }
            let since = self.node.clock.since(returned);
            let own = table.engines().filter(|engine| engine.zone == zone);
            engines.on_drain_ended(own, limits, self.now().saturating_sub(since));
        }
    }

    fn tell_news(&self, now: Duration) {
        for news in self.engines.borrow_mut().news(now) {
            log::info!(
                target: "belief",
                engine = news.instance.as_str(),
                service = news.service.as_str(),
                born_ms = news.born_ms,
                is_warm = news.left.is_none(),
                left_ms = news.left.map_or(0, whole_ms),
                source = news.source.name();
                "warm-up of an engine changed"
            );
        }
    }

    fn group_of(&self, engine: &Engine) -> GroupId {
        let groups = self.node.view.groups();
        groups.map_or(GroupId::default(), |groups| {
            groups.group_of_engine(&engine.instance)
        })
    }

    fn limiters(&self, group: GroupId) -> Vec<Replica> {
        let set = self.node.view.replica_set(group);
        set.map(|set| set.voters).unwrap_or_default()
    }

    fn next(&self, engine: &Engine, limiters: &[Replica]) -> GrantState {
        let now = self.now();
        let late = self.late.borrow();
        let candidates = limiters.iter().map(|limiter| {
            let key = LimiterKey(limiter.id.0);
            let is_unresponsive = late.get(&key).is_some_and(|until| now < *until);
            LimiterCandidate {
                key,
                is_unresponsive,
            }
        });
        let candidates: Vec<LimiterCandidate> = candidates.collect();
        let mut stock = self.stock.borrow_mut();
        let instance = &engine.instance;
        stock.next(engine.key(), instance, &candidates, now, &mut rand::rng())
    }

    /// Asks for a grant for an engine; says whether one is at hand.
    async fn ask(&self, engine: &Engine) -> bool {
        let Some(limit) = self.limit(&engine.service) else {
            return false;
        };
        let group = self.group_of(engine);
        let limiters = self.limiters(group);
        let order = match self.next(engine, &limiters) {
            GrantState::Available => return true,
            GrantState::Closed(_) => return false,
            GrantState::Ask(order) => order,
        };
        let asking = self.ask_in_turn(engine, limit, group, &limiters, order);
        let asked = tokio::time::timeout(PATIENCE, asking).await;
        asked.unwrap_or(false)
    }

    /// Asks limiters one after the other; says whether one gave a grant.
    async fn ask_in_turn(
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
            // A limiter whose answer is not waited for to the end counts as late.
            self.late.borrow_mut().insert(key, self.now() + LATE_TIME);
            let asked = self.now();
            let reply = self.ask_limiter(engine, limit, group, limiter).await;
            if self.take_reply(engine, key, reply, asked) {
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
        self.metrics.on_asked(&engine.service);
        let request = PeerRequest::Extension(ExtensionRequest::Grant(request));
        let links = &self.node.links;
        links.call(address, request, LIMITER_PATIENCE).await
    }

    fn take_reply(
        &self,
        engine: &Engine,
        from: LimiterKey,
        reply: Result<PeerReply, LinkError>,
        asked: Duration,
    ) -> bool {
        let Ok(PeerReply::Extension(ExtensionReply::Grant(reply))) = reply else {
            return false;
        };
        self.late.borrow_mut().remove(&from);
        let mut stock = self.stock.borrow_mut();
        match reply {
            GrantReply::Granted => {
                stock.put(engine.key(), Grant::requested_at(asked));
                return true;
            }
            GrantReply::Exhausted { next_ms, retry_ms } => {
                let wait = GrantDelay {
                    next: Duration::from_millis(next_ms),
                    retry: Duration::from_millis(retry_ms),
                };
                let now = self.now();
                stock.on_exhausted(engine.key(), &engine.instance, from, wait, now);
            }
            GrantReply::NotMember => {}
        }
        false
    }

    /// Nothing was to be had: for a while where no limiter has said for how long.
    fn close(&self, engine: &Engine) {
        let now = self.now();
        let mut stock = self.stock.borrow_mut();
        if stock.closed_for(engine.key(), now).is_none() {
            stock.close(engine.key(), SILENCE, now);
        }
    }

    fn tell_passed_over(&self, request: &str, engine: &Engine) {
        self.metrics.on_withheld(&engine.service);
        let closed = self.stock.borrow().closed_for(engine.key(), self.now());
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

    /// When the first engine of a service has something again.
    pub fn retry_later(&self, service: &str) -> Option<Duration> {
        let now = self.now();
        let min_interval = self.limit(service)?.min_interval();
        let stock = self.stock.borrow();
        let first = self.node.view.with_engines(|table| {
            let closed = table.ready(service);
            let closed = closed.filter_map(|engine| stock.closed_for(engine.key(), now));
            closed.min()
        });
        Some(
            first
                .unwrap_or(min_interval)
                .max(min_interval)
                .max(COME_BACK),
        )
    }
}
