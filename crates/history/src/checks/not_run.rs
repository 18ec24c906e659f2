//! Promise 6: "not run" means not run.
//!
//! Rule: every execution of a call, at the time when it starts, needs a sending that may have
//! caused it: one that was made before, by any client, and whose own answer is not "not run" (it
//! was answered otherwise or not at all). An execution for which all sendings made so far were
//! refused is a violation, whether it starts between a sending and its refusal or at any time
//! after it. A client may send the same call again after a refusal, and then it may run: an
//! execution after the new sending counts for that one.
//!
//! A call that no client had sent before its execution started is a violation too. Runs of which
//! the history holds no client record at all are not judged.

use ridgeworks_domain::RunId;

use super::{Check, Findings};
use crate::history::{Execution, History, Invocation, RecordNumber, RunHistory};
use crate::record::Outcome;
use crate::violation::ViolationKind;

/// Checks every run.
pub fn check(history: &History) -> Findings {
    let mut findings = Findings::default();
    for (run, run_history) in &history.runs {
        if run_history.opened.is_none() && run_history.calls.is_empty() {
            findings.undecided += run_history.executions.len();
            continue;
        }
        for execution in &run_history.executions {
            findings.judged += 1;
            check_execution(*run, run_history, execution, &mut findings);
        }
    }
    findings
}

fn check_execution(
    run: RunId,
    run_history: &RunHistory,
    execution: &Execution,
    findings: &mut Findings,
) {
    let call = run_history.calls.get(&execution.call);
    let sendings: Vec<&Invocation> = call
        .iter()
        .flat_map(|call| &call.invocations)
        .filter(|invocation| invocation.at_us <= execution.started_us)
        .collect();
    if sendings.iter().any(|invocation| !is_refused(invocation)) {
        return;
    }
    let call = execution.call.clone();
    let kind = if sendings.is_empty() {
        ViolationKind::ExecutedUnasked { call }
    } else {
        ViolationKind::ExecutedThoughNotRun { call }
    };
    let mut records: Vec<RecordNumber> = sendings
        .iter()
        .filter_map(|invocation| invocation.answer.as_ref())
        .map(|answer| answer.record)
        .collect();
    records.push(execution.record);
    findings.add(Check::NotRun, Some(run), kind, records);
}

fn is_refused(invocation: &Invocation) -> bool {
    invocation
        .answer
        .as_ref()
        .is_some_and(|answer| answer.outcome == Outcome::NotRun)
}
