//! Records on the disk: opening, reading back, encoding of changes.
//!
//! Only the replica set is read before the disk counts as open. The other records are read while requests are
//! taken already, those first that a request needs, since all of them take seconds on a small machine
//! (`docs/design/large-fleets.md`, "After everything has ended").

use std::fmt;
use std::ops::{ControlFlow, RangeInclusive};
use std::path::Path;
use std::sync::Arc;
use std::time::Instant;

use ridgeworks_records::{Change, DISK_VERSION, RecordKey, ReplicaId, ReplicaState, StoredRecord};
use ridgeworks_storage::{Store, StoreCreationId, StoreError, StoreOperation, StoreSettings};
use rkyv::rancor;
use rkyv::util::AlignedVec;

const READ_VERSIONS: RangeInclusive<u16> = 0..=DISK_VERSION;
/// Key of the disk's version among the node's own records; a disk without it has version 0.
const VERSION_KEY: &[u8] = b"disk-version";
const TURN_PREFIX: u8 = b't';
const LEDGER_PREFIX: u8 = b'l';
const SET_KEY: &[u8] = b"s";
/// Records that are handed over at once while they are read back.
const RESTORED_AT_ONCE: usize = 32;
/// How much longer than it reads the thread rests that reads records back: requests need the processor, and a
/// copy for a changed set waits until all are read.
const REST_FACTOR: u32 = 3;
/// Memory for cached pages of the database, in bytes; records are answered from memory anyway.
const CACHE_BYTES: usize = 4 * 1024 * 1024;

/// Why records cannot be read or written.
#[derive(Debug)]
pub enum DiskError {
    /// The store failed.
    Store(StoreError),
    /// A record cannot be encoded or read.
    Record,
    /// A newer program has written in a form that this one does not read; holds the disk's version, `None` where that itself
    /// cannot be read.
    Version(Option<u16>),
}

impl fmt::Display for DiskError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(error) => error.fmt(formatter),
            Self::Record => write!(formatter, "a record cannot be encoded or read"),
            Self::Version(Some(version)) => write!(
                formatter,
                "the disk has version {version}, this program reads up to {DISK_VERSION}"
            ),
            Self::Version(None) => write!(formatter, "the disk's version cannot be read"),
        }
    }
}

impl std::error::Error for DiskError {}

impl From<StoreError> for DiskError {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

/// An open disk with the state that it holds.
pub struct OpenedDisk {
    /// The store.
    pub store: Arc<Store>,
    /// The replica's state.
    pub state: ReplicaState,
    /// Whether the disk was empty.
    pub is_new: bool,
}

/// Opens the folder and reads the replica set. Blocks.
pub fn open(
    folder: &Path,
    node_name: &str,
    max_turn_bytes: usize,
) -> Result<OpenedDisk, DiskError> {
    let creation = StoreCreationId(rand::random());
    let mut settings = StoreSettings::new(folder, node_name, creation);
    settings.cache_bytes = CACHE_BYTES;
    let opened = Store::open(&settings)?;
    check_version(&opened.store)?;
    let creation = opened.store.identity().creation_id;
    // Half of the number is random enough to tell one life of a disk from another.
    let id = ReplicaId(creation.0 as u64);
    let mut state = ReplicaState::new(id, max_turn_bytes);
    state.begin_life(rand::random());
    if let Some(bytes) = opened.store.record(SET_KEY)? {
        state.restore(decode(&bytes)?);
    }
    state.begin_restoring();
    Ok(OpenedDisk {
        store: Arc::new(opened.store),
        state,
        is_new: opened.is_new,
    })
}

/// Refuses a disk whose form is newer than this program, before anything of it is read or written.
fn check_version(store: &Store) -> Result<(), DiskError> {
    let Some(bytes) = store.node_record(VERSION_KEY)? else {
        return Ok(());
    };
    let version = <[u8; 2]>::try_from(bytes.as_slice()).ok();
    match version.map(u16::from_le_bytes) {
        Some(version) if READ_VERSIONS.contains(&version) => Ok(()),
        newer => Err(DiskError::Version(newer)),
    }
}

/// Reads one record.
pub fn read(store: &Store, key: &RecordKey) -> Result<Option<StoredRecord>, DiskError> {
    let bytes = store.record(&encode_key(key))?;
    bytes.map(|bytes| decode(&bytes)).transpose()
}

/// Reads all records back and hands them over, some at a time, for as long as they are wanted: ledgers first, since their keys
/// are the lower ones, then turns. Blocks, and rests most of the time.
pub fn read_all(
    store: &Store,
    mut hand_over: impl FnMut(Vec<StoredRecord>) -> ControlFlow<()>,
) -> Result<(), DiskError> {
    let mut after = Vec::new();
    loop {
        let began = Instant::now();
        let page = store.records_after(&after, RESTORED_AT_ONCE)?;
        let Some(last) = page.last() else {
            return Ok(());
        };
        after.clone_from(&last.key);
        let records: Result<Vec<StoredRecord>, DiskError> =
            page.iter().map(|record| decode(&record.bytes)).collect();
        let mut records = records?;
        // The set was read when the disk was opened, and may have changed since.
        let is_set = |record: &StoredRecord| {
            matches!(record, StoredRecord::Set(_) | StoredRecord::Groups(_))
        };
        records.retain(|record| !is_set(record));
        if hand_over(records).is_break() {
            return Ok(());
        }
        std::thread::sleep(began.elapsed() * REST_FACTOR);
    }
}

/// The operation that makes a change durable.
pub fn operation(change: &Change) -> Result<StoreOperation, DiskError> {
    match change {
        Change::Put(record) => {
            let bytes = rkyv::to_bytes::<rancor::Error>(record).map_err(|_| DiskError::Record)?;
            Ok(StoreOperation::PutRecord {
                key: key_of(record),
                bytes: bytes.into_vec(),
            })
        }
        Change::Delete(key) => Ok(StoreOperation::DeleteRecord {
            key: encode_key(key),
        }),
    }
}

fn key_of(record: &StoredRecord) -> Vec<u8> {
    match record {
        StoredRecord::Turn(turn, _) | StoredRecord::GroupTurn(_, turn, _) => {
            with_prefix(TURN_PREFIX, &turn.turn.0)
        }
        StoredRecord::Ledger(program, ..) => with_prefix(LEDGER_PREFIX, &program.0),
        StoredRecord::Set(_) | StoredRecord::Groups(_) => SET_KEY.to_vec(),
    }
}

fn encode_key(key: &RecordKey) -> Vec<u8> {
    match key {
        RecordKey::Turn(turn) => with_prefix(TURN_PREFIX, &turn.0),
        RecordKey::Ledger(program) => with_prefix(LEDGER_PREFIX, &program.0),
    }
}

fn with_prefix(prefix: u8, name: &str) -> Vec<u8> {
    let mut key = Vec::with_capacity(name.len() + 1);
    key.push(prefix);
    key.extend_from_slice(name.as_bytes());
    key
}

/// Reads the bytes of a record.
pub fn decode(bytes: &[u8]) -> Result<StoredRecord, DiskError> {
    let mut aligned = AlignedVec::<16>::with_capacity(bytes.len());
    aligned.extend_from_slice(bytes);
    rkyv::from_bytes::<StoredRecord, rancor::Error>(&aligned).map_err(|_| DiskError::Record)
}
