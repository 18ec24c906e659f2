//! What a write costs while the replica set changes.
//!
//! A voter was replaced under load. From then on every reservation and settlement went to all seven members in place of three of
//! five: `replica answers late` counted 1,500 to 1,840 reservations a second at each voter, the copy came to no end, and reservations
//! went from 66 ms to 549 ms at the median within ten seconds (`ridgeworks timeline`). Three members that belong to both sides are a
//! majority of each.

use ridgeworks_records::{Epoch, Replica, ReplicaId, ReplicaSet};

fn replicas(ids: &[u64]) -> Vec<Replica> {
    let numbered = |id: &u64| Replica {
        id: ReplicaId(*id),
        node: format!("store-{id}"),
        address: format!("127.0.0.1:{id}"),
        zone: "zone".to_owned(),
    };
    ids.iter().map(numbered).collect()
}

#[test]
fn a_write_under_a_joint_set_asks_no_more_than_a_majority_of_both_sides_first() {
    let set = ReplicaSet {
        epoch: Epoch(2),
        voters: replicas(&[1, 2, 3, 4, 5]),
        incoming: Some(replicas(&[1, 2, 3, 6, 7])),
    };
    assert_eq!(set.write_quorum(), 3);
}
