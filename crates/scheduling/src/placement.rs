//! Choice of the back end for a call.
//!
//! Expected cost = wait for a slot + slow-down by the calls already there + time to prefill what is
//! not cached there, the latter dearer where the cache is full and others' contexts must go.

use crate::backends::{BackendIndex, BackendState, BackendTable};
use crate::event::QueuedCall;
use crate::load_estimate::LoadEstimate;
use crate::prefix_map::{CachedAt, PrefixMap};
use crate::settings::ContextMoveSettings;
use crate::working_set::WorkingSet;

/// Slow-down of generation when all slots of an engine are taken, as part of the mean time.
const LOAD_SLOPE: f64 = 0.6;
/// Extra cost of a prefill into a full batch, as part of the prefill: all the calls of the batch wait
/// while it runs.
const BATCH_SLOPE: f64 = 5.0;
/// Extra cost of a prefill into a full cache, as part of the prefill.
const PRESSURE_SLOPE: f64 = 0.5;
const NEUTRAL_WEIGHT: f64 = 50.0;

/// What a decision rests on.
#[derive(Debug, Clone, Copy)]
pub struct PlacementView<'a> {
    /// The back ends.
    pub backends: &'a BackendTable,
    /// Where contexts are cached.
    pub prefixes: &'a PrefixMap,
    /// Service times.
    pub estimate: &'a LoadEstimate,
    /// Moving contexts, if allowed.
    pub context_move: Option<&'a ContextMoveSettings>,
    /// Whether a context fits beside those in use.
    pub working_set: WorkingSet<'a>,
    /// Weight of latency against wasted cache, 0 to 100.
    pub latency_weight: u8,
}

/// A choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// Go there now.
    Now {
        /// The back end.
        backend: BackendIndex,
        /// Engine that the context should be moved from first.
        move_from: Option<BackendIndex>,
    },
    /// Waiting for a slot there is cheaper than any free slot.
    WaitFor(BackendIndex),
    /// No slot is free.
    Full {
        /// Where the call would be cheapest, as far as its prefix says.
        home: Option<BackendIndex>,
    },
}

/// Prefix of one call in the caches.
#[derive(Debug, Clone, Copy)]
pub struct PrefixPlaces<'a> {
    own: &'a [CachedAt],
    inherited: &'a [CachedAt],
    prompt_tokens: u64,
    inherited_tokens: u64,
}

impl<'a> PrefixPlaces<'a> {
    /// Looks up where the call's prefix is.
    pub fn of(call: &QueuedCall, prefixes: &'a PrefixMap) -> Self {
        let inherited = call.inherited;
        Self {
            own: prefixes.places(call.run),
            inherited: inherited.map_or(&[], |inherited| prefixes.places(inherited.run)),
            prompt_tokens: call.prompt_tokens,
            inherited_tokens: inherited.map_or(0, |inherited| inherited.tokens),
        }
    }

    /// Tokens of the prompt that are cached at the back end.
    pub fn cached_at(&self, backend: BackendIndex) -> u64 {
        let own = tokens_at(self.own, backend);
        own.max(self.shared_at(backend)).min(self.prompt_tokens)
    }

    /// Tokens of a parent run's context that the call shares at the back end.
    pub fn shared_at(&self, backend: BackendIndex) -> u64 {
        let inherited = tokens_at(self.inherited, backend);
        inherited.min(self.inherited_tokens).min(self.prompt_tokens)
    }

    /// The accepting back end with the longest prefix.
    pub fn best(&self, backends: &BackendTable) -> Option<BackendIndex> {
        let places = self.own.iter().chain(self.inherited);
        let accepting = places.map(|place| place.backend).filter(|backend| {
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

fn tokens_at(places: &[CachedAt], backend: BackendIndex) -> u64 {
    let mut here = places.iter().filter(|place| place.backend == backend);
    here.next().map_or(0, |place| place.tokens)
}

impl PlacementView<'_> {
    /// The choice of least expected cost. `waiting_at` counts calls that already wait for a back
    /// end.
    pub fn least_cost(
        &self,
        call: &QueuedCall,
        waiting_at: impl Fn(BackendIndex) -> usize,
    ) -> Choice {
        let places = PrefixPlaces::of(call, self.prefixes);
        let urgent = call.priority.urgent;
        let home = places.best(self.backends);
        let mut best: Option<(f64, BackendIndex)> = None;
        for (index, state) in self.backends.iter() {
            if !state.has_slot(urgent) || !self.has_room(call, &places, index, state) {
                continue;
            }
            let cost = self.cost(call, &places, index, state);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, index));
            }
        }
        let Some((cost, backend)) = best else {
            return Choice::Full { home };
        };
        if let Some(home) = home.filter(|home| *home != backend && !urgent)
            && let Some(state) = self.backends.get(home)
            && !state.has_slot(urgent)
        {
            let wait = self.slot_wait(state, waiting_at(home));
            let home_cost = self.cost(call, &places, home, state) + wait * self.wait_factor();
            if home_cost < cost {
                return Choice::WaitFor(home);
            }
        }
        let move_from = self.move_source(call, backend);
        Choice::Now { backend, move_from }
    }

    /// Whether the call may go to the back end as far as memory goes: its context is there, or it
    /// fits beside those in use.
    pub fn may_go(&self, call: &QueuedCall, index: BackendIndex) -> bool {
        let places = PrefixPlaces::of(call, self.prefixes);
        let state = self.backends.get(index);
        state.is_some_and(|state| self.has_room(call, &places, index, state))
    }

    /// Calls that are urgent or have a deadline do not wait for memory: what they displace costs
    /// less than they would lose.
    fn has_room(
        &self,
        call: &QueuedCall,
        places: &PrefixPlaces<'_>,
        index: BackendIndex,
        state: &BackendState,
    ) -> bool {
        let hurried = call.priority.urgent || call.deadline.is_some();
        let mostly_cached = places.cached_at(index) * 2 > call.prompt_tokens;
        let tokens = call.most_tokens();
        let fits = || self.working_set.fits(call.run, tokens, index, state);
        hurried || mostly_cached || fits()
    }

    /// Whether the call should rather go to `backend` now than wait for `home`.
    pub fn beats_waiting(
        &self,
        call: &QueuedCall,
        backend: BackendIndex,
        home: BackendIndex,
        ahead: usize,
    ) -> bool {
        let (Some(here), Some(there)) = (self.backends.get(backend), self.backends.get(home))
        else {
            return true;
        };
        if !there.accepts() {
            return true;
        }
        let places = PrefixPlaces::of(call, self.prefixes);
        let wait = self.slot_wait(there, ahead) * self.wait_factor();
        self.cost(call, &places, backend, here) < self.cost(call, &places, home, there) + wait
    }

    /// Engine from which the call's context should be moved before it runs at `backend`.
    pub fn move_source(&self, call: &QueuedCall, backend: BackendIndex) -> Option<BackendIndex> {
        let places = PrefixPlaces::of(call, self.prefixes);
        places
            .own
            .iter()
            .filter(|place| self.move_pays(&places, **place, backend))
            .max_by_key(|place| place.tokens)
            .map(|place| place.backend)
    }

    fn cost(
        &self,
        call: &QueuedCall,
        places: &PrefixPlaces<'_>,
        index: BackendIndex,
        state: &BackendState,
    ) -> f64 {
        let missing = call.prompt_tokens - places.cached_at(index);
        let prefill = self.estimate.prefill_micros(missing);
        let resident = self.prefixes.resident_tokens(index) as f64;
        let pressure = (resident / state.cache_capacity.max(1) as f64).min(1.0);
        let busy = f64::from(state.in_flight) / f64::from(state.backend.slots.max(1));
        let harm = PRESSURE_SLOPE * pressure + BATCH_SLOPE * busy;
        let rebuild = prefill * (1.0 + harm) * self.rebuild_factor();
        let generation = self.estimate.generation_micros(call.max_output_tokens);
        let base = generation.max(self.tool_micros(call));
        rebuild + base * LOAD_SLOPE * busy * self.wait_factor()
    }

    fn tool_micros(&self, call: &QueuedCall) -> f64 {
        if call.max_output_tokens == 0 {
            self.estimate.mean_micros()
        } else {
            0.0
        }
    }

    fn move_pays(&self, places: &PrefixPlaces<'_>, from: CachedAt, to: BackendIndex) -> bool {
        let Some(settings) = self.context_move else {
            return false;
        };
        let missing = from.tokens.saturating_sub(places.cached_at(to));
        let moving_nanos = settings.nanos_per_token.saturating_mul(from.tokens);
        let moving = (settings.base_micros + moving_nanos / 1_000) as f64;
        from.backend != to && moving < self.estimate.prefill_micros(missing)
    }

    fn slot_wait(&self, state: &BackendState, ahead: usize) -> f64 {
        let turns = (ahead + 1) as f64;
        self.estimate.mean_micros() * turns / f64::from(state.in_flight.max(1))
    }

    fn rebuild_factor(&self) -> f64 {
        1.0 + (NEUTRAL_WEIGHT - f64::from(self.latency_weight)) / 100.0
    }

    fn wait_factor(&self) -> f64 {
        1.0 - (NEUTRAL_WEIGHT - f64::from(self.latency_weight)) / 200.0
    }
}
