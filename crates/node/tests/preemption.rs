//! Urgent calls preempt routine calls when those hold all routine slots.

mod support;

use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use ridgeworks_domain::RunId;
use ridgeworks_stand_ins::engine::EngineOptions;
use support::{Cluster, chat_with, eventually};
use ureq::Agent;

const WITHIN: Duration = Duration::from_secs(20);
const STEP: Duration = Duration::from_millis(200);
/// Tokens of a routine answer, which takes eight seconds.
const ANSWER: u32 = 40;
/// Slots of the engine without the one reserved for urgent calls.
const ROUTINE: usize = 7;
/// More calls than reserved slots.
const URGENT: usize = 3;
/// Tokens; long enough that urgent calls would exceed `LONGEST_WAIT` if they ran one after another
/// in the reserved slot.
const URGENT_ANSWER: u32 = 10;
/// Allows for the step in progress and for messages between busy processes.
const LONGEST_WAIT: Duration = Duration::from_secs(1);

/// Starts a repeatable call and returns its duration, or `None` if it got no answer.
fn begin(cluster: &Cluster, run: RunId, max_tokens: u32) -> JoinHandle<Option<Duration>> {
    let edge = cluster.nodes[cluster.owner(run)].edge;
    thread::spawn(move || {
        let agent: Agent = Agent::config_builder().build().into();
        let start = Instant::now();
        let headers = [("x-ridgeworks-repeatable", "true")];
        // A node may refuse calls until it has the configuration.
        let call = || chat_with(&agent, edge, run, 1, max_tokens, &headers);
        let answer = support::ask_until_answered(call);
        answer.map(|_| start.elapsed())
    })
}

#[test]
fn urgent_calls_preempt_routine_calls_which_are_retried() {
    let mut options = EngineOptions::local("engine-1");
    options.answer_tokens = 2 * ANSWER as usize;
    options.costs.base = STEP;
    let cluster = Cluster::start(vec![options]);
    let dispatcher = cluster.dispatcher();
    let routine: Vec<RunId> = (0..ROUTINE).map(|_| cluster.open()).collect();
    let urgent: Vec<RunId> = (0..URGENT).map(|_| cluster.open_program("alert")).collect();
    let routine_calls: Vec<_> = routine
        .iter()
        .map(|run| begin(&cluster, *run, ANSWER))
        .collect();
    eventually("all routine slots are occupied", WITHIN, || {
        cluster.in_flight(dispatcher) == Some(ROUTINE)
    });
    let urgent_calls: Vec<_> = urgent
        .iter()
        .map(|run| begin(&cluster, *run, URGENT_ANSWER))
        .collect();
    for call in urgent_calls {
        let took = call.join().unwrap().expect("an answer");
        let waited = took.saturating_sub(STEP * URGENT_ANSWER);
        println!("urgent call waited {waited:?} in addition to its own steps");
        assert!(waited < LONGEST_WAIT, "{waited:?}");
    }
    for call in routine_calls {
        assert!(
            call.join().unwrap().is_some(),
            "preempted calls are answered"
        );
    }
}
