//! Settings of a store.

use std::path::PathBuf;

use crate::identity::StoreCreationId;

const DEFAULT_CACHE_BYTES: usize = 32 * 1024 * 1024;
const DEFAULT_MAX_QUEUED_BATCHES: usize = 16_384;
const DEFAULT_MAX_COMMIT_BYTES: usize = 16 * 1024 * 1024;

/// Location, identity and limits of a store.
#[derive(Debug, Clone)]
pub struct StoreSettings {
    /// The data folder; created if missing. Only one process can open it at a time.
    pub directory: PathBuf,
    /// The node that the data folder belongs to.
    pub node_name: String,
    /// Random identity for the data folder, used if the folder is new.
    pub new_creation_id: StoreCreationId,
    /// Size of the page cache, in bytes.
    pub cache_bytes: usize,
    /// Capacity of the writer's queue; further batches are refused.
    pub max_queued_batches: usize,
    /// Size of keys and values, in bytes, at which a commit takes no further batch.
    pub max_commit_bytes: usize,
}

impl StoreSettings {
    /// Settings with default limits.
    pub fn new(
        directory: impl Into<PathBuf>,
        node_name: impl Into<String>,
        new_creation_id: StoreCreationId,
    ) -> Self {
        Self {
            directory: directory.into(),
            node_name: node_name.into(),
            new_creation_id,
            cache_bytes: DEFAULT_CACHE_BYTES,
            max_queued_batches: DEFAULT_MAX_QUEUED_BATCHES,
            max_commit_bytes: DEFAULT_MAX_COMMIT_BYTES,
        }
    }
}
