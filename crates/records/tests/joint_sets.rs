//! What a write costs while the replica set changes.
//!
//! A voter was replaced under load. From then on every reservation and settlement went to all seven members in place of three of
//! five: `replica answers late` counted 1,500 to 1,840 reservations a second at each voter, the copy came to no end, and reservations
//! went from 66 ms to 549 ms at the median within ten seconds (`ridgeworks timeline`). Three members that belong to both sides are a
//! majority of each.

use std::collections::BTreeSet;

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

fn joint(voters: &[u64], incoming: &[u64]) -> ReplicaSet {
    ReplicaSet {
        epoch: Epoch(2),
        voters: replicas(voters),
        incoming: Some(replicas(incoming)),
    }
}

fn ids(replicas: &[Replica]) -> BTreeSet<ReplicaId> {
    replicas.iter().map(|replica| replica.id).collect()
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

#[test]
fn those_asked_first_are_shared_by_both_sides_where_they_are_preferred() {
    let set = joint(&[1, 2, 3, 4, 5], &[1, 2, 3, 6, 7]);
    let (first, spare) = set.split_for_write(replicas(&[2, 3, 1, 4, 6, 5, 7]));
    assert_eq!(first, replicas(&[2, 3, 1]));
    assert_eq!(spare, replicas(&[4, 6, 5, 7]));
    // One of them does not answer, so it comes last: one more of each side takes its place.
    let (first, _) = set.split_for_write(replicas(&[2, 3, 4, 6, 5, 7, 1]));
    assert_eq!(first, replicas(&[2, 3, 4, 6]));
}

/// Of the members in any order, those asked first are a write quorum, none is lost, and no order of preference gets by with
/// fewer than `write_quorum` says.
#[test]
fn those_asked_first_are_a_quorum() {
    quickcheck::quickcheck(is_quorum_first as fn(Vec<u64>, u8, u8) -> bool);
}

fn is_quorum_first(order: Vec<u64>, voters: u8, incoming: u8) -> bool {
    let voters: Vec<u64> = (0..u64::from(voters % 6) + 1).collect();
    let begin = u64::from(incoming % 4);
    let incoming: Vec<u64> = (begin..begin + voters.len() as u64).collect();
    let set = joint(&voters, &incoming);
    let mut members: Vec<Replica> = set.members().into_iter().cloned().collect();
    members.sort_by_key(|member| order.iter().position(|id| *id % 10 == member.id.0));
    let (first, spare) = set.split_for_write(members.clone());
    let all: BTreeSet<ReplicaId> = ids(&first).union(&ids(&spare)).copied().collect();
    set.has_write_quorum(&ids(&first))
        && all == ids(&members)
        && first.len() >= set.write_quorum()
        && first.len() + spare.len() == members.len()
}
