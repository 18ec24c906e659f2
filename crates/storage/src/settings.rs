//! Settings of a replica's store.

use std::path::PathBuf;

use crate::identity::StoreCreationId;

const DEFAULT_CACHE_BYTES: usize = 32 * 1024 * 1024;
const DEFAULT_MAX_WAITING_BATCHES: usize = 16_384;
const DEFAULT_MAX_COMMIT_BYTES: usize = 16 * 1024 * 1024;

/// Settings of one store.
#[derive(Debug, Clone)]
pub struct StoreSettings {
    /// The data folder; created when missing. Only one process can have it open.
    pub directory: PathBuf,
    /// Name of the node that the data folder belongs to.
    pub node_name: String,
    /// Identity that the data folder gets if it is new; to be drawn at random.
    pub new_creation_id: StoreCreationId,
    /// Memory for cached pages, in bytes.
    pub cache_bytes: usize,
    /// Batches that may wait for the writer; one more is refused.
    pub max_waiting_batches: usize,
    /// Bytes of values after which a group takes in no further batch.
    pub max_commit_bytes: usize,
}

impl StoreSettings {
    /// The default bounds for this folder and node.
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
            max_waiting_batches: DEFAULT_MAX_WAITING_BATCHES,
            max_commit_bytes: DEFAULT_MAX_COMMIT_BYTES,
        }
    }
}
