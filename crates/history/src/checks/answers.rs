//! Promise 5: the whole answer reaches its own caller.
//!
//! Rule: the digest of every `ok` answer is the one of an execution of the same run and call that
//! started before the answer came; where there were several attempts, of any one of them. All
//! `ok` answers of one call carry the same digest. Where the digest is the one of another call's
//! execution, the violation names that call.

use std::collections::HashMap;

use ridgeworks_domain::{CallKey, RunId};

use super::{Check, Findings};
use crate::history::{Answer, CallHistory, Execution, History, RunHistory};
use crate::record::Outcome;
use crate::violation::ViolationKind;

type ExecutionsByDigest<'a> = HashMap<&'a str, (RunId, &'a Execution)>;

/// Checks every answered call.
pub fn check(history: &History) -> Findings {
    let mut findings = Findings::default();
    let by_digest = executions_by_digest(history);
    for (run, run_history) in &history.runs {
        let executions = executions_by_call(run_history);
        for (key, call) in &run_history.calls {
            let own = executions.get(key).map_or(&[][..], Vec::as_slice);
            check_call(*run, key, call, own, &by_digest, &mut findings);
        }
    }
    findings
}

fn executions_by_digest(history: &History) -> ExecutionsByDigest<'_> {
    let mut by_digest = HashMap::new();
    for (run, run_history) in &history.runs {
        for execution in &run_history.executions {
            by_digest.insert(execution.digest.as_str(), (*run, execution));
        }
    }
    by_digest
}

fn executions_by_call(run_history: &RunHistory) -> HashMap<&CallKey, Vec<&Execution>> {
    let mut by_call: HashMap<&CallKey, Vec<&Execution>> = HashMap::new();
    for execution in &run_history.executions {
        by_call.entry(&execution.call).or_default().push(execution);
    }
    by_call
}

fn check_call(
    run: RunId,
    key: &CallKey,
    call: &CallHistory,
    executions: &[&Execution],
    by_digest: &ExecutionsByDigest<'_>,
    findings: &mut Findings,
) {
    let answers: Vec<&Answer> = call
        .answers()
        .filter(|answer| answer.outcome == Outcome::Ok)
        .collect();
    for answer in &answers {
        findings.judged += 1;
        if let Some((kind, other)) = fault_of_answer(run, key, answer, executions, by_digest) {
            let records = std::iter::once(answer.record).chain(other).collect();
            findings.add(Check::Answers, Some(run), kind, records);
        }
    }
    for pair in answers.windows(2) {
        if pair[0].digest != pair[1].digest {
            findings.add(
                Check::Answers,
                Some(run),
                ViolationKind::AnswersDiffer { call: key.clone() },
                vec![pair[0].record, pair[1].record],
            );
        }
    }
}

fn fault_of_answer(
    run: RunId,
    key: &CallKey,
    answer: &Answer,
    executions: &[&Execution],
    by_digest: &ExecutionsByDigest<'_>,
) -> Option<(ViolationKind, Option<usize>)> {
    let call = key.clone();
    let Some(digest) = &answer.digest else {
        return Some((ViolationKind::AnswerWithoutDigest { call }, None));
    };
    let is_own = |execution: &&Execution| {
        &execution.digest == digest && execution.started_us <= answer.at_us
    };
    if executions.iter().any(is_own) {
        return None;
    }
    Some(match by_digest.get(digest.as_str()) {
        Some((other_run, other)) if (*other_run, &other.call) != (run, key) => (
            ViolationKind::AnswerOfOtherCall {
                call,
                other_run: *other_run,
                other_call: other.call.clone(),
            },
            Some(other.record),
        ),
        _ => (ViolationKind::AnswerOfNoExecution { call }, None),
    })
}
