//! Tables of the database, and how operations change them.

use redb::{Table, TableDefinition, TableError, WriteTransaction};
use ridgeworks_domain::RunId;

use crate::checksum::{entry_key_bytes, seal};
use crate::error::StoreError;
use crate::operation::StoreOperation;

type Bytes = &'static [u8];
type EntryKey = (u128, u64);

/// Identity of the data folder: node name and creation number.
pub(crate) const IDENTITY: TableDefinition<u8, (&str, u128)> = TableDefinition::new("identity");
/// Heads of runs.
pub(crate) const RUN_HEADS: TableDefinition<u128, Bytes> = TableDefinition::new("run-heads");
/// Entries of runs, by run and index.
pub(crate) const RUN_ENTRIES: TableDefinition<EntryKey, Bytes> =
    TableDefinition::new("run-entries");
/// Configuration records.
pub(crate) const CONFIGURATION: TableDefinition<Bytes, Bytes> =
    TableDefinition::new("configuration");
/// Records of the replica itself.
pub(crate) const NODE_RECORDS: TableDefinition<Bytes, Bytes> = TableDefinition::new("node-records");
/// Replicated records.
pub(crate) const RECORDS: TableDefinition<Bytes, Bytes> = TableDefinition::new("records");

/// Tables of one write transaction. Each is opened when it is first needed: opening all of them took a
/// good part of the time of a small commit.
pub(crate) struct WriteTables<'transaction> {
    transaction: &'transaction WriteTransaction,
    run_heads: Option<Table<'transaction, u128, Bytes>>,
    run_entries: Option<Table<'transaction, EntryKey, Bytes>>,
    configuration: Option<Table<'transaction, Bytes, Bytes>>,
    node_records: Option<Table<'transaction, Bytes, Bytes>>,
    records: Option<Table<'transaction, Bytes, Bytes>>,
}

/// The table in this place, opened when it is not yet.
fn opened<'table, 'transaction, K: redb::Key + 'static, V: redb::Value + 'static>(
    place: &'table mut Option<Table<'transaction, K, V>>,
    transaction: &'transaction WriteTransaction,
    definition: TableDefinition<K, V>,
) -> Result<&'table mut Table<'transaction, K, V>, TableError> {
    match place {
        Some(table) => Ok(table),
        None => Ok(place.insert(transaction.open_table(definition)?)),
    }
}

impl<'transaction> WriteTables<'transaction> {
    /// No table is open yet.
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

    /// Creates the tables that are missing.
    pub(crate) fn create_all(&mut self) -> Result<(), TableError> {
        self.run_heads()?;
        self.run_entries()?;
        self.configuration()?;
        self.node_records()?;
        self.records()?;
        Ok(())
    }

    fn run_heads(&mut self) -> Result<&mut Table<'transaction, u128, Bytes>, TableError> {
        opened(&mut self.run_heads, self.transaction, RUN_HEADS)
    }

    fn run_entries(&mut self) -> Result<&mut Table<'transaction, EntryKey, Bytes>, TableError> {
        opened(&mut self.run_entries, self.transaction, RUN_ENTRIES)
    }

    fn configuration(&mut self) -> Result<&mut Table<'transaction, Bytes, Bytes>, TableError> {
        opened(&mut self.configuration, self.transaction, CONFIGURATION)
    }

    fn node_records(&mut self) -> Result<&mut Table<'transaction, Bytes, Bytes>, TableError> {
        opened(&mut self.node_records, self.transaction, NODE_RECORDS)
    }

    fn records(&mut self) -> Result<&mut Table<'transaction, Bytes, Bytes>, TableError> {
        opened(&mut self.records, self.transaction, RECORDS)
    }

    /// Applies one change.
    pub(crate) fn apply(&mut self, operation: &StoreOperation) -> Result<(), StoreError> {
        match operation {
            StoreOperation::PutRunHead { run, bytes } => {
                let sealed = seal(&run.0.to_be_bytes(), bytes);
                self.run_heads()?.insert(run.0, sealed.as_slice())?;
            }
            StoreOperation::PutEntry { run, index, bytes } => {
                let key = (run.0, *index);
                let sealed = seal(&entry_key_bytes(run.0, *index), bytes);
                self.run_entries()?.insert(key, sealed.as_slice())?;
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

/// Writes a value with its checksum.
fn put(table: &mut Table<'_, Bytes, Bytes>, key: &[u8], bytes: &[u8]) -> Result<(), StoreError> {
    table.insert(key, seal(key, bytes).as_slice())?;
    Ok(())
}
