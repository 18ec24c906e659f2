//! Attempts that are cancelled in favour of urgent calls, and made again.

use std::time::Instant;

use ridgeworks_domain::objects::Service;
use ridgeworks_domain::{CallRequest, RunId};
use ridgeworks_run_log::budget::Budget;
use ridgeworks_run_log::event::{AttemptOutcome as LogOutcome, OwnerEvent};
use ridgeworks_scheduling::{AttemptOutcome, TokenUsage};

use super::role::OwnerRole;
use crate::outbound::AttemptId;

/// Whether an attempt may be cancelled and made again: the call may be repeated, its caller gets no text of it
/// meanwhile, the attempt is not the last one allowed, and the budget holds another one beside it.
pub fn is_preemptible(
    request: &CallRequest,
    service: &Service,
    attempt: u32,
    budget: &Budget,
) -> bool {
    let again = attempt < service.max_attempts;
    let both = request.reserve.saturating_add(request.reserve);
    request.repeatable && !request.stream && again && budget.check(both).is_ok()
}

impl OwnerRole {
    /// Cancels the running attempt of a run. The back end says what it cost, and the log asks for another one.
    pub(super) fn preempt(&mut self, now: Instant, run: RunId) {
        let Some(owned) = self.runs.get_mut(&run) else {
            return;
        };
        let has_streamed = !owned.streaming_requests().is_empty();
        let (Some(slot), Some(running)) = (owned.slot.as_mut(), owned.running.as_ref()) else {
            return;
        };
        if has_streamed || slot.preempted {
            return;
        }
        slot.preempted = true;
        let call = slot.call;
        let attempt = running.id.attempt;
        let granted_at = slot.granted_at.unwrap_or(now);
        let waited = granted_at.saturating_duration_since(slot.asked_at);
        owned.waited = Some((call, owned.waited_for(call) + waited));
        owned.running = None;
        self.outputs.metrics.preemptions.inc();
        let outcome = LogOutcome::Lost;
        let event = OwnerEvent::AttemptFinished {
            call,
            attempt,
            outcome,
        };
        self.handle(now, run, event);
    }

    /// The back end has stopped a preempted attempt: its slot is free at once.
    pub(super) fn end_preempted_slot(&mut self, id: &AttemptId) {
        let slot = self.runs.get(&id.run).and_then(|owned| owned.slot.as_ref());
        let same = slot.is_some_and(|slot| {
            slot.preempted && slot.call == id.sequence && slot.attempt == id.attempt
        });
        if same {
            self.end_slot(id.run, TokenUsage::default(), AttemptOutcome::Preempted);
        }
    }
}
