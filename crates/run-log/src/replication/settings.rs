//! Settings of replication.

use std::time::Duration;

/// Timeouts and limits of replication.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicationSettings {
    /// Time without a reply after which a request is repeated.
    pub retry_after: Duration,
    /// Limit on the size of the entries in one append, in bytes; a single larger entry is still sent.
    pub max_append_bytes: usize,
    /// Limit on the estimated number of unanswered appends with entries to one replica.
    pub max_inflight: u32,
    /// Minimum time between two appends of committed entries to a replica that lags behind. Together with
    /// `max_append_bytes` it bounds the catch-up rate.
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
