//! The workload file: engines, partners and the laws of the programs.

use serde::Deserialize;

use crate::error::ExperimentError;
use crate::law::Law;

/// A workload as its file describes it.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Name.
    pub name: String,
    /// Time in which programs arrive, in seconds.
    pub horizon_seconds: f64,
    /// Programs that arrive before this time are not measured, in seconds.
    pub warm_up_seconds: f64,
    /// The engines.
    pub engines: EngineSettings,
    /// Delays and losses between the parts.
    pub network: NetworkSettings,
    /// Partners with their shares.
    pub partners: Vec<PartnerEntry>,
    /// Programs.
    pub programs: Vec<ProgramLaw>,
    /// Times in which one program arrives more often.
    #[serde(default)]
    pub bursts: Vec<Burst>,
}

/// The engine model's numbers.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// Number of engines.
    pub count: u32,
    /// Most calls at a time.
    pub slots: u32,
    /// Memory for contexts, in tokens.
    pub cache_tokens: u64,
    /// Size of a block of the cache, in tokens.
    pub block_tokens: u64,
    /// Time of a step without work, in microseconds.
    pub step_micros: f64,
    /// Time that each generating sequence adds to a step, in microseconds.
    pub sequence_micros: f64,
    /// Time that each prefilled token adds to a step, in microseconds.
    pub prefill_micros: f64,
    /// Most tokens prefilled in one step.
    pub prefill_chunk: u64,
}

/// Delays and losses.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NetworkSettings {
    /// One way between two machines, in microseconds.
    pub one_way_micros: u64,
    /// Time to make a dispatch entry durable, in microseconds.
    pub durable_micros: u64,
    /// Lag of cache events, in milliseconds.
    pub event_lag_millis: u64,
    /// Part of the cache events that are lost.
    pub event_loss: f64,
    /// Time between load reports, in milliseconds; they arrive as late again.
    pub report_millis: u64,
}

/// A partner.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartnerEntry {
    /// Name.
    pub name: String,
    /// Share of the pool, in thousandths.
    pub permille: u16,
    /// Weight of latency against wasted cache, 0 to 100.
    pub latency_weight: u8,
}

/// Laws of one kind of program.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProgramLaw {
    /// Name.
    pub name: String,
    /// Its partner.
    pub partner: String,
    /// Whether its calls are urgent.
    #[serde(default)]
    pub urgent: bool,
    /// Rank of its class.
    #[serde(default)]
    pub rank: u8,
    /// Part of the programs that are of this kind, relative to the others.
    pub weight: f64,
    /// Number of turns.
    pub turns: Law,
    /// Tokens of the first prompt.
    pub first_prompt: Law,
    /// Tokens that each later turn adds to the prompt.
    pub turn_tokens: Law,
    /// Generated tokens of a turn.
    pub output: Law,
    /// Upper bound of generated tokens.
    pub max_output: u64,
    /// What the program waits for between turns.
    pub tools: Vec<ToolLaw>,
    /// Sub-agents.
    pub sub_agents: Option<SubAgentLaw>,
    /// The whole program must have ended after this time, in seconds.
    pub deadline_seconds: Option<f64>,
    /// Part of the programs that are given up in a pause.
    #[serde(default)]
    pub abandoned: f64,
    /// Part of the programs that never end by themselves.
    #[serde(default)]
    pub endless: f64,
    /// Most turns.
    pub max_turns: u64,
}

/// A tool with the law of its pauses.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ToolLaw {
    /// Name.
    pub name: String,
    /// Part of the pauses that are for this tool, relative to the others.
    pub weight: f64,
    /// Length in seconds.
    pub seconds: Law,
}

/// Sub-agents of a program.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubAgentLaw {
    /// Chance that a pause is for sub-agents instead of a tool.
    pub chance: f64,
    /// Number of sub-agents at a time.
    pub count: Law,
    /// Turns of a sub-agent.
    pub turns: Law,
}

/// A time in which a program arrives more often.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// The program.
    pub program: String,
    /// Begin, in seconds.
    pub from_seconds: f64,
    /// End, in seconds.
    pub to_seconds: f64,
    /// How many times as often.
    pub factor: f64,
}

const PRESETS: [(&str, &str); 5] = [
    ("kalahari", include_str!("../presets/kalahari.toml")),
    ("serra-branca", include_str!("../presets/serra-branca.toml")),
    ("burst", include_str!("../presets/burst.toml")),
    ("scale", include_str!("../presets/scale.toml")),
    ("held-out", include_str!("../presets/held-out.toml")),
];

impl Workload {
    /// Reads a workload file.
    pub fn parse(text: &str) -> Result<Self, ExperimentError> {
        toml::from_str(text).map_err(|cause| ExperimentError::Workload(Box::new(cause)))
    }

    /// A workload that comes with the tool.
    pub fn preset(name: &str) -> Result<Self, ExperimentError> {
        let found = PRESETS.iter().find(|(preset, _)| *preset == name);
        let (_, text) = found.ok_or_else(|| ExperimentError::UnknownPreset(name.to_owned()))?;
        Self::parse(text)
    }
}
