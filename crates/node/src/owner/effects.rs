//! Carries out what the owner of a run asks for.

use std::time::{Duration, Instant};

use ridgeworks_domain::{CallRequest, Refusal, RefusalReason, RunId, Sequence};
use ridgeworks_run_log::event::{AttemptOutcome, CallerAnswer, CallerId, OwnerEffect, OwnerEvent};
use ridgeworks_run_log::message::Message;
use ridgeworks_run_log::run_state::RunState;

use super::owned_run::{OwnedRun, RunningAttempt};
use super::prompt::{backend_call, service_of};
use super::refusals::not_owner;
use super::role::OwnerRole;
use super::waiter::{Wanted, owner_answer};
use crate::message::{NodeMessage, OwnerAnswer};
use crate::outbound::{AttemptId, AttemptOrder, BackendCall, Dispatched};

/// Bounds of the time for an attempt, whatever its service's configuration says.
const SHORTEST_ATTEMPT: Duration = Duration::from_millis(1);
const LONGEST_ATTEMPT: Duration = Duration::from_secs(600);

impl OwnerRole {
    pub(super) fn carry_out(&mut self, now: Instant, run: RunId, effects: Vec<OwnerEffect>) {
        for effect in effects {
            self.carry_out_one(now, run, effect);
        }
    }

    fn carry_out_one(&mut self, now: Instant, run: RunId, effect: OwnerEffect) {
        match effect {
            OwnerEffect::SendToReplica { to, request } => {
                self.send(to, NodeMessage::RunLog(Message::Request(request)));
            }
            OwnerEffect::Ready { opening, .. } => {
                self.answer_openers(run, opening.budget);
                self.take_pending(now, run);
            }
            OwnerEffect::RequestGrant {
                call,
                attempt,
                request,
            } => self.request_slot(now, run, call, attempt, &request),
            OwnerEffect::StartAttempt {
                call,
                attempt,
                backend,
                address,
                request,
            } => {
                let to = Dispatched { backend, address };
                self.start_attempt(now, run, call, attempt, to, &request);
            }
            OwnerEffect::FenceAttempt {
                call,
                attempt,
                backend,
                address,
                key,
            } => {
                let id = AttemptId {
                    run,
                    sequence: call,
                    key,
                    attempt,
                };
                let to = Dispatched { backend, address };
                self.outputs.backends.fence(id, to);
            }
            OwnerEffect::ReturnGrant { call, attempt, .. } => self.return_slot(run, call, attempt),
            OwnerEffect::AnswerCaller { caller, answer } => self.answer_caller(run, caller, answer),
            OwnerEffect::ReleaseContext { run } => self.release_context(run),
            OwnerEffect::SteppedDown { .. } | OwnerEffect::InvalidLog { .. } => {
                self.outputs.metrics.step_downs.inc();
                self.give_up(run, RefusalReason::NotOwner);
            }
            OwnerEffect::RunUnknown => self.give_up(run, RefusalReason::UnknownRun),
        }
    }

    fn start_attempt(
        &mut self,
        now: Instant,
        run: RunId,
        call: Sequence,
        attempt: u32,
        to: Dispatched,
        request: &CallRequest,
    ) {
        let is_stale = self.is_grant_stale(now, run, &to.backend);
        let backend = to.backend.clone();
        let order = self.attempt_order(now, run, attempt, to, request);
        let Some(order) = order.ok().filter(|_| !is_stale) else {
            return self.not_started(now, run, call, attempt);
        };
        self.slot_started(run, call, attempt, &backend);
        if let Some(owned) = self.runs.get_mut(&run) {
            owned.running = Some(RunningAttempt {
                id: order.id.clone(),
                text: Vec::new(),
            });
        }
        self.outputs.backends.start(order);
    }

    fn not_started(&mut self, now: Instant, run: RunId, call: Sequence, attempt: u32) {
        self.cancel_slot(run);
        let outcome = AttemptOutcome::NotRun;
        let event = OwnerEvent::AttemptFinished {
            call,
            attempt,
            outcome,
        };
        self.handle(now, run, event);
    }

    fn attempt_order(
        &self,
        now: Instant,
        run: RunId,
        attempt: u32,
        to: Dispatched,
        request: &CallRequest,
    ) -> Result<AttemptOrder, Refusal> {
        let owned = self.runs.get(&run);
        let state = owned
            .and_then(OwnedRun::owner)
            .map(|owner| owner.state())
            .ok_or(Refusal::permanent(RefusalReason::NotOwner))?;
        let (call, timeout) = self.backend_call(request, state)?;
        let deadline = owned.and_then(|owned| owned.deadlines.get(&request.sequence));
        // A call without a waiting caller runs on to the service's own limit.
        let left = deadline.map(|deadline| deadline.saturating_duration_since(now));
        Ok(AttemptOrder {
            id: AttemptId {
                run,
                sequence: request.sequence,
                key: request.key.clone(),
                attempt,
            },
            to,
            call,
            timeout: left
                .filter(|left| !left.is_zero())
                .map_or(timeout, |left| left.min(timeout)),
        })
    }

    // The call was admitted under an earlier configuration: the last known one serves.
    fn backend_call(
        &self,
        request: &CallRequest,
        state: &RunState,
    ) -> Result<(BackendCall, Duration), Refusal> {
        let configuration = self.directory.last_known();
        let service = service_of(request, state, &configuration)?;
        let opening = state.opening();
        let class = opening.and_then(|opening| configuration.class(&opening.class));
        let call = backend_call(request, service, class, state)?;
        let timeout = Duration::from_millis(service.attempt_timeout_ms);
        Ok((call, timeout.clamp(SHORTEST_ATTEMPT, LONGEST_ATTEMPT)))
    }

    fn answer_caller(&mut self, run: RunId, caller: CallerId, answer: CallerAnswer) {
        let owned = self.runs.get_mut(&run);
        let Some(waiter) = owned.and_then(|owned| owned.waiters.remove(&caller)) else {
            return;
        };
        if let (Wanted::Child { program, .. }, CallerAnswer::ChildOpened) =
            (&waiter.wanted, &answer)
        {
            self.announce_sub_agent(run, program);
        }
        let Some(owner) = self.runs.get(&run).and_then(OwnedRun::owner) else {
            return;
        };
        let answer = owner_answer(&waiter, answer, owner.state(), owner.commit_index());
        self.answer(waiter.request, answer);
    }

    fn give_up(&mut self, run: RunId, reason: RefusalReason) {
        self.cancel_slot(run);
        let Some(owned) = self.runs.remove(&run) else {
            return;
        };
        let pending = owned.pending.into_iter().map(|pending| pending.request);
        let waiting = owned.waiters.into_values().map(|waiter| waiter.request);
        for request in pending.chain(waiting).collect::<Vec<_>>() {
            let refusal = match reason {
                RefusalReason::NotOwner => not_owner(),
                ref reason => Refusal::permanent(reason.clone()),
            };
            self.answer(request, OwnerAnswer::Refused(refusal));
        }
    }

    fn return_slot(&mut self, run: RunId, call: Sequence, attempt: u32) {
        let slot = self.runs.get(&run).and_then(|owned| owned.slot.as_ref());
        if slot.is_some_and(|slot| slot.call == call && slot.attempt == attempt) {
            self.cancel_slot(run);
        }
    }
}
