//! Counters of a node's links.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counts since the start of the process; shared with the thread that serves `/metrics`.
#[derive(Debug, Default)]
pub struct LinkCounters {
    /// Messages handed to a connection.
    pub sent_messages: AtomicU64,
    /// Bytes of these, with their frame headers.
    pub sent_bytes: AtomicU64,
    /// Messages received.
    pub received_messages: AtomicU64,
    /// Bytes received.
    pub received_bytes: AtomicU64,
    /// Messages dropped because the queue of their connection was full.
    pub dropped_messages: AtomicU64,
    /// Connections dialled.
    pub dialled: AtomicU64,
    /// Connections that broke.
    pub broken: AtomicU64,
}

impl LinkCounters {
    pub(crate) fn add(counter: &AtomicU64, amount: usize) {
        counter.fetch_add(amount as u64, Ordering::Relaxed);
    }
}
