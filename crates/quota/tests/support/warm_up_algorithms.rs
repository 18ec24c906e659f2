//! Algorithms for limiting the requests to an engine that is warming up.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ridgeworks_quota::{
    GRANT_LIFETIME, GrantDelay, GrantLimiter, GrantPool, GrantSelection, LimiterDecision,
    LimiterKey,
};
use ridgeworks_routing::{EngineKey, WarmUpLimit};

use super::Context;
use super::algorithms::candidates;
use super::warm_up_schedule::{Decision, Deployment, WARM_UP_BOUNDS, WarmUpAlgorithm};

const ENGINE: &str = "engine";
const KEY: EngineKey = EngineKey(1);
const VERSION: u64 = 1;
/// How long a limiter that did not answer is asked last.
const UNRESPONSIVE_TIME: Duration = Duration::from_secs(3);

/// A safeguard that is disabled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DisabledSafeguard {
    Nothing,
    /// Grants do not expire.
    Lifetime,
    /// A limiter grants requests right after its start.
    StartDelay,
    /// Each limiter has the engine's whole limit.
    Split,
}

/// The implemented algorithm: limiters make grants.
pub struct Grants {
    disabled: DisabledSafeguard,
    pools: Vec<GrantPool>,
    /// The limiters, and the replacement of the first one.
    limiters: Vec<GrantLimiter>,
    unresponsive_until: Vec<Vec<Duration>>,
    limit: WarmUpLimit,
    split: usize,
}

impl Grants {
    pub fn make(deployment: &Deployment) -> Box<dyn WarmUpAlgorithm> {
        Box::new(Self::new(deployment, DisabledSafeguard::Nothing))
    }

    pub fn without_lifetime(deployment: &Deployment) -> Box<dyn WarmUpAlgorithm> {
        Box::new(Self::new(deployment, DisabledSafeguard::Lifetime))
    }

    pub fn without_start_delay(deployment: &Deployment) -> Box<dyn WarmUpAlgorithm> {
        Box::new(Self::new(deployment, DisabledSafeguard::StartDelay))
    }

    pub fn without_split(deployment: &Deployment) -> Box<dyn WarmUpAlgorithm> {
        Box::new(Self::new(deployment, DisabledSafeguard::Split))
    }

    fn new(deployment: &Deployment, disabled: DisabledSafeguard) -> Self {
        let split = match disabled {
            DisabledSafeguard::Split => 1,
            _ => deployment.limiters,
        };
        let fresh = || GrantLimiter::new(WARM_UP_BOUNDS, split, Duration::ZERO);
        Self {
            disabled,
            pools: (0..deployment.gateways)
                .map(|_| GrantPool::default())
                .collect(),
            limiters: (0..=deployment.limiters).map(|_| fresh()).collect(),
            unresponsive_until: vec![
                vec![Duration::ZERO; deployment.limiters];
                deployment.gateways
            ],
            limit: deployment.limit,
            split,
        }
    }
}

impl WarmUpAlgorithm for Grants {
    fn decide(
        &mut self,
        gateway: usize,
        _deployment: &Deployment,
        context: &mut Context<'_>,
    ) -> Decision {
        let now = context.now;
        let candidates = candidates(&self.unresponsive_until[gateway], now);
        let pool = &mut self.pools[gateway];
        match pool.next(KEY, ENGINE, &candidates, now, context.random) {
            GrantSelection::Available => Decision::Send,
            GrantSelection::Exhausted(_) => Decision::Skip,
            GrantSelection::Ask(order) => Decision::Ask(order),
        }
    }

    fn grant(&mut self, limiter: usize, now: Duration) -> LimiterDecision {
        self.limiters[limiter].grant(ENGINE, self.limit, VERSION, now)
    }

    fn on_exhausted(&mut self, gateway: usize, from: LimiterKey, delay: GrantDelay, now: Duration) {
        self.pools[gateway].on_exhausted(KEY, ENGINE, from, delay, now);
    }

    fn on_unresponsive(&mut self, gateway: usize, from: LimiterKey, now: Duration) {
        self.unresponsive_until[gateway][from.0 as usize] = now + UNRESPONSIVE_TIME;
    }

    fn may_send(&self, asked: Duration, now: Duration) -> bool {
        self.disabled == DisabledSafeguard::Lifetime || now < asked + GRANT_LIFETIME
    }

    fn restart(&mut self, limiter: usize, now: Duration) {
        let since = if self.disabled == DisabledSafeguard::StartDelay {
            now.saturating_sub(Duration::from_secs(5))
        } else {
            now
        };
        self.limiters[limiter] = GrantLimiter::new(WARM_UP_BOUNDS, self.split, since);
    }
}

/// Number of gateways that a gateway believes to be running: those whose messages reach it.
fn believed_running(gateway: usize, deployment: &Deployment, context: &Context<'_>) -> usize {
    if context.is_partitioned(gateway) {
        return 1;
    }
    let others = (0..deployment.gateways).filter(|other| !context.is_partitioned(*other));
    others
        .filter(|other| !deployment.is_crash_detected(*other, context.now))
        .count()
}

/// Each gateway sends an equal share by the number of gateways that it believes to be running.
pub struct BelievedShares {
    /// Tokens of each gateway, and when they were updated.
    levels: Vec<(f64, Duration)>,
}

impl BelievedShares {
    pub fn make(deployment: &Deployment) -> Box<dyn WarmUpAlgorithm> {
        Box::new(Self {
            levels: vec![(0.0, Duration::ZERO); deployment.gateways],
        })
    }
}

impl WarmUpAlgorithm for BelievedShares {
    fn decide(
        &mut self,
        gateway: usize,
        deployment: &Deployment,
        context: &mut Context<'_>,
    ) -> Decision {
        let per_s = deployment.limit.per_ks as f64
            / 1_000.0
            / believed_running(gateway, deployment, context) as f64;
        let (level, at) = &mut self.levels[gateway];
        // A bucket has to hold a whole request, however small the share.
        *level = (*level + (context.now - *at).as_secs_f64() * per_s).min(1.0);
        *at = context.now;
        if *level < 1.0 {
            return Decision::Skip;
        }
        *level -= 1.0;
        Decision::Send
    }
}

/// Only a few gateways send to the engine: the first by rank of those that each believes to be running.
pub struct DesignatedGateways {
    ranks: Vec<u64>,
    levels: Vec<(f64, Duration)>,
}

impl DesignatedGateways {
    const COUNT: usize = 3;

    pub fn make(deployment: &Deployment) -> Box<dyn WarmUpAlgorithm> {
        let mut random = ChaCha8Rng::seed_from_u64(deployment.gateways as u64);
        Box::new(Self {
            ranks: (0..deployment.gateways).map(|_| random.random()).collect(),
            levels: vec![(0.0, Duration::ZERO); deployment.gateways],
        })
    }
}

impl WarmUpAlgorithm for DesignatedGateways {
    fn decide(
        &mut self,
        gateway: usize,
        deployment: &Deployment,
        context: &mut Context<'_>,
    ) -> Decision {
        let higher_ranked = (0..deployment.gateways).filter(|other| {
            let is_reachable = !context.is_partitioned(gateway) && !context.is_partitioned(*other);
            let is_believed_running =
                is_reachable && !deployment.is_crash_detected(*other, context.now);
            is_believed_running && self.ranks[*other] > self.ranks[gateway]
        });
        if higher_ranked.count() >= Self::COUNT {
            return Decision::Skip;
        }
        let per_s = deployment.limit.per_ks as f64 / 1_000.0 / Self::COUNT as f64;
        let (level, at) = &mut self.levels[gateway];
        *level = (*level + (context.now - *at).as_secs_f64() * per_s).min(2.0);
        *at = context.now;
        if *level < 1.0 {
            return Decision::Skip;
        }
        *level -= 1.0;
        Decision::Send
    }
}
