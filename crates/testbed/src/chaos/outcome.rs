//! Judges the history of a run and prints what it shows: violations, availability and recovery.

use std::collections::HashMap;
use std::fmt;
use std::fs;
use std::path::{Path, PathBuf};

use ridgeworks_domain::{CallKey, RunId};
use ridgeworks_history::merge::{merge_files, write_file};
use ridgeworks_history::recovery::{self, Quantiles, Recovery};
use ridgeworks_history::{Bounds, Event, History, Outcome, Record, Report};

use super::error::ChaosError;
use super::injector::Stall;
use super::recorder::HISTORY_SUFFIX;

/// Violations of one check that are printed; all are counted.
const PRINTED_VIOLATIONS: usize = 5;
const MICROS_PER_MILLISECOND: f64 = 1_000.0;

/// How many calls ended how, each by its best answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallShares {
    /// With an answer.
    pub ok: usize,
    /// Refused; they did not run.
    pub not_run: usize,
    /// The system said that it does not know.
    pub unknown: usize,
    /// Without any answer.
    pub unanswered: usize,
}

impl CallShares {
    fn of_records(records: &[Record]) -> Self {
        let mut ends: HashMap<(RunId, &CallKey), Option<Outcome>> = HashMap::new();
        for record in records {
            match &record.event {
                Event::CallInvoked { run, call, .. } => {
                    ends.entry((*run, call)).or_default();
                }
                Event::CallAnswered {
                    run, call, outcome, ..
                } => {
                    let end = ends.entry((*run, call)).or_default();
                    if *end != Some(Outcome::Ok) {
                        *end = Some(*outcome);
                    }
                }
                _ => {}
            }
        }
        let mut shares = Self::default();
        for end in ends.into_values() {
            match end {
                Some(Outcome::Ok) => shares.ok += 1,
                Some(Outcome::NotRun) => shares.not_run += 1,
                Some(Outcome::Unknown) => shares.unknown += 1,
                None => shares.unanswered += 1,
            }
        }
        shares
    }

    /// Calls with an answer among all, in hundredths.
    pub fn ok_percent(&self) -> f64 {
        100.0 * self.ok as f64 / self.all().max(1) as f64
    }

    fn all(&self) -> usize {
        self.ok + self.not_run + self.unknown + self.unanswered
    }
}

impl fmt::Display for CallShares {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let share = |part: usize| 100.0 * part as f64 / self.all().max(1) as f64;
        write!(
            formatter,
            "calls: {} ({:.2} % ok, {:.2} % not run, {:.2} % unknown, {:.2} % without an answer)",
            self.all(),
            share(self.ok),
            share(self.not_run),
            share(self.unknown),
            share(self.unanswered)
        )
    }
}

/// What a run shows.
#[derive(Debug)]
pub struct ChaosOutcome {
    /// The checks.
    pub report: Report,
    /// The measurements.
    pub recovery: Recovery,
    /// How calls ended.
    pub shares: CallShares,
    /// Nodes that did not come back as they should.
    pub stalls: Vec<Stall>,
}

impl ChaosOutcome {
    /// Joins the files of a folder to `history` and judges them.
    pub fn judge(
        folder: &Path,
        history: &Path,
        seed: u64,
        stalls: Vec<Stall>,
    ) -> Result<Self, ChaosError> {
        let merged = merge_files(&history_files(folder)?, None).map_err(ChaosError::Read)?;
        write_file(history, &merged.records).map_err(ChaosError::Record)?;
        let shares = CallShares::of_records(&merged.records);
        let history = History::new(merged.records);
        Ok(Self {
            report: Report::new(&history, &Bounds::default(), Some(seed)),
            recovery: recovery::measure(&history).map_err(ChaosError::Measure)?,
            shares,
            stalls,
        })
    }

    /// Whether the promises held, every node came back and calls were answered at all.
    pub fn is_clean(&self) -> bool {
        self.report.violations().count() == 0 && self.stalls.is_empty() && self.shares.ok > 0
    }

    /// Prints everything; the last line is the summary.
    pub fn print(&self) -> Result<(), ChaosError> {
        for (_, findings) in &self.report.findings {
            for violation in findings.violations.iter().take(PRINTED_VIOLATIONS) {
                println!("{violation}");
            }
        }
        print!("{}", self.report);
        println!("{}", self.shares);
        self.print_recovery();
        for stall in &self.stalls {
            println!("stall: {} {:?}", stall.node, stall.what);
        }
        let line = self.report.summary_line().map_err(ChaosError::Encoding)?;
        println!("{line}");
        Ok(())
    }

    fn print_recovery(&self) {
        let recovery = &self.recovery;
        print_times("SIGKILL to the next answer", &recovery.after_kill);
        let cuts = &recovery.during_cuts;
        if let Some(share) = cuts.share() {
            println!(
                "calls sent during a cut: {}, answered before its end {:.1} %, refused {}",
                cuts.sent,
                100.0 * share,
                cuts.refused
            );
        }
        print_times("accepted to in force on all nodes", &recovery.configuration);
    }
}

fn print_times(what: &str, times: &Quantiles) {
    let milliseconds = |micros: u64| micros as f64 / MICROS_PER_MILLISECOND;
    if times.samples + times.unfinished == 0 {
        return;
    }
    println!(
        "{what}: {} samples, p50 {:.0} ms, p95 {:.0} ms, p99 {:.0} ms, max {:.0} ms, {} unfinished",
        times.samples,
        milliseconds(times.p50_us),
        milliseconds(times.p95_us),
        milliseconds(times.p99_us),
        milliseconds(times.max_us),
        times.unfinished
    );
}

fn history_files(folder: &Path) -> Result<Vec<PathBuf>, ChaosError> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).map_err(ChaosError::Folder)? {
        let path = entry.map_err(ChaosError::Folder)?.path();
        let name = path.file_name().and_then(|name| name.to_str());
        if name.is_some_and(|name| name.ends_with(HISTORY_SUFFIX)) {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}
