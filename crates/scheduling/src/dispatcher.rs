//! The dispatcher: the only queue in front of the back ends of one service.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use ridgeworks_domain::objects::Backend;
use ridgeworks_domain::{BackendName, MonotonicTime, NodeId, RunId, ServiceName};

use crate::backends::{BackendIndex, BackendTable};
use crate::effect::Effect;
use crate::ejection::EjectionLimits;
use crate::ended_runs::EndedRuns;
use crate::event::{AttemptEnd, AttemptOutcome, CacheEvent, CacheListing, Event, Ticket};
use crate::grants::{Grant, GrantState, GrantTable};
use crate::load_estimate::LoadEstimate;
use crate::prefix_map::{CacheFollowUp, PrefixMap};
use crate::queue::{CallQueue, WaitingCall};
use crate::retention::{Candidate, Retention, RetentionChange};
use crate::settings::DispatcherSettings;
use crate::shares::Shares;

/// Queue, grants in flight and cache map of one group of back ends. Holds nothing durable: after a
/// crash owners ask again.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) settings: DispatcherSettings,
    pub(crate) backends: BackendTable,
    pub(crate) shares: Shares,
    pub(crate) queue: CallQueue,
    pub(crate) grants: GrantTable,
    pub(crate) prefixes: PrefixMap,
    pub(crate) retention: Retention,
    pub(crate) ended_runs: EndedRuns,
    pub(crate) estimate: LoadEstimate,
    pub(crate) random: ChaCha8Rng,
    pub(crate) next_serial: u64,
    pub(crate) next_in_turn: u32,
    pub(crate) effects: Vec<Effect>,
}

impl Dispatcher {
    /// A dispatcher without back ends.
    pub fn new(settings: DispatcherSettings) -> Self {
        let mut shares = Shares::default();
        shares.replace(&settings.partners);
        Self {
            backends: BackendTable::default(),
            shares,
            queue: CallQueue::default(),
            grants: GrantTable::default(),
            prefixes: PrefixMap::default(),
            retention: Retention::new(settings.max_retention),
            ended_runs: EndedRuns::default(),
            estimate: LoadEstimate::default(),
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            next_serial: 0,
            next_in_turn: 0,
            effects: Vec::new(),
            settings,
        }
    }

    /// Takes one event and returns what is to be done, in order.
    pub fn handle(&mut self, now: MonotonicTime, event: Event) -> Vec<Effect> {
        match event {
            Event::Enqueue(call) => self.enqueue(now, call),
            Event::Cancel(ticket) => self.cancel(now, ticket),
            Event::AttemptStarted(ticket) => {
                let timeout = self.settings.attempt_timeout;
                self.grants.start(ticket, now, timeout);
            }
            Event::AttemptRunning { call, backend } => self.adopt(now, call, &backend),
            Event::AttemptEnded(end) => self.attempt_ended(now, end),
            Event::OwnerLost(owner) => self.owner_lost(now, owner),
            Event::BackendUp(backend) => self.backend_up(now, backend),
            Event::BackendLeaving(name) => self.backend_leaving(now, &name),
            Event::BackendGone(name) => self.backend_gone(now, &name),
            Event::BackendFailed(name) => {
                if let Some(index) = self.backends.index(&name) {
                    self.record_failure(now, index);
                }
            }
            Event::LoadReport(report) => self.backends.record_report(&report),
            Event::CacheEvent(event) => self.cache_event(&event),
            Event::CacheListing(listing) => self.cache_listing(&listing),
            Event::ContextMoved { run, to, tokens } => self.context_moved(now, run, &to, tokens),
            Event::RunPaused { run, tool } => self.run_paused(now, run, tool),
            Event::RunEnded(run) => self.run_ended(run),
            Event::SharesChanged(partners) => {
                self.shares.replace(&partners);
                self.settings.partners = partners;
            }
            Event::Tick => self.tick(now),
        }
        std::mem::take(&mut self.effects)
    }

    /// Calls that wait for a slot.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Calls that wait for a slot, in no order.
    pub fn waiting(&self) -> impl Iterator<Item = &WaitingCall> {
        self.queue.iter()
    }

    /// Grants that have not ended.
    pub fn in_flight(&self) -> usize {
        self.grants.len()
    }

    /// Contexts under a retention lease.
    pub fn retained(&self) -> usize {
        self.retention.len()
    }

    fn cancel(&mut self, now: MonotonicTime, ticket: Ticket) {
        if self.queue.remove(ticket).is_some() {
            return;
        }
        let started = |grant: &Grant| matches!(grant.state, GrantState::Running(_));
        if self.grants.get(ticket).is_some_and(|grant| !started(grant)) {
            self.end_grant(now, ticket);
        }
    }

    fn attempt_ended(&mut self, now: MonotonicTime, end: AttemptEnd) {
        let Some(grant) = self.grants.remove(end.ticket) else {
            return;
        };
        self.give_back_slot(&grant);
        self.learn(now, &grant, &end);
        self.fill(now, grant.backend);
    }

    fn learn(&mut self, now: MonotonicTime, grant: &Grant, end: &AttemptEnd) {
        let index = grant.backend;
        match end.outcome {
            AttemptOutcome::Completed => {
                if let Some(state) = self.backends.get_mut(index) {
                    state.ejection.record_success();
                }
                if let GrantState::Running(since) = grant.state {
                    let most = grant.waiting.call.max_output_tokens;
                    self.estimate.record(end.usage, most, now.since(since));
                }
                self.learn_weight(grant);
                let tokens = end.usage.prompt + end.usage.output;
                if tokens > 0 && self.backends.get(index).is_some() {
                    let run = grant.waiting.call.run;
                    self.prefixes.store(run, index, tokens);
                    self.release_if_ended(run, index);
                }
            }
            AttemptOutcome::Failed => self.record_failure(now, index),
            AttemptOutcome::Cancelled | AttemptOutcome::Preempted => {}
        }
    }

    fn record_failure(&mut self, now: MonotonicTime, index: BackendIndex) {
        let limits = EjectionLimits {
            failures: self.settings.ejection_failures,
            base: self.settings.ejection_base,
            max: self.settings.ejection_max,
        };
        let Some(state) = self.backends.get_mut(index) else {
            return;
        };
        if state.ejection.record_failure(now, limits) {
            self.place_elsewhere(now, index);
        }
    }

    fn owner_lost(&mut self, now: MonotonicTime, owner: NodeId) {
        for ticket in self.queue.of_owner(owner) {
            self.queue.remove(ticket);
        }
        for ticket in self.grants.of_owner(owner) {
            self.end_grant(now, ticket);
        }
    }

    fn backend_up(&mut self, now: MonotonicTime, backend: Backend) {
        let spare = backend.slots >= DispatcherSettings::MIN_SLOTS_FOR_RESERVE;
        let reserve = if spare && self.settings.policy.urgent_first {
            self.settings.urgent_reserve.min(backend.slots - 1)
        } else {
            0
        };
        let capacity = self.settings.default_cache_tokens;
        let index = self.backends.upsert(backend, reserve, capacity);
        self.fill(now, index);
    }

    fn backend_leaving(&mut self, now: MonotonicTime, name: &BackendName) {
        let Some(index) = self.backends.set_leaving(name) else {
            return;
        };
        self.requeue_moving(now, index);
        self.place_elsewhere(now, index);
    }

    fn backend_gone(&mut self, now: MonotonicTime, name: &BackendName) {
        let Some(index) = self.backends.index(name) else {
            return;
        };
        if let Some(state) = self.backends.get_mut(index) {
            state.leaving = true;
        }
        self.requeue_moving(now, index);
        for ticket in self.grants.at_backend(index) {
            if let Some(grant) = self.grants.remove(ticket) {
                self.give_back_slot(&grant);
            }
        }
        self.backends.remove(name);
        self.prefixes.forget_engine(index);
        self.retention.forget_engine(index);
        self.place_elsewhere(now, index);
    }

    fn cache_event(&mut self, event: &CacheEvent) {
        let Some(index) = self.backends.index(&event.backend) else {
            return;
        };
        let follow_up = self.prefixes.apply(index, event);
        self.release_if_ended(event.run, index);
        self.relist_if_needed(&event.backend, follow_up);
    }

    fn cache_listing(&mut self, listing: &CacheListing) {
        let Some(index) = self.backends.index(&listing.backend) else {
            return;
        };
        let follow_up = self.prefixes.replace(index, listing);
        for context in &listing.contexts {
            self.release_if_ended(context.run, index);
        }
        self.relist_if_needed(&listing.backend, follow_up);
    }

    /// Remembers how the run's partner weighs latency against wasted cache, for the pause to come.
    fn learn_weight(&mut self, grant: &Grant) {
        let run = grant.waiting.call.run;
        if !self.ended_runs.contains(run) {
            let weight = self.shares.latency_weight(grant.waiting.partner);
            self.retention.answered(run, weight);
        }
    }

    /// Drops a context that came to be known after the end of its run.
    fn release_if_ended(&mut self, run: RunId, index: BackendIndex) {
        let held = self.prefixes.tokens_at(run, index) > 0;
        if held && self.settings.policy.retention && self.ended_runs.contains(run) {
            self.release(run, index);
        }
    }

    fn relist_if_needed(&mut self, backend: &BackendName, follow_up: CacheFollowUp) {
        if follow_up == CacheFollowUp::Relist {
            let backend = backend.clone();
            self.effects.push(Effect::RelistCache { backend });
        }
    }

    fn run_paused(&mut self, now: MonotonicTime, run: RunId, tool: ServiceName) {
        if !self.settings.policy.retention {
            return;
        }
        self.retention.pause(run, tool, now);
        let places = self.prefixes.places(run).iter();
        let Some(place) = places.max_by_key(|place| place.tokens).copied() else {
            return;
        };
        let Some(state) = self.backends.get(place.backend) else {
            return;
        };
        let candidate = Candidate {
            run,
            backend: place.backend,
            tokens: place.tokens,
            rebuild_micros: self.estimate.prefill_micros(place.tokens),
            budget_tokens: state.cache_capacity * self.settings.retained_permille / 1000,
        };
        for change in self.retention.decide(candidate, now) {
            self.apply_retention(now, change);
        }
    }

    /// Passes a change of leases on.
    pub(crate) fn apply_retention(&mut self, now: MonotonicTime, change: RetentionChange) {
        let (run, index, until) = match change {
            RetentionChange::Keep {
                run,
                backend,
                until,
            } => (run, backend, until),
            RetentionChange::End { run, backend } => (run, backend, now),
        };
        if let Some(backend) = self.name_of(index) {
            self.effects.push(Effect::Retain {
                run,
                backend,
                until,
            });
        }
    }

    fn run_ended(&mut self, run: RunId) {
        self.retention.end(run);
        self.ended_runs.insert(run);
        for place in self.prefixes.forget_run(run) {
            if self.settings.policy.retention {
                self.release(run, place.backend);
            }
        }
    }

    /// Drops a run's context at one engine.
    pub(crate) fn release(&mut self, run: RunId, index: BackendIndex) {
        self.prefixes.evict(run, index);
        if let Some(backend) = self.name_of(index) {
            self.effects.push(Effect::Release { run, backend });
        }
    }

    fn tick(&mut self, now: MonotonicTime) {
        self.retention.expire(now);
        while let Some(ticket) = self.grants.first_lapsed(now) {
            self.lapse(now, ticket);
        }
        self.refuse_too_late(now);
        let probing: Vec<BackendIndex> = self
            .backends
            .iter_mut()
            .filter_map(|(index, state)| state.ejection.advance(now).then_some(index))
            .collect();
        for index in probing {
            self.fill(now, index);
        }
        self.grant_urgent(now);
        self.reconsider_heads(now);
    }

    fn lapse(&mut self, now: MonotonicTime, ticket: Ticket) {
        let state = self.grants.get(ticket).map(|grant| grant.state);
        if state == Some(GrantState::Moving) {
            self.offer(now, ticket);
        } else {
            self.end_grant(now, ticket);
        }
    }

    /// Name of a back end that is still known.
    pub(crate) fn name_of(&self, index: BackendIndex) -> Option<BackendName> {
        let state = self.backends.get(index)?;
        Some(state.backend.name.clone())
    }
}
