//! Calls wait in a running cluster if their contexts do not fit into an engine's memory together.

mod support;

use std::time::Duration;

use ridgeworks_stand_ins::engine::EngineOptions;
use support::{Cluster, eventually};

const WITHIN: Duration = Duration::from_secs(15);
/// Engine memory in blocks; equals 16,384 tokens.
const BLOCKS: u64 = 1_024;
/// Tokens of an answer. Three quarters of the memory fit two such contexts, but not three.
const ANSWER: u32 = 5_000;

#[test]
fn calls_without_a_deadline_wait_until_their_contexts_fit() {
    let mut options = EngineOptions::local("engine-1");
    options.blocks = BLOCKS;
    options.answer_tokens = 2 * ANSWER as usize;
    options.costs.base = Duration::from_millis(10);
    let cluster = Cluster::start(vec![options]);
    let dispatcher = cluster.dispatcher();
    for _ in 0..3 {
        cluster.begin_call(cluster.open(), ANSWER);
    }
    eventually("two calls run and one waits", WITHIN, || {
        let running = cluster.in_flight(dispatcher);
        let waiting = cluster.gauge(dispatcher, "dispatcher_queued");
        running == Some(2) && waiting == Some(1)
    });
}
