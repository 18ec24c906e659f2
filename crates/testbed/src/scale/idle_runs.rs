//! Idle runs: their heads, as a replica holds them after a restart.

use ridgeworks_domain::run_id::REPLICAS_PER_RUN;
use ridgeworks_domain::{Ballot, MonotonicTime, NodeId, RunId};
use ridgeworks_run_log::entry::{LogIndex, LogPosition, StoreId};
use ridgeworks_run_log::replica::Replica;
use ridgeworks_run_log::storage::{RestoredStore, RunHead};

/// Index of the last entry of an idle run: opened, then a call or two.
const LAST_INDEX: LogIndex = LogIndex(6);

/// The replica role of one node with a disk, holding its part of all idle runs.
pub fn replica_of(
    disk_nodes: &[NodeId],
    position: usize,
    runs: usize,
    now: MonotonicTime,
) -> Replica {
    let node = disk_nodes[position];
    let restored = RestoredStore {
        store: StoreId(node.0),
        generation: 0,
        heads: heads(disk_nodes, position, runs),
    };
    Replica::restore(node, restored, now)
}

/// Run number `n` is on the nodes with a disk at positions `n`, `n + 1` and `n + 2`, modulo their number.
fn heads(disk_nodes: &[NodeId], position: usize, runs: usize) -> Vec<(RunId, RunHead)> {
    let count = disk_nodes.len();
    let mut heads = Vec::new();
    for place in 0..REPLICAS_PER_RUN.min(count) {
        let first = (position + count - place) % count;
        heads.extend(
            (first..runs)
                .step_by(count)
                .map(|run| head(disk_nodes, run)),
        );
    }
    heads
}

fn head(disk_nodes: &[NodeId], run: usize) -> (RunId, RunHead) {
    let replicas: [NodeId; REPLICAS_PER_RUN] =
        std::array::from_fn(|place| disk_nodes[(run + place) % disk_nodes.len()]);
    let ballot = Ballot {
        round: 1,
        node: replicas[0],
    };
    let head = RunHead {
        promised: ballot,
        instance: 1,
        last: LogPosition {
            ballot,
            index: LAST_INDEX,
        },
        commit_index: LAST_INDEX,
        closed_index: LogIndex::NONE,
        members_index: LogIndex::FIRST,
        call_open: false,
        generation: 0,
    };
    (RunId::compose(run as u64, replicas), head)
}
