//! Promise 7: calls that are not repeatable run at most once.
//!
//! Rule: a call of which any sending was marked as not repeatable has at most one execution, on
//! whatever back end and with whatever attempt number. Each further execution is a violation.

use std::collections::BTreeMap;

use ridgeworks_domain::{CallKey, RunId};

use super::{Check, Findings};
use crate::history::{History, RecordNumber, RunHistory};
use crate::violation::ViolationKind;

/// Checks every run.
pub fn check(history: &History) -> Findings {
    let mut findings = Findings::default();
    for (run, run_history) in &history.runs {
        check_run(*run, run_history, &mut findings);
    }
    findings
}

fn check_run(run: RunId, run_history: &RunHistory, findings: &mut Findings) {
    let mut executed: BTreeMap<&CallKey, Vec<RecordNumber>> = BTreeMap::new();
    for execution in &run_history.executions {
        let call = run_history.calls.get(&execution.call);
        if call.is_none_or(|call| call.repeatable) {
            continue;
        }
        findings.judged += 1;
        let records = executed.entry(&execution.call).or_default();
        records.push(execution.record);
        if records.len() > 1 {
            findings.add(
                Check::AtMostOnce,
                Some(run),
                ViolationKind::ExecutedAgain {
                    call: execution.call.clone(),
                    executions: records.len(),
                },
                records.clone(),
            );
        }
    }
}
