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

/// Open tables of one write transaction.
pub(crate) struct WriteTables<'transaction> {
    run_heads: Table<'transaction, u128, Bytes>,
    run_entries: Table<'transaction, EntryKey, Bytes>,
    configuration: Table<'transaction, Bytes, Bytes>,
    node_records: Table<'transaction, Bytes, Bytes>,
    records: Table<'transaction, Bytes, Bytes>,
}

impl<'transaction> WriteTables<'transaction> {
    /// Opens the tables, creating those that are missing.
    pub(crate) fn open(transaction: &'transaction WriteTransaction) -> Result<Self, TableError> {
        Ok(Self {
            run_heads: transaction.open_table(RUN_HEADS)?,
            run_entries: transaction.open_table(RUN_ENTRIES)?,
            configuration: transaction.open_table(CONFIGURATION)?,
            node_records: transaction.open_table(NODE_RECORDS)?,
            records: transaction.open_table(RECORDS)?,
        })
    }

    /// Applies one change.
    pub(crate) fn apply(&mut self, operation: &StoreOperation) -> Result<(), StoreError> {
        match operation {
            StoreOperation::PutRunHead { run, bytes } => {
                let sealed = seal(&run.0.to_be_bytes(), bytes);
                self.run_heads.insert(run.0, sealed.as_slice())?;
            }
            StoreOperation::PutEntry { run, index, bytes } => {
                let key = (run.0, *index);
                let sealed = seal(&entry_key_bytes(run.0, *index), bytes);
                self.run_entries.insert(key, sealed.as_slice())?;
            }
            StoreOperation::TruncateEntries { run, from } => self.remove_entries(*run, *from)?,
            StoreOperation::ForgetRun { run } => {
                self.run_heads.remove(run.0)?;
                self.remove_entries(*run, 0)?;
            }
            StoreOperation::PutConfiguration { key, bytes } => {
                self.configuration
                    .insert(key.as_slice(), seal(key, bytes).as_slice())?;
            }
            StoreOperation::DeleteConfiguration { key } => {
                self.configuration.remove(key.as_slice())?;
            }
            StoreOperation::PutRecord { key, bytes } => {
                self.records
                    .insert(key.as_slice(), seal(key, bytes).as_slice())?;
            }
            StoreOperation::DeleteRecord { key } => {
                self.records.remove(key.as_slice())?;
            }
            StoreOperation::PutNodeRecord { key, bytes } => {
                self.node_records
                    .insert(key.as_slice(), seal(key, bytes).as_slice())?;
            }
        }
        Ok(())
    }

    fn remove_entries(&mut self, run: RunId, from: u64) -> Result<(), StoreError> {
        let range = (run.0, from)..=(run.0, u64::MAX);
        self.run_entries.retain_in(range, |_, _| false)?;
        Ok(())
    }
}
