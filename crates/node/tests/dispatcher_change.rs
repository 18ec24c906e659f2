//! Attempts that run when the dispatcher changes go on taking up their slots at the next one.

mod support;

use std::thread;
use std::time::Duration;

use ridgeworks_domain::RunId;
use ridgeworks_stand_ins::engine::EngineOptions;
use support::{Cluster, chat_at, eventually};
use ureq::Agent;

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

fn begin_call(cluster: &Cluster, run: RunId) {
    let edge = cluster.nodes[cluster.owner(run)].edge;
    thread::spawn(move || {
        let agent: Agent = Agent::config_builder().build().into();
        // The nodes are killed before it is answered; before that they may not all be ready.
        let asked = |_: &i32| chat_at(&agent, edge, run, 1, LONG_ANSWER).is_some();
        (0..50).find(asked)
    });
}

/// Slots in use by the account of a node that dispatches.
fn in_flight(cluster: &Cluster, node: usize) -> Option<usize> {
    let url = format!("http://{}/metrics", cluster.nodes[node].edge);
    let mut answer = cluster.agent().get(&url).call().ok()?;
    let text = answer.body_mut().read_to_string().ok()?;
    let mut lines = text.lines();
    let line = lines.find(|line| line.contains("dispatcher_in_flight{"))?;
    line.rsplit(' ').next()?.parse().ok()
}

#[test]
fn the_next_dispatcher_is_told_of_running_attempts() {
    let mut options = EngineOptions::local("engine-1");
    options.answer_tokens = 2 * LONG_ANSWER as usize;
    options.costs.base = STEP;
    let mut cluster = Cluster::start(vec![options]);
    let first = cluster.dispatcher();
    for run in open_elsewhere(&cluster, first) {
        begin_call(&cluster, run);
    }
    eventually("all calls run", WITHIN, || {
        in_flight(&cluster, first) == Some(CALLS)
    });
    cluster.nodes[first].kill();
    let others: Vec<usize> = (0..3).filter(|node| *node != first).collect();
    let took = eventually("the next dispatcher counts them", WITHIN, || {
        let mut others = others.iter();
        others.any(|node| in_flight(&cluster, *node) == Some(CALLS))
    });
    println!("counted after {took:?}");
}
