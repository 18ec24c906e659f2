//! What one program will do, drawn before it runs and unknown to the scheduler.
//!
//! Scripts depend on the seed alone, so every policy meets the same programs.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::law::unit;
use crate::workload::{EngineSettings, ProgramLaw, SubAgentLaw, ToolLaw, Workload};

const CALIBRATION_PROGRAMS: u64 = 2_000;
const CALIBRATION_SEED: u64 = 0xca11;
const MIN_TOKENS: u64 = 8;

/// A program to come.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// When, in microseconds.
    pub at_micros: u64,
    /// Index of its law.
    pub program: usize,
    /// What it does.
    pub script: Script,
}

/// The turns of a program or sub-agent.
#[derive(Debug, Clone, PartialEq)]
pub struct Script {
    /// In order.
    pub turns: Vec<Turn>,
    /// Given up in the pause after the last turn.
    pub abandoned: bool,
}

/// One model call and what follows it.
#[derive(Debug, Clone, PartialEq)]
pub struct Turn {
    /// Tokens that the prompt has beyond the context so far.
    pub new_tokens: u64,
    /// Tokens that the engine will generate.
    pub output: u64,
    /// What comes before the next turn.
    pub pause: Pause,
}

/// What a program does between two turns.
#[derive(Debug, Clone, PartialEq)]
pub enum Pause {
    /// Waits for a tool.
    Tool {
        /// Index of the tool in the program's law.
        tool: usize,
        /// How long, in microseconds.
        micros: u64,
    },
    /// Waits for sub-agents.
    SubAgents(Vec<Script>),
}

impl Script {
    /// Draws a script.
    pub fn draw(law: &ProgramLaw, random: &mut ChaCha8Rng) -> Self {
        let endless = unit(random) < law.endless;
        let abandoned = unit(random) < law.abandoned;
        let drawn = law.turns.draw_count(1, random).min(law.max_turns);
        let count = if endless { law.max_turns } else { drawn };
        let turns = (0..count)
            .map(|index| Turn::draw(law, index == 0, law.sub_agents.as_ref(), random))
            .collect();
        Self { turns, abandoned }
    }

    fn draw_sub_agent(law: &ProgramLaw, agents: &SubAgentLaw, random: &mut ChaCha8Rng) -> Self {
        let count = agents.turns.draw_count(1, random).min(law.max_turns);
        let turns = (0..count)
            .map(|_| Turn::draw(law, false, None, random))
            .collect();
        Self {
            turns,
            abandoned: false,
        }
    }

    /// Time of an engine that the script needs when every context is cached, in microseconds.
    pub fn engine_micros(&self, engines: &EngineSettings) -> f64 {
        let per_token = engines.step_micros / f64::from(engines.slots) + engines.sequence_micros;
        let of_turn = |turn: &Turn| {
            let own = turn.new_tokens as f64 * engines.prefill_micros;
            let children = match &turn.pause {
                Pause::Tool { .. } => 0.0,
                Pause::SubAgents(scripts) => scripts
                    .iter()
                    .map(|script| script.engine_micros(engines))
                    .sum(),
            };
            own + turn.output as f64 * per_token + children
        };
        self.turns.iter().map(of_turn).sum()
    }

    /// How long the script takes alone on an engine with every context cached, pauses included, in
    /// microseconds.
    pub fn alone_micros(&self, engines: &EngineSettings) -> f64 {
        let per_token = engines.step_micros + engines.sequence_micros;
        let last = self.turns.len().saturating_sub(1);
        let of_turn = |(index, turn): (usize, &Turn)| {
            let call =
                turn.new_tokens as f64 * engines.prefill_micros + turn.output as f64 * per_token;
            if index == last {
                return call;
            }
            call + turn.pause.alone_micros(engines)
        };
        self.turns.iter().enumerate().map(of_turn).sum()
    }
}

impl Turn {
    fn draw(
        law: &ProgramLaw,
        first: bool,
        agents: Option<&SubAgentLaw>,
        random: &mut ChaCha8Rng,
    ) -> Self {
        let tokens = if first {
            law.first_prompt
        } else {
            law.turn_tokens
        };
        let new_tokens = tokens.draw_count(MIN_TOKENS, random);
        let output = law
            .output
            .draw_count(MIN_TOKENS, random)
            .min(law.max_output);
        let pause = match agents {
            Some(agents) if unit(random) < agents.chance => {
                let count = agents.count.draw_count(1, random);
                let scripts = (0..count).map(|_| Script::draw_sub_agent(law, agents, random));
                Pause::SubAgents(scripts.collect())
            }
            _ => Pause::draw_tool(&law.tools, random),
        };
        Self {
            new_tokens,
            output,
            pause,
        }
    }
}

impl Pause {
    fn alone_micros(&self, engines: &EngineSettings) -> f64 {
        match self {
            Self::Tool { micros, .. } => *micros as f64,
            Self::SubAgents(scripts) => scripts
                .iter()
                .map(|script| script.alone_micros(engines))
                .fold(0.0, f64::max),
        }
    }

    fn draw_tool(tools: &[ToolLaw], random: &mut ChaCha8Rng) -> Self {
        let weights: Vec<f64> = tools.iter().map(|tool| tool.weight).collect();
        let tool = draw_index(&weights, random);
        let seconds = tools
            .get(tool)
            .map_or(0.0, |entry| entry.seconds.draw(random));
        Self::Tool {
            tool,
            micros: (seconds * 1.0e6) as u64,
        }
    }
}

fn draw_index(weights: &[f64], random: &mut ChaCha8Rng) -> usize {
    let mut left = unit(random) * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        if left < *weight {
            return index;
        }
        left -= weight;
    }
    weights.len().saturating_sub(1)
}

/// Mean time of an engine that a program needs, in microseconds.
fn mean_engine_micros(workload: &Workload) -> f64 {
    let mut random = ChaCha8Rng::seed_from_u64(CALIBRATION_SEED);
    let weights = weights_at(workload, None);
    let drawn = (0..CALIBRATION_PROGRAMS).map(|_| {
        let law = &workload.programs[draw_index(&weights, &mut random)];
        Script::draw(law, &mut random).engine_micros(&workload.engines)
    });
    drawn.sum::<f64>() / CALIBRATION_PROGRAMS as f64
}

fn weights_at(workload: &Workload, seconds: Option<f64>) -> Vec<f64> {
    let weight = |law: &ProgramLaw| {
        let bursts = workload.bursts.iter().filter(|burst| {
            let during =
                seconds.is_some_and(|at| at >= burst.from_seconds && at < burst.to_seconds);
            burst.program == law.name && during
        });
        law.weight * bursts.map(|burst| burst.factor).product::<f64>()
    };
    workload.programs.iter().map(weight).collect()
}

/// Draws all arrivals of a run. A load of 1.0 asks of the engines, bursts aside, all that they can
/// do when every context is cached.
pub fn draw_arrivals(workload: &Workload, offered_load: f64, seed: u64) -> Vec<Arrival> {
    let capacity = f64::from(workload.engines.count);
    let base_rate = offered_load * capacity / mean_engine_micros(workload);
    let base_weight: f64 = weights_at(workload, None).iter().sum();
    let horizon = workload.horizon_seconds * 1.0e6;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    loop {
        let weights = weights_at(workload, Some(at / 1.0e6));
        let rate = base_rate * weights.iter().sum::<f64>() / base_weight;
        at += -(1.0 - unit(&mut random)).ln() / rate;
        if at >= horizon {
            return arrivals;
        }
        let program = draw_index(&weights, &mut random);
        let script = Script::draw(&workload.programs[program], &mut random);
        arrivals.push(Arrival {
            at_micros: at as u64,
            program,
            script,
        });
    }
}
