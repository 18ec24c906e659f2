//! One run that this node owns or takes over, with the requests that wait for it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use ridgeworks_domain::{NodeId, PartnerName, RunId, Sequence};
use ridgeworks_run_log::event::CallerId;
use ridgeworks_run_log::owner::RunOwner;
use ridgeworks_run_log::run_state::RunState;

use super::slot::Slot;
use super::waiter::{Waiter, Wanted};
use crate::message::{OwnerCommand, RequestId};
use crate::outbound::AttemptId;

/// A request that came before the run was ready.
#[derive(Debug, Clone)]
pub struct PendingCommand {
    /// The request.
    pub request: RequestId,
    /// What it asks.
    pub command: OwnerCommand,
    /// When it came.
    pub since: Instant,
}

/// The attempt that is being made, and the text that came of it.
#[derive(Debug, Clone)]
pub struct RunningAttempt {
    /// The attempt.
    pub id: AttemptId,
    /// Its text so far.
    pub text: Vec<u8>,
}

/// How far this node is in owning a run.
pub enum Ownership {
    /// It asked nodes that may own the run whether they are busy with it.
    Asking {
        /// The nodes that have not answered.
        unanswered: Vec<NodeId>,
        /// When it goes on without them.
        until: Instant,
    },
    /// It owns the run, or competes for it.
    Owner(Box<RunOwner>),
}

/// One run.
pub struct OwnedRun {
    /// The run.
    pub run: RunId,
    /// How far this node is in owning it.
    pub ownership: Ownership,
    /// Replicas that the run's number names, known when its claim began; none where it was opened here.
    pub named_replicas: Option<Vec<NodeId>>,
    /// Requests that came before the run was ready.
    pub pending: Vec<PendingCommand>,
    /// Requests that wait for an answer.
    pub waiters: HashMap<CallerId, Waiter>,
    /// When callers of calls stop waiting.
    pub deadlines: HashMap<Sequence, Instant>,
    /// The slot of the call under way.
    pub slot: Option<Slot>,
    /// The attempt that is being made.
    pub running: Option<RunningAttempt>,
    /// The call whose attempt was preempted, and how long it had waited for slots until then.
    pub waited: Option<(Sequence, Duration)>,
    /// When the claim under way was first seen not to be won.
    pub claimed_at: Option<Instant>,
    /// Whether it is made among all nodes with a disk.
    pub claims_widely: bool,
    /// When the run was last used.
    pub last_used: Instant,
}

impl OwnedRun {
    /// A run with nothing under way.
    pub fn new(run: RunId, ownership: Ownership, now: Instant) -> Self {
        Self {
            run,
            ownership,
            named_replicas: None,
            pending: Vec::new(),
            waiters: HashMap::new(),
            deadlines: HashMap::new(),
            slot: None,
            running: None,
            waited: None,
            claimed_at: None,
            claims_widely: false,
            last_used: now,
        }
    }

    /// The owner's state machine, once there is one.
    pub fn owner(&self) -> Option<&RunOwner> {
        match &self.ownership {
            Ownership::Asking { .. } => None,
            Ownership::Owner(owner) => Some(owner),
        }
    }

    /// The same, to be changed.
    pub fn owner_mut(&mut self) -> Option<&mut RunOwner> {
        match &mut self.ownership {
            Ownership::Asking { .. } => None,
            Ownership::Owner(owner) => Some(owner),
        }
    }

    /// Whether its claim is not won yet and began before one of these replicas was known.
    pub fn claimed_without(&self, replicas: &[NodeId]) -> bool {
        let claims = self.owner().is_some_and(|owner| !owner.is_ready());
        let Some(named) = &self.named_replicas else {
            return false;
        };
        claims && !replicas.iter().all(|replica| named.contains(replica))
    }

    /// The run's state, once it is ready.
    pub fn ready_state(&self) -> Option<&RunState> {
        self.owner()
            .filter(|owner| owner.is_ready())
            .map(RunOwner::state)
    }

    /// How long a call waited for slots that were preempted.
    pub fn waited_for(&self, call: Sequence) -> Duration {
        let waited = self.waited.filter(|(waited_call, _)| *waited_call == call);
        waited.map(|(_, waited)| waited).unwrap_or_default()
    }

    /// Whether the run is ready and belongs to this partner.
    pub fn belongs_to(&self, partner: &PartnerName) -> bool {
        self.ready_state()
            .and_then(RunState::opening)
            .is_some_and(|opening| opening.partner == *partner)
    }

    /// Whether nothing is under way and nobody waits.
    pub fn is_idle(&self) -> bool {
        let nobody_waits = self.pending.is_empty() && self.waiters.is_empty();
        let nothing_runs = self.slot.is_none() && self.running.is_none();
        let owner_idle = self.owner().is_some_and(RunOwner::is_idle);
        nobody_waits && nothing_runs && owner_idle
    }

    /// Whether a request is known already.
    pub fn knows(&self, request: RequestId) -> bool {
        let pending = self.pending.iter().any(|known| known.request == request);
        pending || self.waiters.values().any(|known| known.request == request)
    }

    /// Requests that want the text of the attempt that is being made.
    pub fn streaming_requests(&self) -> Vec<RequestId> {
        let Some(running) = &self.running else {
            return Vec::new();
        };
        let wants = |waiter: &&Waiter| match &waiter.wanted {
            Wanted::Answer { key, stream } => *stream && *key == running.id.key,
            _ => false,
        };
        self.waiters
            .values()
            .filter(wants)
            .map(|waiter| waiter.request)
            .collect()
    }
}
