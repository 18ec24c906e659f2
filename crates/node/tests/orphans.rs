//! Runs whose owner died with a call under way, and whose client never comes back.

mod support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use ridgeworks_stand_ins::engine::EngineOptions;
use support::{Cluster, eventually};

const SILENT_MS: u64 = 2_000;

#[test]
fn the_call_of_a_dead_owner_is_fenced_without_its_client() {
    let mut options = EngineOptions::local("engine-1");
    // The answer takes far longer than the test.
    options.costs.base = Duration::from_millis(500);
    let settings = format!("[sweep]\nsilent_ms = {SILENT_MS}\n");
    let mut cluster = Cluster::start_with(vec![options], &settings);
    let engine = cluster.engines[0].address();
    let run = cluster.open();
    let owner = cluster.owner(run);
    let running = |cluster: &Cluster| cluster.get(engine, "/load")["running"].as_u64();
    let gone = AtomicBool::new(false);
    thread::scope(|scope| {
        // The client's node dies with the owner, and the client gives up.
        let edge = cluster.nodes[owner].edge;
        let agent = cluster.agent().clone();
        let gone = &gone;
        scope.spawn(move || {
            // A refusal that passes by itself is met by asking again, until the owner dies.
            while !gone.load(Ordering::Relaxed) {
                support::chat_at(&agent, edge, run, 1, 2_000);
                thread::sleep(Duration::from_millis(50));
            }
        });
        eventually("the attempt runs", Duration::from_secs(10), || {
            running(&cluster) == Some(1)
        });
        gone.store(true, Ordering::Relaxed);
        cluster.nodes[owner].kill();
    });
    let took = eventually("the attempt is fenced", Duration::from_secs(15), || {
        running(&cluster) == Some(0)
    });
    println!("fenced {took:?} after the owner's end");
    let history = format!("/v1/runs/{run}/history");
    let mut told = None;
    eventually("the end is recorded", Duration::from_secs(5), || {
        told = cluster.read(&history);
        told.is_some()
    });
    let told = told.unwrap();
    assert_eq!(told["calls"][0]["outcome"], "unknown", "{told}");
}
