//! The part of the dispatcher that gives out slots.

use ridgeworks_domain::{BackendName, MonotonicTime};

use crate::backends::{BackendIndex, BackendState};
use crate::dispatcher::Dispatcher;
use crate::effect::Effect;
use crate::event::{QueuedCall, Ticket};
use crate::grants::{Grant, GrantState};
use crate::placement::{Choice, PrefixPlaces};
use crate::queue::{Lane, WaitingCall};
use crate::settings::PlacementRule;

/// Part of a cache that calls and leases may fill, in thousandths; the rest is lost to whole blocks.
const USABLE_PERMILLE: u64 = 980;
/// Waiting calls of a lane that are looked at again in each tick.
const RECONSIDERED: usize = 4;

impl Dispatcher {
    /// Gives a waiting routine call a slot, if one is free that it should not rather leave.
    pub(crate) fn place(&mut self, now: MonotonicTime, ticket: Ticket) {
        match self.choose(ticket) {
            Choice::Now { backend, move_from } => self.grant(now, ticket, backend, move_from),
            Choice::WaitFor(home) => self.queue.set_home(ticket, Some(home)),
            Choice::Full { home } => self.queue.set_home(ticket, home),
        }
        self.keep_while_waiting(now, ticket);
    }

    /// Keeps the context of a run that is back and has to wait.
    fn keep_while_waiting(&mut self, now: MonotonicTime, ticket: Ticket) {
        let Some(waiting) = self.queue.get(ticket) else {
            return;
        };
        if waiting.enqueued_at != now {
            return;
        }
        if let Some(change) = self.retention.prolong(waiting.call.run, now) {
            self.apply_retention(now, change);
        }
    }

    /// Gives urgent calls slots, and has routine calls cancelled when there are too few.
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
            if let Some(backend) = self.name_of(index) {
                self.effects.push(Effect::Preempt { ticket, backend });
            }
        }
    }

    /// Gives the free slots of a back end to waiting calls.
    pub(crate) fn fill(&mut self, now: MonotonicTime, index: BackendIndex) {
        self.refuse_too_late(now);
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
        let hurried = waiting.call.priority.urgent || waiting.call.deadline.is_some();
        let lapses_at = match &self.settings.context_move {
            Some(settings) => now + settings.timeout,
            None => now,
        };
        self.take_slot(waiting, index, GrantState::Moving, lapses_at);
        if hurried {
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
        lapses_at: MonotonicTime,
    ) {
        let places = PrefixPlaces::of(&waiting.call, &self.prefixes);
        let reserved_tokens = waiting.call.most_tokens() - places.shared_at(index);
        if let Some(backend) = self.backends.get_mut(index) {
            backend.in_flight += 1;
            backend.reserved_tokens += reserved_tokens;
        }
        self.shares.take(waiting.partner);
        self.retention.drop_lease(waiting.call.run);
        self.grants.insert(Grant {
            waiting,
            backend: index,
            reserved_tokens,
            state,
            preempting: false,
            lapses_at,
        });
    }

    /// Ends leases that would keep the granted calls waiting for memory in the engine.
    fn make_room(&mut self, now: MonotonicTime, index: BackendIndex) {
        let Some(state) = self.backends.get(index) else {
            return;
        };
        let usable = state.cache_capacity * USABLE_PERMILLE / 1000;
        let most_leased = usable.saturating_sub(state.reserved_tokens);
        for change in self.retention.make_room(index, most_leased) {
            self.apply_retention(now, change);
        }
    }

    /// Counts the slot of an attempt that another dispatcher granted.
    pub(crate) fn adopt(&mut self, now: MonotonicTime, call: QueuedCall, backend: &BackendName) {
        let known = self.grants.get(call.ticket).is_some();
        let Some(index) = self.backends.index(backend).filter(|_| !known) else {
            return;
        };
        self.queue.remove(call.ticket);
        let waiting = self.prepare(now, call);
        let lapses_at = now + self.settings.attempt_timeout;
        self.take_slot(waiting, index, GrantState::Running(now), lapses_at);
    }

    /// Tells the owner of a slot that was kept for it.
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
        let lapses_at = now + self.settings.grant_timeout;
        self.grants.offer(ticket, lapses_at);
        self.release_elsewhere(run, index);
    }

    /// Lets calls that waited for a back end go to the others.
    pub(crate) fn place_elsewhere(&mut self, now: MonotonicTime, index: BackendIndex) {
        for ticket in self.queue.waiting_for(index) {
            self.queue.set_home(ticket, None);
        }
        self.refuse_without_backend();
        for index in self.backends_with_slots() {
            self.fill(now, index);
        }
        self.preempt_for_urgent();
    }

    /// Looks again at the first calls of each lane that wait for a busy back end while others have
    /// free slots.
    pub(crate) fn reconsider_heads(&mut self, now: MonotonicTime) {
        let soft = self.settings.policy.placement == PlacementRule::ExpectedCost;
        if !soft || self.queue.is_empty() || self.backends_with_slots().is_empty() {
            return;
        }
        for partner in self.shares.order() {
            let Some(lane) = self.queue.lane(Lane::Routine(partner)) else {
                continue;
            };
            let heads: Vec<Ticket> = lane
                .iter()
                .take(RECONSIDERED)
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

    /// Ends a grant and gives its slot to others.
    pub(crate) fn end_grant(&mut self, now: MonotonicTime, ticket: Ticket) {
        if let Some(grant) = self.grants.remove(ticket) {
            self.give_back_slot(&grant);
            self.fill(now, grant.backend);
        }
    }

    /// Counts a grant's slot as free.
    pub(crate) fn give_back_slot(&mut self, grant: &Grant) {
        if let Some(state) = self.backends.get_mut(grant.backend) {
            state.in_flight = state.in_flight.saturating_sub(1);
            let tokens = grant.reserved_tokens;
            state.reserved_tokens = state.reserved_tokens.saturating_sub(tokens);
        }
        self.shares.give_back(grant.waiting.partner);
    }
}
