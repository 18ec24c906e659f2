//! Deployments that nobody has seen, drawn from seeds.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// One engine in so many fails requests, where engines do.
const FAILING_PART: usize = 6;
const FAILING_SEED: u64 = 0xfa11;

/// How the engines of a deployment work.
#[derive(Debug, Clone, Copy)]
pub struct EngineSpec {
    /// Prompt tokens read in a millisecond.
    pub tokens_per_ms: f64,
    /// Time of one step of a batch of one, in milliseconds.
    pub step_ms: f64,
    /// What each further request adds to a step, in milliseconds.
    pub growth_ms: f64,
    /// Requests in a batch.
    pub slots: usize,
    /// Tokens that the memory holds.
    pub memory_tokens: u64,
}

/// Engines, gateways and their load.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Seed that everything is drawn from.
    pub seed: u64,
    /// How the engines work.
    pub spec: EngineSpec,
    /// How much slower than the others each engine is; one entry an engine.
    pub slowness: Vec<f64>,
    /// Share of its requests that each engine fails at once; one entry an engine.
    pub failing: Vec<f64>,
    /// Gateways that decide, each by itself.
    pub gateways: usize,
    /// Programs that begin in a second.
    pub programs_per_s: f64,
    /// Mean number of turns of a program.
    pub turns: f64,
    /// Tokens of the prompt's shared part.
    pub shared_tokens: u64,
    /// Mean of the new tokens of a turn.
    pub new_tokens: f64,
    /// Events of a turn, in the mean.
    pub events: f64,
    /// Steps between two events.
    pub stride: u32,
    /// Share of the turns that come through another gateway than the one before.
    pub roaming: f64,
    /// Multiple of its time on idle engines within which a program should be over.
    pub stretch: f64,
    /// Load, as a part of what the engines can do when every prompt is read where the session is.
    pub load: f64,
}

impl Deployment {
    /// The deployment of a seed. Ranges are those of the engines and sites that are known, made wider.
    pub fn drawn(seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut ratio = |low: f64, high: f64| low * (high / low).powf(random.random::<f64>());
        let tokens_per_ms = ratio(20.0, 400.0);
        let step_ms = ratio(1.0, 10.0);
        let spec = EngineSpec {
            tokens_per_ms,
            step_ms,
            growth_ms: step_ms * ratio(0.005, 0.04),
            slots: ratio(4.0, 64.0) as usize,
            memory_tokens: ratio(150_000.0, 600_000.0) as u64,
        };
        let engines = ratio(3.0, 24.0) as usize;
        let gateways = ratio(2.0, 24.0) as usize;
        let shared_tokens = ratio(1_000.0, 12_000.0) as u64;
        let new_tokens = ratio(300.0, 2_000.0);
        let turns = ratio(3.0, 12.0);
        let events = ratio(6.0, 14.0);
        let stride = (ratio(80.0, 260.0) / step_ms / events).max(1.0) as u32;
        let load = ratio(0.4, 1.3);
        let roaming = random.random_range(0.0..0.7);
        let slowness = (0..engines).map(|_| {
            let is_slow = random.random_bool(0.2);
            if is_slow { 1.3 } else { 1.0 }
        });
        let slowness: Vec<f64> = slowness.collect();
        let mut deployment = Self {
            seed,
            spec,
            failing: vec![0.0; slowness.len()],
            slowness,
            gateways,
            programs_per_s: 0.0,
            turns,
            shared_tokens,
            new_tokens,
            events,
            stride,
            roaming,
            stretch: random.random_range(1.6..3.0),
            load,
        };
        deployment.programs_per_s = deployment.programs_at(load);
        deployment
    }

    /// The same with an engine in six, one at least, that fails half to all of its requests.
    pub fn with_failing(mut self) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed ^ FAILING_SEED);
        let failing = self.failing.len().div_ceil(FAILING_PART);
        for share in self.failing.iter_mut().take(failing) {
            *share = random.random_range(0.5..1.0);
        }
        self
    }

    /// Time of an event's steps in a batch of this size, in milliseconds.
    pub fn event_ms(&self, batch: usize) -> f64 {
        f64::from(self.stride) * (self.spec.step_ms + self.spec.growth_ms * batch as f64)
    }

    /// Programs a second at which the engines are busy to this part: 0.6 of their time goes to reading, or
    /// 0.6 of their places are taken, whichever comes first.
    fn programs_at(&self, load: f64) -> f64 {
        const BUSY: f64 = 0.6;
        let read_ms = (self.new_tokens + self.shared_tokens as f64 / self.turns / 8.0)
            / self.spec.tokens_per_ms;
        let batch = self.spec.slots as f64 * BUSY;
        let turn_ms = self.events * self.event_ms(batch as usize);
        let turns_per_ms = (BUSY / read_ms).min(batch / turn_ms * (1.0 - BUSY / 2.0));
        let engines = self.slowness.len() as f64;
        load * engines * turns_per_ms * 1_000.0 / self.turns
    }
}
