//! Counters of the store, exported by the node's metrics.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counters since the store was opened.
#[derive(Debug, Default)]
pub struct StoreCounters {
    pub(crate) commits: AtomicU64,
    pub(crate) batches: AtomicU64,
    pub(crate) operations: AtomicU64,
    pub(crate) refused: AtomicU64,
    pub(crate) commit_micros: AtomicU64,
}

/// Values of [`StoreCounters`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreCountersSnapshot {
    /// Transactions committed with `fsync`.
    pub commits: u64,
    /// Batches made durable.
    pub batches: u64,
    /// Operations made durable.
    pub operations: u64,
    /// Batches refused because the queue was full, or after a failure.
    pub refused: u64,
    /// Total duration of successful transactions, in microseconds.
    pub commit_micros: u64,
}

impl StoreCounters {
    /// Reads all counters, one after another and not atomically.
    pub fn snapshot(&self) -> StoreCountersSnapshot {
        StoreCountersSnapshot {
            commits: self.commits.load(Ordering::Relaxed),
            batches: self.batches.load(Ordering::Relaxed),
            operations: self.operations.load(Ordering::Relaxed),
            refused: self.refused.load(Ordering::Relaxed),
            commit_micros: self.commit_micros.load(Ordering::Relaxed),
        }
    }
}

pub(crate) fn add(counter: &AtomicU64, amount: u64) {
    counter.fetch_add(amount, Ordering::Relaxed);
}
