//! Reading a chain while the replica set changes.

use ridgeworks_records::{ChainOutcome, ChainRead, Epoch, Replica, ReplicaId, ReplicaSet, TurnId};

fn replica(id: u64) -> Replica {
    Replica {
        id: ReplicaId(id),
        node: format!("store-{id}"),
        address: format!("127.0.0.1:{id}"),
        zone: "zone".to_owned(),
    }
}

fn replicas(ids: &[u64]) -> Vec<Replica> {
    ids.iter().copied().map(replica).collect()
}

fn read(voters: &[u64], incoming: Option<&[u64]>) -> ChainRead {
    let set = ReplicaSet {
        epoch: Epoch(2),
        voters: replicas(voters),
        incoming: incoming.map(replicas),
    };
    ChainRead::new(set, TurnId("t".to_owned()))
}

fn report_missing(read: &mut ChainRead, from: u64) -> Option<ChainOutcome> {
    let missing = Some(TurnId("t".to_owned()));
    read.on_chain(ReplicaId(from), Vec::new(), missing)
}

fn is_missing(outcome: Option<ChainOutcome>) -> bool {
    matches!(outcome, Some(ChainOutcome::NoSuchTurn(_)))
}

#[test]
fn a_majority_of_the_voters_proves_that_a_turn_is_missing() {
    let mut read = read(&[1, 2, 3], None);
    assert_eq!(report_missing(&mut read, 1), None);
    assert!(is_missing(report_missing(&mut read, 3)));
}

/// The turn may have been written under the set that follows, to a majority of which the reader has asked none.
#[test]
fn under_a_joint_set_a_turn_is_missing_only_by_both_majorities() {
    let mut read = read(&[1, 2, 3], Some(&[2, 3, 4]));
    assert_eq!(report_missing(&mut read, 1), None);
    assert_eq!(report_missing(&mut read, 3), None);
    let left: Vec<ReplicaId> = read.candidates().iter().map(|left| left.id).collect();
    assert_eq!(left, [ReplicaId(2), ReplicaId(4)]);
    assert!(is_missing(report_missing(&mut read, 4)));
}
