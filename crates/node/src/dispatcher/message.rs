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

/// A request for a slot, as it travels. Times are relative: clocks of nodes are unrelated.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Names the request and its owner.
    pub ticket: Ticket,
    /// The run.
    pub run: RunId,
    /// The caller's key of the call.
    pub key: CallKey,
    /// The partner whose share pays.
    pub partner: PartnerName,
    /// Priority class.
    pub priority: Priority,
    /// What the whole run has used so far.
    pub attained_service: Cost,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// Upper bound of generated tokens.
    pub max_output_tokens: u64,
    /// Time until the answer must be there, in milliseconds.
    pub deadline_in_ms: Option<u64>,
    /// Whether the attempt may be cancelled in favour of an urgent call.
    pub preemptible: bool,
    /// Time that earlier, preempted attempts of the call spent in queues, in milliseconds.
    pub waited_ms: u64,
}

impl SlotRequest {
    /// The request on the dispatcher's own clock.
    pub fn queued_call(self, now: MonotonicTime) -> QueuedCall {
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

/// What an owner tells a dispatcher.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum DispatcherCommand {
    /// Asks for a slot; repeated until it is answered.
    Enqueue {
        /// The service.
        service: ServiceName,
        /// The request.
        request: SlotRequest,
    },
    /// Gives up a request, or gives back its slot unused.
    Cancel {
        /// The service.
        service: ServiceName,
        /// The request.
        ticket: Ticket,
    },
    /// The dispatch entry is durable and the back end is being called.
    Started {
        /// The service.
        service: ServiceName,
        /// The request.
        ticket: Ticket,
    },
    /// Another dispatcher granted the slot of an attempt that runs. Repeating it does no harm.
    Running {
        /// The service.
        service: ServiceName,
        /// The request that was granted.
        request: SlotRequest,
        /// Where the attempt runs.
        backend: BackendName,
    },
    /// The attempt is over.
    Ended {
        /// The service.
        service: ServiceName,
        /// How it ended.
        end: AttemptEnd,
    },
    /// The run waits for a tool or a sub-agent before its next call here.
    RunPaused {
        /// The service.
        service: ServiceName,
        /// The run.
        run: RunId,
        /// What it waits for.
        tool: ServiceName,
    },
    /// The run ended; nothing of it may stay in any engine.
    RunEnded {
        /// The service.
        service: ServiceName,
        /// The run.
        run: RunId,
    },
}

impl DispatcherCommand {
    /// The service it is about.
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

/// What a dispatcher answers.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum DispatcherAnswer {
    /// The call may go to this back end.
    Granted {
        /// The request.
        ticket: Ticket,
        /// The back end.
        backend: BackendName,
        /// Its address.
        address: BackendAddress,
        /// The attempt starts within this time after the answer came, in milliseconds, or not at all. The
        /// dispatcher keeps the slot twice as long, so both messages together may be under way for that time.
        valid_for_ms: u64,
    },
    /// The call gets no slot.
    Refused {
        /// The request.
        ticket: Ticket,
        /// Why, and when coming back helps.
        refusal: Refusal,
    },
    /// The running attempt should be cancelled in favour of an urgent call.
    Preempt {
        /// The request.
        ticket: Ticket,
    },
}

impl DispatcherAnswer {
    /// The request that it answers.
    pub fn ticket(&self) -> Ticket {
        match self {
            Self::Granted { ticket, .. }
            | Self::Refused { ticket, .. }
            | Self::Preempt { ticket } => *ticket,
        }
    }

    /// The same answer sent again at `now`: a grant is valid for what is left until `until`.
    pub fn valid_until(&self, until: MonotonicTime, now: MonotonicTime) -> Self {
        let mut answer = self.clone();
        if let Self::Granted { valid_for_ms, .. } = &mut answer {
            *valid_for_ms = whole_millis(until.since(now));
        }
        answer
    }
}

/// A time in whole milliseconds, rounded down.
pub fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
