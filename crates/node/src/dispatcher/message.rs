//! Messages between the owner of a run and the dispatcher of a service.
#![allow(
    missing_docs,
    reason = "the resolvers that rkyv derives carry undocumented fields"
)]

use std::time::Duration;

use ridgeworks_domain::{
    BackendAddress, BackendName, CallKey, Cost, MonotonicTime, PartnerName, Refusal, RunId,
    ServiceName,
};
use ridgeworks_scheduling::{AttemptEnd, Priority, QueuedCall, Ticket};
use rkyv::{Archive, Deserialize, Serialize};

/// A request for a slot, as sent between nodes. Times are relative because nodes have unrelated
/// clocks.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Identifies the request and its owner.
    pub ticket: Ticket,
    pub run: RunId,
    /// Key that the caller gave the call.
    pub key: CallKey,
    /// Partner whose share is charged.
    pub partner: PartnerName,
    pub priority: Priority,
    /// Cost of the whole run so far.
    pub attained_service: Cost,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// Upper bound on generated tokens.
    pub max_output_tokens: u64,
    /// Time left until the answer is due, in milliseconds; `None` without a deadline.
    pub deadline_in_ms: Option<u64>,
    /// Whether the attempt may be preempted by an urgent call.
    pub preemptible: bool,
    /// Time that earlier, preempted attempts of the call spent queued, in milliseconds.
    pub waited_ms: u64,
}

impl SlotRequest {
    /// Converts the relative times to the dispatcher's clock.
    pub fn into_queued_call(self, now: MonotonicTime) -> QueuedCall {
        QueuedCall {
            ticket: self.ticket,
            run: self.run,
            key: self.key,
            partner: self.partner,
            priority: self.priority,
            attained_service: self.attained_service,
            prompt_tokens: self.prompt_tokens,
            max_output_tokens: self.max_output_tokens,
            inherited: None,
            deadline: self
                .deadline_in_ms
                .map(|left| now + Duration::from_millis(left)),
            preemptible: self.preemptible,
            waited: Duration::from_millis(self.waited_ms),
        }
    }
}

/// A message from the owner of a run to a dispatcher.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum DispatcherCommand {
    /// Requests a slot; the owner repeats it until it is answered.
    Enqueue {
        service: ServiceName,
        request: SlotRequest,
    },
    /// Cancels a queued request, or returns its granted slot unused.
    Cancel {
        service: ServiceName,
        ticket: Ticket,
    },
    /// The dispatch entry is durable and the attempt has started.
    Started {
        service: ServiceName,
        ticket: Ticket,
    },
    /// Reports a running attempt whose slot another dispatcher granted. Idempotent.
    Running {
        service: ServiceName,
        request: SlotRequest,
        backend: BackendName,
    },
    /// The attempt completed, failed, or was cancelled or preempted; its slot is free.
    Ended {
        service: ServiceName,
        end: AttemptEnd,
    },
    /// The run waits for a tool or a sub-agent before its next call of this service.
    RunPaused {
        service: ServiceName,
        run: RunId,
        /// Service that the run waits for.
        tool: ServiceName,
    },
    /// The run ended.
    RunEnded {
        service: ServiceName,
        /// Run whose contexts at the engines of `service` must be released.
        run: RunId,
    },
}

impl DispatcherCommand {
    pub fn service(&self) -> &ServiceName {
        match self {
            Self::Enqueue { service, .. }
            | Self::Cancel { service, .. }
            | Self::Started { service, .. }
            | Self::Running { service, .. }
            | Self::Ended { service, .. }
            | Self::RunPaused { service, .. }
            | Self::RunEnded { service, .. } => service,
        }
    }
}

/// A message from a dispatcher to the owner of a run.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum DispatcherAnswer {
    /// The call may be sent to this back end.
    Granted {
        ticket: Ticket,
        backend: BackendName,
        address: BackendAddress,
        /// The attempt must start within this time of receiving the grant, in milliseconds, or not
        /// at all. The dispatcher reserves the slot for twice as long, which allows the same time
        /// again for the transit of the grant and of `Started` together.
        valid_for_ms: u64,
    },
    Refused {
        ticket: Ticket,
        /// Reason, and the delay after which a retry may succeed.
        refusal: Refusal,
    },
    /// The owner should cancel the running attempt in favour of an urgent call.
    Preempt {
        /// Ticket of the attempt to cancel.
        ticket: Ticket,
    },
}

impl DispatcherAnswer {
    pub fn ticket(&self) -> Ticket {
        match self {
            Self::Granted { ticket, .. }
            | Self::Refused { ticket, .. }
            | Self::Preempt { ticket } => *ticket,
        }
    }

    /// Copies the answer for sending again at `now`: a grant is valid for the time left until
    /// `until`.
    pub fn with_validity_until(&self, until: MonotonicTime, now: MonotonicTime) -> Self {
        let mut answer = self.clone();
        if let Self::Granted { valid_for_ms, .. } = &mut answer {
            *valid_for_ms = whole_millis(until.since(now));
        }
        answer
    }
}

/// Rounds down; saturates at `u64::MAX`.
pub fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
