//! Simulation of gateways, limiters and tenants in virtual time, with faults drawn from a seed.
#![allow(dead_code, reason = "each test file uses its own part of the support")]

pub mod algorithms;
pub mod warm_up_algorithms;
pub mod warm_up_schedule;

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ridgeworks_quota::QuotaBounds;
use ridgeworks_routing::RateLimit;

pub const BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(5),
    overshoot: 0.1,
    slack: 20.0,
};

/// Start of traffic; limiters have run for longer than a window by then.
const BEGIN: Duration = Duration::from_secs(6);
const END: Duration = Duration::from_secs(20);

/// Answer of an algorithm to one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    Granted,
    Refused,
    /// No limiter was reached.
    Unknown,
}

/// State of the simulation that an algorithm can see.
pub struct Context<'a> {
    pub now: Duration,
    /// Pairs of a gateway and a limiter that cannot reach each other.
    pub unreachable_pairs: &'a [(usize, usize)],
    /// Limiters that are down.
    pub down: &'a [bool],
    pub random: &'a mut ChaCha8Rng,
}

impl Context<'_> {
    /// Whether a request of the gateway reaches the limiter.
    pub fn reaches(&self, gateway: usize, limiter: usize) -> bool {
        !self.unreachable_pairs.contains(&(gateway, limiter)) && !self.down[limiter]
    }

    /// Whether the gateway is cut off from any limiter.
    pub fn is_partitioned(&self, gateway: usize) -> bool {
        self.unreachable_pairs
            .iter()
            .any(|(other, _)| *other == gateway)
    }
}

/// An algorithm for limits over all gateways.
pub trait Algorithm {
    fn admit(&mut self, gateway: usize, tenant: usize, context: &mut Context<'_>) -> Answer;
    /// A grant reached no engine.
    fn return_grant(&mut self, gateway: usize, tenant: usize, now: Duration);
    /// A limiter restarts and has lost its state.
    fn restart(&mut self, limiter: usize, now: Duration);
}

/// Creates an algorithm for a number of gateways, a number of limiters, and the limits of tenants.
pub type MakeAlgorithm = fn(usize, usize, &[RateLimit]) -> Box<dyn Algorithm>;

/// Conditions of a schedule.
#[derive(Debug, Clone, Copy)]
pub struct Conditions {
    /// Whether there are partitions and restarts.
    pub faults: bool,
    /// Load as a multiple of the limit.
    pub load: f64,
    /// Fraction of the grants that reach no engine.
    pub unused_fraction: f64,
}

/// Results of one schedule for one tenant.
#[derive(Debug, Clone, Copy)]
pub struct TenantResults {
    pub asked: usize,
    pub refused: usize,
    pub unknown: usize,
    /// Requests in the fullest window as a fraction of its bound.
    pub fullest: f64,
}

struct SentRequest {
    sent_at: Duration,
    arrived_at: Duration,
}

/// Runs a schedule and returns the results for each tenant.
pub fn run_schedule(make: MakeAlgorithm, seed: u64, conditions: Conditions) -> Vec<TenantResults> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let gateways = random.random_range(3..40);
    let limiters = if random.random_bool(0.5) { 3 } else { 5 };
    let limits: Vec<RateLimit> = (0..3).map(|_| draw_limit(&mut random)).collect();
    let mut algorithm = make(gateways, limiters, &limits);
    let faults = Faults::draw(&mut random, gateways, limiters, conditions.faults);
    let mut results = Vec::new();
    let mut arrivals = draw_arrivals(&mut random, &limits, conditions.load);
    arrivals.sort_unstable();
    let mut sent_requests: Vec<Vec<SentRequest>> = limits.iter().map(|_| Vec::new()).collect();
    let mut counts = vec![(0, 0, 0); limits.len()];
    let mut restarts = faults.restarts().into_iter().peekable();
    for (now, tenant) in arrivals {
        while let Some((_, limiter)) = restarts.next_if(|(at, _)| *at <= now) {
            algorithm.restart(limiter, now);
        }
        let down = faults.down(now, limiters);
        let gateway = random.random_range(0..gateways);
        let mut context = Context {
            now,
            unreachable_pairs: faults.unreachable_pairs(now),
            down: &down,
            random: &mut random,
        };
        let answer = algorithm.admit(gateway, tenant, &mut context);
        let (asked, refused, unknown) = &mut counts[tenant];
        *asked += 1;
        match answer {
            Answer::Refused => *refused += 1,
            Answer::Unknown => *unknown += 1,
            Answer::Granted if random.random_bool(conditions.unused_fraction) => {
                algorithm.return_grant(gateway, tenant, now);
            }
            Answer::Granted => {
                let message_delay = Duration::from_millis(random.random_range(0..20));
                sent_requests[tenant].push(SentRequest {
                    sent_at: now,
                    arrived_at: now + message_delay,
                });
            }
        }
    }
    for (tenant, limit) in limits.iter().enumerate() {
        let (asked, refused, unknown) = counts[tenant];
        results.push(TenantResults {
            asked,
            refused,
            unknown,
            fullest: fullest(&sent_requests[tenant]) as f64 / BOUNDS.most(*limit),
        });
    }
    results
}

/// Log-uniform from one request in two seconds to some tens per second.
fn draw_limit(random: &mut ChaCha8Rng) -> RateLimit {
    let exponent = random.random_range(-0.3..1.6);
    let per_s = 10_f64.powf(exponent);
    RateLimit {
        per_ks: (per_s * 1_000.0) as u64,
        burst: per_s.round().max(1.0) as u64,
    }
}

fn draw_arrivals(
    random: &mut ChaCha8Rng,
    limits: &[RateLimit],
    load: f64,
) -> Vec<(Duration, usize)> {
    let mut arrivals = Vec::new();
    for (tenant, limit) in limits.iter().enumerate() {
        let per_s = limit.per_ks as f64 / 1_000.0 * load;
        let mut at = BEGIN.as_secs_f64();
        loop {
            let drawn: f64 = random.random_range(f64::EPSILON..1.0);
            at -= drawn.ln() / per_s;
            if at >= END.as_secs_f64() {
                break;
            }
            arrivals.push((Duration::from_secs_f64(at), tenant));
        }
    }
    arrivals
}

/// Most requests that were sent and arrived within one window.
fn fullest(sent_requests: &[SentRequest]) -> usize {
    let windows = sent_requests.iter().enumerate().map(|(first, begin)| {
        let end = begin.sent_at + BOUNDS.window;
        let inside = sent_requests[first..]
            .iter()
            .take_while(|request| request.sent_at <= end);
        inside.filter(|request| request.arrived_at <= end).count()
    });
    windows.max().unwrap_or_default()
}

#[derive(Debug)]
struct Span {
    from: Duration,
    to: Duration,
    limiters: Vec<usize>,
}

impl Span {
    fn covers(&self, at: Duration) -> bool {
        self.from <= at && at < self.to
    }
}

#[derive(Debug)]
struct Faults {
    /// Pairs of a gateway and a limiter that cannot reach each other during the partition.
    unreachable_pairs: Vec<(usize, usize)>,
    partition_from: Duration,
    partition_to: Duration,
    downs: Vec<Span>,
}

impl Faults {
    fn draw(random: &mut ChaCha8Rng, gateways: usize, limiters: usize, wanted: bool) -> Self {
        let mut faults = Self {
            unreachable_pairs: Vec::new(),
            partition_from: BEGIN + Duration::from_secs(1),
            partition_to: BEGIN + Duration::from_secs(9),
            downs: Vec::new(),
        };
        if !wanted {
            return faults;
        }
        // Some gateways are cut off from all limiters, others from some of them.
        for gateway in 0..gateways {
            let share = *[0.0, 0.4, 0.8, 1.0].choose(random).expect("four of them");
            let unreachable = (0..limiters).filter(|_| random.random_bool(share));
            let unreachable: Vec<usize> = unreachable.collect();
            faults
                .unreachable_pairs
                .extend(unreachable.into_iter().map(|limiter| (gateway, limiter)));
        }
        // First the minority that a deployment may lose, then all limiters at once, then all again within a
        // window.
        let mut begin = BEGIN + Duration::from_millis(random.random_range(1_000..6_000));
        for lost in [(limiters - 1) / 2, limiters, limiters] {
            let first = random.random_range(0..limiters);
            let to = begin + Duration::from_millis(random.random_range(300..1_500));
            faults.downs.push(Span {
                from: begin,
                to,
                limiters: (0..lost).map(|next| (first + next) % limiters).collect(),
            });
            begin = to + Duration::from_millis(random.random_range(100..2_500));
        }
        faults
    }

    fn unreachable_pairs(&self, now: Duration) -> &[(usize, usize)] {
        if self.partition_from <= now && now < self.partition_to {
            &self.unreachable_pairs
        } else {
            &[]
        }
    }

    fn down(&self, now: Duration, limiters: usize) -> Vec<bool> {
        let is_down = |limiter| {
            let mut spans = self.downs.iter();
            spans.any(|span| span.covers(now) && span.limiters.contains(&limiter))
        };
        (0..limiters).map(is_down).collect()
    }

    /// When each limiter is up again and has lost its state.
    fn restarts(&self) -> Vec<(Duration, usize)> {
        let ends = self.downs.iter();
        let mut restarts: Vec<(Duration, usize)> = ends
            .flat_map(|span| span.limiters.iter().map(|limiter| (span.to, *limiter)))
            .collect();
        restarts.sort_unstable();
        restarts
    }
}
