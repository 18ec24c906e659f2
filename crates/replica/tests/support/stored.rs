//! One record of each kind that the first disk version knows. The golden files were written from these by that version.

use ridgeworks_records::{Epoch, GroupId, ReplicaGroups, ReplicaSet, StoredRecord};

use super::samples::{ledger, program, record, replica};

const UNTIL_MS: u64 = 1_700_000_600_000;

fn set() -> ReplicaSet {
    ReplicaSet {
        epoch: Epoch(17),
        voters: vec![replica(1), replica(2), replica(3)],
        incoming: Some(vec![replica(1), replica(2), replica(4)]),
    }
}

pub fn stored() -> Vec<StoredRecord> {
    let settled = ReplicaSet {
        incoming: None,
        ..set()
    };
    vec![
        StoredRecord::Turn(record(), UNTIL_MS),
        StoredRecord::Ledger(program(), ledger(), UNTIL_MS),
        StoredRecord::Set(set()),
        StoredRecord::Groups(ReplicaGroups::new(vec![settled, set()])),
        StoredRecord::GroupTurn(GroupId(3), record(), UNTIL_MS),
    ]
}

/// What it is called in the names of files. A variant more needs a new disk version: the first one could not read it.
pub fn stored_name(record: &StoredRecord) -> &'static str {
    match record {
        StoredRecord::Turn(..) => "turn",
        StoredRecord::Ledger(..) => "ledger",
        StoredRecord::Set(_) => "set",
        StoredRecord::Groups(_) => "groups",
        StoredRecord::GroupTurn(..) => "group-turn",
    }
}

/// The replica sets as the platform's store has them: of one group, and of many.
pub fn registered() -> Vec<(&'static str, ReplicaGroups)> {
    vec![
        ("replica-set-one", ReplicaGroups::single(set())),
        ("replica-sets-many", ReplicaGroups::new(vec![set(), set()])),
    ]
}
