//! The sweep for contexts of ended runs, under virtual time.

use std::time::Duration;

use ridgeworks_domain::{BackendName, MonotonicTime, NodeId, RunId};
use ridgeworks_node::dispatcher::context_sweep::{
    ASK_INTERVAL, ContextSweep, EndedContext, MAX_RELEASES_PER_STEP, MAX_RUNS_PER_QUESTION,
    MAX_RUNS_PER_STEP, OPENING_TIMEOUT, Question,
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

/// A sweep of engine `e` that holds `count` contexts.
fn holding(count: u128) -> ContextSweep {
    let mut sweep = ContextSweep::default();
    sweep.listing(MonotonicTime::ZERO, &backend("e"), (0..count).map(RunId));
    sweep
}

fn asked(questions: &[Question]) -> usize {
    questions.iter().map(|question| question.runs.len()).sum()
}

#[test]
fn one_replica_that_knows_of_the_end_is_enough() {
    let mut sweep = holding(1);
    sweep.answer(at(ASK_INTERVAL), REPLICAS[2], &[RunId(0)], &[]);
    let backends = vec![backend("e")];
    let run = RunId(0);
    assert_eq!(sweep.take_ended(), vec![EndedContext { run, backends }]);
    assert!(sweep.take_ended().is_empty(), "released once");
}

#[test]
fn a_context_stored_late_is_released_again() {
    let mut sweep = holding(1);
    sweep.answer(at(ASK_INTERVAL), REPLICAS[0], &[RunId(0)], &[]);
    sweep.take_ended();
    let later = at(ASK_INTERVAL * 2);
    sweep.listing(later, &backend("e"), [RunId(0)].into_iter());
    assert_eq!(asked(&sweep.questions(later, replicas)), 1);
    sweep.answer(later, REPLICAS[0], &[RunId(0)], &[]);
    assert_eq!(sweep.take_ended().len(), 1);
}

#[test]
fn a_replica_that_does_not_answer_delays_a_run_by_one_interval() {
    let mut sweep = holding(1);
    let asked: Vec<NodeId> = (0..3)
        .map(|turn| sweep.questions(at(ASK_INTERVAL * turn), replicas)[0].to)
        .collect();
    assert_eq!(asked, REPLICAS);
    assert!(sweep.questions(at(ASK_INTERVAL * 2), replicas).is_empty());
}

#[test]
fn a_run_in_use_is_not_asked_about() {
    let mut sweep = holding(1);
    let now = at(ASK_INTERVAL);
    sweep.used(now, RunId(0));
    assert!(sweep.questions(now, replicas).is_empty());
    assert_eq!(asked(&sweep.questions(now + ASK_INTERVAL, replicas)), 1);
}

#[test]
fn an_unknown_run_ends_only_by_a_majority_after_the_opening_time_out() {
    let mut sweep = holding(1);
    for replica in REPLICAS {
        sweep.answer(at(ASK_INTERVAL), replica, &[], &[RunId(0)]);
    }
    assert!(sweep.take_ended().is_empty(), "it may be opened just now");
    let mut sweep = holding(1);
    sweep.answer(at(OPENING_TIMEOUT), REPLICAS[0], &[], &[RunId(0)]);
    sweep.answer(at(OPENING_TIMEOUT), REPLICAS[0], &[], &[RunId(0)]);
    assert!(sweep.take_ended().is_empty(), "one replica's word");
    sweep.answer(at(OPENING_TIMEOUT), REPLICAS[1], &[], &[RunId(0)]);
    assert_eq!(sweep.take_ended().len(), 1);
}

#[test]
fn messages_and_steps_are_bounded_and_no_run_is_left_out() {
    let count = MAX_RUNS_PER_STEP + 100;
    let mut sweep = holding(count as u128);
    let mut seen = std::collections::BTreeSet::new();
    for step in 0..2 {
        let questions = sweep.questions(at(ASK_INTERVAL * step), replicas);
        assert!(asked(&questions) <= MAX_RUNS_PER_STEP);
        let largest = questions.iter().map(|question| question.runs.len()).max();
        assert!(largest <= Some(MAX_RUNS_PER_QUESTION));
        seen.extend(questions.into_iter().flat_map(|question| question.runs));
    }
    assert_eq!(seen.len(), count);
    let runs: Vec<RunId> = (0..count as u128).map(RunId).collect();
    sweep.answer(at(ASK_INTERVAL), REPLICAS[0], &runs, &[]);
    assert_eq!(sweep.take_ended().len(), MAX_RELEASES_PER_STEP);
}

#[test]
fn contexts_that_the_engine_dropped_are_forgotten() {
    let mut sweep = holding(3);
    sweep.listing(MonotonicTime::ZERO, &backend("e"), [RunId(1)].into_iter());
    assert_eq!(sweep.context_count(), 1);
    assert_eq!(asked(&sweep.questions(at(ASK_INTERVAL), replicas)), 1);
    sweep.backend_gone(&backend("e"));
    assert_eq!(sweep.context_count(), 0);
    assert!(sweep.questions(at(ASK_INTERVAL * 3), replicas).is_empty());
}
