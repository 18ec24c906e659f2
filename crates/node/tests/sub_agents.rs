//! The context of a run that waits for a sub-agent is kept.

mod support;

use std::time::Duration;

use ridgeworks_stand_ins::engine::EngineOptions;
use serde_json::json;
use support::{Cluster, eventually};

const WITHIN: Duration = Duration::from_secs(10);

#[test]
fn a_run_that_opens_a_sub_agent_keeps_its_context_under_lease() {
    let cluster = Cluster::start(vec![EngineOptions::local("engine-1")]);
    let parent = cluster.open();
    eventually("a call is answered", WITHIN, || {
        cluster.chat(parent, 1, 8).is_some()
    });
    let lease = || {
        let contexts = cluster.get(cluster.engines[0].address(), "/contexts");
        contexts[0]["retained_ms"].as_u64().unwrap_or(0)
    };
    assert_eq!(lease(), 0, "a run that waits for nothing");

    let body = json!({"program": "placement", "parent": parent.to_string()});
    eventually("the sub-agent is opened", WITHIN, || {
        cluster.post("/v1/runs", &[], &body).is_some()
    });
    let took = eventually("the context is under lease", WITHIN, || lease() > 0);
    println!("under lease after {took:?}");
}
