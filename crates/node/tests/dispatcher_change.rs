//! Attempts that run when the dispatcher changes go on taking up their slots at the next one.

mod support;

use std::time::Duration;

use ridgeworks_domain::RunId;
use ridgeworks_stand_ins::engine::EngineOptions;
use support::{Cluster, eventually};

const WITHIN: Duration = Duration::from_secs(20);
/// Long enough to be running throughout the test, at one token each step.
const LONG_ANSWER: u32 = 4_000;
const STEP: Duration = Duration::from_millis(10);
const CALLS: usize = 3;

/// Runs whose owner isn't the dispatcher.
fn open_elsewhere(cluster: &Cluster, dispatcher: usize) -> Vec<RunId> {
    let mut runs = Vec::new();
    while runs.len() < CALLS {
        let run = cluster.open();
        if cluster.owner(run) != dispatcher {
            runs.push(run);
        }
    }
    runs
}

#[test]
fn the_next_dispatcher_is_told_of_running_attempts() {
    let mut options = EngineOptions::local("engine-1");
    options.answer_tokens = 2 * LONG_ANSWER as usize;
    options.costs.base = STEP;
    let mut cluster = Cluster::start(vec![options]);
    let first = cluster.dispatcher();
    for run in open_elsewhere(&cluster, first) {
        cluster.begin_call(run, LONG_ANSWER);
    }
    eventually("all calls run", WITHIN, || {
        cluster.in_flight(first) == Some(CALLS)
    });
    cluster.nodes[first].kill();
    let others: Vec<usize> = (0..3).filter(|node| *node != first).collect();
    let took = eventually("the next dispatcher counts them", WITHIN, || {
        let mut others = others.iter();
        others.any(|node| cluster.in_flight(*node) == Some(CALLS))
    });
    println!("counted after {took:?}");
}
