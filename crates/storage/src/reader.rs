//! Reads durable contents. Batches that are queued or being committed are not visible.

use std::ops::{Bound, ControlFlow};

use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use ridgeworks_domain::RunId;

use crate::checksum::{entry_key_bytes, strip_checksum};
use crate::error::StoreError;
use crate::tables::{CONFIGURATION, NODE_RECORDS, RECORDS, RUN_ENTRIES, RUN_HEADS};

/// A stored entry of a run's log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredEntry {
    /// Index in the run's log.
    pub index: u64,
    /// The encoded entry.
    pub bytes: Vec<u8>,
}

/// A stored replicated record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicatedRecord {
    /// Unique among the replicated records.
    pub key: Vec<u8>,
    /// The encoded record.
    pub bytes: Vec<u8>,
}

/// A stored configuration record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigurationRecord {
    /// Unique among the configuration records.
    pub key: Vec<u8>,
    /// The encoded record.
    pub bytes: Vec<u8>,
}

pub(crate) fn visit_run_heads(
    database: &Database,
    mut visit: impl FnMut(RunId, &[u8]) -> ControlFlow<()>,
) -> Result<(), StoreError> {
    let table = database.begin_read()?.open_table(RUN_HEADS)?;
    for item in table.iter()? {
        let (run, head) = item?;
        let run = run.value();
        let head = strip_checksum(&run.to_be_bytes(), head.value())?;
        if visit(RunId(run), head).is_break() {
            break;
        }
    }
    Ok(())
}

pub(crate) fn run_head(database: &Database, run: RunId) -> Result<Option<Vec<u8>>, StoreError> {
    let table = database.begin_read()?.open_table(RUN_HEADS)?;
    let Some(checksummed) = table.get(run.0)? else {
        return Ok(None);
    };
    let head = strip_checksum(&run.0.to_be_bytes(), checksummed.value())?;
    Ok(Some(head.to_vec()))
}

pub(crate) fn entries(
    database: &Database,
    run: RunId,
    first: u64,
    max_bytes: usize,
) -> Result<Vec<StoredEntry>, StoreError> {
    let table = database.begin_read()?.open_table(RUN_ENTRIES)?;
    let mut entries = Vec::new();
    let mut total_bytes = 0;
    for item in table.range((run.0, first)..=(run.0, u64::MAX))? {
        let (key, value) = item?;
        let index = key.value().1;
        let bytes = strip_checksum(&entry_key_bytes(run.0, index), value.value())?;
        total_bytes += bytes.len();
        if total_bytes > max_bytes && !entries.is_empty() {
            break;
        }
        entries.push(StoredEntry {
            index,
            bytes: bytes.to_vec(),
        });
    }
    Ok(entries)
}

pub(crate) fn configuration(database: &Database) -> Result<Vec<ConfigurationRecord>, StoreError> {
    let table = database.begin_read()?.open_table(CONFIGURATION)?;
    let mut records = Vec::new();
    for item in table.iter()? {
        let (key, value) = item?;
        records.push(ConfigurationRecord {
            key: key.value().to_vec(),
            bytes: strip_checksum(key.value(), value.value())?.to_vec(),
        });
    }
    Ok(records)
}

pub(crate) fn node_record(database: &Database, key: &[u8]) -> Result<Option<Vec<u8>>, StoreError> {
    value(database, NODE_RECORDS, key)
}

pub(crate) fn record(database: &Database, key: &[u8]) -> Result<Option<Vec<u8>>, StoreError> {
    value(database, RECORDS, key)
}

fn value(
    database: &Database,
    table: TableDefinition<'_, &[u8], &[u8]>,
    key: &[u8],
) -> Result<Option<Vec<u8>>, StoreError> {
    let table = database.begin_read()?.open_table(table)?;
    let Some(checksummed) = table.get(key)? else {
        return Ok(None);
    };
    Ok(Some(strip_checksum(key, checksummed.value())?.to_vec()))
}

pub(crate) fn records_after(
    database: &Database,
    after: &[u8],
    limit: usize,
) -> Result<Vec<ReplicatedRecord>, StoreError> {
    let table = database.begin_read()?.open_table(RECORDS)?;
    let range = (Bound::Excluded(after), Bound::Unbounded);
    let mut records = Vec::new();
    for item in table.range::<&[u8]>(range)?.take(limit) {
        let (key, value) = item?;
        let key = key.value();
        records.push(ReplicatedRecord {
            key: key.to_vec(),
            bytes: strip_checksum(key, value.value())?.to_vec(),
        });
    }
    Ok(records)
}
