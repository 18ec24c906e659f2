//! Recovery measured out of small histories with known times.

mod support;

use ridgeworks_history::History;
use ridgeworks_history::record::{ConfigOutcome, Outcome, Record};
use ridgeworks_history::recovery::{CutAnswers, Recovery, measure};
use support::*;

fn measured(records: Vec<Record>) -> Recovery {
    measure(&History::new(records)).unwrap()
}

#[test]
fn time_after_a_kill_counts_runs_with_a_call_in_flight() {
    let records = vec![
        invoked(10, "a", run_id(0), "c1", 1),
        invoked(10, "b", run_id(1), "d1", 1),
        invoked(10, "c", run_id(2), "e1", 1),
        answered(50, "b", run_id(1), "d1", Outcome::Ok),
        fault(100, true, "kill", "node-1"),
        answered(400, "a", run_id(0), "c1", Outcome::Unknown),
        invoked(500, "a", run_id(0), "c2", 2),
        answered(1_100, "a", run_id(0), "c2", Outcome::Ok),
        invoked(1_200, "b", run_id(1), "d2", 2),
        answered(1_300, "b", run_id(1), "d2", Outcome::Ok),
    ];
    let after_kill = measured(records).after_kill;
    assert_eq!((after_kill.samples, after_kill.max_us), (1, 1_000));
    assert_eq!(after_kill.unfinished, 1);
}

#[test]
fn calls_during_a_cut_are_counted_by_their_end() {
    let records = vec![
        invoked(5, "a", run_id(0), "before", 1),
        fault(10, true, "cut-one-way", "zone-a"),
        invoked(20, "a", run_id(0), "answered", 2),
        answered(30, "a", run_id(0), "answered", Outcome::Ok),
        invoked(40, "a", run_id(0), "refused", 3),
        answered(50, "a", run_id(0), "refused", Outcome::NotRun),
        invoked(60, "a", run_id(0), "late", 4),
        fault(70, false, "cut-one-way", "zone-a"),
        answered(80, "a", run_id(0), "late", Outcome::Ok),
    ];
    let expected = CutAnswers {
        sent: 3,
        answered: 1,
        refused: 1,
    };
    let during_cuts = measured(records).during_cuts;
    assert_eq!(during_cuts, expected);
    assert_eq!(during_cuts.share(), Some(1.0 / 3.0));
    assert_eq!(CutAnswers::default().share(), None);
}

#[test]
fn configuration_is_in_force_when_the_last_living_node_shows_it() {
    let accepted = |at_us, operation, revision| {
        let end = (ConfigOutcome::Accepted, Some(revision));
        config_end(at_us, "operator", operation, Some("a"), end)
    };
    let records = vec![
        in_force(0, 1, "gone", 1),
        accepted(100, "put-1", 2),
        in_force(140, 150, "node-1", 2),
        in_force(140, 160, "node-2", 1),
        in_force(290, 300, "node-2", 3),
        accepted(310, "put-2", 4),
        in_force(320, 330, "node-1", 3),
    ];
    let configuration = measured(records).configuration;
    assert_eq!((configuration.samples, configuration.max_us), (1, 200));
    assert_eq!(configuration.unfinished, 1);
}
