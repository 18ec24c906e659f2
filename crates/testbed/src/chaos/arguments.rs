//! Flags of `ridgeworks-testbed chaos`, and the form of its list of faults.

use std::fmt;
use std::path::PathBuf;
use std::str::FromStr;

use clap::{Args, ValueEnum};

use super::schedule::FaultKind;
use crate::cluster::PresetName;

const SEPARATOR: char = ',';
const TOGETHER: char = '+';
const NONE: &str = "none";
const ALL: &str = "all";

/// Flags of a run under faults.
#[derive(Debug, Clone, Args)]
pub struct ChaosArguments {
    /// What to start.
    #[arg(long, value_enum, default_value = "kalahari-small")]
    pub preset: PresetName,
    /// Seed of the schedule of faults and of what clients and operators do.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Seconds during which faults begin.
    #[arg(long, default_value_t = DEFAULT_SECONDS)]
    pub seconds: u64,
    /// How often to go through the list of faults, whatever time that takes; instead of `seconds`.
    #[arg(long)]
    pub rounds: Option<u32>,
    /// Faults, separated by commas; `+` joins two that are on at once, `all` is each alone, `none`
    /// is no fault.
    #[arg(long, default_value = "all")]
    pub faults: FaultList,
    /// File for the history of the whole run.
    #[arg(long)]
    pub history: PathBuf,
    /// Folder for logs, settings and data; a temporary one without this.
    #[arg(long)]
    pub folder: Option<PathBuf>,
    /// Clients of each partner.
    #[arg(long, default_value_t = DEFAULT_CLIENTS)]
    pub clients: usize,
    /// Operators of each partner.
    #[arg(long, default_value_t = DEFAULT_OPERATORS)]
    pub operators: usize,
}

const DEFAULT_SECONDS: u64 = 20;
const DEFAULT_CLIENTS: usize = 4;
const DEFAULT_OPERATORS: usize = 2;

impl ChaosArguments {
    /// The defaults for some faults; the history is dropped.
    pub fn new(preset: PresetName, seed: u64, faults: FaultList) -> Self {
        Self {
            preset,
            seed,
            seconds: DEFAULT_SECONDS,
            rounds: None,
            faults,
            history: PathBuf::from("/dev/null"),
            folder: None,
            clients: DEFAULT_CLIENTS,
            operators: DEFAULT_OPERATORS,
        }
    }
}

/// Faults to inject in turn; each entry holds those that are on at once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FaultList(pub Vec<Vec<FaultKind>>);

/// A part of the list that names no fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownFault(pub String);

impl fmt::Display for UnknownFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "no fault is called {:?}", self.0)
    }
}

impl std::error::Error for UnknownFault {}

impl FromStr for FaultList {
    type Err = UnknownFault;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            NONE => Ok(Self(Vec::new())),
            ALL => Ok(Self(all())),
            _ => text
                .split(SEPARATOR)
                .map(together)
                .collect::<Result<_, _>>()
                .map(Self),
        }
    }
}

fn all() -> Vec<Vec<FaultKind>> {
    let kinds = FaultKind::value_variants().iter();
    kinds.map(|kind| vec![*kind]).collect()
}

fn together(text: &str) -> Result<Vec<FaultKind>, UnknownFault> {
    let kinds = text.split(TOGETHER);
    kinds
        .map(|name| FaultKind::from_str(name, false).map_err(|_| UnknownFault(name.to_owned())))
        .collect()
}
