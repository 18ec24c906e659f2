//! Slots of dispatchers: asked for, used and given back.

use std::time::{Duration, Instant};

use ridgeworks_domain::{
    BackendAddress, BackendName, CallRequest, Refusal, RefusalReason, RunId, Sequence, ServiceName,
};
use ridgeworks_run_log::event::OwnerEvent;
use ridgeworks_scheduling::{Priority, Ticket};

use super::owned_run::OwnedRun;
use super::preemption::is_preemptible;
use super::prompt::{call_size, service_of};
use super::refusals::no_backend;
use super::role::OwnerRole;
use super::slot::Slot;
use crate::RETRY_DELAY;
use crate::dispatcher::{DispatcherAnswer, DispatcherCommand, SlotRequest, whole_millis};
use crate::message::NodeMessage;

/// After this time without an answer the dispatcher is asked again, in case a message was lost.
const ASK_AGAIN_INTERVAL: Duration = Duration::from_millis(300);
/// A call without a waiting caller waits for a slot this long at most.
const DEFAULT_WAIT: Duration = Duration::from_secs(600);

impl OwnerRole {
    pub(super) fn request_slot(
        &mut self,
        now: Instant,
        run: RunId,
        call: Sequence,
        attempt: u32,
        request: &CallRequest,
    ) {
        self.cancel_slot(run);
        self.announce_pause(run, request);
        match self.new_slot(now, run, attempt, request) {
            Ok(slot) => {
                let command = slot.enqueue();
                let dispatcher = slot.dispatcher;
                self.put_slot(run, slot);
                self.send(dispatcher, NodeMessage::ToDispatcher(command));
            }
            Err(refusal) => {
                let event = OwnerEvent::GrantRefused {
                    call,
                    attempt,
                    refusal,
                };
                self.handle(now, run, event);
            }
        }
    }

    fn new_slot(
        &mut self,
        now: Instant,
        run: RunId,
        attempt: u32,
        request: &CallRequest,
    ) -> Result<Slot, Refusal> {
        let number = self.new_number();
        let owned = self.runs.get(&run).ok_or_else(no_backend)?;
        let known = owned.deadlines.get(&request.sequence).copied();
        let deadline = known.unwrap_or(now + DEFAULT_WAIT);
        let ticket = Ticket {
            owner: self.node,
            number,
        };
        // The dispatcher lets calls with deadlines pass others: only a caller's own counts.
        let deadline_in_ms = request.deadline_ms.map(|_| millis_until(now, deadline));
        let slot_request = self.slot_request(owned, ticket, attempt, request, deadline_in_ms)?;
        let dispatcher = self.directory.dispatcher_of(&request.service);
        Ok(Slot {
            service: request.service.clone(),
            request: slot_request,
            call: request.sequence,
            attempt,
            dispatcher: dispatcher.ok_or_else(no_backend)?,
            granted: false,
            granted_at: None,
            valid_until: None,
            running_at: None,
            former: Vec::new(),
            asked_at: now,
            preempted: false,
            ask_again_at: now + ASK_AGAIN_INTERVAL,
            deadline,
        })
    }

    fn slot_request(
        &self,
        owned: &OwnedRun,
        ticket: Ticket,
        attempt: u32,
        request: &CallRequest,
        deadline_in_ms: Option<u64>,
    ) -> Result<SlotRequest, Refusal> {
        let state = owned.owner().ok_or_else(no_backend)?.state();
        let opening = state.opening().ok_or_else(no_backend)?;
        let configuration = self.directory.last_known();
        let service = service_of(request, state, &configuration)?;
        let size = call_size(request, service, state)?;
        let class = configuration.class(&opening.class);
        Ok(SlotRequest {
            ticket,
            run: owned.run,
            key: request.key.clone(),
            partner: opening.partner.clone(),
            priority: Priority {
                urgent: class.is_some_and(|class| class.urgent),
                rank: class.map_or(0, |class| class.rank),
            },
            attained_service: state.budget().spent(),
            prompt_tokens: size.prompt_tokens,
            max_output_tokens: size.max_output_tokens,
            deadline_in_ms,
            preemptible: is_preemptible(request, service, attempt, state.budget()),
            waited_ms: whole_millis(owned.waited_for(request.sequence)),
        })
    }

    /// Asks again where an answer is overdue, and gives up at the deadline.
    pub(super) fn check_slot(&mut self, now: Instant, run: RunId) {
        let Some(slot) = self.runs.get(&run).and_then(|owned| owned.slot.clone()) else {
            return;
        };
        if slot.granted {
            self.follow_dispatcher(run, &slot);
            return;
        }
        if now >= slot.deadline {
            self.cancel_slot(run);
            let reason = RefusalReason::DeadlineCannotBeMet;
            self.refuse_slot(now, run, &slot, Refusal::retry_after(reason, RETRY_DELAY));
        } else if now >= slot.ask_again_at && self.is_unconfigured(&slot.service) {
            self.cancel_slot(run);
            let refusal = Refusal::permanent(RefusalReason::UnknownService);
            self.refuse_slot(now, run, &slot, refusal);
        } else if now >= slot.ask_again_at {
            self.ask_again(now, run, slot);
        }
    }

    /// Whether the newest configuration has no such service (any more).
    fn is_unconfigured(&self, service: &ServiceName) -> bool {
        let in_force = self.directory.in_force();
        in_force.is_ok_and(|configuration| configuration.service(service).is_none())
    }

    fn ask_again(&mut self, now: Instant, run: RunId, mut slot: Slot) {
        let dispatcher = self.directory.dispatcher_of(&slot.service);
        let dispatcher = dispatcher.unwrap_or(slot.dispatcher);
        if dispatcher != slot.dispatcher {
            let command = slot.cancel();
            self.send(slot.dispatcher, NodeMessage::ToDispatcher(command));
        }
        slot.dispatcher = dispatcher;
        slot.ask_again_at = now + ASK_AGAIN_INTERVAL;
        let left = millis_until(now, slot.deadline);
        slot.request.deadline_in_ms = slot.request.deadline_in_ms.map(|_| left);
        let command = slot.enqueue();
        if let Some(owned) = self.runs.get_mut(&run) {
            owned.slot = Some(slot);
        }
        self.send(dispatcher, NodeMessage::ToDispatcher(command));
    }

    pub(super) fn dispatcher_answer(&mut self, now: Instant, answer: DispatcherAnswer) {
        let Some(run) = self.run_of_ticket(answer.ticket()) else {
            return;
        };
        match answer {
            DispatcherAnswer::Granted {
                backend,
                address,
                valid_for_ms,
                ..
            } => {
                let stale = valid_for_ms == 0 || self.pauses.may_be_stale(now);
                if stale || self.directory.is_leaving_or_gone(&backend) {
                    self.decline_grant(now, run);
                } else {
                    let valid_for = Duration::from_millis(valid_for_ms);
                    self.take_grant(now, run, backend, address, valid_for);
                }
            }
            DispatcherAnswer::Refused { refusal, .. } => {
                if let Some(slot) = self.take_slot(run) {
                    self.refuse_slot(now, run, &slot, refusal);
                }
            }
            DispatcherAnswer::Preempt { .. } => self.preempt(now, run),
        }
    }

    fn take_grant(
        &mut self,
        now: Instant,
        run: RunId,
        backend: BackendName,
        address: BackendAddress,
        valid_for: Duration,
    ) {
        let owned = self.runs.get_mut(&run);
        let Some(slot) = owned.and_then(|owned| owned.slot.as_mut()) else {
            return;
        };
        if slot.granted {
            return;
        }
        slot.granted = true;
        slot.granted_at = Some(now);
        slot.valid_until = Some(now + valid_for);
        let event = OwnerEvent::Granted {
            call: slot.call,
            attempt: slot.attempt,
            backend,
            address,
        };
        self.handle(now, run, event);
    }

    /// Gives a grant back that may not be used, and asks for another one a little later.
    fn decline_grant(&mut self, now: Instant, run: RunId) {
        let number = self.new_number();
        let owner = self.node;
        let Some(owned) = self.runs.get_mut(&run) else {
            return;
        };
        let Some(slot) = owned.slot.as_mut().filter(|slot| !slot.granted) else {
            return;
        };
        let command = slot.cancel();
        self.runs_by_ticket.remove(&slot.ticket());
        slot.request.ticket = Ticket { owner, number };
        self.runs_by_ticket.insert(slot.ticket(), run);
        slot.ask_again_at = now + ASK_AGAIN_INTERVAL;
        let dispatcher = slot.dispatcher;
        self.send(dispatcher, NodeMessage::ToDispatcher(command));
    }

    /// Whether the slot of a run must not be used any more: its grant is old, or its back end is leaving.
    pub(super) fn is_grant_stale(&self, now: Instant, run: RunId, backend: &BackendName) -> bool {
        let slot = self.runs.get(&run).and_then(|owned| owned.slot.as_ref());
        let valid_until = slot.and_then(|slot| slot.valid_until);
        let old = valid_until.is_some_and(|until| now >= until);
        old || self.directory.is_leaving_or_gone(backend)
    }

    fn refuse_slot(&mut self, now: Instant, run: RunId, slot: &Slot, refusal: Refusal) {
        let event = OwnerEvent::GrantRefused {
            call: slot.call,
            attempt: slot.attempt,
            refusal,
        };
        self.handle(now, run, event);
    }

    fn put_slot(&mut self, run: RunId, slot: Slot) {
        if let Some(owned) = self.runs.get_mut(&run) {
            self.runs_by_ticket.insert(slot.ticket(), run);
            owned.slot = Some(slot);
        }
    }

    pub(super) fn take_slot(&mut self, run: RunId) -> Option<Slot> {
        let slot = self.runs.get_mut(&run)?.slot.take()?;
        self.runs_by_ticket.remove(&slot.ticket());
        Some(slot)
    }

    fn run_of_ticket(&self, ticket: Ticket) -> Option<RunId> {
        self.runs_by_ticket.get(&ticket).copied()
    }

    pub(super) fn slot_started(
        &mut self,
        run: RunId,
        call: Sequence,
        attempt: u32,
        backend: &BackendName,
    ) {
        let owned = self.runs.get_mut(&run);
        let Some(slot) = owned.and_then(|owned| owned.slot.as_mut()) else {
            return;
        };
        if slot.call != call || slot.attempt != attempt {
            return;
        }
        slot.running_at = Some(backend.clone());
        let command = DispatcherCommand::Started {
            service: slot.service.clone(),
            ticket: slot.ticket(),
        };
        let dispatcher = slot.dispatcher;
        self.send(dispatcher, NodeMessage::ToDispatcher(command));
    }
}

fn millis_until(now: Instant, deadline: Instant) -> u64 {
    whole_millis(deadline.saturating_duration_since(now))
}
