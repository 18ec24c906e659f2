//! Running attempts keep occupying their slots after a dispatcher failover.

mod support;

use std::time::Duration;

use ridgeworks_domain::RunId;
use ridgeworks_stand_ins::engine::EngineOptions;
use support::{Cluster, eventually};

const WITHIN: Duration = Duration::from_secs(20);
/// Long enough to run throughout the test, at one token per step.
const LONG_ANSWER: u32 = 4_000;
const STEP: Duration = Duration::from_millis(10);
const CALLS: usize = 3;

/// Opens runs whose owner is another node than the dispatcher.
fn open_runs_with_other_owner(cluster: &Cluster, dispatcher: usize) -> Vec<RunId> {
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
fn new_dispatcher_counts_running_attempts_after_failover() {
    let mut options = EngineOptions::local("engine-1");
    options.answer_tokens = 2 * LONG_ANSWER as usize;
    options.costs.base = STEP;
    let mut cluster = Cluster::start(vec![options]);
    let first = cluster.dispatcher();
    for run in open_runs_with_other_owner(&cluster, first) {
        cluster.begin_call(run, LONG_ANSWER);
    }
    eventually("all calls run", WITHIN, || {
        cluster.in_flight(first) == Some(CALLS)
    });
    cluster.nodes[first].kill();
    let others: Vec<usize> = (0..3).filter(|node| *node != first).collect();
    let took = eventually(
        "the new dispatcher counts the running attempts",
        WITHIN,
        || {
            let mut others = others.iter();
            others.any(|node| cluster.in_flight(*node) == Some(CALLS))
        },
    );
    println!("running attempts counted after {took:?}");
}
