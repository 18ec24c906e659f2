//! Tables of the database, and the application of operations to them.

use redb::{Table, TableDefinition, TableError, WriteTransaction};
use ridgeworks_domain::RunId;

use crate::checksum::{add_checksum, entry_key_bytes};
use crate::error::StoreError;
use crate::operation::StoreOperation;

type Bytes = &'static [u8];
type EntryKey = (u128, u64);

/// Identity of the data folder: node name and creation identifier.
pub(crate) const IDENTITY: TableDefinition<u8, (&str, u128)> = TableDefinition::new("identity");
/// Heads of runs, by run.
pub(crate) const RUN_HEADS: TableDefinition<u128, Bytes> = TableDefinition::new("run-heads");
/// Entries of runs, by run and index.
pub(crate) const RUN_ENTRIES: TableDefinition<EntryKey, Bytes> =
    TableDefinition::new("run-entries");
/// Configuration records, by key.
pub(crate) const CONFIGURATION: TableDefinition<Bytes, Bytes> =
    TableDefinition::new("configuration");
/// Node records, which are local to this node, by key.
pub(crate) const NODE_RECORDS: TableDefinition<Bytes, Bytes> = TableDefinition::new("node-records");
/// Replicated records, by key.
pub(crate) const RECORDS: TableDefinition<Bytes, Bytes> = TableDefinition::new("records");

/// Tables of a write transaction. Each is opened on first use, because opening a table is expensive compared
/// with a small commit.
pub(crate) struct WriteTables<'transaction> {
    transaction: &'transaction WriteTransaction,
    run_heads: Option<Table<'transaction, u128, Bytes>>,
    run_entries: Option<Table<'transaction, EntryKey, Bytes>>,
    configuration: Option<Table<'transaction, Bytes, Bytes>>,
    node_records: Option<Table<'transaction, Bytes, Bytes>>,
    records: Option<Table<'transaction, Bytes, Bytes>>,
}

/// Returns the table in `slot`; opens it on first use.
fn open_once<'table, 'transaction, K: redb::Key + 'static, V: redb::Value + 'static>(
    slot: &'table mut Option<Table<'transaction, K, V>>,
    transaction: &'transaction WriteTransaction,
    definition: TableDefinition<K, V>,
) -> Result<&'table mut Table<'transaction, K, V>, TableError> {
    match slot {
        Some(table) => Ok(table),
        None => Ok(slot.insert(transaction.open_table(definition)?)),
    }
}

impl<'transaction> WriteTables<'transaction> {
    /// Starts without open tables.
    pub(crate) fn new(transaction: &'transaction WriteTransaction) -> Self {
        Self {
            transaction,
            run_heads: None,
            run_entries: None,
            configuration: None,
            node_records: None,
            records: None,
        }
    }

    /// Opens all tables except the identity table; this creates missing ones.
    pub(crate) fn create_all(&mut self) -> Result<(), TableError> {
        self.run_heads()?;
        self.run_entries()?;
        self.configuration()?;
        self.node_records()?;
        self.records()?;
        Ok(())
    }

    fn run_heads(&mut self) -> Result<&mut Table<'transaction, u128, Bytes>, TableError> {
        open_once(&mut self.run_heads, self.transaction, RUN_HEADS)
    }

    fn run_entries(&mut self) -> Result<&mut Table<'transaction, EntryKey, Bytes>, TableError> {
        open_once(&mut self.run_entries, self.transaction, RUN_ENTRIES)
    }

    fn configuration(&mut self) -> Result<&mut Table<'transaction, Bytes, Bytes>, TableError> {
        open_once(&mut self.configuration, self.transaction, CONFIGURATION)
    }

    fn node_records(&mut self) -> Result<&mut Table<'transaction, Bytes, Bytes>, TableError> {
        open_once(&mut self.node_records, self.transaction, NODE_RECORDS)
    }

    fn records(&mut self) -> Result<&mut Table<'transaction, Bytes, Bytes>, TableError> {
        open_once(&mut self.records, self.transaction, RECORDS)
    }

    /// Applies an operation within the transaction.
    pub(crate) fn apply(&mut self, operation: &StoreOperation) -> Result<(), StoreError> {
        match operation {
            StoreOperation::PutRunHead { run, bytes } => {
                let checksummed = add_checksum(&run.0.to_be_bytes(), bytes);
                self.run_heads()?.insert(run.0, checksummed.as_slice())?;
            }
            StoreOperation::PutEntry { run, index, bytes } => {
                let key = (run.0, *index);
                let checksummed = add_checksum(&entry_key_bytes(run.0, *index), bytes);
                self.run_entries()?.insert(key, checksummed.as_slice())?;
            }
            StoreOperation::TruncateEntries { run, from } => self.remove_entries(*run, *from)?,
            StoreOperation::DeleteRun { run } => {
                self.run_heads()?.remove(run.0)?;
                self.remove_entries(*run, 0)?;
            }
            StoreOperation::PutConfiguration { key, bytes } => {
                put(self.configuration()?, key, bytes)?;
            }
            StoreOperation::DeleteConfiguration { key } => {
                self.configuration()?.remove(key.as_slice())?;
            }
            StoreOperation::PutRecord { key, bytes } => put(self.records()?, key, bytes)?,
            StoreOperation::DeleteRecord { key } => {
                self.records()?.remove(key.as_slice())?;
            }
            StoreOperation::PutNodeRecord { key, bytes } => {
                put(self.node_records()?, key, bytes)?;
            }
        }
        Ok(())
    }

    fn remove_entries(&mut self, run: RunId, from: u64) -> Result<(), StoreError> {
        let range = (run.0, from)..=(run.0, u64::MAX);
        self.run_entries()?.retain_in(range, |_, _| false)?;
        Ok(())
    }
}

/// Inserts a value with its checksum.
fn put(table: &mut Table<'_, Bytes, Bytes>, key: &[u8], bytes: &[u8]) -> Result<(), StoreError> {
    table.insert(key, add_checksum(key, bytes).as_slice())?;
    Ok(())
}
