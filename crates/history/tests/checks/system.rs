//! Checks of leaving back ends, planned stops and the configuration.

use ridgeworks_history::record::{Event, Outcome, Record};
use ridgeworks_history::{Check, ViolationKind as Kind};

use crate::planting::*;
use crate::support::*;

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
