//! Promise 3: the budget is a hard limit.
//!
//! Rule: the costs that back ends counted over all executions of a run, every attempt included,
//! sum up to at most the budget of its `run_opened`. One violation a run, at the execution that
//! passes the budget. A run whose opening is not in the history is not judged.

use ridgeworks_domain::Cost;

use super::{Check, Findings};
use crate::history::History;
use crate::violation::ViolationKind;

/// Checks every run.
pub fn check(history: &History) -> Findings {
    let mut findings = Findings::default();
    for (run, run_history) in &history.runs {
        let Some((opened, budget)) = run_history.opened else {
            findings.undecided += 1;
            continue;
        };
        findings.judged += 1;
        let mut spent = Cost::ZERO;
        let passing = run_history.executions.iter().find(|execution| {
            spent = spent.saturating_add(execution.cost);
            spent > budget
        });
        if let Some(execution) = passing {
            findings.add(
                Check::Budget,
                Some(*run),
                ViolationKind::BudgetExceeded { budget, spent },
                vec![opened, execution.record],
            );
        }
    }
    findings
}
