//! An engine that warms up, and gateways that want it for their requests, with the limiters and the troubles of [`super`].

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ridgeworks_quota::{GrantDelay, LimiterDecision, LimiterKey, WarmUpBounds};
use ridgeworks_routing::WarmUpLimit;

use super::{BEGIN, END, Faults, Moment};

pub const WARM_UP_BOUNDS: WarmUpBounds = WarmUpBounds {
    factor: 1.5,
    slack: 5.0,
};
/// How long gateways take to hear that another one is gone.
pub const DEATH_NOTICED: Duration = Duration::from_secs(3);
/// How long a gateway waits for an answer of a limiter.
const PATIENCE: Duration = Duration::from_millis(40);
const WINDOW: Duration = Duration::from_secs(1);

/// What a gateway does with a request that would go to the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    Send,
    PassOver,
    /// Asks these limiters one after the other.
    Ask(Vec<LimiterKey>),
}

/// A way of holding what all gateways together send to the engine.
pub trait WarmWay {
    fn decide(&mut self, gateway: usize, world: &World, moment: &mut Moment<'_>) -> Decision;
    /// A limiter is asked.
    fn grant(&mut self, _limiter: usize, _now: Duration) -> LimiterDecision {
        unreachable!("this way asks nobody")
    }
    fn on_exhausted(
        &mut self,
        _gateway: usize,
        _from: LimiterKey,
        _wait: GrantDelay,
        _now: Duration,
    ) {
    }
    fn on_silent(&mut self, _gateway: usize, _from: LimiterKey, _now: Duration) {}
    /// Whether a request may go out now whose turn came when it asked.
    fn may_send(&self, _asked: Duration, _now: Duration) -> bool {
        true
    }
    /// A limiter has lost its memory; the last one is in the place of the one before and knows nothing either.
    fn restart(&mut self, _limiter: usize, _now: Duration) {}
}

/// What the deployment is like.
pub struct World {
    pub gateways: usize,
    pub limiters: usize,
    pub limit: WarmUpLimit,
    /// When gateways die.
    deaths: Vec<Option<Duration>>,
    /// When gateways stand still.
    freezes: Vec<Option<(Duration, Duration)>>,
    /// From when on the first limiter is replaced, and by which gateways that is not heard.
    replaced: Option<(Duration, Vec<bool>)>,
    /// When all limiters lose their memory and run on, again and again within a second.
    restarts: Vec<Duration>,
    /// Part of the messages that are lost.
    lost: f64,
    /// Part of the messages that take long.
    late: f64,
    /// Part of the requests whose tokens are reserved late.
    slow: f64,
}

impl World {
    fn draw(random: &mut ChaCha8Rng, faults: bool) -> Self {
        let gateways = random.random_range(40..400);
        let limiters = if random.random_bool(0.5) { 3 } else { 5 };
        let per_s: f64 = random.random_range(8.0..40.0);
        let mut world = Self {
            gateways,
            limiters,
            limit: WarmUpLimit {
                per_ks: (per_s * 1_000.0) as u64,
                duration_ms: 14_000,
            },
            deaths: vec![None; gateways],
            freezes: vec![None; gateways],
            replaced: None,
            restarts: Vec::new(),
            lost: 0.0,
            late: 0.0,
            slow: 0.0,
        };
        if faults {
            world.draw_faults(random);
        }
        world
    }

    fn draw_faults(&mut self, random: &mut ChaCha8Rng) {
        let at = |random: &mut ChaCha8Rng| {
            BEGIN + Duration::from_millis(random.random_range(500..12_000))
        };
        for gateway in 0..self.gateways {
            if random.random_bool(0.1) {
                self.deaths[gateway] = Some(at(random));
            }
            if random.random_bool(0.8) {
                let from = at(random);
                // They wake at the same moment, as those of a machine or a zone do.
                let to = BEGIN + Duration::from_secs(10);
                self.freezes[gateway] = (from < to).then_some((from, to));
            }
        }
        let unheard = (0..self.gateways).map(|_| random.random_bool(0.5));
        let unheard = unheard.collect();
        self.replaced = Some((at(random), unheard));
        let first = at(random);
        let restarts = (0..8).map(|number| first + Duration::from_millis(120) * number);
        if random.random_bool(0.4) {
            self.restarts = restarts.collect();
        }
        self.lost = 0.02;
        self.late = 0.05;
        self.slow = if random.random_bool(0.5) { 0.9 } else { 0.02 };
    }

    /// Whether a gateway is known to be gone.
    pub fn is_gone(&self, gateway: usize, now: Duration) -> bool {
        self.deaths[gateway].is_some_and(|death| death + DEATH_NOTICED < now)
    }

    fn is_dead(&self, gateway: usize, now: Duration) -> bool {
        self.deaths[gateway].is_some_and(|death| death <= now)
    }

    /// When a gateway does what is due now: later where it stands still.
    fn runs_at(&self, gateway: usize, now: Duration) -> Duration {
        match self.freezes[gateway] {
            Some((from, to)) if from <= now && now < to => to,
            _ => now,
        }
    }

    /// Who answers for a limiter: the one in its place where the gateway has heard of it.
    fn answers(&self, gateway: usize, key: LimiterKey, now: Duration) -> usize {
        let limiter = key.0 as usize;
        let replaced = self.replaced.as_ref().filter(|(from, _)| *from <= now);
        let is_heard = replaced.is_some_and(|(_, unheard)| !unheard[gateway]);
        if limiter == 0 && is_heard {
            self.limiters
        } else {
            limiter
        }
    }

    /// How long after a request came it is ready for an engine.
    fn prepares(&self, random: &mut ChaCha8Rng) -> Duration {
        let longest = if random.random_bool(self.slow) {
            1_500
        } else {
            12
        };
        Duration::from_millis(random.random_range(2..longest))
    }

    fn on_way(&self, random: &mut ChaCha8Rng) -> Option<Duration> {
        if random.random_bool(self.lost) {
            return None;
        }
        let longest = if random.random_bool(self.late) {
            600
        } else {
            4
        };
        Some(Duration::from_micros(
            random.random_range(200..longest * 1_000),
        ))
    }
}

/// What one schedule showed.
#[derive(Debug, Clone, Copy, Default)]
pub struct WarmSeen {
    pub wanted: usize,
    pub sent: usize,
    pub messages: usize,
    /// What requests waited that were sent, in milliseconds, all together.
    pub waited_ms: f64,
    /// The fullest second against what it may hold.
    pub fullest: f64,
    /// What was sent against what the engine bears.
    pub used: f64,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Restart(usize),
    Wanted(usize),
    Question(Ask),
    Answered(Ask, Option<GrantDelay>),
    Unanswered(Ask),
    Sends(usize, Duration),
}

/// A request that asks for a grant.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Ask {
    gateway: usize,
    asked: Duration,
    /// Limiters that are left, the next one last.
    order: Vec<LimiterKey>,
}

pub type MakeWarmWay = fn(&World) -> Box<dyn WarmWay>;

struct Play {
    world: World,
    faults: Faults,
    way: Box<dyn WarmWay>,
    random: ChaCha8Rng,
    steps: BinaryHeap<Reverse<(Duration, Step)>>,
    seen: WarmSeen,
    sends: Vec<(Duration, Duration)>,
}

/// Plays a schedule in which so many times what the engine bears is wanted.
pub fn play_warm_up(make: MakeWarmWay, seed: u64, load: f64, faults: bool) -> WarmSeen {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let world = World::draw(&mut random, faults);
    let drawn = Faults::draw(&mut random, world.gateways, world.limiters, faults);
    let way = make(&world);
    let mut play = Play {
        world,
        faults: drawn,
        way,
        random,
        steps: BinaryHeap::new(),
        seen: WarmSeen::default(),
        sends: Vec::new(),
    };
    play.draw_steps(load);
    while let Some(Reverse((now, step))) = play.steps.pop() {
        play.take(now, step);
    }
    let Play {
        mut seen,
        sends,
        world,
        ..
    } = play;
    let per_s = world.limit.per_ks as f64 / 1_000.0;
    seen.fullest = fullest_second(sends) as f64 / WARM_UP_BOUNDS.most(world.limit);
    seen.used = seen.sent as f64 / (per_s * (END - BEGIN).as_secs_f64());
    seen
}

impl Play {
    fn push(&mut self, at: Duration, step: Step) {
        self.steps.push(Reverse((at, step)));
    }

    fn draw_steps(&mut self, load: f64) {
        for (at, limiter) in self.faults.restarts() {
            self.push(at, Step::Restart(limiter));
        }
        if let Some((from, _)) = self.world.replaced {
            let limiter = self.world.limiters;
            self.push(from, Step::Restart(limiter));
        }
        for at in self.world.restarts.clone() {
            for limiter in 0..self.world.limiters {
                self.push(at, Step::Restart(limiter));
            }
        }
        let per_s = self.world.limit.per_ks as f64 / 1_000.0 * load;
        let mut at = BEGIN.as_secs_f64();
        while at < END.as_secs_f64() {
            let gateway = self.random.random_range(0..self.world.gateways);
            self.push(Duration::from_secs_f64(at), Step::Wanted(gateway));
            let drawn: f64 = self.random.random_range(f64::EPSILON..1.0);
            at -= drawn.ln() / per_s;
        }
    }

    fn gateway_of(step: &Step) -> Option<usize> {
        match step {
            Step::Wanted(gateway) | Step::Sends(gateway, _) => Some(*gateway),
            Step::Answered(ask, ..) | Step::Unanswered(ask) => Some(ask.gateway),
            Step::Restart(_) | Step::Question(_) => None,
        }
    }

    fn take(&mut self, now: Duration, step: Step) {
        if let Some(gateway) = Self::gateway_of(&step) {
            let runs_at = self.world.runs_at(gateway, now);
            if self.world.is_dead(gateway, now) {
                return;
            }
            if runs_at > now {
                self.push(runs_at, step);
                return;
            }
        }
        match step {
            Step::Restart(limiter) => self.way.restart(limiter, now),
            Step::Wanted(gateway) => self.want(gateway, now),
            Step::Question(ask) => self.question(ask, now),
            Step::Answered(ask, denial) => self.answered(ask, denial, now),
            Step::Unanswered(mut ask) => {
                if let Some(silent) = ask.order.pop() {
                    self.way.on_silent(ask.gateway, silent, now);
                }
                // It has waited long enough: another engine gets it.
            }
            Step::Sends(gateway, asked) => self.send(gateway, asked, now),
        }
    }

    fn want(&mut self, gateway: usize, now: Duration) {
        self.seen.wanted += 1;
        let down = self.faults.down(now, self.world.limiters);
        let mut moment = Moment {
            now,
            cut: self.faults.cut(now),
            down: &down,
            random: &mut self.random,
        };
        match self.way.decide(gateway, &self.world, &mut moment) {
            Decision::PassOver => {}
            Decision::Send => {
                self.push(now + Duration::from_micros(100), Step::Sends(gateway, now))
            }
            Decision::Ask(mut order) => {
                order.reverse();
                self.ask(
                    Ask {
                        gateway,
                        asked: now,
                        order,
                    },
                    now,
                );
            }
        }
    }

    fn ask(&mut self, ask: Ask, now: Duration) {
        if ask.order.is_empty() {
            return;
        }
        self.seen.messages += 2;
        match self.world.on_way(&mut self.random) {
            Some(on_way) => self.push(now + on_way, Step::Question(ask)),
            None => self.push(now + PATIENCE, Step::Unanswered(ask)),
        }
    }

    fn question(&mut self, ask: Ask, now: Duration) {
        let Some(key) = ask.order.last().copied() else {
            return;
        };
        let limiter = self.world.answers(ask.gateway, key, now);
        let mut down = self.faults.down(now, self.world.limiters);
        down.push(false);
        let place = key.0 as usize;
        let is_cut = self.faults.cut(now).contains(&(ask.gateway, place));
        if is_cut || down[limiter] {
            self.push(now + PATIENCE, Step::Unanswered(ask));
            return;
        }
        let denial = match self.way.grant(limiter, now) {
            LimiterDecision::Granted => None,
            LimiterDecision::Exhausted { next, retry } => Some(GrantDelay { next, retry }),
        };
        match self.world.on_way(&mut self.random) {
            Some(on_way) => self.push(now + on_way, Step::Answered(ask, denial)),
            None => self.push(now + PATIENCE, Step::Unanswered(ask)),
        }
    }

    fn answered(&mut self, mut ask: Ask, denial: Option<GrantDelay>, now: Duration) {
        let Some(key) = ask.order.pop() else {
            return;
        };
        let Some(wait) = denial else {
            let prepared = ask.asked + self.world.prepares(&mut self.random);
            self.push(now.max(prepared), Step::Sends(ask.gateway, ask.asked));
            return;
        };
        self.way.on_exhausted(ask.gateway, key, wait, now);
        if now < ask.asked + PATIENCE {
            self.ask(ask, now);
        }
    }

    fn send(&mut self, gateway: usize, asked: Duration, now: Duration) {
        if !self.way.may_send(asked, now) {
            return;
        }
        debug_assert!(gateway < self.world.gateways);
        self.seen.sent += 1;
        self.seen.waited_ms += (now - asked).as_secs_f64() * 1_000.0;
        let on_way = Duration::from_micros(self.random.random_range(100..3_000));
        self.sends.push((now, now + on_way));
    }
}

/// The most requests that were sent and arrived within one second.
fn fullest_second(mut sends: Vec<(Duration, Duration)>) -> usize {
    sends.sort_unstable();
    let windows = sends.iter().enumerate().map(|(first, (begin, _))| {
        let end = *begin + WINDOW;
        let inside = sends[first..].iter().take_while(|(sent, _)| *sent <= end);
        inside.filter(|(_, arrived)| *arrived <= end).count()
    });
    windows.max().unwrap_or_default()
}
