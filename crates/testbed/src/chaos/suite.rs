//! `ridgeworks-testbed chaos-suite`: every fault alone and a list of pairs on both presets, as a
//! table.
//!
//! Faults that are tried alone share a deployment where they do not excuse each other: planned stops
//! have one of their own, since any other fault would excuse a request that they break.

use std::path::{Path, PathBuf};

use clap::Args;
use comfy_table::{ContentArrangement, Table};

use super::arguments::{ChaosArguments, FaultList};
use super::driver::{EXIT_CLEAN, EXIT_FAILED, EXIT_VIOLATIONS, carry_out};
use super::error::ChaosError;
use super::outcome::ChaosOutcome;
use crate::cluster::PresetName;
use crate::cluster_command::WorkingFolder;

const PRESETS: [(PresetName, &str); 2] = [
    (PresetName::KalahariSmall, "kalahari-small"),
    (PresetName::SerraBrancaSmall, "serra-branca-small"),
];
/// Lists of faults, each tried in a deployment of its own.
const LISTS: [&str; 6] = [
    "kill,freeze,cut,cut-one-way,delay",
    "platform-down,platform-slow,lost-answer,operator-race",
    "disk-loss,replace",
    "rolling-stop",
    "backend-leave,backend-kill,backend-freeze",
    "kill+freeze,kill+cut,freeze+cut-one-way,kill+platform-down,operator-race+lost-answer,\
     cut+operator-race,kill+rolling-stop,disk-loss+delay,backend-leave+kill",
];
const QUICK_LISTS: [&str; 1] = ["kill,freeze"];
const HEADER: [&str; 8] = [
    "preset",
    "faults",
    "calls",
    "ok %",
    "judged",
    "violations",
    "undecided",
    "stalls",
];

/// Flags of the suite.
#[derive(Debug, Clone, Args)]
pub struct SuiteArguments {
    /// Seed of every run.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// How often each run goes through its list of faults.
    #[arg(long, default_value_t = 1)]
    pub rounds: u32,
    /// Only one short run.
    #[arg(long)]
    pub quick: bool,
    /// Folder for histories; they are dropped without this.
    #[arg(long)]
    pub folder: Option<PathBuf>,
}

/// Carries all runs out one after the other and gives the exit code of the worst.
pub fn run_suite(arguments: &SuiteArguments) -> u8 {
    match suite(arguments) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error}");
            EXIT_FAILED
        }
    }
}

fn suite(arguments: &SuiteArguments) -> Result<u8, ChaosError> {
    let folder = WorkingFolder::make(arguments.folder.as_deref())?;
    let mut table = Table::new();
    table.set_content_arrangement(ContentArrangement::Disabled);
    table.set_header(HEADER);
    let mut worst = EXIT_CLEAN;
    for (preset, name, list) in runs(arguments.quick) {
        println!("== {name}: {list} ==");
        let run = one_run(arguments, preset, name, list, folder.path());
        let code = match run.and_then(|run| carry_out(&run)) {
            Ok(outcome) => {
                table.add_row(row(name, list, &outcome));
                if outcome.is_clean() {
                    EXIT_CLEAN
                } else {
                    EXIT_VIOLATIONS
                }
            }
            Err(error) => {
                table.add_row([name, list, &format!("failed: {error}")]);
                EXIT_FAILED
            }
        };
        worst = worst.max(code);
    }
    println!("{table}");
    Ok(worst)
}

fn runs(quick: bool) -> Vec<(PresetName, &'static str, &'static str)> {
    let lists: &[&str] = if quick { &QUICK_LISTS } else { &LISTS };
    let presets = if quick { &PRESETS[..1] } else { &PRESETS[..] };
    presets
        .iter()
        .flat_map(|(preset, name)| lists.iter().map(|list| (*preset, *name, *list)))
        .collect()
}

fn one_run(
    arguments: &SuiteArguments,
    preset: PresetName,
    name: &str,
    list: &str,
    folder: &Path,
) -> Result<ChaosArguments, ChaosError> {
    let faults: FaultList = list.parse().map_err(ChaosError::Faults)?;
    let file = format!("{name}-{}.jsonl", list.replace([',', '+'], "-"));
    Ok(ChaosArguments {
        rounds: Some(arguments.rounds),
        history: folder.join(file),
        ..ChaosArguments::new(preset, arguments.seed, faults)
    })
}

fn row(name: &str, list: &str, outcome: &ChaosOutcome) -> Vec<String> {
    let report = &outcome.report;
    let findings = report.findings.iter().map(|(_, findings)| findings);
    let judged: usize = findings.clone().map(|findings| findings.judged).sum();
    let undecided: usize = findings.map(|findings| findings.undecided).sum();
    vec![
        name.to_owned(),
        list.to_owned(),
        report.calls.to_string(),
        format!("{:.1}", outcome.shares.ok_percent()),
        judged.to_string(),
        report.violations().count().to_string(),
        undecided.to_string(),
        outcome.stalls.len().to_string(),
    ]
}
