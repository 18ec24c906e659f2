//! Cost model for choosing the backend of a call.
//!
//! Expected cost = wait for a slot + slowdown by the calls already running there + time to prefill
//! the tokens not cached there. Prefill is weighted higher the fuller the cache is, since it evicts
//! other contexts, and the more slots are taken, since it delays the calls in them. A higher latency
//! weight raises the weight of the wait and the slowdown, and lowers that of prefill.

use crate::backends::{BackendIndex, BackendState, BackendTable};
use crate::event::QueuedCall;
use crate::prefix_map::{CachedAt, PrefixMap};
use crate::service_time::ServiceTimeModel;
use crate::settings::ContextMoveSettings;
use crate::working_set::WorkingSet;

/// Slowdown of generation when all slots of an engine are taken, as a fraction of the service time.
const LOAD_SLOPE: f64 = 0.6;
/// Extra cost of a prefill into a full batch, as a multiple of the prefill time: all calls of the
/// batch are delayed while it runs.
const BATCH_SLOPE: f64 = 5.0;
/// Extra cost of a prefill into a full cache, as a multiple of the prefill time.
const PRESSURE_SLOPE: f64 = 0.5;
/// Latency weight that changes neither waiting nor prefill costs.
const NEUTRAL_LATENCY_WEIGHT: f64 = 50.0;

/// Inputs of a placement decision.
#[derive(Debug, Clone, Copy)]
pub struct PlacementView<'a> {
    /// State of the group's backends.
    pub backends: &'a BackendTable,
    /// Cached contexts.
    pub prefixes: &'a PrefixMap,
    /// Model of prefill and generation times.
    pub service_times: &'a ServiceTimeModel,
    /// Cost model for moving contexts; `None` if moves are disabled.
    pub context_move: Option<&'a ContextMoveSettings>,
    /// Check whether a context fits beside those in use.
    pub working_set: WorkingSet<'a>,
    /// Weight of latency against cache use, 0 to 100; 50 is neutral.
    pub latency_weight: u8,
}

/// Result of a placement decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// Grant a slot now.
    Now {
        /// Backend of the slot.
        backend: BackendIndex,
        /// Engine from which the context should be moved before the call runs; `None` for no move.
        move_from: Option<BackendIndex>,
    },
    /// Wait for a slot of this backend, which is cheaper than any free slot.
    WaitFor(BackendIndex),
    /// No suitable slot is free.
    NoSuitableSlot {
        /// Accepting backend with the longest cached prefix; `None` if there is none.
        affinity: Option<BackendIndex>,
    },
}

/// Engines that cache a prefix of one call's prompt.
#[derive(Debug, Clone, Copy)]
pub struct PrefixLocations<'a> {
    own: &'a [CachedAt],
    inherited: &'a [CachedAt],
    prompt_tokens: u64,
    inherited_tokens: u64,
}

impl<'a> PrefixLocations<'a> {
    /// Looks up the contexts of the call's run and of the run that it inherits from.
    pub fn of(call: &QueuedCall, prefixes: &'a PrefixMap) -> Self {
        let inherited = call.inherited;
        Self {
            own: prefixes.locations(call.run),
            inherited: inherited.map_or(&[], |inherited| prefixes.locations(inherited.run)),
            prompt_tokens: call.prompt_tokens,
            inherited_tokens: inherited.map_or(0, |inherited| inherited.tokens),
        }
    }

    /// Tokens of the prompt that are cached at the backend.
    pub fn cached_at(&self, backend: BackendIndex) -> u64 {
        let own = tokens_at(self.own, backend);
        own.max(self.shared_at(backend)).min(self.prompt_tokens)
    }

    /// Tokens of a parent run's context that the call shares at the backend.
    pub fn shared_at(&self, backend: BackendIndex) -> u64 {
        let inherited = tokens_at(self.inherited, backend);
        inherited.min(self.inherited_tokens).min(self.prompt_tokens)
    }

    /// The accepting backend with the longest cached prefix, if any.
    pub fn best(&self, backends: &BackendTable) -> Option<BackendIndex> {
        let locations = self.own.iter().chain(self.inherited);
        let accepting = locations
            .map(|location| location.backend)
            .filter(|backend| {
                let state = backends.get(*backend);
                state.is_some_and(BackendState::accepts)
            });
        accepting
            .map(|backend| (self.cached_at(backend), backend))
            .filter(|(tokens, _)| *tokens > 0)
            .max()
            .map(|(_, backend)| backend)
    }
}

fn tokens_at(locations: &[CachedAt], backend: BackendIndex) -> u64 {
    let mut here = locations
        .iter()
        .filter(|location| location.backend == backend);
    here.next().map_or(0, |location| location.tokens)
}

impl PlacementView<'_> {
    /// Chooses the backend of least expected cost. `waiting_at` returns how many calls already wait
    /// for a backend.
    pub fn least_cost(
        &self,
        call: &QueuedCall,
        waiting_at: impl Fn(BackendIndex) -> usize,
    ) -> Choice {
        let locations = PrefixLocations::of(call, self.prefixes);
        let urgent = call.priority.urgent;
        let affinity = locations.best(self.backends);
        let mut best: Option<(f64, BackendIndex)> = None;
        for (index, state) in self.backends.iter() {
            if !state.has_slot(urgent) || !self.has_room(call, &locations, index, state) {
                continue;
            }
            let cost = self.cost(call, &locations, index, state);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, index));
            }
        }
        let Some((cost, backend)) = best else {
            return Choice::NoSuitableSlot { affinity };
        };
        if let Some(affinity) = affinity.filter(|affinity| *affinity != backend && !urgent)
            && let Some(state) = self.backends.get(affinity)
            && !state.has_slot(urgent)
        {
            let wait = self.slot_wait(state, waiting_at(affinity));
            let affinity_cost =
                self.cost(call, &locations, affinity, state) + wait * self.wait_factor();
            if affinity_cost < cost {
                return Choice::WaitFor(affinity);
            }
        }
        let move_from = self.move_source(call, backend);
        Choice::Now { backend, move_from }
    }

    /// Whether the call need not wait for memory at the backend: it is urgent or has a deadline, more
    /// than half of its prompt is cached there, or its context fits according to [`WorkingSet::fits`].
    /// False for an unknown backend.
    pub fn has_memory_for(&self, call: &QueuedCall, index: BackendIndex) -> bool {
        let locations = PrefixLocations::of(call, self.prefixes);
        let state = self.backends.get(index);
        state.is_some_and(|state| self.has_room(call, &locations, index, state))
    }

    /// Whether the call need not wait for memory at the backend. Always true for calls that are urgent
    /// or have a deadline: the delay would cost more than the contexts that they evict.
    fn has_room(
        &self,
        call: &QueuedCall,
        locations: &PrefixLocations<'_>,
        index: BackendIndex,
        state: &BackendState,
    ) -> bool {
        let is_time_critical = call.priority.urgent || call.deadline.is_some();
        let mostly_cached = locations.cached_at(index) * 2 > call.prompt_tokens;
        let tokens = call.max_total_tokens();
        let fits = || self.working_set.fits(call.run, tokens, index, state);
        is_time_critical || mostly_cached || fits()
    }

    /// Whether running the call at `backend` now is cheaper than waiting for `affinity`, where `ahead`
    /// calls wait before it.
    pub fn is_cheaper_than_waiting(
        &self,
        call: &QueuedCall,
        backend: BackendIndex,
        affinity: BackendIndex,
        ahead: usize,
    ) -> bool {
        let (Some(here), Some(there)) = (self.backends.get(backend), self.backends.get(affinity))
        else {
            return true;
        };
        if !there.accepts() {
            return true;
        }
        let locations = PrefixLocations::of(call, self.prefixes);
        let wait = self.slot_wait(there, ahead) * self.wait_factor();
        self.cost(call, &locations, backend, here)
            < self.cost(call, &locations, affinity, there) + wait
    }

    /// Engine from which the call's context should be moved before it runs at `backend`; `None` if no
    /// move is faster than prefilling or moves are disabled.
    pub fn move_source(&self, call: &QueuedCall, backend: BackendIndex) -> Option<BackendIndex> {
        let locations = PrefixLocations::of(call, self.prefixes);
        locations
            .own
            .iter()
            .filter(|location| self.is_move_faster(&locations, **location, backend))
            .max_by_key(|location| location.tokens)
            .map(|location| location.backend)
    }

    fn cost(
        &self,
        call: &QueuedCall,
        locations: &PrefixLocations<'_>,
        index: BackendIndex,
        state: &BackendState,
    ) -> f64 {
        let missing = call.prompt_tokens - locations.cached_at(index);
        let prefill = self.service_times.prefill_micros(missing);
        let resident = self.prefixes.resident_tokens(index) as f64;
        let pressure = (resident / state.cache_capacity.max(1) as f64).min(1.0);
        let busy = f64::from(state.in_flight) / f64::from(state.backend.slots.max(1));
        let slowdown = PRESSURE_SLOPE * pressure + BATCH_SLOPE * busy;
        let rebuild = prefill * (1.0 + slowdown) * self.rebuild_factor();
        let generation = self.service_times.generation_micros(call.max_output_tokens);
        let base = generation.max(self.tool_micros(call));
        rebuild + base * LOAD_SLOPE * busy * self.wait_factor()
    }

    fn tool_micros(&self, call: &QueuedCall) -> f64 {
        if call.max_output_tokens == 0 {
            self.service_times.mean_micros()
        } else {
            0.0
        }
    }

    fn is_move_faster(
        &self,
        locations: &PrefixLocations<'_>,
        from: CachedAt,
        to: BackendIndex,
    ) -> bool {
        let Some(settings) = self.context_move else {
            return false;
        };
        let missing = from.tokens.saturating_sub(locations.cached_at(to));
        let moving_nanos = settings.nanos_per_token.saturating_mul(from.tokens);
        let moving = (settings.base_micros + moving_nanos / 1_000) as f64;
        from.backend != to && moving < self.service_times.prefill_micros(missing)
    }

    fn slot_wait(&self, state: &BackendState, ahead: usize) -> f64 {
        let turns = (ahead + 1) as f64;
        self.service_times.mean_micros() * turns / f64::from(state.in_flight.max(1))
    }

    fn rebuild_factor(&self) -> f64 {
        1.0 + (NEUTRAL_LATENCY_WEIGHT - f64::from(self.latency_weight)) / 100.0
    }

    fn wait_factor(&self) -> f64 {
        1.0 - (NEUTRAL_LATENCY_WEIGHT - f64::from(self.latency_weight)) / 200.0
    }
}
