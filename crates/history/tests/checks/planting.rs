//! Plants violations into valid histories.

use ridgeworks_domain::Cost;
use ridgeworks_history::record::{Event, Record};
use ridgeworks_history::{Check, ViolationKind as Kind};

use crate::support::*;

pub(crate) const SEEDS: std::ops::Range<u64> = 0..12;

pub(crate) const RUNS: u64 = 12;

/// Plants a violation in valid histories of several seeds; `plant` tells whether it found a place.
pub(crate) fn planted(
    check: Check,
    plant: impl Fn(&mut Vec<Record>) -> bool,
    expected: fn(&Kind) -> bool,
) {
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

pub(crate) fn position(records: &[Record], wanted: impl Fn(&Event) -> bool) -> Option<usize> {
    records.iter().position(|record| wanted(&record.event))
}

/// Changes the first event for which `change` returns true.
pub(crate) fn change(records: &mut [Record], mut change: impl FnMut(&mut Event) -> bool) -> bool {
    records.iter_mut().any(|record| change(&mut record.event))
}

/// The last execution of run 0 and its position.
pub(crate) fn last_execution(records: &[Record]) -> (usize, Record) {
    let of_run =
        |event: &Event| matches!(event, Event::BackendExecuted { run, .. } if *run == run_id(0));
    let index = records.iter().rposition(|record| of_run(&record.event));
    let index = index.expect("run 0 has calls");
    (index, records[index].clone())
}

pub(crate) fn free_copy(records: &[Record], index: usize, started: u64) -> Record {
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
