//! Outputs of the dispatcher.

use std::net::SocketAddr;
use std::time::Duration;

use ridgeworks_domain::{BackendName, MonotonicTime, Refusal, RunId};

use crate::event::Ticket;

/// An output of the dispatcher. Effects of one event are carried out in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// The owner may send its call to a backend.
    Grant {
        /// Ticket of the granted call.
        ticket: Ticket,
        /// Backend that has a slot for the call.
        backend: BackendName,
        /// Network address of the backend.
        address: SocketAddr,
        /// Time within which the owner must confirm with [`crate::Event::AttemptStarted`]; after it
        /// the owner must not use the grant.
        valid_for: Duration,
    },
    /// The call gets no slot and has not run.
    Refuse {
        /// Ticket of the refused call.
        ticket: Ticket,
        /// Reason, and the delay after which a retry may succeed.
        refusal: Refusal,
    },
    /// The owner of a running call should cancel its attempt to make room for an urgent call. It may
    /// then enqueue the call again with a new ticket.
    Preempt {
        /// Ticket of the running call.
        ticket: Ticket,
        /// Backend at which it runs.
        backend: BackendName,
    },
    /// The engine should keep the run's context regardless of its own eviction order. An end
    /// that is not in the future ends the lease: the engine may evict the context in its own order
    /// again.
    Retain {
        /// Run that the context belongs to.
        run: RunId,
        /// Engine that holds the context.
        backend: BackendName,
        /// End of the lease, on the dispatcher's clock.
        until: MonotonicTime,
    },
    /// The engine should drop the run's context.
    Release {
        /// Run that the context belongs to.
        run: RunId,
        /// Engine that holds the context.
        backend: BackendName,
    },
    /// Cache events of the engine were lost, so its cache must be listed.
    RelistCache {
        /// Engine whose cache is to be listed.
        backend: BackendName,
    },
    /// The context should be exported from one engine and imported by another. The response is
    /// [`crate::Event::ContextMoved`]; the grant that depends on the move is sent after it.
    MoveContext {
        /// Run that the context belongs to.
        run: RunId,
        /// Engine that holds the context.
        from: BackendName,
        /// Engine at which the call is going to run.
        to: BackendName,
    },
}
