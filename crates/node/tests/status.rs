//! Operators see the dispatcher's queues by partner and class, what engines reported, and how old that is.

mod support;

use std::time::Duration;

use ridgeworks_stand_ins::engine::EngineOptions;
use serde_json::{Value, json};
use support::{Cluster, eventually};

const WITHIN: Duration = Duration::from_secs(15);
/// 16,384 tokens.
const BLOCKS: u64 = 1_024;
/// Two contexts of this size fit into three quarters of the memory, a third one waits.
const ANSWER: u32 = 5_000;

#[test]
fn status_shows_queues_loads_and_lag() {
    let mut options = EngineOptions::local("engine-1");
    options.blocks = BLOCKS;
    options.answer_tokens = 2 * ANSWER as usize;
    options.costs.base = Duration::from_millis(10);
    let cluster = Cluster::start(vec![options]);
    let dispatcher = cluster.dispatcher();
    for _ in 0..3 {
        cluster.begin_call(cluster.open(), ANSWER);
    }
    let mut status = Value::Null;
    eventually("two calls run and one has waited", WITHIN, || {
        status = cluster.status(dispatcher);
        let waits = status["queues"][0]["oldestAgeMs"] != Value::Null;
        waits && status["engines"][0]["running"] == json!(2)
    });
    let queue = &status["queues"][0];
    assert_eq!(queue["partner"], "alpha", "{status}");
    assert_eq!(queue["class"], "routine", "{status}");
    assert_eq!(queue["length"], json!("1"), "{status}");
    assert!(status["lag"]["loadMs"].is_string(), "{status}");
}
