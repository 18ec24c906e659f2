//! Checks of single calls: answers, refusals, executions.

use ridgeworks_domain::{Cost, Sequence};
use ridgeworks_history::record::{Event, Outcome, Record};
use ridgeworks_history::{Check, ViolationKind as Kind};

use crate::planting::*;
use crate::support::*;

#[test]
fn answers_finds_the_answer_of_another_run() {
    let plant = |records: &mut Vec<Record>| {
        change(records, |event| match event {
            Event::CallAnswered {
                run,
                answer_digest: Some(own),
                ..
            } if *run == run_id(0) => {
                *own = digest("r1-c1");
                true
            }
            _ => false,
        })
    };
    planted(Check::Answers, plant, |kind| {
        matches!(kind, Kind::AnswerOfOtherCall { .. })
    });
}

#[test]
fn answers_finds_a_truncated_answer() {
    let plant = |records: &mut Vec<Record>| {
        change(records, |event| match event {
            Event::CallAnswered {
                answer_digest: Some(own),
                ..
            } => {
                own.pop();
                own.push('x');
                true
            }
            _ => false,
        })
    };
    planted(Check::Answers, plant, |kind| {
        matches!(kind, Kind::AnswerOfNoExecution { .. })
    });
}

#[test]
fn answers_finds_two_answers_to_one_call() {
    let run = run_id(0);
    let mut records = vec![invoked(1, "a", run, "c", 2), executed(2, run, "c", 2, &[])];
    records.push(answered(10, "a", run, "c", Outcome::Ok));
    records.push(invoked(11, "b", run, "c", 2));
    records.push(executed(12, run, "c", 2, &[]));
    if let Event::BackendExecuted { answer_digest, .. } = &mut records[4].event {
        *answer_digest = "second".to_owned();
    }
    records.push(answered(20, "b", run, "c", Outcome::Ok));
    clean(&records);
    if let Event::CallAnswered { answer_digest, .. } = &mut records[5].event {
        *answer_digest = Some("second".to_owned());
    }
    let found = only(&records, Check::Answers);
    assert_eq!(found, [Kind::AnswersDiffer { call: key("c") }]);
}

#[test]
fn not_run_judges_each_sending() {
    let run = run_id(0);
    let refused = [
        invoked(10, "a", run, "c", 2),
        answered(20, "a", run, "c", Outcome::NotRun),
    ];
    let again = [
        invoked(30, "a", run, "c", 2),
        answered(40, "a", run, "c", Outcome::Ok),
    ];
    let history = |started, parts: &[&[Record]]| {
        let mut records = parts.concat();
        records.push(executed(started, run, "c", 2, &[]));
        records
    };
    clean(&history(31, &[&refused, &again]));
    let expected = [Kind::ExecutedThoughNotRun { call: key("c") }];
    assert_eq!(
        only(&history(15, &[&refused, &again]), Check::NotRun),
        expected
    );
    assert_eq!(
        only(&history(25, &[&refused, &again]), Check::NotRun),
        expected
    );
    assert_eq!(only(&history(90, &[&refused]), Check::NotRun), expected);
    let unanswered = [invoked(5, "b", run, "c", 2)];
    clean(&history(15, &[&unanswered, &refused]));
}

#[test]
fn not_run_gives_an_answer_to_the_newest_sending_of_its_client() {
    let run = run_id(0);
    clean(&[
        invoked(10, "a", run, "c", 2),
        executed(15, run, "c", 2, &[]),
        invoked(30, "a", run, "c", 2),
        answered(40, "a", run, "c", Outcome::NotRun),
    ]);
}

#[test]
fn not_run_finds_a_refused_call_that_is_executed_later() {
    let plant = |records: &mut Vec<Record>| {
        let (_, last) = last_execution(records);
        let at_us = last.at_us;
        records.push(invoked(at_us, "late", run_id(0), "refused", 90));
        records.push(answered(
            at_us + 10,
            "late",
            run_id(0),
            "refused",
            Outcome::NotRun,
        ));
        let mut execution = executed(at_us + 5_000, run_id(0), "refused", 90, &[]);
        if let Event::BackendExecuted {
            prior_calls, cost, ..
        } = &mut execution.event
        {
            *prior_calls = None;
            *cost = Cost::ZERO;
        }
        records.push(execution);
        true
    };
    planted(Check::NotRun, plant, |kind| {
        matches!(kind, Kind::ExecutedThoughNotRun { .. })
    });
}

#[test]
fn not_run_finds_an_execution_that_nobody_asked_for() {
    let run = run_id(0);
    let records = [
        executed(5, run, "c", 2, &[]),
        invoked(10, "a", run, "c", 2),
        answered(20, "a", run, "c", Outcome::Ok),
    ];
    let found = only(&records, Check::NotRun);
    assert_eq!(found, [Kind::ExecutedUnasked { call: key("c") }]);
}

#[test]
fn at_most_once_finds_a_second_execution_elsewhere() {
    let plant = |records: &mut Vec<Record>| {
        let index = position(records, |event| {
            matches!(
                event,
                Event::BackendExecuted {
                    sequence: Sequence(1),
                    ..
                }
            )
        });
        let index = index.expect("every run has calls");
        let mut copy = free_copy(records, index, records[index].at_us);
        if let Event::BackendExecuted { backend: name, .. } = &mut copy.event {
            *name = backend("engine-other");
        }
        records.push(copy);
        true
    };
    planted(Check::AtMostOnce, plant, |kind| {
        matches!(kind, Kind::ExecutedAgain { executions: 2, .. })
    });
}

#[test]
fn answers_finds_an_answer_without_digest() {
    let plant = |records: &mut Vec<Record>| {
        change(records, |event| match event {
            Event::CallAnswered { answer_digest, .. } => answer_digest.take().is_some(),
            _ => false,
        })
    };
    planted(Check::Answers, plant, |kind| {
        matches!(kind, Kind::AnswerWithoutDigest { .. })
    });
}
