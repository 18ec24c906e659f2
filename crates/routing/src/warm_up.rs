//! Tracks which engines are warming up. After a start an engine takes fewer requests until it is warm.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use rkyv::{Archive, Deserialize, Serialize};

use crate::engine_load::EngineKey;
use crate::engine_table::{Engine, EngineEntry};

const MS_PER_KS: u64 = 1_000_000;
/// Fraction of the configured warm-up duration over which the fraction of requests that need no grant rises to
/// 1.
const RAMP_FRACTION: f64 = 0.5;
/// How long an engine counts as unreachable after a failed connection.
const UNREACHABLE_PERIOD: Duration = Duration::from_secs(15);
/// How long an unlisted run is remembered, since a store that lost its entries lists the same run again.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

/// Rate limit of each engine of a service while it warms up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct WarmUpLimit {
    /// Requests in 1000 seconds.
    pub per_ks: u64,
    /// Warm-up duration assumed if neither the engine's entry nor an answer gives one, in milliseconds.
    pub duration_ms: u64,
}

impl WarmUpLimit {
    /// Warm-up duration assumed if neither the engine's entry nor an answer gives one.
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.duration_ms)
    }

    /// Interval between requests at the limit.
    pub fn min_interval(&self) -> Duration {
        Duration::from_millis(MS_PER_KS / self.per_ks.max(1))
    }
}

/// Why an engine is taken to be warming up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WarmUpSource {
    /// Its entry says so.
    Entry,
    /// One of its answers says so.
    Answer,
    /// It was not listed before.
    NewlyListed,
    /// A connection to it failed, so it may have restarted and would look idle.
    Unreachable,
    /// The drain of its zone ended.
    DrainEnded,
}

impl WarmUpSource {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Answer => "answer",
            Self::NewlyListed => "appeared",
            Self::Unreachable => "found_away",
            Self::DrainEnded => "zone_returned",
        }
    }
}

/// An engine has started to warm up or has become warm.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WarmUpChange {
    pub instance: String,
    pub service: String,
    /// Start of the engine's run, in milliseconds since 1970.
    pub born_ms: u64,
    /// Remaining time of the warm-up; `None` if the engine is warm.
    pub left: Option<Duration>,
    /// The latest source of the warm-up.
    pub source: WarmUpSource,
}

/// The warm-up of one run of an engine.
#[derive(Debug)]
struct RunWarmUp {
    instance: String,
    service: String,
    born_ms: u64,
    limit: WarmUpLimit,
    /// Revision of the newest known entry.
    revision: u64,
    /// End according to the entry.
    entry_end: Duration,
    /// End according to the answers.
    answer_end: Duration,
    /// Presumed end where a warm-up is likely but neither entry nor answer says so.
    presumed_end: Duration,
    /// Until when the engine counts as unreachable, unless it answers before. It may have restarted and be
    /// cold for the first gateway that reaches it.
    unreachable_until: Duration,
    source: WarmUpSource,
    /// Whether the last change returned by [`WarmUps::changes`] was the start of a warm-up.
    is_reported_warming: bool,
    /// When the run was last listed.
    last_listed: Duration,
}

impl RunWarmUp {
    fn new(engine: &Engine, limit: WarmUpLimit) -> Self {
        Self {
            instance: engine.instance.clone(),
            service: engine.service.clone(),
            born_ms: engine.born_ms,
            limit,
            revision: 0,
            entry_end: Duration::ZERO,
            answer_end: Duration::ZERO,
            presumed_end: Duration::ZERO,
            unreachable_until: Duration::ZERO,
            source: WarmUpSource::Entry,
            is_reported_warming: false,
            last_listed: Duration::ZERO,
        }
    }

    fn end(&self) -> Duration {
        let presumed = self.presumed_end.max(self.unreachable_until);
        self.entry_end.max(self.answer_end).max(presumed)
    }

    fn presume(&mut self, source: WarmUpSource, now: Duration) {
        self.presumed_end = self.presumed_end.max(now + self.limit.duration());
        self.source = source;
    }

    /// Applies a newer entry. If it ends the warm-up, the fraction of requests that need no grant rises from
    /// now on.
    fn on_entry(&mut self, warm_up: Duration, now: Duration) {
        if warm_up.is_zero() {
            self.entry_end = self.entry_end.min(now);
            self.presumed_end = self.presumed_end.min(now);
            return;
        }
        self.entry_end = now + warm_up;
        self.source = WarmUpSource::Entry;
    }

    /// The engine answered. If it was unreachable, it may have restarted, and its new entry may not have
    /// arrived yet.
    fn on_reached(&mut self, now: Duration) {
        if now < self.unreachable_until {
            self.unreachable_until = Duration::ZERO;
            self.presume(WarmUpSource::Unreachable, now);
        }
    }

    fn on_answer(&mut self, warm_up: Duration, now: Duration) {
        if warm_up.is_zero() {
            self.presumed_end = self.presumed_end.min(now);
        } else {
            self.source = WarmUpSource::Answer;
        }
        self.answer_end = match warm_up {
            Duration::ZERO => self.answer_end.min(now),
            left => now.saturating_add(left),
        };
    }

    /// Fraction of the requests to this engine that need no grant from a limiter: 0 while it warms up, then
    /// rising linearly to 1 over `RAMP_FRACTION` of the configured warm-up duration.
    fn grant_free_fraction(&self, now: Duration) -> f64 {
        let end = self.end();
        if now < end {
            return 0.0;
        }
        if end.is_zero() {
            return 1.0;
        }
        let ramp = self.limit.duration().mul_f64(RAMP_FRACTION);
        let since = now - end;
        if since >= ramp {
            return 1.0;
        }
        since.as_secs_f64() / ramp.as_secs_f64()
    }
}

/// Engines that are warming up, as known to one node. Times are since the start of the process.
///
/// Each run of an engine has its own state. The latest end from any source counts, since a source that does
/// not know of a warm-up does not refute it.
#[derive(Debug, Default)]
pub struct WarmUps {
    runs: HashMap<EngineKey, RunWarmUp>,
    /// Services that had a warm-up limit when the last list arrived. Engines in the first list after a service
    /// gets its limit may have been running for a long time, so they are not presumed to be warming up.
    services: HashSet<String>,
}

impl WarmUps {
    /// Takes the list of engines; those of services without a limit are ignored.
    pub fn on_list<'a>(
        &mut self,
        entries: impl Iterator<Item = &'a EngineEntry>,
        limits: &HashMap<&str, WarmUpLimit>,
        now: Duration,
    ) {
        for entry in entries {
            let service = entry.engine.service.as_str();
            if let Some(limit) = limits.get(service) {
                let is_first_list = !self.services.contains(service);
                self.on_entry(entry, *limit, is_first_list, now);
            }
        }
        self.services = limits.keys().map(|name| (*name).to_owned()).collect();
        self.runs.retain(|_, run| {
            // Runs of services that no longer have a limit are dropped as well.
            let is_retained = now.saturating_sub(run.last_listed) < UNLISTED_RETENTION;
            is_retained && limits.contains_key(run.service.as_str())
        });
    }

    fn on_entry(
        &mut self,
        entry: &EngineEntry,
        limit: WarmUpLimit,
        is_first_list: bool,
        now: Duration,
    ) {
        let engine = &entry.engine;
        let known = self.runs.contains_key(&engine.key());
        let run = self.run_entry(engine, limit);
        run.limit = limit;
        run.last_listed = now;
        if entry.revision <= run.revision {
            return;
        }
        run.revision = entry.revision;
        run.on_entry(Duration::from_millis(engine.warm_up_ms), now);
        if !known && !is_first_list && engine.warm_up_ms == 0 {
            run.presume(WarmUpSource::NewlyListed, now);
        }
    }

    /// Takes the remaining warm-up time that an answer of the engine gives; zero if it is warm.
    pub fn on_answer(
        &mut self,
        engine: &Engine,
        limit: WarmUpLimit,
        warm_up: Duration,
        now: Duration,
    ) {
        if warm_up.is_zero() && !self.runs.contains_key(&engine.key()) {
            return;
        }
        self.run_entry(engine, limit).on_answer(warm_up, now);
    }

    /// A connection to the engine failed.
    pub fn on_unreachable(&mut self, engine: &Engine, limit: WarmUpLimit, now: Duration) {
        let run = self.run_entry(engine, limit);
        run.unreachable_until = now + UNREACHABLE_PERIOD;
        run.source = WarmUpSource::Unreachable;
    }

    /// The engine answered, whether or not the answer mentions a warm-up.
    pub fn on_reached(&mut self, engine: EngineKey, now: Duration) {
        if let Some(run) = self.runs.get_mut(&engine) {
            run.on_reached(now);
        }
    }

    /// The drain of the engines' zone ended at this time, so they may warm up again.
    pub fn on_drain_ended<'a>(
        &mut self,
        engines: impl Iterator<Item = &'a Engine>,
        limits: &HashMap<&str, WarmUpLimit>,
        drain_ended: Duration,
    ) {
        for engine in engines {
            if let Some(limit) = limits.get(engine.service.as_str()) {
                self.run_entry(engine, *limit)
                    .presume(WarmUpSource::DrainEnded, drain_ended);
            }
        }
    }

    fn run_entry(&mut self, engine: &Engine, limit: WarmUpLimit) -> &mut RunWarmUp {
        let entry = self.runs.entry(engine.key());
        entry.or_insert_with(|| RunWarmUp::new(engine, limit))
    }

    /// Fraction of the requests to this engine that need no grant from a limiter: 0 while it warms up, then
    /// rising linearly to 1 over `RAMP_FRACTION` of the configured warm-up duration, so that its load grows
    /// gradually.
    pub fn grant_free_fraction(&self, engine: EngineKey, now: Duration) -> f64 {
        let run = self.runs.get(&engine);
        run.map_or(1.0, |run| run.grant_free_fraction(now))
    }

    /// Whether requests to any engine of the service need grants now.
    pub fn has_limited_engines(&self, service: &str, now: Duration) -> bool {
        let mut runs = self.runs.values();
        runs.any(|run| run.service == service && run.grant_free_fraction(now) < 1.0)
    }

    /// Number of engines that are warming up, by service.
    pub fn warming(&self, now: Duration) -> HashMap<&str, u64> {
        let mut warming = HashMap::new();
        for run in self.runs.values() {
            let count: &mut u64 = warming.entry(run.service.as_str()).or_default();
            *count += u64::from(now < run.end());
        }
        warming
    }

    /// Engines that have started to warm up or have become warm since the last call.
    pub fn changes(&mut self, now: Duration) -> Vec<WarmUpChange> {
        let mut changes = Vec::new();
        for run in self.runs.values_mut() {
            let left = run.end().checked_sub(now).filter(|left| !left.is_zero());
            if left.is_some() == run.is_reported_warming {
                continue;
            }
            run.is_reported_warming = left.is_some();
            changes.push(WarmUpChange {
                instance: run.instance.clone(),
                service: run.service.clone(),
                born_ms: run.born_ms,
                left,
                source: run.source,
            });
        }
        changes
    }
}
