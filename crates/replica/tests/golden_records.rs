//! The forms of records on a disk and of objects in the platform's store, kept as files that the first disk version wrote
//! (`docs/design/versions.md`).

#[path = "../../resident/tests/support/samples.rs"]
#[allow(dead_code, reason = "records need a part of it")]
mod samples;
#[path = "support/stored.rs"]
mod stored;

use std::fs;
use std::path::PathBuf;

use ridgeworks_records::{Change, DISK_VERSION, ReplicaGroups};
use ridgeworks_replica::disk::{DiskError, decode, open, operation};
use ridgeworks_storage::{Store, StoreCreationId, StoreOperation, StoreSettings, WriteBatch};

const NODE: &str = "node-1";
const MAX_TURN_BYTES: usize = 1024 * 1024;

fn golden(name: &str) -> Vec<u8> {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden/v0");
    fs::read(folder.join(name)).unwrap_or_else(|error| panic!("{name}: {error}"))
}

#[test]
fn records_on_a_disk_keep_their_form() {
    for record in stored::stored() {
        let name = stored::stored_name(&record);
        let bytes = golden(&format!("{name}.bin"));
        let read = decode(&bytes).unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(read, record, "{name} as it is read");
        let key = golden(&format!("{name}.key"));
        let written = operation(&Change::Put(record)).expect("small");
        assert_eq!(
            written,
            StoreOperation::PutRecord { key, bytes },
            "{name} as it is written"
        );
    }
}

#[test]
fn registered_replica_sets_keep_their_form() {
    for (name, groups) in stored::registered() {
        let file = golden(&format!("{name}.json"));
        let read: ReplicaGroups = serde_json::from_slice(&file).expect("replica sets");
        assert_eq!(read, groups, "{name}");
        assert_eq!(serde_json::to_vec(&groups).expect("small"), file, "{name}");
    }
}

/// A disk as a newer program leaves it that states this version.
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

fn refusal(folder: &tempfile::TempDir) -> Option<Option<u16>> {
    match open(folder.path(), NODE, MAX_TURN_BYTES) {
        Ok(_) => None,
        Err(DiskError::Version(version)) => Some(version),
        Err(error) => panic!("{error}"),
    }
}

/// Records of a form that is not known would be missed or misread, and what was acknowledged would be forgotten.
#[test]
fn a_disk_of_a_newer_version_is_refused_and_others_are_opened() {
    let newer = DISK_VERSION + 1;
    assert_eq!(
        refusal(&disk_of_version(&newer.to_le_bytes())),
        Some(Some(newer))
    );
    assert_eq!(refusal(&disk_of_version(b"")), Some(None));
    assert_eq!(refusal(&disk_of_version(&DISK_VERSION.to_le_bytes())), None);
    let empty = tempfile::tempdir().expect("a folder");
    assert_eq!(refusal(&empty), None);
    assert_eq!(refusal(&empty), None, "a disk that states no version");
}
