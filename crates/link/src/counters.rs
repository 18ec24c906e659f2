//! Counters of a node's links.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counts since the start of the process, shared with the thread that serves `/metrics`.
#[derive(Debug, Default)]
pub struct LinkCounters {
    /// Messages queued on a connection.
    pub sent_messages: AtomicU64,
    /// Bytes of the sent messages, including frame headers.
    pub sent_bytes: AtomicU64,
    /// Messages received, including hello frames.
    pub received_messages: AtomicU64,
    /// Bytes of the received messages, including frame headers.
    pub received_bytes: AtomicU64,
    /// Messages dropped because the queue was full or a reconnection was not due yet.
    pub dropped_messages: AtomicU64,
    /// Outbound connection attempts, except those that failed immediately.
    pub dialled: AtomicU64,
    /// Outbound connections that failed or could not be established.
    pub broken: AtomicU64,
}

impl LinkCounters {
    pub(crate) fn add(counter: &AtomicU64, amount: usize) {
        counter.fetch_add(amount as u64, Ordering::Relaxed);
    }
}
