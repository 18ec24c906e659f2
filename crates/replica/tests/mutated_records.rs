//! Decoders of records on a disk and of replica sets in the platform's store must not panic on
//! mutated bytes.

#[path = "../../resident/tests/support/mutation.rs"]
mod mutation;
#[path = "../../resident/tests/support/samples.rs"]
#[allow(dead_code, reason = "only some samples are used here")]
mod samples;
#[path = "support/stored.rs"]
#[allow(dead_code, reason = "file names are not used here")]
mod stored;

use ridgeworks_records::{Change, ReplicaGroups};
use ridgeworks_replica::disk::{decode, operation};
use ridgeworks_storage::StoreOperation;

fn read_record(bytes: &[u8]) {
    let _ = decode(bytes);
}

fn read_sets(bytes: &[u8]) {
    let _ = serde_json::from_slice::<ReplicaGroups>(bytes);
}

#[test]
fn mutated_records_are_decoded_without_panic() {
    let operations = stored::stored().into_iter().map(Change::Put);
    let bytes = operations.map(|change| match operation(&change) {
        Ok(StoreOperation::PutRecord { bytes, .. }) => bytes,
        other => panic!("{other:?}"),
    });
    mutation::check(bytes.collect(), read_record);
}

#[test]
fn mutated_replica_sets_are_decoded_without_panic() {
    let registered = stored::registered().into_iter();
    let bytes = registered.map(|(_, groups)| serde_json::to_vec(&groups).expect("encodes"));
    mutation::check(bytes.collect(), read_sets);
}
