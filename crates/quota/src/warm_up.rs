//! Grants for requests to engines that warm up (`docs/design/warm-up.md`).

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use ridgeworks_routing::{EngineKey, WarmUpLimit};

use crate::bucket::{Bucket, Buckets};
use crate::limiter::{LimiterDecision, ProgramProgress};
use crate::limiter_selector::{LimiterCandidate, LimiterKey, LimiterSelection, LimiterSelector};
use crate::share::Share;

/// How long after it was asked for a grant may be used. What was granted before a window is sent within it for so long; a limiter's
/// answer takes some milliseconds.
pub const GRANT_LIFETIME: Duration = Duration::from_millis(150);
/// What one limiter gives out within it may be sent within one window.
const GRANT_WINDOW: Duration = Duration::from_millis(1_150);
/// Limiters that are asked for one request: another engine may take it.
const MAX_LIMITERS_ASKED: usize = 2;
/// For how long at most a request is told to stay away.
const MAX_WAIT: Duration = Duration::from_secs(2);
const SECONDS_PER_KS: f64 = 1_000.0;

/// What a deployment promises of engines that warm up: within a second one receives no more requests than `rate × factor + slack`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUpBounds {
    /// How many times what an engine bears.
    pub factor: f64,
    /// Requests besides.
    pub slack: f64,
}

impl WarmUpBounds {
    /// The most requests that an engine may receive within a second.
    pub fn most(&self, limit: WarmUpLimit) -> f64 {
        per_s(limit) * self.factor + self.slack
    }

    /// What one of so many limiters gives out. A limiter that was replaced and has not heard of it gives its part out beside the one in
    /// its place. Each bucket holds one request at least, if need be at a lower rate; where that leaves nothing, nothing is given out.
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

/// Gives out one share of what each engine bears that warms up. Times are since the start of the process.
#[derive(Debug)]
pub struct GrantLimiter {
    bounds: WarmUpBounds,
    /// Limiters that a limit is split among.
    limiters: usize,
    /// Since when it is known what this limiter has given out.
    known_since: Duration,
    /// By identifier, not by run: gateways that have not heard of a run's end yet are counted with those that have.
    buckets: Buckets,
}

impl GrantLimiter {
    /// A limiter that knows nothing of what was given out before now.
    pub fn new(bounds: WarmUpBounds, limiters: usize, now: Duration) -> Self {
        Self {
            bounds,
            limiters,
            known_since: now,
            buckets: Buckets::default(),
        }
    }

    /// Whether a request may go to an engine. Nothing is given out before what an earlier life of this limiter gave out has lapsed.
    pub fn grant(
        &mut self,
        engine: &str,
        limit: WarmUpLimit,
        version: u64,
        now: Duration,
    ) -> LimiterDecision {
        let known = now.saturating_sub(self.known_since);
        if known < GRANT_WINDOW {
            return exhausted_for(GRANT_WINDOW - known);
        }
        let share = self.bounds.share(limit, self.limiters);
        if share.capacity < 1.0 {
            return exhausted_for(MAX_WAIT);
        }
        let fresh = Bucket::new(share, share.capacity, version, now);
        self.buckets
            .take(engine, fresh, ProgramProgress::UnderWay, MAX_WAIT)
    }

    /// Lets go of full buckets beyond those that are kept for the limits that they tell.
    pub fn clean_up(&mut self, now: Duration) {
        self.buckets.clean_up(now);
    }

    /// Engines for which something was given out lately.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Whether nothing was given out lately.
    pub fn is_empty(&self) -> bool {
        self.buckets.len() == 0
    }
}

fn exhausted_for(time: Duration) -> LimiterDecision {
    LimiterDecision::Exhausted {
        next: time,
        retry: time,
    }
}

/// What a limiter says that has nothing to give.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct GrantDelay {
    /// Until it can grant anything.
    pub next: Duration,
    /// Until it can grant this request, if all that were turned away before come back first.
    pub retry: Duration,
}

/// A grant that may be used until then.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Time since the start of the process.
    pub until: Duration,
}

impl Grant {
    /// A grant that was asked for at this time.
    pub fn requested_at(asked: Duration) -> Self {
        Self {
            until: asked + GRANT_LIFETIME,
        }
    }
}

/// What a gateway does with a request that would go to an engine that warms up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GrantState {
    /// A grant is at hand.
    Available,
    /// These limiters are to be asked, in this order.
    Ask(Vec<LimiterKey>),
    /// Nothing is to be had before this time is over.
    Closed(Duration),
}

/// The grants that a gateway has at hand, and what it knows of the limiters. Times are since the start of the process.
#[derive(Debug, Default)]
pub struct GrantPool {
    selector: LimiterSelector,
    grants: HashMap<EngineKey, Vec<Grant>>,
    /// Until when nothing is to be had for an engine.
    exhausted_until: HashMap<EngineKey, Duration>,
}

impl GrantPool {
    /// What is to be done for a request that would go to an engine.
    pub fn next(
        &mut self,
        engine: EngineKey,
        instance: &str,
        limiters: &[LimiterCandidate],
        now: Duration,
        random: &mut impl Rng,
    ) -> GrantState {
        if self.has(engine, now) {
            return GrantState::Available;
        }
        if let Some(left) = self.closed_for(engine, now) {
            return GrantState::Closed(left);
        }
        let progress = ProgramProgress::UnderWay;
        let state = self
            .selector
            .next(instance, progress, limiters, now, random);
        match state {
            LimiterSelection::Granted => GrantState::Available,
            LimiterSelection::Closed(left) => GrantState::Closed(left),
            LimiterSelection::Ask(mut order) => {
                order.truncate(MAX_LIMITERS_ASKED);
                GrantState::Ask(order)
            }
        }
    }

    /// A limiter had nothing to give. The engine is not asked for before the first limiter keeps something for this request: with many
    /// gateways each would ask in vain again and again.
    pub fn on_exhausted(
        &mut self,
        engine: EngineKey,
        instance: &str,
        limiter: LimiterKey,
        wait: GrantDelay,
        now: Duration,
    ) {
        let GrantDelay { next, retry } = wait;
        let progress = ProgramProgress::UnderWay;
        self.selector
            .on_exhausted(instance, progress, limiter, next, retry, now);
        self.close(engine, retry, now);
    }

    /// Puts a grant by.
    pub fn put(&mut self, engine: EngineKey, grant: Grant) {
        self.exhausted_until.remove(&engine);
        self.grants.entry(engine).or_default().push(grant);
    }

    /// Whether there is a grant that may be used now.
    pub fn has(&self, engine: EngineKey, now: Duration) -> bool {
        let grants = self.grants.get(&engine);
        grants.is_some_and(|grants| grants.iter().any(|grant| now < grant.until))
    }

    /// Uses a grant up, the one that lapses first.
    pub fn take(&mut self, engine: EngineKey, now: Duration) -> Option<Grant> {
        let grants = self.grants.get_mut(&engine)?;
        grants.retain(|grant| now < grant.until);
        let first = (0..grants.len()).min_by_key(|index| grants[*index].until)?;
        Some(grants.swap_remove(first))
    }

    /// Nothing is to be had for an engine for this time, or for less where that is known already.
    pub fn close(&mut self, engine: EngineKey, time: Duration, now: Duration) {
        let left = self.closed_for(engine, now);
        let time = left.map_or(time, |left| left.min(time));
        self.exhausted_until.insert(engine, now + time);
    }

    /// For how long nothing is to be had for an engine; `None` where that is not known.
    pub fn closed_for(&self, engine: EngineKey, now: Duration) -> Option<Duration> {
        let until = self
            .exhausted_until
            .get(&engine)
            .filter(|until| now < **until)?;
        Some(*until - now)
    }

    /// Lets go of what lies in the past.
    pub fn clean_up(&mut self, now: Duration) {
        self.selector.clean_up(now);
        self.exhausted_until.retain(|_, until| now < *until);
        self.grants.retain(|_, grants| {
            grants.retain(|grant| now < grant.until);
            !grants.is_empty()
        });
    }
}
