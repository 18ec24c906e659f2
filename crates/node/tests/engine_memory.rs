//! Engines release contexts of ended runs even if events are lost or the dispatcher fails.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use ridgeworks_domain::RunId;
use ridgeworks_stand_ins::engine::EngineOptions;
use serde_json::Value;
use support::{Cluster, eventually};

/// Bound promised to users on how long an engine keeps an ended run's context.
const WITHIN: Duration = Duration::from_secs(10);

/// Exports a run's context from an engine.
fn export(cluster: &Cluster, engine: SocketAddr, run: RunId) -> Value {
    let url = format!("http://{engine}/contexts/{run}/export");
    let mut answer = cluster.agent().post(&url).send_empty().unwrap();
    answer.body_mut().read_json().unwrap()
}

/// Stores a context as an attempt does that ends after its run.
fn store_late(cluster: &Cluster, engine: SocketAddr, run: RunId, context: &Value) {
    let url = format!("http://{engine}/contexts/{run}");
    let answer = cluster.agent().put(&url).send_json(context).unwrap();
    assert!(answer.status().is_success());
}

#[test]
fn contexts_of_ended_runs_are_released_without_events_and_after_failover() {
    let mut options = EngineOptions::local("engine-1");
    options.cache_event_gap_every = Some(1);
    let mut cluster = Cluster::start(vec![options]);
    let engine = cluster.engines[0].address();
    let (ended, open) = (cluster.open(), cluster.open());
    for run in [ended, open] {
        eventually("a call is answered", WITHIN, || {
            cluster.chat(run, 1, 8).is_some()
        });
    }
    let context = export(&cluster, engine, ended);
    cluster.close(ended);
    eventually("the context is released when its run ends", WITHIN, || {
        cluster.contexts(0).len() == 1
    });

    store_late(&cluster, engine, ended, &context);
    let took = eventually("a context stored late is released", WITHIN, || {
        cluster.contexts(0).len() == 1
    });
    println!("context stored late was released after {took:?}");

    let dispatcher = cluster.dispatcher();
    cluster.nodes[dispatcher].kill();
    store_late(&cluster, engine, ended, &context);
    let took = eventually("the new dispatcher releases the context", WITHIN, || {
        cluster.contexts(0).len() == 1
    });
    println!("released by the new dispatcher after {took:?}");
    assert_eq!(cluster.contexts(0), vec![open.to_string()]);
}
