//! Quorums of joint sets.
//!
//! Guards against sending each write of a joint set to all members. Replicas that are both voters
//! and incoming count in both majorities, so a write needs few more replicas than before the
//! change.

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
fn voters_that_stay_count_in_both_majorities_of_a_joint_set() {
    let set = ReplicaSet {
        epoch: Epoch(2),
        voters: replicas(&[1, 2, 3, 4, 5]),
        incoming: Some(replicas(&[1, 2, 3, 6, 7])),
    };
    assert_eq!(set.write_quorum(), 3);
}

#[test]
fn writes_go_first_to_preferred_replicas_that_count_in_both_majorities() {
    let set = joint(&[1, 2, 3, 4, 5], &[1, 2, 3, 6, 7]);
    let (first, spare) = set.split_for_write(replicas(&[2, 3, 1, 4, 6, 5, 7]));
    assert_eq!(first, replicas(&[2, 3, 1]));
    assert_eq!(spare, replicas(&[4, 6, 5, 7]));
    // One of them doesn't reply, so it comes last: one more replica of each set takes its place.
    let (first, _) = set.split_for_write(replicas(&[2, 3, 4, 6, 5, 7, 1]));
    assert_eq!(first, replicas(&[2, 3, 4, 6]));
}

/// In any order of preference, the members asked first are a write quorum of at least
/// `write_quorum` replicas, and no member is missing from the split.
#[test]
fn replicas_asked_first_are_a_quorum_in_any_order() {
    quickcheck::quickcheck(first_replicas_are_a_quorum as fn(Vec<u64>, u8, u8) -> bool);
}

fn first_replicas_are_a_quorum(order: Vec<u64>, voters: u8, incoming: u8) -> bool {
    let voters: Vec<u64> = (0..u64::from(voters % 6) + 1).collect();
    let first_incoming = u64::from(incoming % 4);
    let incoming: Vec<u64> = (first_incoming..first_incoming + voters.len() as u64).collect();
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
