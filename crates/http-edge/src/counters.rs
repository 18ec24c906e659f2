//! Counters of the HTTP edge, read by the node's metrics.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$documentation:meta])* $name:ident),+ $(,)?) => {
        /// Counters since the start of the edge. All only grow, except `open_requests`.
        #[derive(Debug, Default)]
        pub struct EdgeCounters {
            $($(#[$documentation])* pub $name: AtomicU64,)+
        }

        /// A copy of [`EdgeCounters`] at one moment.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub struct CountersSnapshot {
            $($(#[$documentation])* pub $name: u64,)+
        }

        impl EdgeCounters {
            /// Copies all counters; they are read one after another, not at one instant.
            pub fn snapshot(&self) -> CountersSnapshot {
                CountersSnapshot { $($name: self.$name.load(Ordering::Relaxed),)+ }
            }
        }
    };
}

counters!(
    /// Requests whose head was read.
    received,
    /// Requests whose handler is at work now.
    open_requests,
    /// Requests handed to the handler.
    handled,
    /// Requests refused because `max_concurrent_requests` were in progress.
    refused_overload,
    /// Requests refused because the edge is stopping.
    refused_stopping,
    /// Requests refused because their body is too long.
    refused_body_too_long,
    /// Requests refused because their length or a header is malformed.
    refused_malformed,
    /// Requests whose body did not arrive in time.
    timed_out,
    /// Requests whose connection broke before the body was whole.
    broken_requests,
    /// Answers that could not be written because the client left or stopped reading.
    client_disconnects,
    /// Handlers that ended without an answer; the client got 500.
    unanswered,
    /// Handlers that panicked.
    handler_panics,
    /// Connections left open for good because `tiny_http` would allocate their announced length.
    abandoned_connections,
    /// Times that `tiny_http` stopped accepting and was started anew on the same listener.
    acceptor_restarts,
);

pub(crate) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

pub(crate) fn decrement(counter: &AtomicU64) {
    counter.fetch_sub(1, Ordering::Relaxed);
}
