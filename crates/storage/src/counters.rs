//! Counters of the store, read by the node's metrics.

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

/// A copy of [`StoreCounters`] at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreCountersSnapshot {
    /// Transactions committed with `fsync`.
    pub commits: u64,
    /// Batches made durable.
    pub batches: u64,
    /// Operations made durable.
    pub operations: u64,
    /// Batches refused because too many wait, or after a failure.
    pub refused: u64,
    /// Time spent in transactions, in microseconds.
    pub commit_micros: u64,
}

impl StoreCounters {
    /// Copies all counters; they are read one after another, not at one instant.
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
