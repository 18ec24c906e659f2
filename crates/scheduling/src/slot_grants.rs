//! Dispatcher: grants slots to waiting calls and frees them.

use ridgeworks_domain::{BackendName, MonotonicTime};

use crate::backends::{BackendIndex, BackendState};
use crate::dispatcher::Dispatcher;
use crate::effect::Effect;
use crate::event::{QueuedCall, Ticket};
use crate::grants::{Grant, GrantState};
use crate::placement::{Choice, PrefixLocations};
use crate::queue::{Lane, WaitingCall};
use crate::settings::PlacementRule;

/// Usable fraction of a cache, in thousandths; the rest is lost to partly filled blocks.
const USABLE_PERMILLE: u64 = 980;
/// Maximum number of waiting calls of each routine lane that are placed again on each tick.
const HEADS_PER_TICK: usize = 4;

impl Dispatcher {
    /// Grants a waiting routine call a free slot, unless waiting for another one is cheaper.
    pub(crate) fn place(&mut self, now: MonotonicTime, ticket: Ticket) {
        match self.choose(ticket) {
            Choice::Now { backend, move_from } => self.grant(now, ticket, backend, move_from),
            Choice::WaitFor(affinity) => self.queue.set_affinity(ticket, Some(affinity)),
            Choice::NoSuitableSlot { affinity } => self.queue.set_affinity(ticket, affinity),
        }
        self.extend_lease_while_waiting(now, ticket);
    }

    /// Extends the lease of a run that has just returned from a pause and has to wait for a slot.
    fn extend_lease_while_waiting(&mut self, now: MonotonicTime, ticket: Ticket) {
        let Some(waiting) = self.queue.get(ticket) else {
            return;
        };
        if waiting.enqueued_at != now {
            return;
        }
        if let Some(change) = self.retention.extend(waiting.call.run, now) {
            self.apply_retention(now, change);
        }
    }

    /// Grants slots to urgent calls, and preempts routine calls if there are too few slots.
    pub(crate) fn grant_urgent(&mut self, now: MonotonicTime) {
        while let Some(ticket) = self.queue.urgent_head() {
            let Choice::Now { backend, .. } = self.choose(ticket) else {
                break;
            };
            self.grant(now, ticket, backend, None);
        }
        self.preempt_for_urgent();
    }

    fn preempt_for_urgent(&mut self) {
        if !self.settings.policy.preemption {
            return;
        }
        while self.grants.preempting() < self.queue.lane_len(Lane::Urgent) {
            let backends = &self.backends;
            let useful = |grant: &Grant| {
                let state = backends.get(grant.backend);
                state.is_some_and(BackendState::accepts)
            };
            let Some(grant) = self.grants.preempt_latest(useful) else {
                return;
            };
            let ticket = grant.waiting.call.ticket;
            let index = grant.backend;
            if let Some(backend) = self.backend_name(index) {
                self.effects.push(Effect::Preempt { ticket, backend });
            }
        }
    }

    /// Grants the free slots of a backend to waiting calls.
    pub(crate) fn fill(&mut self, now: MonotonicTime, index: BackendIndex) {
        self.refuse_unmeetable_deadlines(now);
        while let Some(ticket) = self.next_for(index) {
            let move_from = self.move_source(ticket, index);
            self.grant(now, ticket, index, move_from);
        }
    }

    fn grant(
        &mut self,
        now: MonotonicTime,
        ticket: Ticket,
        index: BackendIndex,
        move_from: Option<BackendIndex>,
    ) {
        let Some(waiting) = self.queue.remove(ticket) else {
            return;
        };
        let run = waiting.call.run;
        let is_time_critical = waiting.call.priority.urgent || waiting.call.deadline.is_some();
        let expires_at = match &self.settings.context_move {
            Some(settings) => now + settings.timeout,
            None => now,
        };
        self.take_slot(waiting, index, GrantState::Moving, expires_at);
        if is_time_critical {
            self.make_room(now, index);
        }
        match move_from {
            Some(from) => self.move_context(run, from, index),
            None => self.offer(now, ticket),
        }
    }

    fn take_slot(
        &mut self,
        waiting: WaitingCall,
        index: BackendIndex,
        state: GrantState,
        expires_at: MonotonicTime,
    ) {
        let locations = PrefixLocations::of(&waiting.call, &self.prefixes);
        let reserved_tokens = waiting.call.max_total_tokens() - locations.shared_at(index);
        if let Some(backend) = self.backends.get_mut(index) {
            backend.in_flight += 1;
            backend.reserved_tokens += reserved_tokens;
        }
        self.shares.acquire_slot(waiting.partner);
        self.retention.drop_lease(waiting.call.run);
        self.grants.insert(Grant {
            waiting,
            backend: index,
            reserved_tokens,
            state,
            preempting: false,
            expires_at,
        });
    }

    /// Ends leases whose contexts would make the granted calls wait for memory in the engine.
    fn make_room(&mut self, now: MonotonicTime, index: BackendIndex) {
        let Some(state) = self.backends.get(index) else {
            return;
        };
        let usable = state.cache_capacity * USABLE_PERMILLE / 1000;
        let max_leased_tokens = usable.saturating_sub(state.reserved_tokens);
        for change in self.retention.make_room(index, max_leased_tokens) {
            self.apply_retention(now, change);
        }
    }

    /// Takes over an attempt that an earlier dispatcher granted.
    pub(crate) fn adopt(&mut self, now: MonotonicTime, call: QueuedCall, backend: &BackendName) {
        let known = self.grants.get(call.ticket).is_some();
        let Some(index) = self.backends.index(backend).filter(|_| !known) else {
            return;
        };
        self.queue.remove(call.ticket);
        let waiting = self.waiting_call(now, call);
        let expires_at = now + self.settings.attempt_timeout;
        self.take_slot(waiting, index, GrantState::Running(now), expires_at);
    }

    /// Sends the grant of a slot already taken, and releases the run's contexts at other engines.
    pub(crate) fn offer(&mut self, now: MonotonicTime, ticket: Ticket) {
        let Some(grant) = self.grants.get(ticket) else {
            return;
        };
        let (run, index) = (grant.waiting.call.run, grant.backend);
        let Some(state) = self.backends.get(index) else {
            return;
        };
        let effect = Effect::Grant {
            ticket,
            backend: state.backend.name.clone(),
            address: state.backend.address,
            valid_for: self.settings.grant_timeout / 2,
        };
        self.effects.push(effect);
        let expires_at = now + self.settings.grant_timeout;
        self.grants.offer(ticket, expires_at);
        self.release_elsewhere(run, index);
    }

    /// Places calls that waited for a backend at other backends.
    pub(crate) fn place_waiting_elsewhere(&mut self, now: MonotonicTime, index: BackendIndex) {
        for ticket in self.queue.waiting_for(index) {
            self.queue.set_affinity(ticket, None);
        }
        self.refuse_without_backend();
        for index in self.backends_with_slots() {
            self.fill(now, index);
        }
        self.preempt_for_urgent();
    }

    /// Places the first calls of each routine lane again while some backend has a free slot, since
    /// their preferred backends may have stayed busy.
    pub(crate) fn place_heads_again(&mut self, now: MonotonicTime) {
        let is_cost_based = self.settings.policy.placement == PlacementRule::ExpectedCost;
        if !is_cost_based || self.queue.is_empty() || self.backends_with_slots().is_empty() {
            return;
        }
        for partner in self.shares.order() {
            let Some(lane) = self.queue.lane(Lane::Routine(partner)) else {
                continue;
            };
            let heads: Vec<Ticket> = lane
                .iter()
                .take(HEADS_PER_TICK)
                .map(|(_, ticket)| ticket)
                .collect();
            for ticket in heads {
                self.place(now, ticket);
            }
        }
    }

    fn backends_with_slots(&self) -> Vec<BackendIndex> {
        let free = self
            .backends
            .iter()
            .filter(|(_, state)| state.has_slot(false));
        free.map(|(index, _)| index).collect()
    }

    /// Ends a grant and grants its slot to another call.
    pub(crate) fn end_grant(&mut self, now: MonotonicTime, ticket: Ticket) {
        if let Some(grant) = self.grants.remove(ticket) {
            self.free_slot(&grant);
            self.fill(now, grant.backend);
        }
    }

    pub(crate) fn free_slot(&mut self, grant: &Grant) {
        if let Some(state) = self.backends.get_mut(grant.backend) {
            state.in_flight = state.in_flight.saturating_sub(1);
            let tokens = grant.reserved_tokens;
            state.reserved_tokens = state.reserved_tokens.saturating_sub(tokens);
        }
        self.shares.release_slot(grant.waiting.partner);
    }
}
