//! One check per promise. Each reads an indexed history and returns what it found.

pub mod answers;
pub mod at_most_once;
pub mod budget;
pub mod configuration;
pub mod intervals;
pub mod leaving;
pub mod not_run;
pub mod order;
pub mod planned_stop;
pub mod register;
pub mod release;
pub mod run_history;

use std::time::Duration;

use crate::history::{History, RecordNumber};
use crate::violation::{Violation, ViolationKind};

use ridgeworks_domain::RunId;

/// Limits that the checks judge by.
#[derive(Debug, Clone)]
pub struct Bounds {
    /// Longest time from the end of a run until no engine holds its context.
    pub context_release: Duration,
    /// Longest time from the publication that a back end leaves until it gets no new work.
    pub leaving: Duration,
    /// Longest time from the acceptance of a configuration until it is in force everywhere.
    pub configuration_staleness: Duration,
    /// Longest time that a planned stop may take.
    pub planned_stop: Duration,
    /// Most steps that the search for a linearization may take for one part of one key.
    pub linearization_steps: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            context_release: Duration::from_secs(10),
            leaving: Duration::from_secs(4),
            configuration_staleness: Duration::from_secs(4),
            planned_stop: Duration::from_secs(60),
            linearization_steps: 200_000,
        }
    }
}

/// The checks, in the order of the promises.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Check {
    /// Calls of a run execute in program order.
    Order,
    /// Run history is never lost nor mixed.
    RunHistory,
    /// The budget is a hard limit.
    Budget,
    /// No engine memory stays with ended runs.
    Release,
    /// The whole answer reaches its own caller.
    Answers,
    /// "Not run" means not run.
    NotRun,
    /// Calls that are not repeatable run at most once.
    AtMostOnce,
    /// Leaving back ends get no new work.
    Leaving,
    /// A planned stop cuts nothing.
    PlannedStop,
    /// Accepted configuration is in force everywhere and never reverts.
    Configuration,
}

impl Check {
    /// All checks.
    pub const ALL: [Self; 10] = [
        Self::Order,
        Self::RunHistory,
        Self::Budget,
        Self::Release,
        Self::Answers,
        Self::NotRun,
        Self::AtMostOnce,
        Self::Leaving,
        Self::PlannedStop,
        Self::Configuration,
    ];

    /// Name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Order => "order",
            Self::RunHistory => "run_history",
            Self::Budget => "budget",
            Self::Release => "release",
            Self::Answers => "answers",
            Self::NotRun => "not_run",
            Self::AtMostOnce => "at_most_once",
            Self::Leaving => "leaving",
            Self::PlannedStop => "planned_stop",
            Self::Configuration => "configuration",
        }
    }

    /// Runs this check.
    pub fn run(self, history: &History, bounds: &Bounds) -> Findings {
        match self {
            Self::Order => order::check(history),
            Self::RunHistory => run_history::check(history),
            Self::Budget => budget::check(history),
            Self::Release => release::check(history, bounds),
            Self::Answers => answers::check(history),
            Self::NotRun => not_run::check(history),
            Self::AtMostOnce => at_most_once::check(history),
            Self::Leaving => leaving::check(history, bounds),
            Self::PlannedStop => planned_stop::check(history, bounds),
            Self::Configuration => configuration::check(history, bounds),
        }
    }
}

/// What one check found.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Findings {
    /// Breaches of the promise.
    pub violations: Vec<Violation>,
    /// How often the rule applied: what a count of zero violations rests on.
    pub judged: usize,
    /// Cases that the history ended too early to judge.
    pub undecided: usize,
}

impl Findings {
    /// Adds a violation of `check`.
    pub(crate) fn add(
        &mut self,
        check: Check,
        run: Option<RunId>,
        kind: ViolationKind,
        records: Vec<RecordNumber>,
    ) {
        self.violations.push(Violation {
            check,
            run,
            kind,
            records,
        });
    }
}

/// A duration in the unit of the records.
pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
