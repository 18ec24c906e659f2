//! Turns the writes of the run log into operations of the store, and reads entries back.

use ridgeworks_domain::RunId;
use ridgeworks_run_log::entry::{LogEntry, LogIndex};
use ridgeworks_run_log::storage::{LogStorage, Write};
use ridgeworks_storage::StoreOperation;

use super::store::{GENERATION_KEY, NodeStore};
use crate::archive::{decode, encode};

/// The store's operation for one write.
pub fn operation(write: Write) -> StoreOperation {
    match write {
        Write::Head { run, head } => StoreOperation::PutRunHead {
            run,
            bytes: encode(&head),
        },
        Write::Entry { run, entry } => StoreOperation::PutEntry {
            run,
            index: entry.index.0,
            bytes: encode(&entry),
        },
        Write::TruncateFrom { run, index } => {
            StoreOperation::TruncateEntries { run, from: index.0 }
        }
        Write::DeleteRun { run } => StoreOperation::DeleteRun { run },
        Write::Generation { generation } => StoreOperation::PutNodeRecord {
            key: GENERATION_KEY.to_vec(),
            bytes: encode(&generation),
        },
    }
}

/// Reads entries that are durable.
pub struct StoredLog<'a>(pub &'a NodeStore);

impl LogStorage for StoredLog<'_> {
    fn entries(&self, run: RunId, first: LogIndex, max_bytes: usize) -> Vec<LogEntry> {
        // An unreadable entry ends the list: the reader sees a gap and asks another replica.
        let stored = self.0.store().entries(run, first.0, max_bytes);
        stored
            .unwrap_or_default()
            .iter()
            .map_while(|entry| decode(&entry.bytes))
            .collect()
    }
}
