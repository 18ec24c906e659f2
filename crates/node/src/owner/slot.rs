//! The slot that the call under way of a run has, or asks a dispatcher for.

use std::time::Instant;

use ridgeworks_domain::{BackendName, NodeId, Sequence, ServiceName};
use ridgeworks_scheduling::Ticket;

use crate::dispatcher::{DispatcherCommand, SlotRequest};

/// One request for a slot, until the attempt that uses it has ended.
#[derive(Debug, Clone)]
pub struct Slot {
    /// The service.
    pub service: ServiceName,
    /// The request; repeated until it is answered.
    pub request: SlotRequest,
    /// The call.
    pub call: Sequence,
    /// Number of the attempt.
    pub attempt: u32,
    /// The dispatcher that was asked.
    pub dispatcher: NodeId,
    /// Whether the dispatcher granted it.
    pub granted: bool,
    /// When the grant came.
    pub granted_at: Option<Instant>,
    /// When the grant must be used.
    pub valid_until: Option<Instant>,
    /// Where the attempt runs, once it was started.
    pub running_at: Option<BackendName>,
    /// Former dispatchers that still count the attempt.
    pub former: Vec<NodeId>,
    /// When it was first asked for.
    pub asked_at: Instant,
    /// Whether the attempt is being cancelled in favour of an urgent call.
    pub preempted: bool,
    /// When it is asked again.
    pub ask_again_at: Instant,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

impl Slot {
    /// Names the request.
    pub fn ticket(&self) -> Ticket {
        self.request.ticket
    }

    /// Asks the dispatcher for it.
    pub fn enqueue(&self) -> DispatcherCommand {
        DispatcherCommand::Enqueue {
            service: self.service.clone(),
            request: self.request.clone(),
        }
    }

    /// Gives up the request, or gives the slot back unused.
    pub fn cancel(&self) -> DispatcherCommand {
        DispatcherCommand::Cancel {
            service: self.service.clone(),
            ticket: self.ticket(),
        }
    }
}
