//! Judges history files: the whole of `ridgeworks-testbed verify FILE`.

use std::fmt;
use std::path::PathBuf;
use std::time::Duration;

use clap::Args;

use crate::checks::Bounds;
use crate::history::History;
use crate::merge::merge_files;
use crate::reader::ReadError;
use crate::recovery::{self, MeasureError, Recovery};
use crate::report::Report;

/// Exit code where no check found a violation.
pub const EXIT_CLEAN: u8 = 0;
/// Exit code where a check found a violation.
pub const EXIT_VIOLATIONS: u8 = 1;
/// Exit code where the history could not be judged.
pub const EXIT_FAILED: u8 = 2;

/// Violations of one check that are printed; all are counted.
const PRINTED_VIOLATIONS: usize = 20;

/// Arguments of `verify`.
#[derive(Debug, Clone, Args)]
pub struct VerifyArguments {
    /// History files; several are merged in order of time
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
    /// Seed of the run, to be repeated in the summary
    #[arg(long)]
    pub seed: Option<u64>,
    /// Print only the summary line
    #[arg(long)]
    pub quiet: bool,
    /// Milliseconds from the end of a run until no engine may hold its context
    #[arg(long, default_value_t = 10_000)]
    pub context_release_ms: u64,
    /// Milliseconds after which a leaving back end may get no new work
    #[arg(long, default_value_t = 4_000)]
    pub leaving_ms: u64,
    /// Milliseconds after which an accepted configuration must be in force everywhere
    #[arg(long, default_value_t = 4_000)]
    pub configuration_staleness_ms: u64,
}

impl VerifyArguments {
    fn bounds(&self) -> Bounds {
        Bounds {
            context_release: Duration::from_millis(self.context_release_ms),
            leaving: Duration::from_millis(self.leaving_ms),
            configuration_staleness: Duration::from_millis(self.configuration_staleness_ms),
            ..Bounds::default()
        }
    }
}

/// Why a history could not be judged.
#[derive(Debug)]
pub enum VerifyError {
    /// A file could not be read.
    Read(ReadError),
    /// Recovery could not be measured.
    Measure(MeasureError),
    /// The summary could not be encoded.
    Encoding(serde_json::Error),
    /// The files hold no record; an empty history proves nothing.
    EmptyHistory,
}

impl fmt::Display for VerifyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(error) => error.fmt(formatter),
            Self::Measure(error) => error.fmt(formatter),
            Self::Encoding(error) => write!(formatter, "summary cannot be encoded: {error}"),
            Self::EmptyHistory => write!(formatter, "the history holds no record"),
        }
    }
}

impl std::error::Error for VerifyError {}

/// What a history shows.
#[derive(Debug)]
pub struct Verdict {
    /// The checks' findings.
    pub report: Report,
    /// The measurements.
    pub recovery: Recovery,
    /// Files whose last line was left out because it ended early.
    pub torn: Vec<PathBuf>,
}

/// Reads and judges history files.
pub fn verify(
    files: &[PathBuf],
    bounds: &Bounds,
    seed: Option<u64>,
) -> Result<Verdict, VerifyError> {
    // Times are kept as they stand in the files, so that reports name what a reader finds there.
    let merged = merge_files(files, Some(0)).map_err(VerifyError::Read)?;
    if merged.records.is_empty() {
        return Err(VerifyError::EmptyHistory);
    }
    let history = History::new(merged.records);
    Ok(Verdict {
        report: Report::new(&history, bounds, seed),
        recovery: recovery::measure(&history).map_err(VerifyError::Measure)?,
        torn: merged.torn,
    })
}

/// Runs `verify`, prints its result and returns the exit code.
pub fn run(arguments: &VerifyArguments) -> u8 {
    match judge_and_print(arguments) {
        Ok(0) => EXIT_CLEAN,
        Ok(_) => EXIT_VIOLATIONS,
        Err(error) => {
            eprintln!("{error}");
            EXIT_FAILED
        }
    }
}

fn judge_and_print(arguments: &VerifyArguments) -> Result<usize, VerifyError> {
    let verdict = verify(&arguments.files, &arguments.bounds(), arguments.seed)?;
    let summary = verdict
        .report
        .summary_line()
        .map_err(VerifyError::Encoding)?;
    if !arguments.quiet {
        print_details(&verdict)?;
    }
    println!("{summary}");
    Ok(verdict.report.violations().count())
}

fn print_details(verdict: &Verdict) -> Result<(), VerifyError> {
    for path in &verdict.torn {
        println!("{}: last line ends early, left out", path.display());
    }
    for (_, findings) in &verdict.report.findings {
        for violation in findings.violations.iter().take(PRINTED_VIOLATIONS) {
            println!("{violation}");
        }
    }
    print!("{}", verdict.report);
    let recovery = serde_json::to_string(&verdict.recovery).map_err(VerifyError::Encoding)?;
    println!("recovery {recovery}");
    Ok(())
}
