//! The result of all checks, as one JSON line for programs and as a table for people.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::checks::{Bounds, Check, Findings};
use crate::history::History;
use crate::violation::Violation;

/// Result of all checks over one history.
#[derive(Debug)]
pub struct Report {
    /// Seed of the run, where it is known.
    pub seed: Option<u64>,
    /// Number of records.
    pub records: usize,
    /// Number of calls.
    pub calls: usize,
    /// Number of faults.
    pub faults: usize,
    /// Findings of each check, in the order of the promises.
    pub findings: Vec<(Check, Findings)>,
}

/// The last line that a run prints.
#[derive(Debug, Serialize)]
pub struct Summary {
    /// Seed of the run; null where it is not known.
    pub seed: Option<u64>,
    /// Number of calls.
    pub calls: usize,
    /// Number of faults.
    pub faults: usize,
    /// Violations of each check.
    pub checks: BTreeMap<&'static str, usize>,
    /// Violations in total.
    pub violations: usize,
    /// Cases that could not be judged; an addition to the documented fields.
    pub undecided: usize,
}

impl Report {
    /// Runs every check.
    pub fn new(history: &History, bounds: &Bounds, seed: Option<u64>) -> Self {
        let findings = Check::ALL.map(|check| (check, check.run(history, bounds)));
        Self {
            seed,
            records: history.records.len(),
            calls: history.call_count(),
            faults: history.faults.len(),
            findings: findings.into(),
        }
    }

    /// All violations, in the order of the promises.
    pub fn violations(&self) -> impl Iterator<Item = &Violation> {
        self.findings
            .iter()
            .flat_map(|(_, findings)| &findings.violations)
    }

    /// The summary of the report.
    pub fn summary(&self) -> Summary {
        let counts = self.findings.iter();
        Summary {
            seed: self.seed,
            calls: self.calls,
            faults: self.faults,
            checks: counts
                .map(|(check, findings)| (check.name(), findings.violations.len()))
                .collect(),
            violations: self.violations().count(),
            undecided: self
                .findings
                .iter()
                .map(|(_, findings)| findings.undecided)
                .sum(),
        }
    }

    /// The summary as one line of JSON.
    pub fn summary_line(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string(&self.summary())
    }
}

/// The table for people.
impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{} records, {} calls, {} faults",
            self.records, self.calls, self.faults
        )?;
        writeln!(
            formatter,
            "{:<15} {:>10} {:>10} {:>10}",
            "check", "judged", "undecided", "violations"
        )?;
        for (check, findings) in &self.findings {
            writeln!(
                formatter,
                "{:<15} {:>10} {:>10} {:>10}",
                check.name(),
                findings.judged,
                findings.undecided,
                findings.violations.len()
            )?;
        }
        Ok(())
    }
}
