//! The ways of holding what reaches an engine that warms up.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ridgeworks_quota::{
    GRANT_LIFETIME, GrantDelay, GrantLimiter, GrantPool, GrantState, LimiterDecision, LimiterKey,
};
use ridgeworks_routing::{EngineKey, WarmUpLimit};

use super::Moment;
use super::warm_ups::{Decision, WARM_UP_BOUNDS, WarmWay, World};
use super::ways::candidates;

const ENGINE: &str = "engine";
const KEY: EngineKey = EngineKey(1);
const VERSION: u64 = 1;
/// How long a limiter that did not answer is asked last.
const LATE_TIME: Duration = Duration::from_secs(3);

/// A safeguard that is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Without {
    Nothing,
    /// Grants may be used at any time.
    Lifetime,
    /// A limiter gives out from its first moment on.
    SilentStart,
    /// Each limiter gives out all that the engine bears.
    Split,
}

/// Limiters give grants out: what is built.
pub struct Grants {
    without: Without,
    stocks: Vec<GrantPool>,
    /// Those of the set, and the one that takes the first one's place.
    limiters: Vec<GrantLimiter>,
    late: Vec<Vec<Duration>>,
    limit: WarmUpLimit,
    split: usize,
}

impl Grants {
    pub fn make(world: &World) -> Box<dyn WarmWay> {
        Box::new(Self::new(world, Without::Nothing))
    }

    pub fn without_lifetime(world: &World) -> Box<dyn WarmWay> {
        Box::new(Self::new(world, Without::Lifetime))
    }

    pub fn without_silent_start(world: &World) -> Box<dyn WarmWay> {
        Box::new(Self::new(world, Without::SilentStart))
    }

    pub fn without_split(world: &World) -> Box<dyn WarmWay> {
        Box::new(Self::new(world, Without::Split))
    }

    fn new(world: &World, without: Without) -> Self {
        let split = match without {
            Without::Split => 1,
            _ => world.limiters,
        };
        let fresh = || GrantLimiter::new(WARM_UP_BOUNDS, split, Duration::ZERO);
        Self {
            without,
            stocks: (0..world.gateways).map(|_| GrantPool::default()).collect(),
            limiters: (0..=world.limiters).map(|_| fresh()).collect(),
            late: vec![vec![Duration::ZERO; world.limiters]; world.gateways],
            limit: world.limit,
            split,
        }
    }
}

impl WarmWay for Grants {
    fn decide(&mut self, gateway: usize, _world: &World, moment: &mut Moment<'_>) -> Decision {
        let now = moment.now;
        let candidates = candidates(&self.late[gateway], now);
        let stock = &mut self.stocks[gateway];
        match stock.next(KEY, ENGINE, &candidates, now, moment.random) {
            GrantState::Available => Decision::Send,
            GrantState::Closed(_) => Decision::PassOver,
            GrantState::Ask(order) => Decision::Ask(order),
        }
    }

    fn grant(&mut self, limiter: usize, now: Duration) -> LimiterDecision {
        self.limiters[limiter].grant(ENGINE, self.limit, VERSION, now)
    }

    fn on_exhausted(&mut self, gateway: usize, from: LimiterKey, wait: GrantDelay, now: Duration) {
        self.stocks[gateway].on_exhausted(KEY, ENGINE, from, wait, now);
    }

    fn on_silent(&mut self, gateway: usize, from: LimiterKey, now: Duration) {
        self.late[gateway][from.0 as usize] = now + LATE_TIME;
    }

    fn may_send(&self, asked: Duration, now: Duration) -> bool {
        self.without == Without::Lifetime || now < asked + GRANT_LIFETIME
    }

    fn restart(&mut self, limiter: usize, now: Duration) {
        let since = if self.without == Without::SilentStart {
            now.saturating_sub(Duration::from_secs(5))
        } else {
            now
        };
        self.limiters[limiter] = GrantLimiter::new(WARM_UP_BOUNDS, self.split, since);
    }
}

/// Gateways that one believes to run: those it hears.
fn believed(gateway: usize, world: &World, moment: &Moment<'_>) -> usize {
    if moment.is_cut(gateway) {
        return 1;
    }
    let others = (0..world.gateways).filter(|other| !moment.is_cut(*other));
    others
        .filter(|other| !world.is_gone(*other, moment.now))
        .count()
}

/// Each gateway sends its share by how many it believes to run.
pub struct OwnShares {
    /// What each may send, and when that was worked out.
    levels: Vec<(f64, Duration)>,
}

impl OwnShares {
    pub fn make(world: &World) -> Box<dyn WarmWay> {
        Box::new(Self {
            levels: vec![(0.0, Duration::ZERO); world.gateways],
        })
    }
}

impl WarmWay for OwnShares {
    fn decide(&mut self, gateway: usize, world: &World, moment: &mut Moment<'_>) -> Decision {
        let per_s = world.limit.per_ks as f64 / 1_000.0 / believed(gateway, world, moment) as f64;
        let (level, at) = &mut self.levels[gateway];
        // A bucket has to hold a whole request, however small the share.
        *level = (*level + (moment.now - *at).as_secs_f64() * per_s).min(1.0);
        *at = moment.now;
        if *level < 1.0 {
            return Decision::PassOver;
        }
        *level -= 1.0;
        Decision::Send
    }
}

/// A few gateways send to the engine, the first by rank of those that each believes to run.
pub struct Feeders {
    ranks: Vec<u64>,
    levels: Vec<(f64, Duration)>,
}

impl Feeders {
    const COUNT: usize = 3;

    pub fn make(world: &World) -> Box<dyn WarmWay> {
        let mut random = ChaCha8Rng::seed_from_u64(world.gateways as u64);
        Box::new(Self {
            ranks: (0..world.gateways).map(|_| random.random()).collect(),
            levels: vec![(0.0, Duration::ZERO); world.gateways],
        })
    }
}

impl WarmWay for Feeders {
    fn decide(&mut self, gateway: usize, world: &World, moment: &mut Moment<'_>) -> Decision {
        let before = (0..world.gateways).filter(|other| {
            let is_heard = !moment.is_cut(gateway) && !moment.is_cut(*other);
            let is_believed = is_heard && !world.is_gone(*other, moment.now);
            is_believed && self.ranks[*other] > self.ranks[gateway]
        });
        if before.count() >= Self::COUNT {
            return Decision::PassOver;
        }
        let per_s = world.limit.per_ks as f64 / 1_000.0 / Self::COUNT as f64;
        let (level, at) = &mut self.levels[gateway];
        *level = (*level + (moment.now - *at).as_secs_f64() * per_s).min(2.0);
        *at = moment.now;
        if *level < 1.0 {
            return Decision::PassOver;
        }
        *level -= 1.0;
        Decision::Send
    }
}
