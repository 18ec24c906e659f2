//! Plays a policy on a deployment.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::deployment::Deployment;
use crate::engine::{Engine, Job, Made};
use crate::measures::Outcome;
use crate::policies::{Choosing, Policy};
use crate::program::Program;

/// Time in which programs begin, in milliseconds.
const TRAFFIC_MS: f64 = 8_000.0;
/// Time after it in which they may end.
const AFTER_MS: f64 = 8_000.0;
/// Programs that begin before this do not count: caches are empty, and nothing is learned.
const WARM_MS: f64 = 1_500.0;
/// How often gateways tell each other of their load.
const REPORT_MS: f64 = 250.0;
/// After a failure the client asks again, so long after it and so often.
const RETRY_MS: std::ops::Range<f64> = 100.0..400.0;
const RETRIES: u32 = 2;
/// What a turn's way to its engine and back takes.
const WAY_MS: f64 = 4.0;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Begins,
    Turn(u64),
    Round(usize),
    Report,
}

struct Play<'a> {
    deployment: &'a Deployment,
    policy: &'a mut dyn Policy,
    engines: Vec<Engine>,
    programs: HashMap<u64, Program>,
    /// What happens next, by time in microseconds and by order of entry.
    agenda: BinaryHeap<Reverse<(u64, u64, Happening)>>,
    entries: u64,
    now_ms: f64,
    begun: u64,
    random: ChaCha8Rng,
    outcome: Outcome,
}

/// Plays a policy on a deployment, from the deployment's seed.
pub fn play(deployment: &Deployment, policy: &mut dyn Policy) -> Outcome {
    let count = deployment.slowness.len();
    let mut play = Play {
        deployment,
        policy,
        engines: (0..count)
            .map(|index| Engine::new(deployment, index))
            .collect(),
        programs: HashMap::new(),
        agenda: BinaryHeap::new(),
        entries: 0,
        now_ms: 0.0,
        begun: 0,
        random: ChaCha8Rng::seed_from_u64(deployment.seed ^ 0x5eed),
        outcome: Outcome::default(),
    };
    play.enter(0.0, Happening::Begins);
    play.enter(REPORT_MS, Happening::Report);
    play.run();
    play.finish()
}

impl Play<'_> {
    fn enter(&mut self, in_ms: f64, happening: Happening) {
        let at = ((self.now_ms + in_ms) * 1_000.0) as u64;
        self.entries += 1;
        self.agenda.push(Reverse((at, self.entries, happening)));
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, happening))) = self.agenda.pop() {
            self.now_ms = at as f64 / 1_000.0;
            if self.now_ms > TRAFFIC_MS + AFTER_MS {
                return;
            }
            match happening {
                Happening::Begins => self.begin_program(),
                Happening::Turn(program) => self.send_turn(program),
                Happening::Round(engine) => self.end_round(engine),
                Happening::Report => {
                    self.policy.on_report(self.now_ms);
                    self.enter(REPORT_MS, Happening::Report);
                }
            }
        }
    }

    fn begin_program(&mut self) {
        self.begun += 1;
        let program = Program::drawn(self.begun, self.deployment, self.now_ms, &mut self.random);
        self.programs.insert(self.begun, program);
        self.enter(0.0, Happening::Turn(self.begun));
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        let pause_ms = -uniform.ln() * 1_000.0 / self.deployment.programs_per_s;
        if self.now_ms + pause_ms < TRAFFIC_MS {
            self.enter(pause_ms, Happening::Begins);
        }
    }

    fn send_turn(&mut self, number: u64) {
        let roams = self.random.random_bool(self.deployment.roaming);
        let other = self.random.random_range(0..self.deployment.gateways);
        let Some(program) = self.programs.get_mut(&number) else {
            return;
        };
        if roams {
            program.gateway = other;
        }
        let job = Job {
            program: number,
            prompt: program.prompt(),
            events: program.turn().events,
        };
        let choosing = Choosing {
            gateway: program.gateway,
            program: number,
            prompt: &job.prompt,
            now_ms: self.now_ms,
            engines: &self.engines,
        };
        let chosen = self.policy.choose(&choosing);
        let failing = self.deployment.failing[chosen];
        if failing > 0.0 && self.random.random_bool(failing) {
            self.fail_turn(number);
            return;
        }
        let was_idle = self.engines[chosen].is_idle();
        self.engines[chosen].push(job);
        if was_idle {
            self.begin_round(chosen, WAY_MS);
        }
    }

    fn fail_turn(&mut self, number: u64) {
        self.policy.on_failed(number, self.now_ms);
        let Some(program) = self.programs.get_mut(&number) else {
            return;
        };
        program.failures += 1;
        if program.failures > RETRIES {
            if let Some(program) = self.programs.remove(&number) {
                self.count(&program, f64::INFINITY);
            }
            return;
        }
        let pause_ms = self.random.random_range(RETRY_MS);
        self.enter(pause_ms, Happening::Turn(number));
    }

    fn begin_round(&mut self, engine: usize, way_ms: f64) {
        let round_ms = self.engines[engine].begin_round();
        self.enter(way_ms + round_ms, Happening::Round(engine));
    }

    fn end_round(&mut self, engine: usize) {
        for made in self.engines[engine].end_round() {
            self.policy.on_event(&made, self.now_ms);
            if made.is_last {
                self.end_turn(&made);
            }
        }
        if !self.engines[engine].is_idle() {
            self.begin_round(engine, 0.0);
        }
    }

    fn end_turn(&mut self, made: &Made) {
        let Some(program) = self.programs.get_mut(&made.program) else {
            return;
        };
        let pause_ms = program.turn().pause_ms;
        program.at += 1;
        program.failures = 0;
        if program.at < program.turns.len() {
            self.enter(pause_ms, Happening::Turn(made.program));
            return;
        }
        if let Some(program) = self.programs.remove(&made.program) {
            let taken_ms = self.now_ms + pause_ms - program.began_ms;
            self.count(&program, taken_ms);
        }
    }

    fn count(&mut self, program: &Program, taken_ms: f64) {
        if program.began_ms < WARM_MS {
            return;
        }
        let stretch = taken_ms / program.idle_ms(self.deployment);
        self.outcome.programs += 1;
        self.outcome.in_time += usize::from(stretch <= self.deployment.stretch);
        self.outcome.stretches.push(stretch);
    }

    fn finish(mut self) -> Outcome {
        for program in std::mem::take(&mut self.programs).into_values() {
            self.count(&program, f64::INFINITY);
        }
        self.outcome.stretches.sort_unstable_by(f64::total_cmp);
        self.outcome.tokens_read = self.engines.iter().map(|engine| engine.tokens_read).sum();
        self.outcome
    }
}
