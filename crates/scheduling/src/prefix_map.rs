//! Where the contexts of runs are cached, as far as is known.
//!
//! Entries are hints. They come from ended attempts at once and from the engines' cache events late;
//! a gap in the event numbers asks for a listing, which replaces all that was known of the engine.

use std::collections::{BTreeMap, HashMap};

use ridgeworks_domain::RunId;

use crate::backends::BackendIndex;
use crate::event::{CacheChange, CacheEvent, CacheListing};

/// One place where a context is cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CachedAt {
    /// The engine.
    pub backend: BackendIndex,
    /// Tokens held.
    pub tokens: u64,
}

/// What is to be done after a cache event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheFollowUp {
    /// Nothing.
    None,
    /// Events were lost; ask the engine for a listing.
    Relist,
}

#[derive(Debug, Default)]
struct EngineCache {
    contexts: BTreeMap<RunId, u64>,
    resident_tokens: u64,
    last_number: Option<u64>,
    relisting: bool,
}

/// The map of all engines of the group.
#[derive(Debug, Default)]
pub struct PrefixMap {
    by_run: HashMap<RunId, Vec<CachedAt>>,
    engines: BTreeMap<BackendIndex, EngineCache>,
}

impl PrefixMap {
    /// Where the run's context is cached.
    pub fn places(&self, run: RunId) -> &[CachedAt] {
        self.by_run.get(&run).map_or(&[], Vec::as_slice)
    }

    /// Tokens of the run's context that the engine holds.
    pub fn tokens_at(&self, run: RunId, backend: BackendIndex) -> u64 {
        let places = self.places(run).iter();
        let mut here = places.filter(|place| place.backend == backend);
        here.next().map_or(0, |place| place.tokens)
    }

    /// Tokens that the engine holds in all.
    pub fn resident_tokens(&self, backend: BackendIndex) -> u64 {
        self.engines
            .get(&backend)
            .map_or(0, |engine| engine.resident_tokens)
    }

    /// Runs with a context in the engine.
    pub fn runs_at(&self, backend: BackendIndex) -> Vec<RunId> {
        let engine = self.engines.get(&backend);
        engine.map_or(Vec::new(), |engine| {
            engine.contexts.keys().copied().collect()
        })
    }

    /// Records that the engine holds this many tokens of the run.
    pub fn store(&mut self, run: RunId, backend: BackendIndex, tokens: u64) {
        let engine = self.engines.entry(backend).or_default();
        let before = engine.contexts.insert(run, tokens).unwrap_or(0);
        engine.resident_tokens = engine.resident_tokens - before + tokens;
        let places = self.by_run.entry(run).or_default();
        match places.iter_mut().find(|place| place.backend == backend) {
            Some(place) => place.tokens = tokens,
            None => places.push(CachedAt { backend, tokens }),
        }
    }

    /// Records that the engine no longer holds the run.
    pub fn evict(&mut self, run: RunId, backend: BackendIndex) {
        if let Some(engine) = self.engines.get_mut(&backend) {
            let held = engine.contexts.remove(&run).unwrap_or(0);
            engine.resident_tokens -= held;
        }
        if let Some(places) = self.by_run.get_mut(&run) {
            places.retain(|place| place.backend != backend);
            if places.is_empty() {
                self.by_run.remove(&run);
            }
        }
    }

    /// Takes a numbered event of the engine.
    pub fn apply(&mut self, backend: BackendIndex, event: &CacheEvent) -> CacheFollowUp {
        let engine = self.engines.entry(backend).or_default();
        let expected = engine.last_number.map_or(event.number, |last| last + 1);
        if event.number < expected {
            return CacheFollowUp::None;
        }
        engine.last_number = Some(event.number);
        let gap = event.number > expected && !engine.relisting;
        if gap {
            engine.relisting = true;
        }
        match event.change {
            CacheChange::Stored => self.store(event.run, backend, event.tokens),
            CacheChange::Evicted => self.evict(event.run, backend),
        }
        if gap {
            CacheFollowUp::Relist
        } else {
            CacheFollowUp::None
        }
    }

    /// Replaces what is known of the engine. A listing older than the newest event is refused, and
    /// another one is asked for.
    pub fn replace(&mut self, backend: BackendIndex, listing: &CacheListing) -> CacheFollowUp {
        let engine = self.engines.entry(backend).or_default();
        if engine.last_number.is_some_and(|last| last > listing.number) {
            return CacheFollowUp::Relist;
        }
        self.forget_engine(backend);
        for context in &listing.contexts {
            self.store(context.run, backend, context.tokens);
        }
        let engine = self.engines.entry(backend).or_default();
        engine.last_number = Some(listing.number);
        engine.relisting = false;
        CacheFollowUp::None
    }

    /// Forgets an engine.
    pub fn forget_engine(&mut self, backend: BackendIndex) {
        for run in self.runs_at(backend) {
            self.evict(run, backend);
        }
        self.engines.remove(&backend);
    }

    /// Forgets a run and returns where it was.
    pub fn forget_run(&mut self, run: RunId) -> Vec<CachedAt> {
        let places = self.places(run).to_vec();
        for place in &places {
            self.evict(run, place.backend);
        }
        places
    }
}
