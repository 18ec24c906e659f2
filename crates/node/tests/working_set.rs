//! Contexts that do not fit into an engine's memory together wait for one another, in the daemon too.

mod support;

use std::time::Duration;

use ridgeworks_stand_ins::engine::EngineOptions;
use support::{Cluster, eventually};

const WITHIN: Duration = Duration::from_secs(15);
/// 16,384 tokens.
const BLOCKS: u64 = 1_024;
/// Two contexts of this size fit into three quarters of the memory, three don't.
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
