//! Records on the disk: opening, restoring, and encoding of changes.
//!
//! Only the replica sets are read before the disk counts as open. The other records are restored
//! while requests are handled, those that a request needs first, since reading all of them takes
//! seconds (`docs/design/large-fleets.md`, "After everything has ended").

use std::fmt;
use std::io;
use std::ops::{ControlFlow, RangeInclusive};
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Instant;

use ridgeworks_records::{Change, DISK_VERSION, RecordKey, ReplicaId, ReplicaState, StoredRecord};
use ridgeworks_storage::{Store, StoreCreationId, StoreError, StoreOperation, StoreSettings};
use rkyv::rancor;
use rkyv::util::AlignedVec;

const THREAD: &str = "disk";
const READ_VERSIONS: RangeInclusive<u16> = 0..=DISK_VERSION;
/// Key of the disk's version among the node's own records; a disk without it has version 0.
const VERSION_KEY: &[u8] = b"disk-version";
const TURN_PREFIX: u8 = b't';
const LEDGER_PREFIX: u8 = b'l';
const SET_KEY: &[u8] = b"s";
/// Records that are passed on at once while restoring.
const RESTORE_BATCH: usize = 32;
/// How long the restoring thread pauses after each batch, as a multiple of the time taken to read
/// it. The pause leaves processor time to requests; a longer one would delay copies for a changed
/// set, which wait until all records are restored.
const PAUSE_FACTOR: u32 = 3;
/// Memory for cached pages of the database, in bytes. Small, since requests are served from memory.
const CACHE_BYTES: usize = 4 * 1024 * 1024;

/// An error of the local database, a record or the format of the disk.
#[derive(Debug)]
pub enum DiskError {
    /// The local database failed.
    Store(StoreError),
    /// A record can't be encoded or decoded.
    Record,
    /// No thread could be started.
    Thread(io::Error),
    /// The disk has a format that this program doesn't read. Holds the disk's version, `None` if
    /// that can't be decoded.
    Version(Option<u16>),
}

impl fmt::Display for DiskError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(error) => error.fmt(formatter),
            Self::Record => write!(formatter, "a record cannot be encoded or decoded"),
            Self::Thread(error) => write!(formatter, "cannot start a thread: {error}"),
            Self::Version(Some(version)) => write!(
                formatter,
                "the disk has format version {version}, but this program reads versions up to {DISK_VERSION}"
            ),
            Self::Version(None) => write!(formatter, "the disk's format version cannot be decoded"),
        }
    }
}

impl std::error::Error for DiskError {}

impl From<StoreError> for DiskError {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

/// An open disk and the state read from it.
pub struct OpenedDisk {
    /// Open until the last reference is dropped.
    pub store: Arc<Store>,
    /// The replica's state, with only the replica sets restored.
    pub state: ReplicaState,
    /// Whether the disk was empty.
    pub is_new: bool,
}

/// Runs work that blocks on the disk. The runtime's own threads for such work panic where none can be started.
pub fn start_thread(work: impl FnOnce() + Send + 'static) -> Result<(), DiskError> {
    let builder = thread::Builder::new().name(THREAD.to_owned());
    let started = builder.spawn(work);
    started.map(drop).map_err(DiskError::Thread)
}

/// Opens the local database in this folder and reads the replica sets. Blocks.
pub fn open(
    folder: &Path,
    node_name: &str,
    max_total_turn_bytes: usize,
) -> Result<OpenedDisk, DiskError> {
    let creation = StoreCreationId(rand::random());
    let mut settings = StoreSettings::new(folder, node_name, creation);
    settings.cache_bytes = CACHE_BYTES;
    let opened = Store::open(&settings)?;
    check_version(&opened.store)?;
    let creation = opened.store.identity().creation_id;
    // Half of the identifier suffices to tell one disk from another.
    let id = ReplicaId(creation.0 as u64);
    let mut state = ReplicaState::new(id, max_total_turn_bytes);
    state.set_log_id(rand::random());
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

/// Rejects a disk in a newer format before any record is read or written.
fn check_version(store: &Store) -> Result<(), DiskError> {
    let Some(bytes) = store.node_record(VERSION_KEY)? else {
        return Ok(());
    };
    let version = <[u8; 2]>::try_from(bytes.as_slice()).ok();
    match version.map(u16::from_le_bytes) {
        Some(version) if READ_VERSIONS.contains(&version) => Ok(()),
        unsupported => Err(DiskError::Version(unsupported)),
    }
}

/// Reads one record; `None` if it isn't on the disk.
pub fn read(store: &Store, key: &RecordKey) -> Result<Option<StoredRecord>, DiskError> {
    let bytes = store.record(&encode_key(key))?;
    bytes.map(|bytes| decode(&bytes)).transpose()
}

/// Reads all records and passes them on in batches, until `on_records` breaks: ledgers before
/// turns, since their keys sort lower. Blocks, and sleeps most of the time.
pub fn read_all(
    store: &Store,
    mut on_records: impl FnMut(Vec<StoredRecord>) -> ControlFlow<()>,
) -> Result<(), DiskError> {
    let mut after = Vec::new();
    loop {
        let started_at = Instant::now();
        let page = store.records_after(&after, RESTORE_BATCH)?;
        let Some(last) = page.last() else {
            return Ok(());
        };
        after.clone_from(&last.key);
        let records: Result<Vec<StoredRecord>, DiskError> =
            page.iter().map(|record| decode(&record.bytes)).collect();
        let mut records = records?;
        // The sets were read when the disk was opened, and may have changed since.
        let is_set = |record: &StoredRecord| {
            matches!(record, StoredRecord::Set(_) | StoredRecord::Groups(_))
        };
        records.retain(|record| !is_set(record));
        if on_records(records).is_break() {
            return Ok(());
        }
        thread::sleep(started_at.elapsed() * PAUSE_FACTOR);
    }
}

/// The database operation for a change.
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

/// Decodes a record as stored on the disk.
pub fn decode(bytes: &[u8]) -> Result<StoredRecord, DiskError> {
    let mut aligned = AlignedVec::<16>::with_capacity(bytes.len());
    aligned.extend_from_slice(bytes);
    rkyv::from_bytes::<StoredRecord, rancor::Error>(&aligned).map_err(|_| DiskError::Record)
}
