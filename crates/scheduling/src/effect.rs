//! What a dispatcher asks for.

use std::net::SocketAddr;
use std::time::Duration;

use ridgeworks_domain::{BackendName, MonotonicTime, Refusal, RunId};

use crate::event::Ticket;

/// An output of the dispatcher, to be carried out in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// The ticket's owner may send its call.
    Grant {
        /// The ticket.
        ticket: Ticket,
        /// Where to.
        backend: BackendName,
        /// Address of the back end.
        address: SocketAddr,
        /// The owner confirms with [`crate::Event::AttemptStarted`] within this time or not at all.
        valid_for: Duration,
    },
    /// The ticket gets no slot; the call did not run.
    Refuse {
        /// The ticket.
        ticket: Ticket,
        /// Why, and when coming back helps.
        refusal: Refusal,
    },
    /// The owner of a running call should cancel its attempt, which makes room for an urgent call,
    /// and may then ask again with a new ticket.
    Preempt {
        /// The ticket of the running call.
        ticket: Ticket,
        /// Where it runs.
        backend: BackendName,
    },
    /// The engine should keep the run's context, also against its own eviction order. A lease that
    /// ends at once leaves the context to that order again.
    Retain {
        /// The run.
        run: RunId,
        /// The engine.
        backend: BackendName,
        /// End of the lease, on the dispatcher's clock.
        until: MonotonicTime,
    },
    /// The engine should drop the run's context.
    Release {
        /// The run.
        run: RunId,
        /// The engine.
        backend: BackendName,
    },
    /// Cache events of the engine were lost; its cache must be listed.
    RelistCache {
        /// The engine.
        backend: BackendName,
    },
    /// The context should be exported from one engine and imported by the other. Answered by
    /// [`crate::Event::ContextMoved`]; the grant that waits for it comes then.
    MoveContext {
        /// The run whose context it is.
        run: RunId,
        /// Where it is.
        from: BackendName,
        /// Where it goes.
        to: BackendName,
    },
}
