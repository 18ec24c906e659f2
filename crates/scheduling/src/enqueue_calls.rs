//! Dispatcher: admits calls to the queue or refuses them.

use std::time::Duration;

use ridgeworks_domain::{MonotonicTime, Refusal, RefusalReason};

use crate::admission::{self, AdmissionView};
use crate::dispatcher::Dispatcher;
use crate::effect::Effect;
use crate::event::QueuedCall;
use crate::placement::PrefixLocations;
use crate::queue::{Lane, OrderKey, WaitingCall};
use crate::settings::QueueOrder;
use crate::shares::PartnerIndex;

/// A call is ordered as if it had arrived this much earlier for each rank.
const RANK_ADVANTAGE_MICROS: i64 = 5_000_000;
const NO_BACKEND_RETRY: Duration = Duration::from_secs(1);

impl Dispatcher {
    pub(crate) fn enqueue(&mut self, now: MonotonicTime, call: QueuedCall) {
        let ticket = call.ticket;
        if self.queue.contains(ticket) || self.grants.get(ticket).is_some() {
            return;
        }
        self.retention.resume(call.run, now);
        self.extend_parent_lease(now, &call);
        let waiting = self.waiting_call(now, call);
        let view = self.admission_view(&waiting);
        if let Some(refusal) = admission::refusal(now, &view) {
            self.effects.push(Effect::Refuse { ticket, refusal });
            return;
        }
        let urgent = waiting.lane == Lane::Urgent;
        self.queue.insert(waiting);
        if urgent {
            self.grant_urgent(now);
        } else {
            self.place(now, ticket);
        }
    }

    /// Extends the lease on the parent's context, since sub-agents use it while the parent waits.
    fn extend_parent_lease(&mut self, now: MonotonicTime, call: &QueuedCall) {
        let parent = call.inherited.map(|inherited| inherited.run);
        let change = parent.and_then(|parent| self.retention.extend(parent, now));
        if let Some(change) = change {
            self.apply_retention(now, change);
        }
    }

    /// Computes the queue position and the latest start of a call.
    pub(crate) fn waiting_call(&mut self, now: MonotonicTime, call: QueuedCall) -> WaitingCall {
        let partner = self.shares.index(&call.partner);
        let policy = &self.settings.policy;
        let lane = if policy.urgent_first && call.priority.urgent {
            Lane::Urgent
        } else if policy.shares {
            Lane::Routine(partner)
        } else {
            Lane::Routine(PartnerIndex(0))
        };
        let locations = PrefixLocations::of(&call, &self.prefixes);
        let cached = locations
            .best(&self.backends)
            .map_or(0, |backend| locations.cached_at(backend));
        let missing = call.prompt_tokens - cached;
        let work = self
            .service_times
            .attempt_micros(missing, call.max_output_tokens) as u64;
        let latest_start = call
            .deadline
            .filter(|_| policy.deadline_refusal)
            .map(|deadline| MonotonicTime::from_micros(deadline.micros.saturating_sub(work)));
        self.next_serial += 1;
        WaitingCall {
            key: OrderKey {
                position: self.position(now, &call),
                serial: self.next_serial,
            },
            call,
            partner,
            lane,
            affinity: None,
            enqueued_at: now,
            latest_start,
            work_micros: work,
        }
    }

    fn position(&self, now: MonotonicTime, call: &QueuedCall) -> i64 {
        let policy = &self.settings.policy;
        let arrival = now.micros as i64 - call.waited.as_micros() as i64;
        let rank = if policy.urgent_first {
            i64::from(call.priority.rank) * RANK_ADVANTAGE_MICROS
        } else {
            0
        };
        let position = match policy.order {
            QueueOrder::ShortestCall => return call.max_total_tokens() as i64,
            QueueOrder::FirstComeFirstServed => arrival - rank,
            QueueOrder::LeastAttainedService => arrival + self.ageing_penalty_micros(call) - rank,
        };
        let lead = self.settings.deadline_lead.as_micros() as i64;
        let deadline = call.deadline.filter(|_| policy.deadline_order);
        deadline.map_or(position, |deadline| {
            position.min(deadline.micros as i64 - lead)
        })
    }

    fn ageing_penalty_micros(&self, call: &QueuedCall) -> i64 {
        if call.priority.urgent {
            return 0;
        }
        let max_penalty = self.settings.max_ageing_penalty.as_micros() as u64;
        let per_token = self.settings.ageing_micros_per_token;
        let penalty = call.attained_service.0.saturating_mul(per_token);
        penalty.min(max_penalty) as i64
    }

    fn admission_view(&self, waiting: &WaitingCall) -> AdmissionView {
        let deadline = waiting.call.deadline;
        let enforced_deadline = deadline.filter(|_| self.settings.policy.deadline_refusal);
        let wait = if enforced_deadline.is_some()
            || self.queue.len() >= self.settings.max_queued_per_partner
        {
            self.expected_wait_micros(waiting)
        } else {
            0
        };
        AdmissionView {
            has_backend: self.backends.any_remaining(),
            queued: self.queue.lane_len(waiting.lane),
            max_queued: self.settings.max_queued_per_partner,
            wait_micros: wait,
            attempt_micros: waiting.work_micros,
            deadline: enforced_deadline,
        }
    }

    fn expected_wait_micros(&self, waiting: &WaitingCall) -> u64 {
        let Lane::Routine(partner) = waiting.lane else {
            return 0;
        };
        let Some(lane) = self.queue.lane(waiting.lane) else {
            return 0;
        };
        let ahead = lane.work_before(waiting.key);
        let slots = self.backends.routine_slots().max(1);
        let waits = |other| self.queue.lane_len(Lane::Routine(other)) > 0;
        let part = self.shares.share_among(partner, waits);
        ahead * 1000 / (slots * part)
    }

    /// Refuses waiting calls that can no longer finish before their deadline.
    pub(crate) fn refuse_unmeetable_deadlines(&mut self, now: MonotonicTime) {
        while let Some(ticket) = self.queue.first_unmeetable_deadline(now) {
            let Some(waiting) = self.queue.remove(ticket) else {
                return;
            };
            let needed = Duration::from_micros(waiting.work_micros);
            let deadline = waiting.call.deadline.unwrap_or(now);
            let refusal = admission::deadline_refusal(now, needed, deadline);
            self.effects.push(Effect::Refuse { ticket, refusal });
        }
    }

    /// Refuses all waiting calls if every backend is leaving or gone.
    pub(crate) fn refuse_without_backend(&mut self) {
        if self.backends.any_remaining() {
            return;
        }
        for ticket in self.queue.tickets() {
            self.queue.remove(ticket);
            let refusal = Refusal::retry_after(RefusalReason::NoBackend, NO_BACKEND_RETRY);
            self.effects.push(Effect::Refuse { ticket, refusal });
        }
    }
}
