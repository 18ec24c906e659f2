//! The implemented algorithm for tenants' limits, and alternatives to compare it with.

use std::time::Duration;

use rand::RngExt;
use ridgeworks_quota::{
    Limiter, LimiterCandidate, LimiterDecision, LimiterKey, LimiterSelection, LimiterSelector,
    ProgramProgress, QuotaBounds, Share,
};
use ridgeworks_routing::RateLimit;

use super::{Algorithm, Answer, BOUNDS, Context};

const VERSION: u64 = 1;
/// Fraction of the requests that start a program.
const FIRST_REQUEST_FRACTION: f64 = 0.1;
/// How long a limiter that did not answer is asked last.
const UNRESPONSIVE_TIME: Duration = Duration::from_secs(3);

fn name(tenant: usize) -> String {
    format!("tenant-{tenant}")
}

/// The limiters as seen by a gateway, from the times until which it asks each of them last.
pub fn candidates(unresponsive_until: &[Duration], now: Duration) -> Vec<LimiterCandidate> {
    let candidates = unresponsive_until
        .iter()
        .zip(0..)
        .map(|(until, key)| LimiterCandidate {
            key: LimiterKey(key),
            is_unresponsive: now < *until,
        });
    candidates.collect()
}

/// The implemented algorithm: each limiter hands out its share, and gateways ask any of them.
pub struct Shares {
    selectors: Vec<LimiterSelector>,
    limiters: Vec<Limiter>,
    /// Until when each gateway asks each limiter last.
    unresponsive_until: Vec<Vec<Duration>>,
    limits: Vec<RateLimit>,
    /// Whether a restarted limiter starts with a reduced bucket.
    is_reduced_after_restart: bool,
}

impl Shares {
    pub fn make(gateways: usize, limiters: usize, limits: &[RateLimit]) -> Box<dyn Algorithm> {
        Box::new(Self::new(gateways, limiters, limits, true))
    }

    /// The same with full buckets after a restart.
    pub fn make_full_after_restart(
        gateways: usize,
        limiters: usize,
        limits: &[RateLimit],
    ) -> Box<dyn Algorithm> {
        Box::new(Self::new(gateways, limiters, limits, false))
    }

    fn new(
        gateways: usize,
        limiters: usize,
        limits: &[RateLimit],
        is_reduced_after_restart: bool,
    ) -> Self {
        let fresh = || Limiter::new(BOUNDS, limiters, Duration::ZERO);
        Self {
            selectors: (0..gateways).map(|_| LimiterSelector::default()).collect(),
            limiters: (0..limiters).map(|_| fresh()).collect(),
            unresponsive_until: vec![vec![Duration::ZERO; limiters]; gateways],
            limits: limits.to_vec(),
            is_reduced_after_restart,
        }
    }
}

impl Algorithm for Shares {
    fn admit(&mut self, gateway: usize, tenant: usize, context: &mut Context<'_>) -> Answer {
        let name = name(tenant);
        let now = context.now;
        let candidates = candidates(&self.unresponsive_until[gateway], now);
        let progress = if context.random.random_bool(FIRST_REQUEST_FRACTION) {
            ProgramProgress::Beginning
        } else {
            ProgramProgress::UnderWay
        };
        let selector = &mut self.selectors[gateway];
        let state = selector.next(&name, progress, &candidates, now, context.random);
        let order = match state {
            LimiterSelection::Granted => return Answer::Granted,
            LimiterSelection::Exhausted(_) => return Answer::Refused,
            LimiterSelection::Ask(order) => order,
        };
        let mut answer = Answer::Unknown;
        for key in order {
            let limiter = key.0 as usize;
            if !context.reaches(gateway, limiter) {
                self.unresponsive_until[gateway][limiter] = now + UNRESPONSIVE_TIME;
                continue;
            }
            let limit = self.limits[tenant];
            match self.limiters[limiter].admit(&name, progress, limit, VERSION, now) {
                LimiterDecision::Granted => return Answer::Granted,
                LimiterDecision::Exhausted { next, retry } => {
                    self.selectors[gateway].on_exhausted(&name, progress, key, next, retry, now);
                    answer = Answer::Refused;
                }
            }
        }
        answer
    }

    fn return_grant(&mut self, gateway: usize, tenant: usize, now: Duration) {
        self.selectors[gateway].return_grant(&name(tenant), now);
    }

    fn restart(&mut self, limiter: usize, now: Duration) {
        let known_since = if self.is_reduced_after_restart {
            now
        } else {
            now.saturating_sub(BOUNDS.window)
        };
        self.limiters[limiter] = Limiter::new(BOUNDS, self.limiters.len(), known_since);
    }
}

/// One limiter for each tenant, the first by rank that a gateway reaches, without a guarantee that only one
/// is active.
pub struct SingleLimiter {
    tenant_limiters: Vec<Limiter>,
    limits: Vec<RateLimit>,
}

impl SingleLimiter {
    pub fn make(_gateways: usize, limiters: usize, limits: &[RateLimit]) -> Box<dyn Algorithm> {
        let fresh = || Limiter::new(BOUNDS, 1, Duration::ZERO);
        Box::new(Self {
            tenant_limiters: (0..limiters).map(|_| fresh()).collect(),
            limits: limits.to_vec(),
        })
    }
}

impl Algorithm for SingleLimiter {
    fn admit(&mut self, gateway: usize, tenant: usize, context: &mut Context<'_>) -> Answer {
        let count = self.tenant_limiters.len();
        let ranks = (0..count).map(|rank| (tenant + rank) % count);
        let mut reached = ranks.filter(|active| context.reaches(gateway, *active));
        let Some(active) = reached.next() else {
            return Answer::Unknown;
        };
        let limit = self.limits[tenant];
        match self.tenant_limiters[active].admit(
            &name(tenant),
            ProgramProgress::UnderWay,
            limit,
            VERSION,
            context.now,
        ) {
            LimiterDecision::Granted => Answer::Granted,
            LimiterDecision::Exhausted { .. } => Answer::Refused,
        }
    }

    fn return_grant(&mut self, _gateway: usize, _tenant: usize, _now: Duration) {}

    fn restart(&mut self, limiter: usize, now: Duration) {
        self.tenant_limiters[limiter] = Limiter::new(BOUNDS, 1, now);
    }
}

/// Each gateway counts its own grants and receives the counts of the others in their heartbeats.
pub struct GossipedCounts {
    /// Times and gateways of the grants, by tenant.
    grants: Vec<Vec<(Duration, usize)>>,
    limits: Vec<RateLimit>,
}

impl GossipedCounts {
    /// Delay of the counts of another gateway in a fleet of medium size.
    const LAG: Duration = Duration::from_secs(1);

    pub fn make(_gateways: usize, _limiters: usize, limits: &[RateLimit]) -> Box<dyn Algorithm> {
        Box::new(Self {
            grants: limits.iter().map(|_| Vec::new()).collect(),
            limits: limits.to_vec(),
        })
    }
}

impl Algorithm for GossipedCounts {
    fn admit(&mut self, gateway: usize, tenant: usize, context: &mut Context<'_>) -> Answer {
        let now = context.now;
        let window = BOUNDS.window;
        let known = self.grants[tenant].iter().filter(|(at, by)| {
            let is_own = *by == gateway;
            let is_partitioned = context.is_partitioned(gateway) || context.is_partitioned(*by);
            let is_received = *at + Self::LAG <= now && !is_partitioned;
            *at + window > now && (is_own || is_received)
        });
        let limit = self.limits[tenant];
        let allowed = limit.per_ks as f64 / 1_000.0 * window.as_secs_f64() + limit.burst as f64;
        if known.count() as f64 >= allowed {
            return Answer::Refused;
        }
        self.grants[tenant].push((now, gateway));
        Answer::Granted
    }

    fn return_grant(&mut self, _gateway: usize, _tenant: usize, _now: Duration) {}

    fn restart(&mut self, _limiter: usize, _now: Duration) {}
}

pub fn share(limit: RateLimit, bounds: &QuotaBounds, limiters: usize) -> Share {
    Share::new(limit, bounds, limiters)
}
