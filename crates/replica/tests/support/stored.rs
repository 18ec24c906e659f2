//! One record of each kind of disk version 0. The golden files hold their encoding.

use ridgeworks_records::{Epoch, GroupId, ReplicaGroups, ReplicaSet, StoredRecord};

use super::samples::{ledger, program, record, replica};

const EXPIRES_AT_MS: u64 = 1_700_000_600_000;

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
        StoredRecord::Turn(record(), EXPIRES_AT_MS),
        StoredRecord::Ledger(program(), ledger(), EXPIRES_AT_MS),
        StoredRecord::Set(set()),
        StoredRecord::Groups(ReplicaGroups::new(vec![settled, set()])),
        StoredRecord::GroupTurn(GroupId(3), record(), EXPIRES_AT_MS),
    ]
}

/// Name of the record's golden file. A further variant needs a new disk version, since the first
/// one can't read it.
pub fn stored_name(record: &StoredRecord) -> &'static str {
    match record {
        StoredRecord::Turn(..) => "turn",
        StoredRecord::Ledger(..) => "ledger",
        StoredRecord::Set(_) => "set",
        StoredRecord::Groups(_) => "groups",
        StoredRecord::GroupTurn(..) => "group-turn",
    }
}

/// Replica sets in the platform's store: of one group, and of several.
pub fn registered() -> Vec<(&'static str, ReplicaGroups)> {
    vec![
        ("replica-set-one", ReplicaGroups::single(set())),
        ("replica-sets-many", ReplicaGroups::new(vec![set(), set()])),
    ]
}
