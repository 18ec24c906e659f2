//! What callers hand to the store.

use std::fmt;

use ridgeworks_domain::RunId;

use crate::error::StoreError;

/// One durable change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreOperation {
    /// Sets the head of a run: its promise, commit index and what else its replica keeps per run.
    PutRunHead {
        /// The run.
        run: RunId,
        /// The head, encoded.
        bytes: Vec<u8>,
    },
    /// Sets one entry of a run's log.
    PutEntry {
        /// The run.
        run: RunId,
        /// Position in the run's log.
        index: u64,
        /// The entry with its ballot, encoded.
        bytes: Vec<u8>,
    },
    /// Removes the entries of a run from an index on.
    TruncateEntries {
        /// The run.
        run: RunId,
        /// First index removed.
        from: u64,
    },
    /// Removes a run's head and all its entries.
    DeleteRun {
        /// The run.
        run: RunId,
    },
    /// Sets one configuration record.
    PutConfiguration {
        /// Name of the record.
        key: Vec<u8>,
        /// The record, encoded.
        bytes: Vec<u8>,
    },
    /// Removes one configuration record.
    DeleteConfiguration {
        /// Name of the record.
        key: Vec<u8>,
    },
    /// Sets one replicated record.
    PutRecord {
        /// Key of the record.
        key: Vec<u8>,
        /// The record, encoded.
        bytes: Vec<u8>,
    },
    /// Removes one replicated record.
    DeleteRecord {
        /// Key of the record.
        key: Vec<u8>,
    },
    /// Sets one record of the replica itself, such as its generation.
    PutNodeRecord {
        /// Name of the record.
        key: Vec<u8>,
        /// The record, encoded.
        bytes: Vec<u8>,
    },
}

impl StoreOperation {
    /// Length of the key and value that it writes, in bytes; a bound on the size of a group.
    pub(crate) fn weight(&self) -> usize {
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

/// Called once, on the writer's thread, with the outcome of the batch. It should only pass the news
/// on: the next group waits for it.
pub type Completion = Box<dyn FnOnce(Result<(), StoreError>) + Send>;

/// Changes that become durable together, in this order.
pub struct WriteBatch {
    /// The changes.
    pub operations: Vec<StoreOperation>,
    /// Called when they are durable, or never will be acknowledged.
    pub on_durable: Completion,
}

impl WriteBatch {
    /// A batch with its completion.
    pub fn new(
        operations: Vec<StoreOperation>,
        on_durable: impl FnOnce(Result<(), StoreError>) + Send + 'static,
    ) -> Self {
        Self {
            operations,
            on_durable: Box::new(on_durable),
        }
    }

    pub(crate) fn weight(&self) -> usize {
        self.operations.iter().map(StoreOperation::weight).sum()
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
