//! Limits of replication.

use std::time::Duration;

/// Limits of replication.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicationSettings {
    /// Time without an answer after which a message is sent again.
    pub retry_after: Duration,
    /// Most bytes of entries in one append, unless one entry alone is larger.
    pub max_append_bytes: usize,
    /// Most appends under way to one replica.
    pub max_inflight: u32,
    /// Least time between two appends to a replica that copies committed entries. Together with
    /// `max_append_bytes` it bounds the rate of catching up.
    pub catch_up_interval: Duration,
}

impl Default for ReplicationSettings {
    fn default() -> Self {
        Self {
            retry_after: Duration::from_millis(50),
            max_append_bytes: 256 * 1024,
            max_inflight: 8,
            catch_up_interval: Duration::from_millis(5),
        }
    }
}
