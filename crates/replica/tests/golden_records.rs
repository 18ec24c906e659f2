//! Formats of records on a disk and of objects in the platform's store, checked against files
//! written by the first disk version (`docs/design/versions.md`).

#[path = "../../resident/tests/support/samples.rs"]
#[allow(dead_code, reason = "only some samples are used here")]
mod samples;
#[path = "support/stored.rs"]
mod stored;

use std::fs;
use std::path::PathBuf;

use ridgeworks_records::{Change, DISK_VERSION, ReplicaGroups};
use ridgeworks_replica::disk::{DiskError, decode, open, operation};
use ridgeworks_storage::{Store, StoreCreationId, StoreOperation, StoreSettings, WriteBatch};

const NODE: &str = "node-1";
const MAX_TOTAL_TURN_BYTES: usize = 1024 * 1024;

fn golden(name: &str) -> Vec<u8> {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden/v0");
    fs::read(folder.join(name)).unwrap_or_else(|error| panic!("{name}: {error}"))
}

#[test]
fn records_on_a_disk_keep_their_format() {
    for record in stored::stored() {
        let name = stored::stored_name(&record);
        let bytes = golden(&format!("{name}.bin"));
        let read = decode(&bytes).unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(read, record, "{name} decoded");
        let key = golden(&format!("{name}.key"));
        let written = operation(&Change::Put(record)).expect("encodes");
        assert_eq!(
            written,
            StoreOperation::PutRecord { key, bytes },
            "{name} encoded"
        );
    }
}

#[test]
fn replica_sets_in_the_store_keep_their_format() {
    for (name, groups) in stored::registered() {
        let file = golden(&format!("{name}.json"));
        let read: ReplicaGroups = serde_json::from_slice(&file).expect("replica sets");
        assert_eq!(read, groups, "{name}");
        assert_eq!(
            serde_json::to_vec(&groups).expect("encodes"),
            file,
            "{name}"
        );
    }
}

/// A disk that states this version.
fn disk_of_version(version: &[u8]) -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    let settings = StoreSettings::new(folder.path(), NODE, StoreCreationId(1));
    let opened = Store::open(&settings).expect("a new disk");
    let operation = StoreOperation::PutNodeRecord {
        key: b"disk-version".to_vec(),
        bytes: version.to_vec(),
    };
    let batch = WriteBatch::new(vec![operation], |outcome| outcome.expect("written"));
    opened.store.submit(batch).expect("taken");
    folder
}

fn rejected_version(folder: &tempfile::TempDir) -> Option<Option<u16>> {
    match open(folder.path(), NODE, MAX_TOTAL_TURN_BYTES) {
        Ok(_) => None,
        Err(DiskError::Version(version)) => Some(version),
        Err(error) => panic!("{error}"),
    }
}

/// Records in an unknown format would be missed or misread, and acknowledged changes lost.
#[test]
fn a_disk_of_a_newer_version_is_rejected_and_others_are_opened() {
    let newer = DISK_VERSION + 1;
    assert_eq!(
        rejected_version(&disk_of_version(&newer.to_le_bytes())),
        Some(Some(newer))
    );
    assert_eq!(rejected_version(&disk_of_version(b"")), Some(None));
    assert_eq!(
        rejected_version(&disk_of_version(&DISK_VERSION.to_le_bytes())),
        None
    );
    let empty = tempfile::tempdir().expect("a folder");
    assert_eq!(rejected_version(&empty), None);
    assert_eq!(
        rejected_version(&empty),
        None,
        "a disk that states no version"
    );
}
