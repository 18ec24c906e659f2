//! Operations and batches that callers submit to the store.

use std::fmt;

use ridgeworks_domain::RunId;

use crate::error::StoreError;

/// A change of the store's contents.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreOperation {
    /// Sets the head of a run: its promise, commit index and other fixed-size state.
    PutRunHead {
        /// Key of the head.
        run: RunId,
        /// The encoded head.
        bytes: Vec<u8>,
    },
    /// Sets an entry of a run's log.
    PutEntry {
        /// The run whose log is written.
        run: RunId,
        /// Index in the run's log.
        index: u64,
        /// The encoded entry, with its ballot.
        bytes: Vec<u8>,
    },
    /// Removes the entries of a run from an index on.
    TruncateEntries {
        /// The run whose log is truncated.
        run: RunId,
        /// First index removed.
        from: u64,
    },
    /// Removes a run's head and all its entries.
    DeleteRun {
        /// The run to delete.
        run: RunId,
    },
    /// Sets a configuration record.
    PutConfiguration {
        /// Key of the record.
        key: Vec<u8>,
        /// The encoded record.
        bytes: Vec<u8>,
    },
    /// Removes a configuration record.
    DeleteConfiguration {
        /// Key of the record.
        key: Vec<u8>,
    },
    /// Sets a replicated record.
    PutRecord {
        /// Key of the record.
        key: Vec<u8>,
        /// The encoded record.
        bytes: Vec<u8>,
    },
    /// Removes a replicated record.
    DeleteRecord {
        /// Key of the record.
        key: Vec<u8>,
    },
    /// Sets a node record, which is local to this node, such as the store's generation.
    PutNodeRecord {
        /// Key of the record.
        key: Vec<u8>,
        /// The encoded record.
        bytes: Vec<u8>,
    },
}

impl StoreOperation {
    /// Approximate size of the operation's key and value; used to limit the size of a commit.
    pub(crate) fn size_bytes(&self) -> usize {
        match self {
            Self::PutRunHead { bytes, .. } | Self::PutEntry { bytes, .. } => bytes.len(),
            Self::PutConfiguration { key, bytes }
            | Self::PutNodeRecord { key, bytes }
            | Self::PutRecord { key, bytes } => key.len() + bytes.len(),
            Self::DeleteConfiguration { key } | Self::DeleteRecord { key } => key.len(),
            Self::TruncateEntries { .. } | Self::DeleteRun { .. } => 0,
        }
    }
}

/// Called once with the outcome of a batch. It runs on the writer thread and delays the next commit,
/// so it should only forward the outcome.
pub type Completion = Box<dyn FnOnce(Result<(), StoreError>) + Send>;

/// Operations that become durable atomically, applied in order.
pub struct WriteBatch {
    /// Applied in this order.
    pub operations: Vec<StoreOperation>,
    /// Called with `Ok` once the batch is durable, or with the error if it failed.
    pub on_durable: Completion,
}

impl WriteBatch {
    /// Creates a batch; `on_durable` is called with its outcome.
    pub fn new(
        operations: Vec<StoreOperation>,
        on_durable: impl FnOnce(Result<(), StoreError>) + Send + 'static,
    ) -> Self {
        Self {
            operations,
            on_durable: Box::new(on_durable),
        }
    }

    pub(crate) fn size_bytes(&self) -> usize {
        self.operations.iter().map(StoreOperation::size_bytes).sum()
    }
}

impl fmt::Debug for WriteBatch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("WriteBatch")
            .field("operations", &self.operations)
            .finish_non_exhaustive()
    }
}
