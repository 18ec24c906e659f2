//! Grants for requests to engines that are warming up (`docs/design/warm-up.md`).

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use ridgeworks_routing::{EngineKey, WarmUpLimit};

use crate::bucket::{Bucket, Buckets};
use crate::limiter::{LimiterDecision, ProgramProgress};
use crate::limiter_selector::{LimiterCandidate, LimiterKey, LimiterSelection, LimiterSelector};
use crate::share::Share;

/// Lifetime of a grant from the time it was requested. A window may also contain requests whose grants were
/// requested up to this long before it. A limiter answers within a few milliseconds.
pub const GRANT_LIFETIME: Duration = Duration::from_millis(150);
/// Grants that one limiter makes within this time can be sent within one window: a second and the lifetime of
/// a grant.
const GRANT_WINDOW: Duration = Duration::from_millis(1_150);
/// Limiters asked for one request; if they refuse, another engine may take it.
const MAX_LIMITERS_ASKED: usize = 2;
/// Longest delay that a refusal gives.
const MAX_WAIT: Duration = Duration::from_secs(2);
const SECONDS_PER_KS: f64 = 1_000.0;

/// Guarantee for engines that are warming up: within a second an engine receives at most `rate × factor +
/// slack` requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUpBounds {
    /// Multiple of the engine's rate limit.
    pub factor: f64,
    /// Requests in addition.
    pub slack: f64,
}

impl WarmUpBounds {
    /// Most requests that an engine may receive within a second.
    pub fn most(&self, limit: WarmUpLimit) -> f64 {
        per_s(limit) * self.factor + self.slack
    }

    /// The share of one of several limiters. It leaves room for one more, since a replaced limiter that does
    /// not know of its replacement grants its share as well. Each bucket holds at least one request, at a
    /// lower rate if necessary; where that leaves no rate, nothing is granted.
    fn share(&self, limit: WarmUpLimit, limiters: usize) -> Share {
        let limiters = limiters.max(1) as f64;
        let budget = self.most(limit) / (limiters + 1.0);
        let span = GRANT_WINDOW.as_secs_f64();
        let per_s = (per_s(limit) / limiters).min((budget - 1.0) / span);
        let capacity = if per_s > 0.0 {
            budget - per_s * span
        } else {
            0.0
        };
        Share {
            per_s: per_s.max(0.0),
            capacity,
            initial: 0.0,
        }
    }
}

fn per_s(limit: WarmUpLimit) -> f64 {
    limit.per_ks as f64 / SECONDS_PER_KS
}

/// Hands out one share of the rate limit of each engine that is warming up. Times are since the start of the
/// process.
#[derive(Debug)]
pub struct GrantLimiter {
    bounds: WarmUpBounds,
    /// Limiters that share each limit.
    limiters: usize,
    /// Time since which this limiter knows all of its grants.
    known_since: Duration,
    /// By instance rather than by run, so that requests of gateways that have not learned of an engine's
    /// restart yet take tokens from the same bucket as the others.
    buckets: Buckets,
}

impl GrantLimiter {
    /// A limiter that knows nothing of grants before `now`, such as after a restart.
    pub fn new(bounds: WarmUpBounds, limiters: usize, now: Duration) -> Self {
        Self {
            bounds,
            limiters,
            known_since: now,
            buckets: Buckets::default(),
        }
    }

    /// Decides on a request to an engine. Nothing is granted until the grants from before a restart of this
    /// limiter have expired.
    pub fn grant(
        &mut self,
        engine: &str,
        limit: WarmUpLimit,
        version: u64,
        now: Duration,
    ) -> LimiterDecision {
        let known = now.saturating_sub(self.known_since);
        if known < GRANT_WINDOW {
            return exhausted_decision(GRANT_WINDOW - known);
        }
        let share = self.bounds.share(limit, self.limiters);
        if share.capacity < 1.0 {
            return exhausted_decision(MAX_WAIT);
        }
        let fresh = Bucket::new(share, share.capacity, version, now);
        self.buckets
            .take(engine, fresh, ProgramProgress::UnderWay, MAX_WAIT)
    }

    /// If there are too many full buckets, discards those of the oldest configuration versions.
    pub fn clean_up(&mut self, now: Duration) {
        self.buckets.clean_up(now);
    }

    /// Engines with recent grants.
    pub fn len(&self) -> usize {
        self.buckets.non_full_count()
    }

    /// Whether no engine has recent grants.
    pub fn is_empty(&self) -> bool {
        self.buckets.non_full_count() == 0
    }
}

fn exhausted_decision(time: Duration) -> LimiterDecision {
    LimiterDecision::Exhausted {
        next: time,
        retry: time,
    }
}

/// Delays given by a limiter that refuses a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct GrantDelay {
    /// Time until the limiter can grant any request.
    pub next: Duration,
    /// Time until this request can be granted if all requests that were refused before it retry first.
    pub retry: Duration,
}

/// A grant that is valid until a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Expiry, since the start of the process.
    pub until: Duration,
}

impl Grant {
    /// A grant that was requested at this time.
    pub fn requested_at(asked: Duration) -> Self {
        Self {
            until: asked + GRANT_LIFETIME,
        }
    }
}

/// How to handle a request to an engine that is warming up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GrantSelection {
    /// A grant is in the pool.
    Available,
    /// Ask these limiters in this order.
    Ask(Vec<LimiterKey>),
    /// There will be no grant for this long.
    Exhausted(Duration),
}

/// A gateway's unused grants and its knowledge of the limiters. Times are since the start of the process.
#[derive(Debug, Default)]
pub struct GrantPool {
    selector: LimiterSelector,
    grants: HashMap<EngineKey, Vec<Grant>>,
    /// Until when there is no grant, by engine.
    exhausted_until: HashMap<EngineKey, Duration>,
}

impl GrantPool {
    /// Looks for a grant in the pool, or selects limiters to ask.
    pub fn next(
        &mut self,
        engine: EngineKey,
        instance: &str,
        limiters: &[LimiterCandidate],
        now: Duration,
        random: &mut impl Rng,
    ) -> GrantSelection {
        if self.has(engine, now) {
            return GrantSelection::Available;
        }
        if let Some(left) = self.exhausted_for(engine, now) {
            return GrantSelection::Exhausted(left);
        }
        let progress = ProgramProgress::UnderWay;
        let selection = self
            .selector
            .next(instance, progress, limiters, now, random);
        match selection {
            LimiterSelection::Granted => GrantSelection::Available,
            LimiterSelection::Exhausted(left) => GrantSelection::Exhausted(left),
            LimiterSelection::Ask(mut order) => {
                order.truncate(MAX_LIMITERS_ASKED);
                GrantSelection::Ask(order)
            }
        }
    }

    /// A limiter refused a grant. The engine's limiters are not asked again until the shortest known `retry`
    /// delay has passed; with many gateways most requests to limiters would otherwise be refused.
    pub fn on_exhausted(
        &mut self,
        engine: EngineKey,
        instance: &str,
        limiter: LimiterKey,
        delay: GrantDelay,
        now: Duration,
    ) {
        let GrantDelay { next, retry } = delay;
        let progress = ProgramProgress::UnderWay;
        self.selector
            .on_exhausted(instance, progress, limiter, next, retry, now);
        self.set_exhausted(engine, retry, now);
    }

    /// Adds a grant. [`GrantPool::exhausted_for`] then returns `None` for the engine.
    pub fn put(&mut self, engine: EngineKey, grant: Grant) {
        self.exhausted_until.remove(&engine);
        self.grants.entry(engine).or_default().push(grant);
    }

    /// Whether there is a valid grant.
    pub fn has(&self, engine: EngineKey, now: Duration) -> bool {
        let grants = self.grants.get(&engine);
        grants.is_some_and(|grants| grants.iter().any(|grant| now < grant.until))
    }

    /// Takes the grant that expires first; `None` without a valid one.
    pub fn take(&mut self, engine: EngineKey, now: Duration) -> Option<Grant> {
        let grants = self.grants.get_mut(&engine)?;
        grants.retain(|grant| now < grant.until);
        let first = (0..grants.len()).min_by_key(|index| grants[*index].until)?;
        Some(grants.swap_remove(first))
    }

    /// Records that there is no grant for an engine for this long, or for the shorter known time.
    pub fn set_exhausted(&mut self, engine: EngineKey, time: Duration, now: Duration) {
        let left = self.exhausted_for(engine, now);
        let time = left.map_or(time, |left| left.min(time));
        self.exhausted_until.insert(engine, now + time);
    }

    /// Remaining time for which no grant is expected for an engine, so that its limiters are not asked; `None`
    /// if that time has passed or is not known.
    pub fn exhausted_for(&self, engine: EngineKey, now: Duration) -> Option<Duration> {
        let until = self
            .exhausted_until
            .get(&engine)
            .filter(|until| now < **until)?;
        Some(*until - now)
    }

    /// Drops expired state.
    pub fn clean_up(&mut self, now: Duration) {
        self.selector.clean_up(now);
        self.exhausted_until.retain(|_, until| now < *until);
        self.grants.retain(|_, grants| {
            grants.retain(|grant| now < grant.until);
            !grants.is_empty()
        });
    }
}
