//! Tests the sweep for contexts of ended runs with virtual time.

use std::time::Duration;

use ridgeworks_domain::{BackendName, MonotonicTime, NodeId, RunId};
use ridgeworks_node::dispatcher::context_sweep::{
    ContextSweep, EndedContext, MAX_RELEASES_PER_STEP, MAX_RUNS_PER_QUERY, MAX_RUNS_PER_STEP,
    OPENING_TIMEOUT, QUERY_INTERVAL, ReplicaQuery,
};

const REPLICAS: [NodeId; 3] = [NodeId(1), NodeId(2), NodeId(3)];

fn at(after: Duration) -> MonotonicTime {
    MonotonicTime::ZERO + after
}

fn backend(name: &str) -> BackendName {
    BackendName::new(name).unwrap()
}

fn replicas(_run: RunId) -> Vec<NodeId> {
    REPLICAS.to_vec()
}

/// A sweep after engine `e` has listed `count` contexts.
fn holding(count: u128) -> ContextSweep {
    let mut sweep = ContextSweep::default();
    sweep.record_listing(MonotonicTime::ZERO, &backend("e"), (0..count).map(RunId));
    sweep
}

fn asked(queries: &[ReplicaQuery]) -> usize {
    queries.iter().map(|query| query.runs.len()).sum()
}

#[test]
fn run_ends_when_one_replica_reports_its_end() {
    let mut sweep = holding(1);
    sweep.record_answer(at(QUERY_INTERVAL), REPLICAS[2], &[RunId(0)], &[]);
    let backends = vec![backend("e")];
    let run = RunId(0);
    assert_eq!(sweep.take_ended(), vec![EndedContext { run, backends }]);
    assert!(
        sweep.take_ended().is_empty(),
        "a context is released only once"
    );
}

#[test]
fn context_listed_after_its_release_is_released_again() {
    let mut sweep = holding(1);
    sweep.record_answer(at(QUERY_INTERVAL), REPLICAS[0], &[RunId(0)], &[]);
    sweep.take_ended();
    let later = at(QUERY_INTERVAL * 2);
    sweep.record_listing(later, &backend("e"), [RunId(0)].into_iter());
    assert_eq!(asked(&sweep.queries(later, replicas)), 1);
    sweep.record_answer(later, REPLICAS[0], &[RunId(0)], &[]);
    assert_eq!(sweep.take_ended().len(), 1);
}

#[test]
fn queries_rotate_through_replicas_when_none_answers() {
    let mut sweep = holding(1);
    let asked: Vec<NodeId> = (0..3)
        .map(|turn| sweep.queries(at(QUERY_INTERVAL * turn), replicas)[0].to)
        .collect();
    assert_eq!(asked, REPLICAS);
    assert!(sweep.queries(at(QUERY_INTERVAL * 2), replicas).is_empty());
}

#[test]
fn active_run_is_not_queried() {
    let mut sweep = holding(1);
    let now = at(QUERY_INTERVAL);
    sweep.mark_active(now, RunId(0));
    assert!(sweep.queries(now, replicas).is_empty());
    assert_eq!(asked(&sweep.queries(now + QUERY_INTERVAL, replicas)), 1);
}

#[test]
fn unknown_run_ends_only_after_opening_timeout_and_by_majority() {
    let mut sweep = holding(1);
    for replica in REPLICAS {
        sweep.record_answer(at(QUERY_INTERVAL), replica, &[], &[RunId(0)]);
    }
    assert!(
        sweep.take_ended().is_empty(),
        "the run may still be opening"
    );
    let mut sweep = holding(1);
    sweep.record_answer(at(OPENING_TIMEOUT), REPLICAS[0], &[], &[RunId(0)]);
    sweep.record_answer(at(OPENING_TIMEOUT), REPLICAS[0], &[], &[RunId(0)]);
    assert!(
        sweep.take_ended().is_empty(),
        "one replica is not a majority"
    );
    sweep.record_answer(at(OPENING_TIMEOUT), REPLICAS[1], &[], &[RunId(0)]);
    assert_eq!(sweep.take_ended().len(), 1);
}

#[test]
fn queries_and_steps_are_bounded_and_cover_all_runs() {
    let count = MAX_RUNS_PER_STEP + 100;
    let mut sweep = holding(count as u128);
    let mut seen = std::collections::BTreeSet::new();
    for step in 0..2 {
        let queries = sweep.queries(at(QUERY_INTERVAL * step), replicas);
        assert!(asked(&queries) <= MAX_RUNS_PER_STEP);
        let largest = queries.iter().map(|query| query.runs.len()).max();
        assert!(largest <= Some(MAX_RUNS_PER_QUERY));
        seen.extend(queries.into_iter().flat_map(|query| query.runs));
    }
    assert_eq!(seen.len(), count);
    let runs: Vec<RunId> = (0..count as u128).map(RunId).collect();
    sweep.record_answer(at(QUERY_INTERVAL), REPLICAS[0], &runs, &[]);
    assert_eq!(sweep.take_ended().len(), MAX_RELEASES_PER_STEP);
}

#[test]
fn contexts_missing_from_a_listing_are_removed() {
    let mut sweep = holding(3);
    sweep.record_listing(MonotonicTime::ZERO, &backend("e"), [RunId(1)].into_iter());
    assert_eq!(sweep.context_count(), 1);
    assert_eq!(asked(&sweep.queries(at(QUERY_INTERVAL), replicas)), 1);
    sweep.backend_gone(&backend("e"));
    assert_eq!(sweep.context_count(), 0);
    assert!(sweep.queries(at(QUERY_INTERVAL * 3), replicas).is_empty());
}
