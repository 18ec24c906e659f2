//! The core that landed before: a sum of constants, fitted to engines that read 270 tokens a millisecond.

use std::collections::{HashMap, HashSet};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Choosing, Policy};
use crate::deployment::Deployment;
use crate::engine::Made;

const PROMPT_TOKENS_PER_MS: f64 = 250.0;
const SHARED_BATCH_MS: f64 = 8.0;
const STRANGER_MS: f64 = 40.0;
const QUEUE_PLACE_MS: f64 = 30.0;
const CANDIDATES: usize = 2;

/// Open requests by gateway and engine, and what others reported of them.
pub struct Counts {
    own: Vec<Vec<u32>>,
    reported: Vec<Vec<u32>>,
    sent: HashMap<u64, (usize, usize)>,
}

impl Counts {
    /// For a deployment.
    pub fn new(deployment: &Deployment) -> Self {
        let none = vec![vec![0; deployment.slowness.len()]; deployment.gateways];
        Self {
            own: none.clone(),
            reported: none,
            sent: HashMap::new(),
        }
    }

    /// Open requests at an engine, as a gateway knows them.
    pub fn open(&self, gateway: usize, engine: usize) -> u32 {
        self.own[gateway][engine] + self.reported[gateway][engine]
    }

    /// A turn goes to an engine.
    pub fn on_sent(&mut self, gateway: usize, program: u64, engine: usize) {
        self.own[gateway][engine] += 1;
        self.sent.insert(program, (gateway, engine));
    }

    /// A turn has ended.
    pub fn on_ended(&mut self, program: u64) {
        if let Some((gateway, engine)) = self.sent.remove(&program) {
            self.own[gateway][engine] -= 1;
        }
    }

    /// Gateways tell each other.
    pub fn on_report(&mut self) {
        let engines = self.own.first().map_or(0, Vec::len);
        for engine in 0..engines {
            let all: u32 = self.own.iter().map(|own| own[engine]).sum();
            for (own, reported) in self.own.iter().zip(&mut self.reported) {
                reported[engine] = all - own[engine];
            }
        }
    }
}

/// The core that landed before.
pub struct Fitted {
    counts: Counts,
    held: HashSet<(usize, usize, u64)>,
    homes: HashMap<(usize, u64), usize>,
}

impl Fitted {
    /// For a deployment.
    pub fn new(deployment: &Deployment) -> Self {
        Self {
            counts: Counts::new(deployment),
            held: HashSet::new(),
            homes: HashMap::new(),
        }
    }

    fn cost(&self, choosing: &Choosing<'_>, slots: u32, engine: usize) -> f64 {
        let open = self.counts.open(choosing.gateway, engine);
        let queued = (open + 1).saturating_sub(slots);
        let is_held = |hash| self.held.contains(&(choosing.gateway, engine, hash));
        let held = choosing.prompt.iter().take_while(|part| is_held(part.hash));
        let missing = &choosing.prompt[held.count()..];
        let missing: u64 = missing.iter().map(|part| part.tokens).sum();
        f64::from(open) * SHARED_BATCH_MS
            + f64::from(queued) * QUEUE_PLACE_MS
            + missing as f64 / PROMPT_TOKENS_PER_MS
    }
}

impl Policy for Fitted {
    fn choose(&mut self, choosing: &Choosing<'_>) -> usize {
        let rank =
            |engine: usize| xxh3_64_with_seed(&choosing.program.to_le_bytes(), engine as u64);
        let mut ranked: Vec<usize> = (0..choosing.engines.len()).collect();
        ranked.sort_unstable_by_key(|engine| std::cmp::Reverse(rank(*engine)));
        let home = self
            .homes
            .get(&(choosing.gateway, choosing.program))
            .copied();
        let slots = choosing
            .engines
            .first()
            .map_or(1, crate::engine::Engine::slots);
        let costs = ranked.iter().enumerate().map(|(place, engine)| {
            let mut cost = self.cost(choosing, slots, *engine);
            if place >= CANDIDATES && home != Some(*engine) {
                cost += STRANGER_MS;
            }
            (cost, *engine)
        });
        let best = costs.min_by(|one, two| one.0.total_cmp(&two.0));
        let chosen = best.map_or(0, |(_, engine)| engine);
        self.counts
            .on_sent(choosing.gateway, choosing.program, chosen);
        self.homes
            .insert((choosing.gateway, choosing.program), chosen);
        for part in choosing.prompt {
            self.held.insert((choosing.gateway, chosen, part.hash));
        }
        chosen
    }

    fn on_event(&mut self, made: &Made, _now_ms: f64) {
        if made.is_last {
            self.counts.on_ended(made.program);
        }
    }

    fn on_failed(&mut self, program: u64, _now_ms: f64) {
        self.counts.on_ended(program);
    }

    fn on_report(&mut self, _now_ms: f64) {
        self.counts.on_report();
    }
}
