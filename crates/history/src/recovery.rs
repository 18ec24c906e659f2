//! Measures recovery out of a history: how soon runs go on after a kill, what is answered during
//! cuts, and how soon accepted configuration is in force.
//!
//! Times are taken where clients and status reads saw the effect, so they are upper bounds: a
//! configuration counts as in force at the answer of the first read that shows it.

use std::fmt;

use hdrhistogram::{CreationError, Histogram, RecordError};
use serde::Serialize;

use crate::checks::configuration::{HighestRevision, accepted_changes, reads_by_node};
use crate::history::{CallHistory, FaultInterval, History, RunHistory};
use crate::record::Outcome;

const SIGNIFICANT_DIGITS: u8 = 3;
const KILL_FAULT: &str = "kill";
const CUT_PREFIX: &str = "cut";

/// Why a measurement failed.
#[derive(Debug)]
pub enum MeasureError {
    /// The histogram could not be made.
    Creation(CreationError),
    /// A value does not fit in the histogram.
    Record(RecordError),
}

impl fmt::Display for MeasureError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Creation(error) => write!(formatter, "histogram cannot be made: {error}"),
            Self::Record(error) => write!(formatter, "value cannot be recorded: {error}"),
        }
    }
}

impl std::error::Error for MeasureError {}

/// Quantiles of times in microseconds; zero where there are no samples.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Quantiles {
    /// Number of samples.
    pub samples: u64,
    /// Half of the samples are at most this.
    pub p50_us: u64,
    /// 95 of 100 samples are at most this.
    pub p95_us: u64,
    /// 99 of 100 samples are at most this.
    pub p99_us: u64,
    /// The largest sample.
    pub max_us: u64,
    /// Cases without an end in the history; not among the samples.
    pub unfinished: u64,
}

/// What became of the calls that were first sent while a cut was on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct CutAnswers {
    /// Calls first sent during a cut.
    pub sent: u64,
    /// Of these, answered `ok` before the cut ended.
    pub answered: u64,
    /// Of the others, those whose last answer before the end of the cut was `not_run`.
    pub refused: u64,
}

impl CutAnswers {
    /// Answered calls per call sent; none where no call was sent.
    pub fn share(&self) -> Option<f64> {
        (self.sent > 0).then(|| self.answered as f64 / self.sent as f64)
    }
}

/// All measurements of one history.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Recovery {
    /// From each kill to the next `ok` answer of each run that had a call in flight.
    pub after_kill: Quantiles,
    /// Calls during cuts.
    pub during_cuts: CutAnswers,
    /// From the acceptance of each change until every node shows it.
    pub configuration: Quantiles,
}

/// Measures a history.
pub fn measure(history: &History) -> Result<Recovery, MeasureError> {
    Ok(Recovery {
        after_kill: quantiles(times_after_kills(history))?,
        during_cuts: answers_during_cuts(history),
        configuration: quantiles(configuration_times(history))?,
    })
}

fn quantiles(times: Vec<Option<u64>>) -> Result<Quantiles, MeasureError> {
    let mut histogram =
        Histogram::<u64>::new(SIGNIFICANT_DIGITS).map_err(MeasureError::Creation)?;
    let mut unfinished = 0;
    for time in times {
        match time {
            Some(time) => histogram.record(time).map_err(MeasureError::Record)?,
            None => unfinished += 1,
        }
    }
    Ok(Quantiles {
        samples: histogram.len(),
        p50_us: histogram.value_at_quantile(0.50),
        p95_us: histogram.value_at_quantile(0.95),
        p99_us: histogram.value_at_quantile(0.99),
        max_us: histogram.max(),
        unfinished,
    })
}

fn times_after_kills(history: &History) -> Vec<Option<u64>> {
    let kills = history
        .faults
        .iter()
        .filter(|fault| fault.fault == KILL_FAULT);
    kills
        .flat_map(|kill| {
            let runs = history.runs.values();
            runs.filter(|run| has_call_in_flight(run, kill.on_us))
                .map(|run| next_ok_after(run, kill.on_us).map(|at_us| at_us - kill.on_us))
        })
        .collect()
}

/// Whether a sending was made before `time_us` and neither answered nor repeated by then.
fn has_call_in_flight(run: &RunHistory, time_us: u64) -> bool {
    run.calls.values().any(|call| {
        let sent = call
            .invocations
            .iter()
            .rfind(|sending| sending.at_us <= time_us);
        sent.is_some_and(|sending| {
            let answer = sending.answer.as_ref();
            answer.is_none_or(|answer| answer.at_us > time_us)
        })
    })
}

fn next_ok_after(run: &RunHistory, time_us: u64) -> Option<u64> {
    let answers = run.calls.values().flat_map(CallHistory::answers);
    answers
        .filter(|answer| answer.outcome == Outcome::Ok && answer.at_us > time_us)
        .map(|answer| answer.at_us)
        .min()
}

fn answers_during_cuts(history: &History) -> CutAnswers {
    let mut counts = CutAnswers::default();
    for cut in &history.faults {
        if cut.fault.starts_with(CUT_PREFIX) {
            count_cut(history, cut, &mut counts);
        }
    }
    counts
}

fn count_cut(history: &History, cut: &FaultInterval, counts: &mut CutAnswers) {
    let until_us = cut.off_us.unwrap_or(history.end_us());
    let calls = history.runs.values().flat_map(|run| run.calls.values());
    for call in calls {
        let sent_us = call.invocations[0].at_us;
        if !(cut.on_us..=until_us).contains(&sent_us) {
            continue;
        }
        counts.sent += 1;
        let in_time = || call.answers().filter(|answer| answer.at_us <= until_us);
        if in_time().any(|answer| answer.outcome == Outcome::Ok) {
            counts.answered += 1;
        } else if in_time()
            .last()
            .is_some_and(|answer| answer.outcome == Outcome::NotRun)
        {
            counts.refused += 1;
        }
    }
}

/// For each accepted change, the time until the last of the nodes showed it; nodes that showed
/// nothing after the acceptance (they are gone) do not count.
fn configuration_times(history: &History) -> Vec<Option<u64>> {
    let nodes: Vec<(u64, HighestRevision)> = reads_by_node(history)
        .into_values()
        .map(|reads| {
            let last_us = reads.iter().map(|read| read.answered_us).max().unwrap_or(0);
            let entries = reads
                .iter()
                .map(|read| (read.answered_us, read.revision, read.record));
            (last_us, HighestRevision::new(entries.collect()))
        })
        .collect();
    let changes = accepted_changes(history).into_iter();
    changes
        .map(|(accepted_us, revision, _)| {
            let alive = nodes.iter().filter(|(last_us, _)| *last_us >= accepted_us);
            let reached = alive.map(|(_, shown)| {
                let at_us = shown.reached_at(revision)?;
                Some(at_us.saturating_sub(accepted_us))
            });
            latest(reached)
        })
        .collect()
}

/// The latest of the times; none where one is missing or there are none.
fn latest(times: impl Iterator<Item = Option<u64>>) -> Option<u64> {
    let all: Option<Vec<u64>> = times.collect();
    all?.into_iter().max()
}
