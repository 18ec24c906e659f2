//! Promise 1: calls of a run execute in program order.
//!
//! Rule: no execution of a call starts after an execution of a call of the same run with a higher
//! sequence number has started. Further attempts of one call are judged like first ones, so a late
//! duplicate is found here too. The sequence number that a back end was given must be the one
//! that the client sent; the order is judged by the client's, so that a system that renumbers calls
//! cannot hide in which order it ran them. Executions that started in the same microsecond are not ordered.

use ridgeworks_domain::{RunId, Sequence};

use super::{Check, Findings};
use crate::history::{Execution, History, RunHistory};
use crate::violation::ViolationKind;

/// Checks every run.
pub fn check(history: &History) -> Findings {
    let mut findings = Findings::default();
    for (run, run_history) in &history.runs {
        check_start_order(*run, run_history, &mut findings);
        check_sequences(*run, run_history, &mut findings);
    }
    findings
}

fn check_start_order(run: RunId, run_history: &RunHistory, findings: &mut Findings) {
    let mut highest: Option<(Sequence, &Execution)> = None;
    for execution in &run_history.executions {
        findings.judged += 1;
        let sequence = sent_sequence(run_history, execution);
        match highest {
            Some((later, by)) if later > sequence => findings.add(
                Check::Order,
                Some(run),
                ViolationKind::StartedAfterLaterCall {
                    call: execution.call.clone(),
                    sequence,
                    later,
                },
                vec![by.record, execution.record],
            ),
            _ => highest = Some((sequence, execution)),
        }
    }
}

/// The number that the client sent, or that of the back end for a call without a recorded sending.
fn sent_sequence(run_history: &RunHistory, execution: &Execution) -> Sequence {
    let call = run_history.calls.get(&execution.call);
    call.map_or(execution.sequence, |call| call.sequence)
}

fn check_sequences(run: RunId, run_history: &RunHistory, findings: &mut Findings) {
    for execution in &run_history.executions {
        let Some(call) = run_history.calls.get(&execution.call) else {
            continue;
        };
        if call.sequence != execution.sequence {
            findings.add(
                Check::Order,
                Some(run),
                ViolationKind::SequenceChanged {
                    call: execution.call.clone(),
                    sent: call.sequence,
                    executed: execution.sequence,
                },
                vec![call.invocations[0].record, execution.record],
            );
        }
    }
}
