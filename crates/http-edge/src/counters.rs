//! Counters of the HTTP edge, exported by the node's metrics.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$documentation:meta])* $name:ident),+ $(,)?) => {
        /// Counters since the start of the edge. All are monotonic except the gauge `open_requests`.
        #[derive(Debug, Default)]
        pub struct EdgeCounters {
            $($(#[$documentation])* pub $name: AtomicU64,)+
        }

        /// A copy of the values of [`EdgeCounters`].
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub struct CountersSnapshot {
            $($(#[$documentation])* pub $name: u64,)+
        }

        impl EdgeCounters {
            /// Copies all counters; the copy is not atomic.
            pub fn snapshot(&self) -> CountersSnapshot {
                CountersSnapshot { $($name: self.$name.load(Ordering::Relaxed),)+ }
            }
        }
    };
}

counters!(
    /// Requests whose head was read.
    received,
    /// Requests whose handler is currently running.
    open_requests,
    /// Requests passed to the handler.
    handled,
    /// Requests refused because `max_concurrent_requests` were in flight.
    refused_overload,
    /// Requests refused because the edge is stopping.
    refused_stopping,
    /// Requests refused because their body is too long.
    refused_body_too_long,
    /// Requests refused because the length of their body is malformed or ambiguous.
    refused_malformed,
    /// Requests whose body did not arrive in time.
    timed_out,
    /// Requests whose body could not be read completely for a reason other than a timeout.
    broken_requests,
    /// Responses that could not be written because the client disconnected or stopped reading.
    client_disconnects,
    /// Requests to which the handler sent no valid response, or for which no thread could be started.
    unanswered,
    /// Handler calls that panicked.
    handler_panics,
    /// Connections leaked because `tiny_http` would allocate their declared body length.
    abandoned_connections,
    /// Restarts of `tiny_http` on the same listener after it stopped accepting connections.
    acceptor_restarts,
);

pub(crate) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

pub(crate) fn decrement(counter: &AtomicU64) {
    counter.fetch_sub(1, Ordering::Relaxed);
}
