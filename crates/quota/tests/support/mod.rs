//! Gateways, limiters and tenants under virtual time, with what goes wrong between them drawn from a seed.
#![allow(dead_code, reason = "each test file uses its own part of the support")]

pub mod warm_ups;
pub mod warm_ways;
pub mod ways;

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

/// When traffic begins: limiters have run for longer than a window.
const BEGIN: Duration = Duration::from_secs(6);
const END: Duration = Duration::from_secs(20);

/// How a way answers for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    Granted,
    Refused,
    /// Nobody who may tell was reached.
    Unknown,
}

/// What a way may see of the world at one moment.
pub struct Moment<'a> {
    pub now: Duration,
    /// Gateways and limiters between which nothing passes.
    pub cut: &'a [(usize, usize)],
    /// Limiters that do not run.
    pub down: &'a [bool],
    pub random: &'a mut ChaCha8Rng,
}

impl Moment<'_> {
    /// Whether a question of a gateway reaches a limiter.
    pub fn reaches(&self, gateway: usize, limiter: usize) -> bool {
        !self.cut.contains(&(gateway, limiter)) && !self.down[limiter]
    }

    /// Whether a gateway is cut off from any node.
    pub fn is_cut(&self, gateway: usize) -> bool {
        self.cut.iter().any(|(cut, _)| *cut == gateway)
    }
}

/// A way of holding limits over all gateways.
pub trait Way {
    fn admit(&mut self, gateway: usize, tenant: usize, moment: &mut Moment<'_>) -> Answer;
    /// A grant reached no engine.
    fn return_grant(&mut self, gateway: usize, tenant: usize, now: Duration);
    /// A limiter has lost its memory.
    fn restart(&mut self, limiter: usize, now: Duration);
}

/// Makes a way for these gateways, limiters and tenants.
pub type MakeWay = fn(usize, usize, &[RateLimit]) -> Box<dyn Way>;

/// What is drawn for one schedule.
#[derive(Debug, Clone, Copy)]
pub struct Trouble {
    /// Whether gateways are cut off and limiters restart.
    pub faults: bool,
    /// Requests against the limit.
    pub load: f64,
    /// Part of the grants that reach no engine.
    pub unused: f64,
}

/// What one schedule showed of one tenant.
#[derive(Debug, Clone, Copy)]
pub struct Seen {
    pub asked: usize,
    pub refused: usize,
    pub unknown: usize,
    /// The fullest window against what it may hold.
    pub fullest: f64,
}

struct Ran {
    sent: Duration,
    ran: Duration,
}

/// Plays a schedule; says what it showed of each tenant.
pub fn play(make: MakeWay, seed: u64, trouble: Trouble) -> Vec<Seen> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let gateways = random.random_range(3..40);
    let limiters = if random.random_bool(0.5) { 3 } else { 5 };
    let limits: Vec<RateLimit> = (0..3).map(|_| draw_limit(&mut random)).collect();
    let mut way = make(gateways, limiters, &limits);
    let faults = Faults::draw(&mut random, gateways, limiters, trouble.faults);
    let mut seen = Vec::new();
    let mut arrivals = draw_arrivals(&mut random, &limits, trouble.load);
    arrivals.sort_unstable();
    let mut ran: Vec<Vec<Ran>> = limits.iter().map(|_| Vec::new()).collect();
    let mut counts = vec![(0, 0, 0); limits.len()];
    let mut restarts = faults.restarts().into_iter().peekable();
    for (now, tenant) in arrivals {
        while let Some((_, limiter)) = restarts.next_if(|(at, _)| *at <= now) {
            way.restart(limiter, now);
        }
        let down = faults.down(now, limiters);
        let gateway = random.random_range(0..gateways);
        let mut moment = Moment {
            now,
            cut: faults.cut(now),
            down: &down,
            random: &mut random,
        };
        let answer = way.admit(gateway, tenant, &mut moment);
        let (asked, refused, unknown) = &mut counts[tenant];
        *asked += 1;
        match answer {
            Answer::Refused => *refused += 1,
            Answer::Unknown => *unknown += 1,
            Answer::Granted if random.random_bool(trouble.unused) => {
                way.return_grant(gateway, tenant, now);
            }
            Answer::Granted => {
                let on_way = Duration::from_millis(random.random_range(0..20));
                ran[tenant].push(Ran {
                    sent: now,
                    ran: now + on_way,
                });
            }
        }
    }
    for (tenant, limit) in limits.iter().enumerate() {
        let (asked, refused, unknown) = counts[tenant];
        seen.push(Seen {
            asked,
            refused,
            unknown,
            fullest: fullest(&ran[tenant]) as f64 / BOUNDS.most(*limit),
        });
    }
    seen
}

/// From a request in two seconds to some tens a second, in equal parts of each size.
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

/// The most requests that were sent and ran in one window.
fn fullest(ran: &[Ran]) -> usize {
    let windows = ran.iter().enumerate().map(|(first, begin)| {
        let end = begin.sent + BOUNDS.window;
        let inside = ran[first..].iter().take_while(|run| run.sent <= end);
        inside.filter(|run| run.ran <= end).count()
    });
    windows.max().unwrap_or_default()
}

#[derive(Debug)]
struct Span {
    from: Duration,
    to: Duration,
    who: Vec<usize>,
}

impl Span {
    fn covers(&self, at: Duration) -> bool {
        self.from <= at && at < self.to
    }
}

#[derive(Debug)]
struct Faults {
    /// Gateways and limiters between which nothing passes, and when.
    cut: Vec<(usize, usize)>,
    cut_from: Duration,
    cut_to: Duration,
    downs: Vec<Span>,
}

impl Faults {
    fn draw(random: &mut ChaCha8Rng, gateways: usize, limiters: usize, wanted: bool) -> Self {
        let mut faults = Self {
            cut: Vec::new(),
            cut_from: BEGIN + Duration::from_secs(1),
            cut_to: BEGIN + Duration::from_secs(9),
            downs: Vec::new(),
        };
        if !wanted {
            return faults;
        }
        // Some gateways are cut off from all limiters, others from some of them.
        for gateway in 0..gateways {
            let share = *[0.0, 0.4, 0.8, 1.0].choose(random).expect("four of them");
            let cut = (0..limiters).filter(|_| random.random_bool(share));
            let cut: Vec<usize> = cut.collect();
            faults
                .cut
                .extend(cut.into_iter().map(|limiter| (gateway, limiter)));
        }
        // As many as the deployment may lose, all of them at once, and all once more within a window.
        let mut begin = BEGIN + Duration::from_millis(random.random_range(1_000..6_000));
        for lost in [(limiters - 1) / 2, limiters, limiters] {
            let first = random.random_range(0..limiters);
            let to = begin + Duration::from_millis(random.random_range(300..1_500));
            faults.downs.push(Span {
                from: begin,
                to,
                who: (0..lost).map(|next| (first + next) % limiters).collect(),
            });
            begin = to + Duration::from_millis(random.random_range(100..2_500));
        }
        faults
    }

    fn cut(&self, now: Duration) -> &[(usize, usize)] {
        if self.cut_from <= now && now < self.cut_to {
            &self.cut
        } else {
            &[]
        }
    }

    fn down(&self, now: Duration, limiters: usize) -> Vec<bool> {
        let is_down = |who| {
            let mut spans = self.downs.iter();
            spans.any(|span| span.covers(now) && span.who.contains(&who))
        };
        (0..limiters).map(is_down).collect()
    }

    /// When which limiter is back without its memory.
    fn restarts(&self) -> Vec<(Duration, usize)> {
        let ends = self.downs.iter();
        let mut restarts: Vec<(Duration, usize)> = ends
            .flat_map(|span| span.who.iter().map(|who| (span.to, *who)))
            .collect();
        restarts.sort_unstable();
        restarts
    }
}
