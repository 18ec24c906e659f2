//! Checks of the order, history and budget of runs.

use ridgeworks_domain::{Cost, Sequence};
use ridgeworks_history::record::{Event, Record};
use ridgeworks_history::{Check, ViolationKind as Kind};

use crate::planting::*;
use crate::support::*;

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
