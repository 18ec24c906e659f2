//! What one gateway knows of the engines' load and contents: its own requests, and what other gateways
//! reported. Sums are kept up to date as reports come and go, so that a choice costs no more in a large
//! fleet (`docs/design/platform.md`, "Load of engines in a large fleet").

use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::engine_health::{EngineHealth, OutcomeCounts};
use crate::reported_outcomes::{MAX_SUSPECTS, ReportedOutcomes, ReportedSums};
use crate::request::PromptPart;

/// How long a report of another gateway counts.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);
/// Weight of the newest time between two reports in their mean.
const INTERVAL_WEIGHT: f64 = 0.05;
/// Requests like those of the service's other engines that every engine is taken to have ended beside the ones
/// that were seen.
pub const PRIOR_OUTCOMES: f64 = 3.0;
/// Share of failures above which an engine is said to fail requests, and below which it is said to serve again.
const FAILING_SHARE: f64 = 0.25;
const SERVING_SHARE: f64 = 0.1;
/// Failures from which on an engine is a suspect. One that faded to less says nothing any more.
const MIN_SUSPECT_FAILURES: f64 = 0.5;
const MS_PER_S: f64 = 1_000.0;
/// Parts of prompts remembered for one engine. With about 45 bytes each this is the larger part of a
/// gateway's memory in a large fleet: 4.4 MB for 190 engines. An engine's own memory holds fewer.
const MAX_CACHED_PARTS: usize = 512;

/// The key of one run of an engine, in tables and in reports between gateways.
///
/// What dies with a run is kept under it: what the engine holds, what is open there, how requests ended. An engine that starts again under its
/// identifier is another run, and whatever comes late of the earlier one changes nothing of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EngineKey(pub u64);

impl EngineKey {
    /// The key of an engine that does not say when it started.
    pub fn of(instance: &str) -> Self {
        Self::of_run(instance, 0)
    }

    /// The key of the run of an engine that started at this time.
    pub fn of_run(instance: &str, born_ms: u64) -> Self {
        Self(xxh3_64_with_seed(instance.as_bytes(), born_ms))
    }
}

/// Parts of prompts that an engine is believed to hold.
#[derive(Debug, Clone, Default)]
pub struct CachedParts {
    tokens: HashMap<u64, u64>,
    order: VecDeque<u64>,
}

impl CachedParts {
    /// Notes that a part was read; the oldest give way. A part that belongs to a session grows from turn
    /// to turn.
    pub fn insert(&mut self, part: PromptPart) {
        match self.tokens.entry(part.hash) {
            Entry::Occupied(mut cached) => {
                let tokens = part.tokens.max(*cached.get());
                cached.insert(tokens);
            }
            Entry::Vacant(place) => {
                place.insert(part.tokens);
                self.order.push_back(part.hash);
            }
        }
        while self.order.len() > MAX_CACHED_PARTS {
            if let Some(oldest) = self.order.pop_front() {
                self.tokens.remove(&oldest);
            }
        }
    }

    /// Tokens of a prompt that are not held: all from the first one on that is missing.
    pub fn missing(&self, parts: &[PromptPart]) -> u64 {
        let mut cached = 0_u64;
        for part in parts {
            let cached_of_part = self.cached(*part);
            cached = cached.saturating_add(cached_of_part);
            if cached_of_part < part.tokens {
                break;
            }
        }
        prompt_tokens(parts).saturating_sub(cached)
    }

    /// Whether a part is held whole.
    pub fn is_cached(&self, part: PromptPart) -> bool {
        self.cached(part) == part.tokens
    }

    /// Tokens of a part that are held; of one that has grown, those that it had before.
    pub fn cached(&self, part: PromptPart) -> u64 {
        let cached = self.tokens.get(&part.hash).copied().unwrap_or(0);
        cached.min(part.tokens)
    }
}

/// Tokens of a whole prompt; the heads that tell them are the clients' and may be absurd.
pub fn prompt_tokens(parts: &[PromptPart]) -> u64 {
    parts
        .iter()
        .fold(0, |sum, part| sum.saturating_add(part.tokens))
}

/// One engine, as this gateway knows it.
#[derive(Debug, Clone, Default)]
pub struct EngineLoad {
    /// Open requests of this gateway.
    pub own_open: u32,
    /// Tokens that open requests of this gateway have there to be read.
    pub pending_prefill_tokens: u64,
    /// Open requests of other gateways, by their reports.
    reported_open: u32,
    /// Parts of prompts that it is believed to hold.
    pub parts: CachedParts,
    /// What its answers say of it.
    pub health: EngineHealth,
    /// What its answers to other gateways say of it, by their reports.
    reported_outcomes: ReportedSums,
    /// Whether it was last said to fail requests.
    is_failing: bool,
}

impl EngineLoad {
    /// How requests ended there lately, as far as this gateway knows.
    pub fn outcomes(&self, now: Duration) -> OutcomeCounts {
        self.health
            .outcomes(now)
            .plus(self.reported_outcomes.counts())
    }

    /// Share of the requests that failed there. Where other gateways saw little the engine is taken to be typical,
    /// and where this one saw little, to be as the others say: an engine may fail some callers alone.
    pub fn failed_share(&self, typical_share: f64, now: Duration) -> f64 {
        let reported_outcomes = self
            .reported_outcomes
            .counts()
            .failed_share(PRIOR_OUTCOMES, typical_share);
        let own_open = self.health.outcomes(now);
        own_open.failed_share(PRIOR_OUTCOMES, reported_outcomes)
    }

    /// Whether it fails requests, if that is new. Between the two shares nothing is, so that it does not change with
    /// each request.
    pub fn failure_state_changes(&mut self, now: Duration) -> Option<bool> {
        let share = self.failed_share(0.0, now);
        let limit = if self.is_failing {
            SERVING_SHARE
        } else {
            FAILING_SHARE
        };
        let is_failing = share > limit;
        let is_new = is_failing != self.is_failing;
        self.is_failing = is_failing;
        is_new.then_some(is_failing)
    }
}

/// What one gateway tells the others of the engines.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GatewayReport {
    /// Its open requests by engine.
    pub open: Vec<(EngineKey, u32)>,
    /// How its requests ended at engines of which somebody has told a failure.
    pub suspects: Vec<ReportedOutcomes>,
}

/// A report that still counts.
#[derive(Debug, Clone)]
struct ReceivedReport {
    at: Duration,
    reported_outcomes: GatewayReport,
}

/// Loads of all engines. Times are since the start of the process.
#[derive(Debug, Clone, Default)]
pub struct EngineLoads {
    engines: HashMap<EngineKey, EngineLoad>,
    reports: HashMap<String, ReceivedReport>,
    /// When reports came, oldest first; some have been replaced since.
    arrivals: VecDeque<(Duration, String)>,
    /// Mean time between two reports of one gateway, in milliseconds.
    interval_ms: f64,
}

impl EngineLoads {
    /// What is known of an engine.
    pub fn get(&self, key: EngineKey) -> Option<&EngineLoad> {
        self.engines.get(&key)
    }

    /// What is known of an engine, to be changed; `None` when nothing is.
    pub fn get_mut(&mut self, key: EngineKey) -> Option<&mut EngineLoad> {
        self.engines.get_mut(&key)
    }

    /// What is known of an engine, to be changed.
    pub fn entry(&mut self, key: EngineKey) -> &mut EngineLoad {
        self.engines.entry(key).or_default()
    }

    /// Open requests at an engine, of this gateway and of those that reported lately.
    pub fn open_at(&self, key: EngineKey) -> u32 {
        let load = self.engines.get(&key);
        load.map_or(0, |load| load.own_open + load.reported_open)
    }

    /// How long ago other gateways have reported, in the mean and in milliseconds.
    pub fn report_age_ms(&self) -> f64 {
        self.interval_ms / 2.0
    }

    /// Open requests of other gateways at an engine, by their reports.
    pub fn reported_open_requests(&self, key: EngineKey) -> u32 {
        self.engines.get(&key).map_or(0, |load| load.reported_open)
    }

    /// Open requests of this gateway at an engine.
    pub fn own_open_requests(&self, key: EngineKey) -> u32 {
        self.engines.get(&key).map_or(0, |load| load.own_open)
    }

    /// What this gateway tells the others.
    pub fn report(&self, now: Duration) -> GatewayReport {
        GatewayReport {
            open: self.open(),
            suspects: self.suspects(now),
        }
    }

    /// Open requests of this gateway by engine, the most loaded engines first.
    fn open(&self) -> Vec<(EngineKey, u32)> {
        let loaded = self.engines.iter().filter(|(_, load)| load.own_open > 0);
        let mut open: Vec<(EngineKey, u32)> =
            loaded.map(|(key, load)| (*key, load.own_open)).collect();
        open.sort_unstable_by_key(|(key, own_open)| (std::cmp::Reverse(*own_open), *key));
        open
    }

    /// How this gateway's requests ended at engines of which it or another one tells a failure, those that failed
    /// most first.
    fn suspects(&self, now: Duration) -> Vec<ReportedOutcomes> {
        let known = self.engines.iter();
        let suspected = known.filter(|(_, load)| load.outcomes(now).failed >= MIN_SUSPECT_FAILURES);
        let reported_outcomes =
            suspected.map(|(key, load)| ReportedOutcomes::new(key.0, load.health.outcomes(now)));
        let mut suspects: Vec<ReportedOutcomes> = reported_outcomes
            .filter(|reported_outcomes| reported_outcomes.ended > 0)
            .collect();
        suspects.sort_unstable_by_key(|reported_outcomes| {
            (
                std::cmp::Reverse(reported_outcomes.failed),
                reported_outcomes.engine,
            )
        });
        suspects.truncate(MAX_SUSPECTS);
        suspects
    }

    /// Takes in another gateway's report in place of its last one.
    pub fn on_report(&mut self, gateway: &str, reported_outcomes: GatewayReport, now: Duration) {
        self.expire(now);
        if let Some(last) = self.reports.get(gateway) {
            let interval_ms = now.saturating_sub(last.at).as_secs_f64() * MS_PER_S;
            self.interval_ms += INTERVAL_WEIGHT * (interval_ms - self.interval_ms);
        }
        self.remove_report(gateway);
        for (key, count) in &reported_outcomes.open {
            let load = self.engines.entry(*key).or_default();
            load.reported_open = load.reported_open.saturating_add(*count);
        }
        for suspect in &reported_outcomes.suspects {
            let load = self.engines.entry(EngineKey(suspect.engine)).or_default();
            load.reported_outcomes.add(suspect);
        }
        self.arrivals.push_back((now, gateway.to_owned()));
        let report = ReceivedReport {
            at: now,
            reported_outcomes,
        };
        self.reports.insert(gateway.to_owned(), report);
    }

    /// Lets go of reports that are too old to count.
    pub fn expire(&mut self, now: Duration) {
        while let Some((at, _)) = self.arrivals.front()
            && now.saturating_sub(*at) >= REPORT_LIFETIME
        {
            let Some((at, gateway)) = self.arrivals.pop_front() else {
                return;
            };
            if self
                .reports
                .get(&gateway)
                .is_some_and(|report| report.at == at)
            {
                self.remove_report(&gateway);
            }
        }
    }

    /// Forgets engines that nobody uses and that are not kept.
    pub fn retain(&mut self, is_kept: impl Fn(EngineKey) -> bool) {
        self.engines.retain(|key, load| {
            let is_used =
                load.own_open > 0 || load.reported_open > 0 || !load.reported_outcomes.is_empty();
            is_used || is_kept(*key)
        });
    }

    fn remove_report(&mut self, gateway: &str) {
        let Some(report) = self.reports.remove(gateway) else {
            return;
        };
        for (key, count) in report.reported_outcomes.open {
            if let Some(load) = self.engines.get_mut(&key) {
                load.reported_open = load.reported_open.saturating_sub(count);
            }
        }
        for suspect in &report.reported_outcomes.suspects {
            if let Some(load) = self.engines.get_mut(&EngineKey(suspect.engine)) {
                load.reported_outcomes.subtract(suspect);
            }
        }
    }
}
