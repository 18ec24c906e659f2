//! The ways of holding limits that were weighed against each other.

use std::time::Duration;

use rand::RngExt;
use ridgeworks_quota::{
    Limiter, LimiterCandidate, LimiterDecision, LimiterKey, LimiterSelection, LimiterSelector,
    ProgramProgress, QuotaBounds, Share,
};
use ridgeworks_routing::RateLimit;

use super::{Answer, BOUNDS, Moment, Way};

const VERSION: u64 = 1;
/// Part of the requests that begin a program.
const BEGINNINGS: f64 = 0.1;
/// How long a limiter that did not answer is asked last.
const LATE_TIME: Duration = Duration::from_secs(3);

fn name(tenant: usize) -> String {
    format!("tenant-{tenant}")
}

/// The limiters as a gateway sees them: until when it asks each last.
pub fn candidates(late: &[Duration], now: Duration) -> Vec<LimiterCandidate> {
    let candidates = late.iter().zip(0..).map(|(until, key)| LimiterCandidate {
        key: LimiterKey(key),
        is_unresponsive: now < *until,
    });
    candidates.collect()
}

/// Each limiter gives out its share, and gateways ask any of them: what is built.
pub struct Shares {
    gates: Vec<LimiterSelector>,
    limiters: Vec<Limiter>,
    /// Which limiters did not answer each gateway, and until when.
    late: Vec<Vec<Duration>>,
    limits: Vec<RateLimit>,
    /// Whether a limiter that has lost its memory starts with nothing but what may be lost.
    starts_low: bool,
}

impl Shares {
    pub fn make(gateways: usize, limiters: usize, limits: &[RateLimit]) -> Box<dyn Way> {
        Box::new(Self::new(gateways, limiters, limits, true))
    }

    /// The same without the safeguard at the start of a limiter.
    pub fn make_forgetful(gateways: usize, limiters: usize, limits: &[RateLimit]) -> Box<dyn Way> {
        Box::new(Self::new(gateways, limiters, limits, false))
    }

    fn new(gateways: usize, limiters: usize, limits: &[RateLimit], starts_low: bool) -> Self {
        let fresh = || Limiter::new(BOUNDS, limiters, Duration::ZERO);
        Self {
            gates: (0..gateways).map(|_| LimiterSelector::default()).collect(),
            limiters: (0..limiters).map(|_| fresh()).collect(),
            late: vec![vec![Duration::ZERO; limiters]; gateways],
            limits: limits.to_vec(),
            starts_low,
        }
    }
}

impl Way for Shares {
    fn admit(&mut self, gateway: usize, tenant: usize, moment: &mut Moment<'_>) -> Answer {
        let name = name(tenant);
        let now = moment.now;
        let candidates = candidates(&self.late[gateway], now);
        let progress = if moment.random.random_bool(BEGINNINGS) {
            ProgramProgress::Beginning
        } else {
            ProgramProgress::UnderWay
        };
        let selector = &mut self.gates[gateway];
        let state = selector.next(&name, progress, &candidates, now, moment.random);
        let order = match state {
            LimiterSelection::Granted => return Answer::Granted,
            LimiterSelection::Closed(_) => return Answer::Refused,
            LimiterSelection::Ask(order) => order,
        };
        let mut answer = Answer::Unknown;
        for key in order {
            let limiter = key.0 as usize;
            if !moment.reaches(gateway, limiter) {
                self.late[gateway][limiter] = now + LATE_TIME;
                continue;
            }
            let limit = self.limits[tenant];
            match self.limiters[limiter].admit(&name, progress, limit, VERSION, now) {
                LimiterDecision::Granted => return Answer::Granted,
                LimiterDecision::Exhausted { next, retry } => {
                    self.gates[gateway].on_exhausted(&name, progress, key, next, retry, now);
                    answer = Answer::Refused;
                }
            }
        }
        answer
    }

    fn return_grant(&mut self, gateway: usize, tenant: usize, now: Duration) {
        self.gates[gateway].return_grant(&name(tenant), now);
    }

    fn restart(&mut self, limiter: usize, now: Duration) {
        let known_since = if self.starts_low {
            now
        } else {
            now.saturating_sub(BOUNDS.window)
        };
        self.limiters[limiter] = Limiter::new(BOUNDS, self.limiters.len(), known_since);
    }
}

/// One keeper for each tenant, the first by rank that a gateway reaches, with nothing that keeps two from holding the place at once.
pub struct OneKeeper {
    keepers: Vec<Limiter>,
    limits: Vec<RateLimit>,
}

impl OneKeeper {
    pub fn make(_gateways: usize, limiters: usize, limits: &[RateLimit]) -> Box<dyn Way> {
        let fresh = || Limiter::new(BOUNDS, 1, Duration::ZERO);
        Box::new(Self {
            keepers: (0..limiters).map(|_| fresh()).collect(),
            limits: limits.to_vec(),
        })
    }
}

impl Way for OneKeeper {
    fn admit(&mut self, gateway: usize, tenant: usize, moment: &mut Moment<'_>) -> Answer {
        let count = self.keepers.len();
        let ranks = (0..count).map(|rank| (tenant + rank) % count);
        let mut reached = ranks.filter(|keeper| moment.reaches(gateway, *keeper));
        let Some(keeper) = reached.next() else {
            return Answer::Unknown;
        };
        let limit = self.limits[tenant];
        match self.keepers[keeper].admit(
            &name(tenant),
            ProgramProgress::UnderWay,
            limit,
            VERSION,
            moment.now,
        ) {
            LimiterDecision::Granted => Answer::Granted,
            LimiterDecision::Exhausted { .. } => Answer::Refused,
        }
    }

    fn return_grant(&mut self, _gateway: usize, _tenant: usize, _now: Duration) {}

    fn restart(&mut self, limiter: usize, now: Duration) {
        self.keepers[limiter] = Limiter::new(BOUNDS, 1, now);
    }
}

/// Each gateway counts what it lets through, and hears of the others' counts with their heartbeats.
pub struct ToldCounts {
    /// Requests that were let through, by tenant: when and where.
    let_through: Vec<Vec<(Duration, usize)>>,
    limits: Vec<RateLimit>,
}

impl ToldCounts {
    /// How late a gateway of a middling fleet hears of another one's counts.
    const LAG: Duration = Duration::from_secs(1);

    pub fn make(_gateways: usize, _limiters: usize, limits: &[RateLimit]) -> Box<dyn Way> {
        Box::new(Self {
            let_through: limits.iter().map(|_| Vec::new()).collect(),
            limits: limits.to_vec(),
        })
    }
}

impl Way for ToldCounts {
    fn admit(&mut self, gateway: usize, tenant: usize, moment: &mut Moment<'_>) -> Answer {
        let now = moment.now;
        let window = BOUNDS.window;
        let known = self.let_through[tenant].iter().filter(|(at, by)| {
            let is_own = *by == gateway;
            let is_cut = moment.is_cut(gateway) || moment.is_cut(*by);
            let is_heard = *at + Self::LAG <= now && !is_cut;
            *at + window > now && (is_own || is_heard)
        });
        let limit = self.limits[tenant];
        let allowed = limit.per_ks as f64 / 1_000.0 * window.as_secs_f64() + limit.burst as f64;
        if known.count() as f64 >= allowed {
            return Answer::Refused;
        }
        self.let_through[tenant].push((now, gateway));
        Answer::Granted
    }

    fn return_grant(&mut self, _gateway: usize, _tenant: usize, _now: Duration) {}

    fn restart(&mut self, _limiter: usize, _now: Duration) {}
}

/// The share of one of so many limiters.
pub fn share(limit: RateLimit, bounds: &QuotaBounds, limiters: usize) -> Share {
    Share::new(limit, bounds, limiters)
}
