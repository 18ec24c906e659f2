//! The bench: its flags, its deployment and its order.

use std::fmt;
use std::io;

use clap::Args;
use ridgeworks_domain::IdentifierError;

use super::deployment::Deployment;
use super::node_process::ProcessError;
use super::report::{self, Measured};
use super::{held_streams, latency};
use crate::cluster::{
    Binaries, Cluster, ClusterError, ClusterOptions, Preset, PresetError, RelayUse, exit_on_signal,
};
use crate::cluster_command::WorkingFolder;

const PRESET: &str = include_str!("../../presets/bench.toml");
const MICROS_PER_MILLISECOND: f64 = 1_000.0;
const WORKER_LEVELS: [usize; 3] = [4, 8, 16];
const STREAM_LEVELS: [usize; 4] = [250, 500, 750, 1_000];

/// Flags of the bench.
#[derive(Debug, Clone, Args)]
pub struct BenchArguments {
    /// Links that go through the relay with the simulated delay.
    #[arg(long, value_enum, default_value = "none")]
    relay: RelayUse,
    /// Leave the open streams out.
    #[arg(long)]
    without_streams: bool,
}

/// Why the bench failed.
#[derive(Debug)]
pub enum BenchError {
    /// The deployment could not be started or controlled.
    Cluster(ClusterError),
    /// A name of the preset is no identifier.
    Name(IdentifierError),
    /// The figures of a process cannot be read.
    Process(ProcessError),
    /// A thread could not be started.
    Thread(io::Error),
    /// The preset has no partner, node or engine to measure.
    NothingToMeasure,
    /// This many requests have no answer.
    Unanswered(usize),
}

impl fmt::Display for BenchError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Cluster(error) => write!(formatter, "{error}"),
            Self::Name(error) => write!(formatter, "{error}"),
            Self::Process(error) => write!(formatter, "{error}"),
            Self::Thread(error) => write!(formatter, "cannot start a thread: {error}"),
            Self::NothingToMeasure => write!(formatter, "the preset has nothing to measure"),
            Self::Unanswered(count) => write!(formatter, "{count} requests have no answer"),
        }
    }
}

impl std::error::Error for BenchError {}

impl From<ClusterError> for BenchError {
    fn from(error: ClusterError) -> Self {
        Self::Cluster(error)
    }
}

impl From<PresetError> for BenchError {
    fn from(error: PresetError) -> Self {
        Self::Cluster(error.into())
    }
}

impl From<ProcessError> for BenchError {
    fn from(error: ProcessError) -> Self {
        Self::Process(error)
    }
}

impl From<IdentifierError> for BenchError {
    fn from(error: IdentifierError) -> Self {
        Self::Name(error)
    }
}

/// The preset that the bench starts.
///
/// # Errors
/// A file of the crate that cannot be read; a test reads it.
pub fn bench_preset() -> Result<Preset, PresetError> {
    PRESET.parse()
}

/// Runs the bench.
pub fn run(arguments: &BenchArguments) -> Result<(), BenchError> {
    exit_on_signal()?;
    let folder = WorkingFolder::make(None)?;
    let preset = bench_preset()?;
    let one_way_delay_ms = match arguments.relay {
        RelayUse::None => 0.0,
        _ => preset.one_way_delay_us as f64 / MICROS_PER_MILLISECOND,
    };
    let cluster = Cluster::start(ClusterOptions {
        preset,
        binaries: Binaries::beside_this_one()?,
        folder: folder.path().to_owned(),
        relay: arguments.relay,
        history: false,
    })?;
    let deployment = Deployment::new(&cluster)?;
    let mut levels = Vec::new();
    report::print_latency_head();
    for workers in WORKER_LEVELS {
        let level = latency::measure(&deployment, workers)?;
        report::print_latency(&level);
        levels.push(level);
    }
    let held = match arguments.without_streams {
        true => Vec::new(),
        false => held_streams::measure(&deployment, &STREAM_LEVELS)?,
    };
    let measured = Measured {
        levels,
        held,
        one_way_delay_ms,
    };
    finish(&measured)
}

fn finish(measured: &Measured) -> Result<(), BenchError> {
    report::print_held(&measured.held);
    let line = measured.line();
    let text = serde_json::to_string(&line).expect("the line holds plain values");
    println!("{text}");
    match line.failures {
        0 => Ok(()),
        failures => Err(BenchError::Unanswered(failures)),
    }
}
