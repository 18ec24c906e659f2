//! Runs outlive the loss of their replicas' disks and nodes, one after the other, also while nobody uses them.

mod support;

use std::time::Duration;

use ridgeworks_domain::{NodeId, RunId};
use ridgeworks_stand_ins::engine::EngineOptions;
use support::{Cluster, eventually};

const NAMES: [&str; 5] = ["na", "nb", "nc", "nd", "ne"];
const WITHIN: Duration = Duration::from_secs(15);

fn call(cluster: &Cluster, run: RunId, sequence: u32) {
    let what = format!("call {sequence} is answered");
    eventually(&what, WITHIN, || cluster.chat(run, sequence, 4).is_some());
}

/// Waits until an owner has asked for another replica in place of that of a node, and two calls more, so that the change is
/// committed.
fn replaced(cluster: &Cluster, run: RunId, name: &str, sequence: u32) {
    let line = format!("run={run} replaces={} ", NodeId::from_name(name).0);
    let took = eventually(&line, WITHIN, || cluster.has_logged(&line));
    println!("replacement of {name} begun after {took:?}");
    call(cluster, run, sequence);
    call(cluster, run, sequence + 1);
}

/// Opens a run with replicas on the two nodes that do not vote on the configuration, owned by the node of its
/// third replica.
fn open_on_both(cluster: &Cluster) -> RunId {
    let mut run = None;
    eventually("a run on both nodes", WITHIN, || {
        let opened = cluster.open();
        let replicas = cluster.replicas(opened);
        let owner = cluster.nodes[cluster.owner(opened)].name;
        let on_both = replicas.contains(&"nd") && replicas.contains(&"ne");
        let found = on_both && owner != "nd" && owner != "ne" && replicas.contains(&owner);
        run = found.then_some(opened);
        found
    });
    run.unwrap()
}

#[test]
fn an_idle_run_gets_a_replica_on_the_new_disk_of_its_node() {
    let engines = vec![EngineOptions::local("engine-1")];
    let mut cluster = Cluster::start_nodes(&NAMES, engines, "");
    let run = open_on_both(&cluster);
    call(&cluster, run, 1);
    let (lost, next) = (cluster.position("nd"), cluster.position("ne"));
    cluster.nodes[lost].kill();
    cluster.restart(lost, false);
    let line = format!(
        "run={run} replica={} has another store",
        NodeId::from_name("nd").0
    );
    let took = eventually(&line, WITHIN, || cluster.has_logged(&line));
    println!("replacement on the new disk begun after {took:?}");
    // Two of the three replicas hold the run only if the new disk does.
    std::thread::sleep(Duration::from_secs(1));
    cluster.nodes[next].kill();
    call(&cluster, run, 2);
}

#[test]
fn a_run_is_found_after_two_of_its_nodes_were_replaced() {
    let engines = vec![EngineOptions::local("engine-1")];
    let mut cluster = Cluster::start_nodes(&NAMES, engines, "[sweep]\ndead_ms = 1000\n");
    let run = open_on_both(&cluster);
    call(&cluster, run, 1);
    for (name, sequence) in [("nd", 2), ("ne", 4)] {
        let node = cluster.position(name);
        cluster.nodes[node].kill();
        replaced(&cluster, run, name, sequence);
    }
    // The replica that the run's number still names goes as well, and with it the owner: no node that the number names is
    // there to tell where the others are.
    let replicas = cluster.replicas(run);
    let last = replicas.iter().find(|name| !["nd", "ne"].contains(name));
    let last = cluster.position(last.unwrap());
    cluster.nodes[last].kill();
    let line = format!("member={} state=Dead", cluster.nodes[last].name);
    eventually(&line, WITHIN, || cluster.has_logged(&line));
    call(&cluster, run, 6);
    // The first one comes back under its name with an empty disk.
    let first = cluster.position("nd");
    cluster.restart(first, false);
    call(&cluster, run, 7);
}
