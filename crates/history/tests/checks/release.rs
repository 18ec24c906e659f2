//! The check that engines let go of the contexts of ended runs.

use ridgeworks_history::record::{Event, Record};
use ridgeworks_history::{Check, ViolationKind as Kind};

use crate::planting::*;
use crate::support::*;

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
