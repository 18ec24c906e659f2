//! Simulation of an engine that is warming up, with gateways that choose it for requests and with the
//! limiters and faults of [`super`].

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ridgeworks_quota::{GrantDelay, LimiterDecision, LimiterKey, WarmUpBounds};
use ridgeworks_routing::WarmUpLimit;

use super::{BEGIN, Context, END, Faults};

pub const WARM_UP_BOUNDS: WarmUpBounds = WarmUpBounds {
    factor: 1.5,
    slack: 5.0,
};
/// Time until the other gateways detect that a gateway is gone.
pub const CRASH_DETECTION_TIME: Duration = Duration::from_secs(3);
/// Time that a gateway waits for an answer of a limiter.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);
const WINDOW: Duration = Duration::from_secs(1);

/// Decision on a request for which the engine was chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    Send,
    Skip,
    /// Ask these limiters in sequence.
    Ask(Vec<LimiterKey>),
}

/// An algorithm for limiting the requests of all gateways to the engine.
pub trait WarmUpAlgorithm {
    fn decide(
        &mut self,
        gateway: usize,
        deployment: &Deployment,
        context: &mut Context<'_>,
    ) -> Decision;
    /// Answer of a limiter.
    fn grant(&mut self, _limiter: usize, _now: Duration) -> LimiterDecision {
        unreachable!("this algorithm asks no limiter")
    }
    fn on_exhausted(
        &mut self,
        _gateway: usize,
        _from: LimiterKey,
        _delay: GrantDelay,
        _now: Duration,
    ) {
    }
    fn on_unresponsive(&mut self, _gateway: usize, _from: LimiterKey, _now: Duration) {}
    /// Whether a request may still be sent now if its grant was requested at `_asked`.
    fn may_send(&self, _asked: Duration, _now: Duration) -> bool {
        true
    }
    /// A limiter restarts and has lost its state; the last one replaces the first one and starts without
    /// state as well.
    fn restart(&mut self, _limiter: usize, _now: Duration) {}
}

/// Size and faults of the deployment.
pub struct Deployment {
    pub gateways: usize,
    pub limiters: usize,
    pub limit: WarmUpLimit,
    /// When each gateway crashes, by gateway; `None` if it does not.
    crashes: Vec<Option<Duration>>,
    /// Start and end of each gateway's freeze, by gateway; `None` if it does not freeze.
    freezes: Vec<Option<(Duration, Duration)>>,
    /// When the first limiter is replaced, and for each gateway whether it does not learn of it; `None` if the
    /// limiter is not replaced.
    replaced: Option<(Duration, Vec<bool>)>,
    /// When all limiters restart: eight times within one second, or never.
    restarts: Vec<Duration>,
    /// Fraction of the messages that are lost.
    lost_fraction: f64,
    /// Fraction of the messages that are slow.
    slow_message_fraction: f64,
    /// Fraction of the requests whose preparation is slow.
    slow_preparation_fraction: f64,
}

impl Deployment {
    fn draw(random: &mut ChaCha8Rng, faults: bool) -> Self {
        let gateways = random.random_range(40..400);
        let limiters = if random.random_bool(0.5) { 3 } else { 5 };
        let per_s: f64 = random.random_range(8.0..40.0);
        let mut deployment = Self {
            gateways,
            limiters,
            limit: WarmUpLimit {
                per_ks: (per_s * 1_000.0) as u64,
                duration_ms: 14_000,
            },
            crashes: vec![None; gateways],
            freezes: vec![None; gateways],
            replaced: None,
            restarts: Vec::new(),
            lost_fraction: 0.0,
            slow_message_fraction: 0.0,
            slow_preparation_fraction: 0.0,
        };
        if faults {
            deployment.draw_faults(random);
        }
        deployment
    }

    fn draw_faults(&mut self, random: &mut ChaCha8Rng) {
        let at = |random: &mut ChaCha8Rng| {
            BEGIN + Duration::from_millis(random.random_range(500..12_000))
        };
        for gateway in 0..self.gateways {
            if random.random_bool(0.1) {
                self.crashes[gateway] = Some(at(random));
            }
            if random.random_bool(0.8) {
                let from = at(random);
                // All resume at the same moment, like those of one machine or zone.
                let to = BEGIN + Duration::from_secs(10);
                self.freezes[gateway] = (from < to).then_some((from, to));
            }
        }
        let unaware = (0..self.gateways).map(|_| random.random_bool(0.5));
        let unaware = unaware.collect();
        self.replaced = Some((at(random), unaware));
        let first = at(random);
        let restarts = (0..8).map(|number| first + Duration::from_millis(120) * number);
        if random.random_bool(0.4) {
            self.restarts = restarts.collect();
        }
        self.lost_fraction = 0.02;
        self.slow_message_fraction = 0.05;
        self.slow_preparation_fraction = if random.random_bool(0.5) { 0.9 } else { 0.02 };
    }

    /// Whether the gateway has crashed and the other gateways have detected it.
    pub fn is_crash_detected(&self, gateway: usize, now: Duration) -> bool {
        self.crashes[gateway].is_some_and(|crash| crash + CRASH_DETECTION_TIME < now)
    }

    fn is_crashed(&self, gateway: usize, now: Duration) -> bool {
        self.crashes[gateway].is_some_and(|crash| crash <= now)
    }

    /// When a gateway processes an event that is due now: later if it is frozen.
    fn runs_at(&self, gateway: usize, now: Duration) -> Duration {
        match self.freezes[gateway] {
            Some((from, to)) if from <= now && now < to => to,
            _ => now,
        }
    }

    /// The limiter that answers: the replacement if the gateway knows of it.
    fn answering_limiter(&self, gateway: usize, key: LimiterKey, now: Duration) -> usize {
        let limiter = key.0 as usize;
        let replaced = self.replaced.as_ref().filter(|(from, _)| *from <= now);
        let is_aware = replaced.is_some_and(|(_, unaware)| !unaware[gateway]);
        if limiter == 0 && is_aware {
            self.limiters
        } else {
            limiter
        }
    }

    /// Time from the arrival of a request until it is ready for an engine.
    fn preparation_time(&self, random: &mut ChaCha8Rng) -> Duration {
        let longest = if random.random_bool(self.slow_preparation_fraction) {
            1_500
        } else {
            12
        };
        Duration::from_millis(random.random_range(2..longest))
    }

    fn message_delay(&self, random: &mut ChaCha8Rng) -> Option<Duration> {
        if random.random_bool(self.lost_fraction) {
            return None;
        }
        let longest = if random.random_bool(self.slow_message_fraction) {
            600
        } else {
            4
        };
        Some(Duration::from_micros(
            random.random_range(200..longest * 1_000),
        ))
    }
}

/// Results of one schedule.
#[derive(Debug, Clone, Copy, Default)]
pub struct WarmUpResults {
    pub requested: usize,
    pub sent: usize,
    pub messages: usize,
    /// Sum of the waits of requests that were sent, in milliseconds.
    pub waited_ms: f64,
    /// Requests in the fullest second as a fraction of the bound.
    pub fullest: f64,
    /// Requests sent as a fraction of the engine's limit.
    pub used: f64,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Restart(usize),
    RequestArrived(usize),
    LimiterRequest(Ask),
    LimiterReply(Ask, Option<GrantDelay>),
    LimiterTimeout(Ask),
    Dispatch(usize, Duration),
}

/// A request that asks limiters for a grant.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Ask {
    gateway: usize,
    asked: Duration,
    /// Remaining limiters, the next one last.
    order: Vec<LimiterKey>,
}

pub type MakeWarmUpAlgorithm = fn(&Deployment) -> Box<dyn WarmUpAlgorithm>;

struct Simulation {
    deployment: Deployment,
    faults: Faults,
    algorithm: Box<dyn WarmUpAlgorithm>,
    random: ChaCha8Rng,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    results: WarmUpResults,
    sends: Vec<(Duration, Duration)>,
}

/// Runs a schedule with a load given as a multiple of the engine's limit.
pub fn run_warm_up_schedule(
    make: MakeWarmUpAlgorithm,
    seed: u64,
    load: f64,
    faults: bool,
) -> WarmUpResults {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let deployment = Deployment::draw(&mut random, faults);
    let drawn = Faults::draw(
        &mut random,
        deployment.gateways,
        deployment.limiters,
        faults,
    );
    let algorithm = make(&deployment);
    let mut simulation = Simulation {
        deployment,
        faults: drawn,
        algorithm,
        random,
        events: BinaryHeap::new(),
        results: WarmUpResults::default(),
        sends: Vec::new(),
    };
    simulation.draw_events(load);
    while let Some(Reverse((now, event))) = simulation.events.pop() {
        simulation.handle(now, event);
    }
    let Simulation {
        mut results,
        sends,
        deployment,
        ..
    } = simulation;
    let per_s = deployment.limit.per_ks as f64 / 1_000.0;
    results.fullest = fullest_second(sends) as f64 / WARM_UP_BOUNDS.most(deployment.limit);
    results.used = results.sent as f64 / (per_s * (END - BEGIN).as_secs_f64());
    results
}

impl Simulation {
    fn push(&mut self, at: Duration, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    fn draw_events(&mut self, load: f64) {
        for (at, limiter) in self.faults.restarts() {
            self.push(at, Event::Restart(limiter));
        }
        if let Some((from, _)) = self.deployment.replaced {
            let limiter = self.deployment.limiters;
            self.push(from, Event::Restart(limiter));
        }
        for at in self.deployment.restarts.clone() {
            for limiter in 0..self.deployment.limiters {
                self.push(at, Event::Restart(limiter));
            }
        }
        let per_s = self.deployment.limit.per_ks as f64 / 1_000.0 * load;
        let mut at = BEGIN.as_secs_f64();
        while at < END.as_secs_f64() {
            let gateway = self.random.random_range(0..self.deployment.gateways);
            self.push(Duration::from_secs_f64(at), Event::RequestArrived(gateway));
            let drawn: f64 = self.random.random_range(f64::EPSILON..1.0);
            at -= drawn.ln() / per_s;
        }
    }

    fn gateway_of_event(event: &Event) -> Option<usize> {
        match event {
            Event::RequestArrived(gateway) | Event::Dispatch(gateway, _) => Some(*gateway),
            Event::LimiterReply(ask, ..) | Event::LimiterTimeout(ask) => Some(ask.gateway),
            Event::Restart(_) | Event::LimiterRequest(_) => None,
        }
    }

    fn handle(&mut self, now: Duration, event: Event) {
        if let Some(gateway) = Self::gateway_of_event(&event) {
            let runs_at = self.deployment.runs_at(gateway, now);
            if self.deployment.is_crashed(gateway, now) {
                return;
            }
            if runs_at > now {
                self.push(runs_at, event);
                return;
            }
        }
        match event {
            Event::Restart(limiter) => self.algorithm.restart(limiter, now),
            Event::RequestArrived(gateway) => self.on_request(gateway, now),
            Event::LimiterRequest(ask) => self.on_limiter_request(ask, now),
            Event::LimiterReply(ask, delay) => self.on_limiter_reply(ask, delay, now),
            Event::LimiterTimeout(mut ask) => {
                if let Some(unresponsive) = ask.order.pop() {
                    self.algorithm
                        .on_unresponsive(ask.gateway, unresponsive, now);
                }
                // The request has waited long enough, so another engine gets it.
            }
            Event::Dispatch(gateway, asked) => self.send(gateway, asked, now),
        }
    }

    fn on_request(&mut self, gateway: usize, now: Duration) {
        self.results.requested += 1;
        let down = self.faults.down(now, self.deployment.limiters);
        let mut context = Context {
            now,
            unreachable_pairs: self.faults.unreachable_pairs(now),
            down: &down,
            random: &mut self.random,
        };
        match self
            .algorithm
            .decide(gateway, &self.deployment, &mut context)
        {
            Decision::Skip => {}
            Decision::Send => self.push(
                now + Duration::from_micros(100),
                Event::Dispatch(gateway, now),
            ),
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
        self.results.messages += 2;
        match self.deployment.message_delay(&mut self.random) {
            Some(message_delay) => self.push(now + message_delay, Event::LimiterRequest(ask)),
            None => self.push(now + ANSWER_TIMEOUT, Event::LimiterTimeout(ask)),
        }
    }

    fn on_limiter_request(&mut self, ask: Ask, now: Duration) {
        let Some(key) = ask.order.last().copied() else {
            return;
        };
        let limiter = self.deployment.answering_limiter(ask.gateway, key, now);
        let mut down = self.faults.down(now, self.deployment.limiters);
        down.push(false);
        let index = key.0 as usize;
        let is_unreachable = self
            .faults
            .unreachable_pairs(now)
            .contains(&(ask.gateway, index));
        if is_unreachable || down[limiter] {
            self.push(now + ANSWER_TIMEOUT, Event::LimiterTimeout(ask));
            return;
        }
        let delay = match self.algorithm.grant(limiter, now) {
            LimiterDecision::Granted => None,
            LimiterDecision::Exhausted { next, retry } => Some(GrantDelay { next, retry }),
        };
        match self.deployment.message_delay(&mut self.random) {
            Some(message_delay) => self.push(now + message_delay, Event::LimiterReply(ask, delay)),
            None => self.push(now + ANSWER_TIMEOUT, Event::LimiterTimeout(ask)),
        }
    }

    fn on_limiter_reply(&mut self, mut ask: Ask, delay: Option<GrantDelay>, now: Duration) {
        let Some(key) = ask.order.pop() else {
            return;
        };
        let Some(delay) = delay else {
            let prepared = ask.asked + self.deployment.preparation_time(&mut self.random);
            self.push(now.max(prepared), Event::Dispatch(ask.gateway, ask.asked));
            return;
        };
        self.algorithm.on_exhausted(ask.gateway, key, delay, now);
        if now < ask.asked + ANSWER_TIMEOUT {
            self.ask(ask, now);
        }
    }

    fn send(&mut self, gateway: usize, asked: Duration, now: Duration) {
        if !self.algorithm.may_send(asked, now) {
            return;
        }
        debug_assert!(gateway < self.deployment.gateways);
        self.results.sent += 1;
        self.results.waited_ms += (now - asked).as_secs_f64() * 1_000.0;
        let message_delay = Duration::from_micros(self.random.random_range(100..3_000));
        self.sends.push((now, now + message_delay));
    }
}

/// Most requests that were sent and arrived within one second.
fn fullest_second(mut sends: Vec<(Duration, Duration)>) -> usize {
    sends.sort_unstable();
    let windows = sends.iter().enumerate().map(|(first, (begin, _))| {
        let end = *begin + WINDOW;
        let inside = sends[first..].iter().take_while(|(sent, _)| *sent <= end);
        inside.filter(|(_, arrived)| *arrived <= end).count()
    });
    windows.max().unwrap_or_default()
}
