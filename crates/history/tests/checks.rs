//! Valid histories pass every check; each planted violation is found by exactly the right one.

mod support;

use quickcheck::{QuickCheck, quickcheck};
use ridgeworks_domain::{Cost, Sequence};
use ridgeworks_history::record::{Event, Outcome, Record};
use ridgeworks_history::{Check, ViolationKind as Kind};
use support::*;

const SEEDS: std::ops::Range<u64> = 0..12;
const RUNS: u64 = 12;

/// Plants a violation in valid histories of several seeds; `plant` tells whether it found a place.
fn planted(check: Check, plant: impl Fn(&mut Vec<Record>) -> bool, expected: fn(&Kind) -> bool) {
    let mut places = 0;
    for seed in SEEDS {
        let mut records = valid(seed, RUNS);
        if !plant(&mut records) {
            continue;
        }
        places += 1;
        let found = only(&records, check);
        assert!(found.iter().any(expected), "seed {seed}: {found:?}");
    }
    assert!(places > 0, "no seed has a place for the violation");
}

fn position(records: &[Record], wanted: impl Fn(&Event) -> bool) -> Option<usize> {
    records.iter().position(|record| wanted(&record.event))
}

/// Changes the first event for which `change` returns true.
fn change(records: &mut [Record], mut change: impl FnMut(&mut Event) -> bool) -> bool {
    records.iter_mut().any(|record| change(&mut record.event))
}

/// The last execution of run 0 and its position.
fn last_execution(records: &[Record]) -> (usize, Record) {
    let of_run =
        |event: &Event| matches!(event, Event::BackendExecuted { run, .. } if *run == run_id(0));
    let index = records.iter().rposition(|record| of_run(&record.event));
    let index = index.expect("run 0 has calls");
    (index, records[index].clone())
}

fn free_copy(records: &[Record], index: usize, started: u64) -> Record {
    let mut copy = records[index].clone();
    copy.at_us = started + 1;
    if let Event::BackendExecuted {
        cost,
        started_at_us,
        prior_calls,
        attempt,
        ..
    } = &mut copy.event
    {
        *cost = Cost::ZERO;
        *started_at_us = Some(started);
        *prior_calls = None;
        *attempt += 1;
    }
    copy
}

quickcheck! {
    fn valid_histories_pass(seed: u64) -> bool {
        clean(&valid(seed, RUNS));
        true
    }
}

#[test]
fn every_check_judges_something_in_a_valid_history() {
    for (check, findings) in judge(&valid(1, RUNS)).findings {
        assert!(findings.judged > 0, "{check:?}");
        assert_eq!(findings.undecided, 0, "{check:?}");
    }
}

#[test]
fn order_finds_a_late_duplicate_of_a_repeatable_call() {
    planted(Check::Order, plant_late_duplicate, |kind| {
        matches!(
            kind,
            Kind::StartedAfterLaterCall {
                sequence: Sequence(2),
                ..
            }
        )
    });
}

#[test]
fn order_finds_a_late_call_that_was_given_a_new_number() {
    let plant = |records: &mut Vec<Record>| {
        let planted = plant_late_duplicate(records);
        let last = records.last_mut().map(|record| &mut record.event);
        if let Some(Event::BackendExecuted { sequence, .. }) = last {
            *sequence = Sequence(100);
        }
        planted
    };
    planted(Check::Order, plant, |kind| {
        matches!(
            kind,
            Kind::StartedAfterLaterCall {
                sequence: Sequence(2),
                ..
            }
        )
    });
}

/// Lets the second call of a run execute once more after the last one.
fn plant_late_duplicate(records: &mut Vec<Record>) -> bool {
    let second = position(records, |event| {
        matches!(
            event,
            Event::BackendExecuted {
                sequence: Sequence(2),
                ..
            }
        )
    });
    let index = second.expect("every run has four calls");
    let Event::BackendExecuted { run, .. } = &records[index].event else {
        return false;
    };
    let run = *run;
    let last = records.iter().rfind(
        |record| matches!(&record.event, Event::BackendExecuted { run: of, .. } if *of == run),
    );
    let started = last.expect("the run has executions").at_us + 1;
    records.push(free_copy(records, index, started));
    true
}

#[test]
fn order_finds_a_changed_sequence_number() {
    let plant = |records: &mut Vec<Record>| {
        let (index, _) = last_execution(records);
        change(&mut records[index..], |event| match event {
            Event::BackendExecuted { sequence, .. } => {
                *sequence = Sequence(sequence.0 + 50);
                true
            }
            _ => false,
        })
    };
    planted(Check::Order, plant, |kind| {
        matches!(kind, Kind::SequenceChanged { .. })
    });
}

/// Changes the last read of run 0.
fn change_read(
    records: &mut [Record],
    change: impl Fn(&mut Vec<String>, &mut Vec<String>),
) -> bool {
    let read = records
        .iter_mut()
        .rev()
        .find_map(|record| match &mut record.event {
            Event::HistoryRead {
                run,
                calls,
                answer_digests,
                ..
            } if *run == run_id(0) => Some((calls, answer_digests)),
            _ => None,
        });
    let (calls, digests) = read.expect("every run is read at its end");
    let mut names: Vec<String> = calls.iter().map(ToString::to_string).collect();
    change(&mut names, digests);
    *calls = names.iter().map(|name| key(name)).collect();
    true
}

#[test]
fn run_history_finds_a_lost_call() {
    let plant = |records: &mut Vec<Record>| {
        change_read(records, |calls, digests| {
            calls.remove(1);
            digests.remove(1);
        })
    };
    planted(Check::RunHistory, plant, |kind| {
        matches!(kind, Kind::CallLost { .. })
    });
}

#[test]
fn run_history_finds_calls_out_of_order() {
    let plant = |records: &mut Vec<Record>| {
        change_read(records, |calls, digests| {
            calls.swap(0, 2);
            digests.swap(0, 2);
        })
    };
    planted(Check::RunHistory, plant, |kind| {
        matches!(kind, Kind::CallsOutOfOrder { .. })
    });
}

#[test]
fn run_history_finds_a_call_of_another_run() {
    let plant = |records: &mut Vec<Record>| {
        change_read(records, |calls, digests| {
            calls.push("r1-c1".to_owned());
            digests.push(digest("r1-c1"));
        })
    };
    planted(Check::RunHistory, plant, |kind| {
        matches!(kind, Kind::CallNotOfRun { .. })
    });
}

#[test]
fn run_history_finds_another_answer_in_a_read() {
    let plant =
        |records: &mut Vec<Record>| change_read(records, |_, digests| digests[0] = digest("r1-c1"));
    planted(Check::RunHistory, plant, |kind| {
        matches!(kind, Kind::RecordedAnswerDiffers { .. })
    });
}

#[test]
fn run_history_finds_prior_calls_of_another_run() {
    let plant = |records: &mut Vec<Record>| {
        change(records, |event| match event {
            Event::BackendExecuted {
                run,
                prior_calls: Some(prior),
                ..
            } if *run == run_id(0) => {
                prior.push(key("r1-c1"));
                true
            }
            _ => false,
        })
    };
    planted(Check::RunHistory, plant, |kind| {
        matches!(kind, Kind::PriorCallForeign { .. })
    });
}

#[test]
fn run_history_finds_a_missing_prior_call() {
    let plant = |records: &mut Vec<Record>| {
        change(records, |event| match event {
            Event::BackendExecuted {
                prior_calls: Some(prior),
                ..
            } => prior.pop().is_some(),
            _ => false,
        })
    };
    planted(Check::RunHistory, plant, |kind| {
        matches!(kind, Kind::PriorCallMissing { .. })
    });
}

#[test]
fn budget_finds_spending_one_above_the_budget_and_allows_all_of_it() {
    let with_spending_above = |records: &mut Vec<Record>, above: u64| {
        let mut budget = 0;
        let mut spent = 0;
        for record in records.iter() {
            match &record.event {
                Event::RunOpened {
                    run, budget: of, ..
                } if *run == run_id(0) => budget = of.0,
                Event::BackendExecuted { run, cost, .. } if *run == run_id(0) => spent += cost.0,
                _ => {}
            }
        }
        let (index, _) = last_execution(records);
        if let Event::BackendExecuted { cost, .. } = &mut records[index].event {
            *cost = Cost(cost.0 + budget - spent + above);
        }
        true
    };
    let mut exact = valid(3, RUNS);
    with_spending_above(&mut exact, 0);
    clean(&exact);
    planted(
        Check::Budget,
        |records| with_spending_above(records, 1),
        |kind| matches!(kind, Kind::BudgetExceeded { .. }),
    );
}

fn release_position(records: &[Record]) -> usize {
    let released = position(records, |event| {
        matches!(event, Event::ContextReleased { .. })
    });
    released.expect("every run releases its context")
}

#[test]
fn release_finds_a_context_that_stays() {
    let plant = |records: &mut Vec<Record>| {
        records.remove(release_position(records));
        true
    };
    planted(Check::Release, plant, |kind| {
        matches!(kind, Kind::ContextNotReleased { .. })
    });
}

#[test]
fn release_finds_a_context_that_is_released_late() {
    let plant = |records: &mut Vec<Record>| {
        let index = release_position(records);
        records[index].at_us += 10 * SECOND;
        true
    };
    planted(Check::Release, plant, |kind| {
        matches!(kind, Kind::ContextNotReleased { .. })
    });
}

#[test]
fn release_finds_a_context_that_comes_back_after_the_end() {
    let plant = |records: &mut Vec<Record>| {
        let index = release_position(records);
        let Event::ContextReleased {
            backend,
            run,
            tokens,
        } = records[index].event.clone()
        else {
            return false;
        };
        let held = Event::ContextHeld {
            backend,
            run,
            tokens,
        };
        records.push(record(records[index].at_us + 1, "engines", held));
        true
    };
    planted(Check::Release, plant, |kind| {
        matches!(kind, Kind::ContextNotReleased { .. })
    });
}

#[test]
fn release_accepts_the_end_of_the_engine_and_leaves_the_end_of_the_history_open() {
    let mut records = valid(5, RUNS);
    let released = records.remove(release_position(&records));
    let Event::ContextReleased { backend, .. } = &released.event else {
        unreachable!("the position is one of a release")
    };
    let mut killed = records.clone();
    killed.push(fault(released.at_us, true, "kill", backend.as_str()));
    clean(&killed);
    records.retain(|record| record.at_us <= released.at_us);
    let findings = Check::Release.run(
        &ridgeworks_history::History::new(records),
        &ridgeworks_history::Bounds::default(),
    );
    assert!(findings.violations.is_empty());
    assert!(findings.undecided > 0);
}

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
fn leaving_finds_work_after_the_bound_only() {
    let move_to_leaving = |records: &mut Vec<Record>, from: u64, to: u64| {
        change(records, |event| match event {
            Event::BackendExecuted {
                backend: name,
                started_at_us: Some(started),
                ..
            } => {
                let chosen = (from..to).contains(started) && name.as_str() != LEAVING;
                if chosen {
                    *name = backend(LEAVING);
                }
                chosen
            }
            _ => false,
        })
    };
    let published = 20 * SECOND;
    let limit = published + 4 * SECOND;
    let mut within = valid(2, 40);
    assert!(move_to_leaving(&mut within, published, limit + 1));
    clean(&within);
    let plant = |records: &mut Vec<Record>| move_to_leaving(records, limit + 1, u64::MAX);
    planted(Check::Leaving, plant, |kind| {
        matches!(kind, Kind::WorkAfterLeaving { .. })
    });
}

/// A call that is in flight during the planned stop of node 0 and ends as `outcome` says.
fn during_stop(records: &mut Vec<Record>, outcome: Option<Outcome>) {
    let (run, from) = (run_id(900), 11 * SECOND);
    records.retain(|record| !matches!(&record.event, Event::FaultOn { .. }));
    records.push(invoked(from, "traveller", run, "broken", 1));
    match outcome {
        Some(outcome) => records.push(answered(from + 9, "traveller", run, "broken", outcome)),
        None => records.push(invoked(from + 9, "traveller", run, "broken", 1)),
    }
}

#[test]
fn planned_stop_finds_a_broken_call() {
    for outcome in [Some(Outcome::Unknown), None] {
        let mut records = valid(7, 0);
        during_stop(&mut records, outcome);
        let found = only(&records, Check::PlannedStop);
        let node = "node-0".to_owned();
        let call = key("broken");
        assert_eq!(found, [Kind::CallBroken { node, call }]);
        records.push(fault(11 * SECOND, true, "rolling-stop", "node-0"));
        only(&records, Check::PlannedStop);
        records.push(fault(11 * SECOND, true, "kill", "node-5"));
        clean(&records);
    }
}

#[test]
fn planned_stop_accepts_a_refusal() {
    let mut records = valid(7, 0);
    during_stop(&mut records, Some(Outcome::NotRun));
    clean(&records);
}

#[test]
fn planned_stop_finds_a_stop_without_end() {
    let mut records = valid(7, RUNS);
    let stopped = position(&records, |event| matches!(event, Event::NodeStopped { .. }));
    records.remove(stopped.expect("nodes stop"));
    let node = "node-0".to_owned();
    let found = only(&records, Check::PlannedStop);
    assert_eq!(found, [Kind::StopNotEnded { node }]);
}

#[test]
fn configuration_finds_a_revision_that_goes_back() {
    let plant = |records: &mut Vec<Record>| {
        let after_restart = 19 * SECOND;
        records.push(in_force(after_restart, after_restart + 1, "node-new", 500));
        records.push(in_force(
            after_restart + 2,
            after_restart + 3,
            "node-new",
            499,
        ));
        true
    };
    planted(Check::Configuration, plant, |kind| {
        matches!(
            kind,
            Kind::RevisionWentBack {
                from: 500,
                to: 499,
                ..
            }
        )
    });
}

#[test]
fn configuration_finds_a_stale_node_after_the_bound_only() {
    let accepted = (ridgeworks_history::record::ConfigOutcome::Accepted, Some(9));
    let mut records = vec![
        config(0, "operator", "put-1", Some("a")),
        config_end(10, "operator", "put-1", Some("a"), accepted),
        in_force(4 * SECOND + 10, 5 * SECOND, "node", 8),
    ];
    clean(&records);
    records.push(in_force(4 * SECOND + 11, 5 * SECOND, "node", 8));
    let stale = Kind::RevisionStale {
        node: "node".to_owned(),
        shown: 8,
        accepted: 9,
    };
    assert_eq!(only(&records, Check::Configuration), [stale]);
}

#[test]
fn runs_of_any_size_pass() {
    fn property(seed: u64, runs: u8) -> bool {
        clean(&valid(seed, u64::from(runs % 40)));
        true
    }
    QuickCheck::new()
        .tests(30)
        .quickcheck(property as fn(u64, u8) -> bool);
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

#[test]
fn run_history_finds_a_read_with_too_few_digests() {
    let plant = |records: &mut Vec<Record>| change_read(records, |_, digests| digests.truncate(1));
    planted(Check::RunHistory, plant, |kind| {
        matches!(kind, Kind::DigestsIncomplete)
    });
}

#[test]
fn run_history_finds_prior_calls_out_of_order() {
    let plant = |records: &mut Vec<Record>| {
        change(records, |event| match event {
            Event::BackendExecuted {
                prior_calls: Some(prior),
                ..
            } if prior.len() > 1 => {
                prior.swap(0, 1);
                true
            }
            _ => false,
        })
    };
    planted(Check::RunHistory, plant, |kind| {
        matches!(kind, Kind::PriorCallsOutOfOrder { .. })
    });
}

#[test]
fn run_history_finds_a_call_that_one_read_shows_and_a_later_one_does_not() {
    let run = run_id(0);
    let read = |invoked_at_us, calls: &[&str]| {
        let event = Event::HistoryRead {
            run,
            calls: calls.iter().map(|call| key(call)).collect(),
            answer_digests: calls.iter().map(|call| digest(call)).collect(),
            invoked_at_us,
        };
        record(invoked_at_us + 5, "a", event)
    };
    let start = vec![invoked(1, "a", run, "c", 1), executed(2, run, "c", 1, &[])];
    clean(&[start.clone(), vec![read(20, &[]), read(30, &["c"])]].concat());
    let lost = [start, vec![read(20, &["c"]), read(30, &[])]].concat();
    let found = only(&lost, Check::RunHistory);
    assert_eq!(found, [Kind::CallLost { call: key("c") }]);
}

#[test]
fn release_does_not_count_the_time_for_which_the_engine_is_frozen() {
    let mut records = valid(5, RUNS);
    let index = release_position(&records);
    let Event::ContextReleased { backend, .. } = &records[index].event else {
        unreachable!("the position is one of a release")
    };
    let backend = backend.clone();
    let frozen_at = records[index].at_us;
    records[index].at_us += 12 * SECOND;
    only(&records, Check::Release);
    for (at_us, on) in [(frozen_at, true), (frozen_at + 12 * SECOND, false)] {
        records.push(fault(at_us, on, "freeze", backend.as_str()));
    }
    clean(&records);
}
