//! Map of the engines that cache the contexts of runs.
//!
//! Entries are hints. They are updated when an attempt completes, when a context has been moved or is
//! released, when a run ends, when a backend is gone and, with a delay, by the engines' cache events. A
//! gap in the event numbers triggers a request for a listing, which replaces all entries of the engine.

use std::collections::{BTreeMap, HashMap};

use ridgeworks_domain::RunId;

use crate::backends::BackendIndex;
use crate::event::{CacheChange, CacheEvent, CacheListing};

/// A context cached at one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CachedAt {
    /// Engine that holds the context.
    pub backend: BackendIndex,
    /// Cached length, in tokens.
    pub tokens: u64,
}

/// Action required after a cache event or listing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheFollowUp {
    /// The map is up to date.
    None,
    /// Events were lost or the listing was outdated: request a new listing.
    Relist,
}

#[derive(Debug, Default)]
struct EngineContents {
    contexts: BTreeMap<RunId, u64>,
    resident_tokens: u64,
    last_number: Option<u64>,
    relisting: bool,
}

/// Cached contexts of all engines of the group.
#[derive(Debug, Default)]
pub struct PrefixMap {
    by_run: HashMap<RunId, Vec<CachedAt>>,
    engines: BTreeMap<BackendIndex, EngineContents>,
}

impl PrefixMap {
    /// Engines that cache the run's context, in no particular order.
    pub fn locations(&self, run: RunId) -> &[CachedAt] {
        self.by_run.get(&run).map_or(&[], Vec::as_slice)
    }

    /// Tokens of the run's context cached at the engine; 0 if it holds none.
    pub fn tokens_at(&self, run: RunId, backend: BackendIndex) -> u64 {
        let locations = self.locations(run).iter();
        let mut here = locations.filter(|location| location.backend == backend);
        here.next().map_or(0, |location| location.tokens)
    }

    /// Tokens of all contexts cached at the engine.
    pub fn resident_tokens(&self, backend: BackendIndex) -> u64 {
        self.engines
            .get(&backend)
            .map_or(0, |engine| engine.resident_tokens)
    }

    /// Runs that have a context cached at the engine.
    pub fn runs_at(&self, backend: BackendIndex) -> Vec<RunId> {
        let engine = self.engines.get(&backend);
        engine.map_or(Vec::new(), |engine| {
            engine.contexts.keys().copied().collect()
        })
    }

    /// Sets how many tokens of the run's context the engine holds.
    pub fn store(&mut self, run: RunId, backend: BackendIndex, tokens: u64) {
        let engine = self.engines.entry(backend).or_default();
        let before = engine.contexts.insert(run, tokens).unwrap_or(0);
        engine.resident_tokens = engine.resident_tokens - before + tokens;
        let locations = self.by_run.entry(run).or_default();
        match locations
            .iter_mut()
            .find(|location| location.backend == backend)
        {
            Some(location) => location.tokens = tokens,
            None => locations.push(CachedAt { backend, tokens }),
        }
    }

    /// Removes the run's context from the engine's entries; no effect if it has none.
    pub fn evict(&mut self, run: RunId, backend: BackendIndex) {
        if let Some(engine) = self.engines.get_mut(&backend) {
            let held = engine.contexts.remove(&run).unwrap_or(0);
            engine.resident_tokens -= held;
        }
        if let Some(locations) = self.by_run.get_mut(&run) {
            locations.retain(|location| location.backend != backend);
            if locations.is_empty() {
                self.by_run.remove(&run);
            }
        }
    }

    /// Applies an event of the engine; an event with an old number is ignored.
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

    /// Replaces all entries of the engine by a listing. A listing that is older than the newest event
    /// is ignored, and another one has to be requested.
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

    /// Removes all entries of an engine, and its event number.
    pub fn forget_engine(&mut self, backend: BackendIndex) {
        for run in self.runs_at(backend) {
            self.evict(run, backend);
        }
        self.engines.remove(&backend);
    }

    /// Removes a run at all engines and returns the removed entries.
    pub fn forget_run(&mut self, run: RunId) -> Vec<CachedAt> {
        let locations = self.locations(run).to_vec();
        for location in &locations {
            self.evict(run, location.backend);
        }
        locations
    }
}
