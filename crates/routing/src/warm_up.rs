//! Engines that have just started bear less than others until they are warm.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use rkyv::{Archive, Deserialize, Serialize};

use crate::engine_load::EngineKey;
use crate::engine_table::{Engine, EngineEntry};

const MS_PER_KS: u64 = 1_000_000;
/// Part of the usual time of a warm-up over which an engine that is warm gets its share back.
const RAMP_FRACTION: f64 = 0.5;
/// How long an engine counts as away that was not reached.
const UNREACHABLE_PERIOD: Duration = Duration::from_secs(15);
/// How long a run is remembered that is not listed any more: a store that lost its entries lists it again.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

/// What the engines of a service bear while they warm up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct WarmUpLimit {
    /// Requests in a thousand seconds.
    pub per_ks: u64,
    /// How long an engine warms up after its start, in milliseconds, where it does not say.
    pub duration_ms: u64,
}

impl WarmUpLimit {
    /// How long an engine warms up where it does not say.
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.duration_ms)
    }

    /// The time after which one more request may reach an engine that got all that it bears.
    pub fn min_interval(&self) -> Duration {
        Duration::from_millis(MS_PER_KS / self.per_ks.max(1))
    }
}

/// Who says that an engine warms up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WarmUpSource {
    /// Its entry.
    Entry,
    /// One of its answers.
    Answer,
    /// It was not listed before.
    NewlyListed,
    /// It was found away: it may have started again, and looks idle.
    Unreachable,
    /// Its zone was taken back from a drain.
    DrainEnded,
}

impl WarmUpSource {
    /// Name for logs.
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

/// An engine has begun to warm up, or is warm.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WarmUpChange {
    /// The engine's instance.
    pub instance: String,
    /// Its service.
    pub service: String,
    /// When it started.
    pub born_ms: u64,
    /// For how long it warms up yet; `None` when it is warm.
    pub left: Option<Duration>,
    /// Who said so last.
    pub source: WarmUpSource,
}

/// How one run of an engine warms up.
#[derive(Debug)]
struct RunWarmUp {
    instance: String,
    service: String,
    born_ms: u64,
    limit: WarmUpLimit,
    /// Revision of the newest entry that is known.
    revision: u64,
    /// By its entry.
    entry_end: Duration,
    /// By its answers.
    answer_end: Duration,
    /// By what nobody says but is to be feared.
    presumed_end: Duration,
    /// Until when it counts as away, unless it is reached before: whoever is the first to reach it may find it just started.
    unreachable_until: Duration,
    source: WarmUpSource,
    /// Whether it was last said to warm up.
    is_reported_warming: bool,
    /// When it was last listed.
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

    /// An entry that is newer than what is known. Where it ends a warm-up the engine's share grows from now on.
    fn on_entry(&mut self, warm_up: Duration, now: Duration) {
        if warm_up.is_zero() {
            self.entry_end = self.entry_end.min(now);
            self.presumed_end = self.presumed_end.min(now);
            return;
        }
        self.entry_end = now + warm_up;
        self.source = WarmUpSource::Entry;
    }

    /// It has answered. Where it was away it may have started anew; an entry that tells of it is on its way.
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

    /// Part of the requests that would go there if it were warm that it may get without being counted.
    fn share(&self, now: Duration) -> f64 {
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

/// Which engines warm up, as one node knows it. Times are since the start of the process.
///
/// Each run of an engine has a course of its own. The latest of the ends by different sources counts: one that knows nothing of
/// a warm-up says nothing against it.
#[derive(Debug, Default)]
pub struct WarmUps {
    runs: HashMap<EngineKey, RunWarmUp>,
    /// Services of which a list of engines was seen: those of the first one may have run for long.
    services: HashSet<String>,
}

impl WarmUps {
    /// Takes the engines in that are listed now, those of services whose engines warm up.
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
            // Those of services whose engines need no care any more go with them.
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
        let run = self.run(engine, limit);
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

    /// An answer of an engine says for how long it warms up.
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
        self.run(engine, limit).on_answer(warm_up, now);
    }

    /// No connection to an engine came about.
    pub fn on_unreachable(&mut self, engine: &Engine, limit: WarmUpLimit, now: Duration) {
        let run = self.run(engine, limit);
        run.unreachable_until = now + UNREACHABLE_PERIOD;
        run.source = WarmUpSource::Unreachable;
    }

    /// An engine has answered, whatever it says of its warm-up.
    pub fn on_reached(&mut self, engine: EngineKey, now: Duration) {
        if let Some(run) = self.runs.get_mut(&engine) {
            run.on_reached(now);
        }
    }

    /// The drain of a zone ended at this time; its engines may warm up again.
    pub fn on_drain_ended<'a>(
        &mut self,
        engines: impl Iterator<Item = &'a Engine>,
        limits: &HashMap<&str, WarmUpLimit>,
        drain_ended: Duration,
    ) {
        for engine in engines {
            if let Some(limit) = limits.get(engine.service.as_str()) {
                self.run(engine, *limit)
                    .presume(WarmUpSource::DrainEnded, drain_ended);
            }
        }
    }

    fn run(&mut self, engine: &Engine, limit: WarmUpLimit) -> &mut RunWarmUp {
        let runs = self.runs.entry(engine.key());
        runs.or_insert_with(|| RunWarmUp::new(engine, limit))
    }

    /// Part of the requests that would go to an engine if it were warm that it may get without being counted: none while it warms up,
    /// then more and more, so that its load grows without a step.
    pub fn share(&self, engine: EngineKey, now: Duration) -> f64 {
        let run = self.runs.get(&engine);
        run.map_or(1.0, |run| run.share(now))
    }

    /// Whether requests to any engine of a service are counted now.
    pub fn has_limited_engines(&self, service: &str, now: Duration) -> bool {
        let mut runs = self.runs.values();
        runs.any(|run| run.service == service && run.share(now) < 1.0)
    }

    /// Engines that warm up, by service.
    pub fn warming(&self, now: Duration) -> HashMap<&str, u64> {
        let mut warming = HashMap::new();
        for run in self.runs.values() {
            let count: &mut u64 = warming.entry(run.service.as_str()).or_default();
            *count += u64::from(now < run.end());
        }
        warming
    }

    /// Engines that have begun to warm up, or are warm, since this was last asked.
    pub fn news(&mut self, now: Duration) -> Vec<WarmUpChange> {
        let mut news = Vec::new();
        for run in self.runs.values_mut() {
            let left = run.end().checked_sub(now).filter(|left| !left.is_zero());
            if left.is_some() == run.is_reported_warming {
                continue;
            }
            run.is_reported_warming = left.is_some();
            news.push(WarmUpChange {
                instance: run.instance.clone(),
                service: run.service.clone(),
                born_ms: run.born_ms,
                left,
                source: run.source,
            });
        }
        news
    }
}
