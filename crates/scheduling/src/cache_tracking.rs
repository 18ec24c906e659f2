//! Dispatcher: tracks the engines' prefix caches and manages retention leases on their contexts.

use ridgeworks_domain::{BackendName, MonotonicTime, RunId, ServiceName};

use crate::backends::BackendIndex;
use crate::dispatcher::Dispatcher;
use crate::effect::Effect;
use crate::event::{CacheEvent, CacheListing};
use crate::prefix_map::CacheFollowUp;
use crate::retention::{Candidate, RetentionChange};

impl Dispatcher {
    pub(crate) fn cache_event(&mut self, event: &CacheEvent) {
        let Some(index) = self.backends.index(&event.backend) else {
            return;
        };
        let follow_up = self.prefixes.apply(index, event);
        self.release_if_ended(event.run, index);
        self.request_listing_if_needed(&event.backend, follow_up);
    }

    pub(crate) fn cache_listing(&mut self, listing: &CacheListing) {
        let Some(index) = self.backends.index(&listing.backend) else {
            return;
        };
        let follow_up = self.prefixes.replace(index, listing);
        for context in &listing.contexts {
            self.release_if_ended(context.run, index);
        }
        self.request_listing_if_needed(&listing.backend, follow_up);
    }

    /// Releases a context that was reported only after its run had ended.
    pub(crate) fn release_if_ended(&mut self, run: RunId, index: BackendIndex) {
        let held = self.prefixes.tokens_at(run, index) > 0;
        if held && self.settings.policy.retention && self.ended_runs.contains(run) {
            self.release(run, index);
        }
    }

    fn request_listing_if_needed(&mut self, backend: &BackendName, follow_up: CacheFollowUp) {
        if follow_up == CacheFollowUp::Relist {
            let backend = backend.clone();
            self.effects.push(Effect::RelistCache { backend });
        }
    }

    /// Requests a retention lease for a run that waits for a tool, at the engine that holds most of
    /// its context.
    pub(crate) fn run_paused(&mut self, now: MonotonicTime, run: RunId, tool: ServiceName) {
        if !self.settings.policy.retention {
            return;
        }
        self.retention.pause(run, tool, now);
        let locations = self.prefixes.locations(run).iter();
        let Some(location) = locations.max_by_key(|location| location.tokens).copied() else {
            return;
        };
        let Some(state) = self.backends.get(location.backend) else {
            return;
        };
        let candidate = Candidate {
            run,
            backend: location.backend,
            tokens: location.tokens,
            rebuild_micros: self.service_times.prefill_micros(location.tokens),
            budget_tokens: state.cache_capacity * self.settings.retained_permille / 1000,
        };
        for change in self.retention.request_lease(candidate, now) {
            self.apply_retention(now, change);
        }
    }

    /// Tells the engine about a new, extended or ended lease.
    pub(crate) fn apply_retention(&mut self, now: MonotonicTime, change: RetentionChange) {
        let (run, index, until) = match change {
            RetentionChange::Keep {
                run,
                backend,
                until,
            } => (run, backend, until),
            RetentionChange::End { run, backend } => (run, backend, now),
        };
        if let Some(backend) = self.backend_name(index) {
            self.effects.push(Effect::Retain {
                run,
                backend,
                until,
            });
        }
    }

    /// Releases all contexts of an ended run.
    pub(crate) fn run_ended(&mut self, run: RunId) {
        self.retention.end(run);
        self.ended_runs.insert(run);
        for location in self.prefixes.forget_run(run) {
            if self.settings.policy.retention {
                self.release(run, location.backend);
            }
        }
    }

    pub(crate) fn release(&mut self, run: RunId, index: BackendIndex) {
        self.prefixes.evict(run, index);
        if let Some(backend) = self.backend_name(index) {
            self.effects.push(Effect::Release { run, backend });
        }
    }
}
