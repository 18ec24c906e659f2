//! No engine memory stays tied up by runs that have ended, whoever should have told the engine.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use ridgeworks_domain::RunId;
use ridgeworks_stand_ins::engine::EngineOptions;
use serde_json::Value;
use support::{Cluster, eventually};

/// What the users were promised.
const WITHIN: Duration = Duration::from_secs(10);

/// Reads a context out of an engine.
fn export(cluster: &Cluster, engine: SocketAddr, run: RunId) -> Value {
    let url = format!("http://{engine}/contexts/{run}/export");
    let mut answer = cluster.agent().post(&url).send_empty().unwrap();
    answer.body_mut().read_json().unwrap()
}

/// Stores a context, as an attempt does that ends late.
fn store_late(cluster: &Cluster, engine: SocketAddr, run: RunId, context: &Value) {
    let url = format!("http://{engine}/contexts/{run}");
    let answer = cluster.agent().put(&url).send_json(context).unwrap();
    assert!(answer.status().is_success());
}

#[test]
fn contexts_of_ended_runs_go_without_events_and_without_the_dispatcher() {
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
    eventually("the release at the end", WITHIN, || {
        cluster.contexts(0).len() == 1
    });

    store_late(&cluster, engine, ended, &context);
    let took = eventually("a late store is released", WITHIN, || {
        cluster.contexts(0).len() == 1
    });
    println!("late store released after {took:?}");

    let dispatcher = cluster.dispatcher();
    cluster.nodes[dispatcher].kill();
    store_late(&cluster, engine, ended, &context);
    let took = eventually("the next dispatcher releases", WITHIN, || {
        cluster.contexts(0).len() == 1
    });
    println!("released by the next dispatcher after {took:?}");
    assert_eq!(cluster.contexts(0), vec![open.to_string()]);
}
