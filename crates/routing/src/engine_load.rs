//! Load and cached prompts of the engines as known to one gateway, from its own requests and the reports of
//! other gateways. Sums are updated as reports arrive and expire, so that the cost of a choice does not grow
//! with the number of gateways (`docs/design/platform.md`, "Load of engines in a large fleet").

use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::engine_health::{EngineHealth, OutcomeCounts};
use crate::reported_outcomes::{MAX_SUSPECTS, ReportedOutcomes, ReportedSums};
use crate::request::PromptPart;

/// Age at which reports are dropped.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);
/// Weight of the newest interval between two reports in the moving average.
const INTERVAL_WEIGHT: f64 = 0.05;
/// Weight, in requests, of the prior assumption that an engine fails as many requests as the service's other
/// engines.
pub const PRIOR_OUTCOMES: f64 = 3.0;
/// Fraction of failed requests above which an engine is reported as failing, and below which it is reported as
/// serving again.
const FAILING_FRACTION: f64 = 0.25;
const SERVING_FRACTION: f64 = 0.1;
/// Minimum number of decayed failures, own and reported, that makes an engine a suspect.
const MIN_SUSPECT_FAILURES: f64 = 0.5;
const MS_PER_S: f64 = 1_000.0;
/// Prompt parts remembered for each engine, more than its prompt cache holds. At about 45 bytes each they take
/// up to 23 KB per engine, 4.4 MB for 190 engines: the larger part of a gateway's memory in a large fleet.
const MAX_CACHED_PARTS: usize = 512;

/// Key of one run of an engine, in tables and in reports between gateways.
///
/// State that ends with the run is stored under this key: cached prompt parts, in-flight requests, outcomes.
/// An engine that restarts under its identifier is another run, so late messages about the earlier run do not
/// affect it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EngineKey(pub u64);

impl EngineKey {
    /// The key of an engine that does not report its start time.
    pub fn of(instance: &str) -> Self {
        Self::of_run(instance, 0)
    }

    /// The key of the run that started at this time, in milliseconds since 1970.
    pub fn of_run(instance: &str, born_ms: u64) -> Self {
        Self(xxh3_64_with_seed(instance.as_bytes(), born_ms))
    }
}

/// Prompt parts that an engine is believed to have cached.
#[derive(Debug, Clone, Default)]
pub struct CachedParts {
    tokens: HashMap<u64, u64>,
    order: VecDeque<u64>,
}

impl CachedParts {
    /// Records that a part was prefilled, and evicts the oldest parts over the limit. A session's own part
    /// keeps its hash and grows with each turn.
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

    /// Tokens of a prompt that are not cached: all from the first gap on.
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

    /// Whether all tokens of the part are cached.
    pub fn is_cached(&self, part: PromptPart) -> bool {
        self.cached(part) == part.tokens
    }

    /// Cached tokens of a part; for a part that has grown, those of its earlier length.
    pub fn cached(&self, part: PromptPart) -> u64 {
        let cached = self.tokens.get(&part.hash).copied().unwrap_or(0);
        cached.min(part.tokens)
    }
}

/// Tokens of a whole prompt. The counts come from request headers, so the sum saturates.
pub fn prompt_tokens(parts: &[PromptPart]) -> u64 {
    parts
        .iter()
        .fold(0, |sum, part| sum.saturating_add(part.tokens))
}

/// State of one engine as known to this gateway.
#[derive(Debug, Clone, Default)]
pub struct EngineLoad {
    /// In-flight requests of this gateway.
    pub own_in_flight: u32,
    /// Prompt tokens of this gateway's in-flight requests that the engine has yet to prefill.
    pub pending_prefill_tokens: u64,
    /// In-flight requests of other gateways, as reported.
    reported_in_flight: u32,
    /// Prompt parts that the engine is believed to have cached.
    pub parts: CachedParts,
    /// Health as seen by this gateway.
    pub health: EngineHealth,
    /// Outcomes at suspects as seen by other gateways.
    reported_outcomes: ReportedSums,
    /// The state that [`EngineLoad::update_failure_state`] returned last.
    is_failing: bool,
}

impl EngineLoad {
    /// Recent outcomes of this gateway's requests and of the reports.
    pub fn outcomes(&self, now: Duration) -> OutcomeCounts {
        self.health
            .outcomes(now)
            .plus(self.reported_outcomes.counts())
    }

    /// Fraction of requests that failed. The prior is `typical_failed_fraction` for the reports, and the fraction
    /// by the reports for this gateway's own requests: an engine may fail for some clients only.
    pub fn failed_fraction(&self, typical_failed_fraction: f64, now: Duration) -> f64 {
        let reported_fraction = self
            .reported_outcomes
            .counts()
            .failed_fraction(PRIOR_OUTCOMES, typical_failed_fraction);
        let own_outcomes = self.health.outcomes(now);
        own_outcomes.failed_fraction(PRIOR_OUTCOMES, reported_fraction)
    }

    /// The new state if the engine has started or ceased to fail requests. The two thresholds give
    /// hysteresis, so that the state does not flip with each request.
    pub fn update_failure_state(&mut self, now: Duration) -> Option<bool> {
        let fraction = self.failed_fraction(0.0, now);
        let limit = if self.is_failing {
            SERVING_FRACTION
        } else {
            FAILING_FRACTION
        };
        let is_failing = fraction > limit;
        let is_new = is_failing != self.is_failing;
        self.is_failing = is_failing;
        is_new.then_some(is_failing)
    }
}

/// What one gateway reports about the engines to the others.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GatewayReport {
    /// In-flight requests of the gateway by engine.
    pub in_flight: Vec<(EngineKey, u32)>,
    /// Outcomes of the gateway's requests at suspects.
    pub suspects: Vec<ReportedOutcomes>,
}

/// The latest report of a gateway.
#[derive(Debug, Clone)]
struct ReceivedReport {
    at: Duration,
    report: GatewayReport,
}

/// Loads of all engines. Times are since the start of the process.
#[derive(Debug, Clone, Default)]
pub struct EngineLoads {
    engines: HashMap<EngineKey, EngineLoad>,
    reports: HashMap<String, ReceivedReport>,
    /// Arrival times of reports, oldest first; some reports have been replaced since.
    arrivals: VecDeque<(Duration, String)>,
    /// Moving average of the interval between two reports of a gateway, in milliseconds.
    interval_ms: f64,
}

impl EngineLoads {
    pub fn get(&self, key: EngineKey) -> Option<&EngineLoad> {
        self.engines.get(&key)
    }

    pub fn get_mut(&mut self, key: EngineKey) -> Option<&mut EngineLoad> {
        self.engines.get_mut(&key)
    }

    /// The state of an engine, created if it is new.
    pub fn entry(&mut self, key: EngineKey) -> &mut EngineLoad {
        self.engines.entry(key).or_default()
    }

    /// In-flight requests of this gateway and of the reports.
    pub fn in_flight_at(&self, key: EngineKey) -> u32 {
        let load = self.engines.get(&key);
        load.map_or(0, |load| load.own_in_flight + load.reported_in_flight)
    }

    /// Mean age of the reports, in milliseconds.
    pub fn report_age_ms(&self) -> f64 {
        self.interval_ms / 2.0
    }

    /// In-flight requests of other gateways, as reported.
    pub fn reported_in_flight_at(&self, key: EngineKey) -> u32 {
        self.engines
            .get(&key)
            .map_or(0, |load| load.reported_in_flight)
    }

    /// In-flight requests of this gateway.
    pub fn own_in_flight_at(&self, key: EngineKey) -> u32 {
        self.engines.get(&key).map_or(0, |load| load.own_in_flight)
    }

    /// The report for the other gateways.
    pub fn report(&self, now: Duration) -> GatewayReport {
        GatewayReport {
            in_flight: self.in_flight(),
            suspects: self.suspects(now),
        }
    }

    /// In-flight requests of this gateway by engine, the most loaded engines first.
    fn in_flight(&self) -> Vec<(EngineKey, u32)> {
        let loaded = self
            .engines
            .iter()
            .filter(|(_, load)| load.own_in_flight > 0);
        let mut in_flight: Vec<(EngineKey, u32)> = loaded
            .map(|(key, load)| (*key, load.own_in_flight))
            .collect();
        in_flight.sort_unstable_by_key(|(key, count)| (std::cmp::Reverse(*count), *key));
        in_flight
    }

    /// Outcomes of this gateway's requests at suspects, those with the most failures first.
    fn suspects(&self, now: Duration) -> Vec<ReportedOutcomes> {
        let known = self.engines.iter();
        let suspected = known.filter(|(_, load)| load.outcomes(now).failed >= MIN_SUSPECT_FAILURES);
        let outcomes =
            suspected.map(|(key, load)| ReportedOutcomes::new(key.0, load.health.outcomes(now)));
        let mut suspects: Vec<ReportedOutcomes> =
            outcomes.filter(|outcomes| outcomes.ended > 0).collect();
        suspects
            .sort_unstable_by_key(|outcomes| (std::cmp::Reverse(outcomes.failed), outcomes.engine));
        suspects.truncate(MAX_SUSPECTS);
        suspects
    }

    /// Replaces a gateway's report.
    pub fn on_report(&mut self, gateway: &str, report: GatewayReport, now: Duration) {
        self.expire(now);
        if let Some(last) = self.reports.get(gateway) {
            let interval_ms = now.saturating_sub(last.at).as_secs_f64() * MS_PER_S;
            self.interval_ms += INTERVAL_WEIGHT * (interval_ms - self.interval_ms);
        }
        self.remove_report(gateway);
        for (key, count) in &report.in_flight {
            let load = self.engines.entry(*key).or_default();
            load.reported_in_flight = load.reported_in_flight.saturating_add(*count);
        }
        for suspect in &report.suspects {
            let load = self.engines.entry(EngineKey(suspect.engine)).or_default();
            load.reported_outcomes.add(suspect);
        }
        self.arrivals.push_back((now, gateway.to_owned()));
        let received = ReceivedReport { at: now, report };
        self.reports.insert(gateway.to_owned(), received);
    }

    /// Drops reports that are too old.
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

    /// Drops engines without load or reports that `is_kept` does not name.
    pub fn retain(&mut self, is_kept: impl Fn(EngineKey) -> bool) {
        self.engines.retain(|key, load| {
            let is_used = load.own_in_flight > 0
                || load.reported_in_flight > 0
                || !load.reported_outcomes.is_empty();
            is_used || is_kept(*key)
        });
    }

    fn remove_report(&mut self, gateway: &str) {
        let Some(report) = self.reports.remove(gateway) else {
            return;
        };
        for (key, count) in report.report.in_flight {
            if let Some(load) = self.engines.get_mut(&key) {
                load.reported_in_flight = load.reported_in_flight.saturating_sub(count);
            }
        }
        for suspect in &report.report.suspects {
            if let Some(load) = self.engines.get_mut(&EngineKey(suspect.engine)) {
                load.reported_outcomes.subtract(suspect);
            }
        }
    }
}
