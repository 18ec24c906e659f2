//! Dispatcher: the state machine that queues the calls of one service and grants them backend slots.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use ridgeworks_domain::{BackendName, MonotonicTime, NodeId};

use crate::backends::{BackendIndex, BackendTable};
use crate::effect::Effect;
use crate::ejection::EjectionLimits;
use crate::ended_runs::EndedRuns;
use crate::event::{AttemptEnd, AttemptOutcome, Event, Ticket};
use crate::grants::{Grant, GrantState, GrantTable};
use crate::prefix_map::PrefixMap;
use crate::queue::{CallQueue, WaitingCall};
use crate::retention::Retention;
use crate::service_time::ServiceTimeModel;
use crate::settings::DispatcherSettings;
use crate::shares::Shares;

/// Queue, grants in flight and cache map of one group of backends. Holds no durable state: after a
/// crash, owners enqueue their calls again.
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
    pub(crate) service_times: ServiceTimeModel,
    pub(crate) random: ChaCha8Rng,
    pub(crate) next_serial: u64,
    pub(crate) round_robin_counter: u32,
    pub(crate) effects: Vec<Effect>,
}

impl Dispatcher {
    /// Creates a dispatcher without backends; they are added by [`Event::BackendUp`].
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
            service_times: ServiceTimeModel::default(),
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            next_serial: 0,
            round_robin_counter: 0,
            effects: Vec::new(),
            settings,
        }
    }

    /// Processes one event and returns its effects, which the caller carries out in order.
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

    /// Number of calls waiting for a slot.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Calls waiting for a slot, in no particular order.
    pub fn waiting(&self) -> impl Iterator<Item = &WaitingCall> {
        self.queue.iter()
    }

    /// Number of grants that have not ended, including those not yet confirmed.
    pub fn in_flight(&self) -> usize {
        self.grants.len()
    }

    /// Number of contexts under a retention lease.
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
        self.free_slot(&grant);
        self.record_attempt(now, &grant, &end);
        self.fill(now, grant.backend);
    }

    fn record_attempt(&mut self, now: MonotonicTime, grant: &Grant, end: &AttemptEnd) {
        let index = grant.backend;
        match end.outcome {
            AttemptOutcome::Completed => {
                if let Some(state) = self.backends.get_mut(index) {
                    state.ejection.record_success();
                }
                if let GrantState::Running(since) = grant.state {
                    let max_output_tokens = grant.waiting.call.max_output_tokens;
                    self.service_times
                        .record(end.usage, max_output_tokens, now.since(since));
                }
                self.record_latency_weight(grant);
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
            self.place_waiting_elsewhere(now, index);
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

    /// Records the latency weight of the run's partner, which sets the length of the lease if the run
    /// pauses next.
    fn record_latency_weight(&mut self, grant: &Grant) {
        let run = grant.waiting.call.run;
        if !self.ended_runs.contains(run) {
            let weight = self.shares.latency_weight(grant.waiting.partner);
            self.retention.call_completed(run, weight);
        }
    }

    fn tick(&mut self, now: MonotonicTime) {
        self.retention.expire(now);
        while let Some(ticket) = self.grants.first_expired(now) {
            self.expire_grant(now, ticket);
        }
        self.refuse_unmeetable_deadlines(now);
        let probing: Vec<BackendIndex> = self
            .backends
            .iter_mut()
            .filter_map(|(index, state)| state.ejection.advance(now).then_some(index))
            .collect();
        for index in probing {
            self.fill(now, index);
        }
        self.grant_urgent(now);
        self.place_heads_again(now);
    }

    fn expire_grant(&mut self, now: MonotonicTime, ticket: Ticket) {
        let state = self.grants.get(ticket).map(|grant| grant.state);
        if state == Some(GrantState::Moving) {
            self.offer(now, ticket);
        } else {
            self.end_grant(now, ticket);
        }
    }

    /// Name of a backend; `None` once it has been removed.
    pub(crate) fn backend_name(&self, index: BackendIndex) -> Option<BackendName> {
        let state = self.backends.get(index)?;
        Some(state.backend.name.clone())
    }
}
