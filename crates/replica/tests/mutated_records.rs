//! Decoders of records on a disk and of replica sets in the platform's store, on bytes that nobody wrote.

#[path = "../../resident/tests/support/mutation.rs"]
mod mutation;
#[path = "../../resident/tests/support/samples.rs"]
#[allow(dead_code, reason = "records need a part of it")]
mod samples;
#[path = "support/stored.rs"]
#[allow(dead_code, reason = "names are for files")]
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
fn records() {
    let operations = stored::stored().into_iter().map(Change::Put);
    let bytes = operations.map(|change| match operation(&change) {
        Ok(StoreOperation::PutRecord { bytes, .. }) => bytes,
        other => panic!("{other:?}"),
    });
    mutation::check(bytes.collect(), read_record);
}

#[test]
fn replica_sets() {
    let registered = stored::registered().into_iter();
    let bytes = registered.map(|(_, groups)| serde_json::to_vec(&groups).expect("small"));
    mutation::check(bytes.collect(), read_sets);
}
