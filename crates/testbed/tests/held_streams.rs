//! Memory of open streams on one node.

use std::path::Path;

use ridgeworks_testbed::bench::{Deployment, bench_preset, measure_held_streams};
use ridgeworks_testbed::cluster::{Binaries, Cluster, ClusterOptions, RelayUse};
use ridgeworks_testbed::cluster_command::WorkingFolder;

/// The first streams of a fresh node also pay for what all later ones share.
const FIRST_STREAMS: usize = 50;
const STREAMS: usize = 150;
/// A thousand streams are to stay below 256 MB.
const MAX_BYTES_PER_STREAM: u64 = 256 * 1_000;

#[test]
fn an_open_stream_takes_little_memory() {
    let testbed = Path::new(env!("CARGO_BIN_EXE_ridgeworks-testbed"));
    let programs = testbed.parent().expect("a folder");
    let folder = WorkingFolder::make(None).expect("a folder");
    let cluster = Cluster::start(ClusterOptions {
        preset: bench_preset().expect("the preset loads"),
        binaries: Binaries::in_folder(programs).expect("`make test` builds the node first"),
        folder: folder.path().to_owned(),
        relay: RelayUse::None,
        history: false,
    })
    .expect("the deployment starts");
    let deployment = Deployment::new(&cluster).expect("services and programs");
    let levels = measure_held_streams(&deployment, &[FIRST_STREAMS, STREAMS]);
    let levels = levels.expect("figures of the node");
    let [_, first, all] = levels.as_slice() else {
        panic!("expected three levels, got {levels:?}");
    };
    assert_eq!((first.streams, all.streams), (FIRST_STREAMS, STREAMS));
    let added = all.resident_bytes.saturating_sub(first.resident_bytes);
    let per_stream = added / (STREAMS - FIRST_STREAMS) as u64;
    assert!(
        per_stream <= MAX_BYTES_PER_STREAM,
        "a stream takes {per_stream} bytes: {levels:?}"
    );
}
