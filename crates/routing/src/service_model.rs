//! What a gateway learns of a service's engines while they serve: how fast they read prompts, how much
//! the requests of a batch slow each other, how long a request takes.
//!
//! Engines of one service are alike but for their speed, so what one of them shows counts for all
//! (`docs/design/decisions.md`, "What is learned of engines"). A gateway that has just started takes over
//! what others tell in their heartbeats.

use std::cell::Cell;
use std::fmt;

use rkyv::{Archive, Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::sample_window::SampleWindow;

/// Prompt tokens read in a millisecond that are assumed before anything is known: the middle, by ratio,
/// of what engines are known to reach (20 to 400).
const DEFAULT_TOKENS_PER_MS: f64 = 90.0;
/// Bounds of a believable reading rate, in tokens a millisecond.
const TOKENS_PER_MS_RANGE: std::ops::RangeInclusive<f64> = 5.0..=1_000.0;
/// Time of a request that is assumed before anything is known, in milliseconds.
const DEFAULT_TURN_MS: f64 = 300.0;
/// Least difference of prompt lengths that tells a reading rate, in tokens.
const MIN_TOKEN_SPREAD: f64 = 100.0;
/// Least difference of batches that tells their growth, in requests.
const MIN_OPEN_SPREAD: f64 = 1.0;
/// Part of a place's time that one more request costs at least, even where none waits: counts of open
/// requests are old by a moment, and the place may be taken by then.
const MIN_SLOT_FRACTION: f64 = 0.25;
/// Weight of the newest sample in a mean.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Weight of the newest slope, or of what another gateway tells.
const SMOOTHING_WEIGHT: f64 = 0.2;
/// Samples from which on a gateway trusts its own over what others tell.
const MIN_OWN_SAMPLES: u32 = 9;
/// Ratio of costs from which on a change is told in the log.
const REPORTED_CHANGE_RATIO: f64 = 1.3;
/// Part of the readings that hardly waited.
const LOW_QUANTILE: f64 = 0.25;
const MEDIAN: f64 = 0.5;
const THOUSAND: f64 = 1_000.0;
/// New samples after which the slopes are worked out anew.
const REFRESH_SAMPLES: u32 = 8;

/// A service's key in tables and in heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceKey(pub u64);

impl fmt::Display for ServiceKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl ServiceKey {
    /// The key of a service's name.
    pub fn of(service: &str) -> Self {
        Self(xxh3_64(service.as_bytes()))
    }
}

/// A mean that follows the newest samples; of the first ones it is the plain mean.
#[derive(Debug, Clone, Copy, Default)]
struct RunningMean {
    value: f64,
    samples: u32,
}

/// A value that follows new ones slowly.
fn smoothed(value: Option<f64>, new: f64) -> f64 {
    value.map_or(new, |value| value + SMOOTHING_WEIGHT * (new - value))
}

impl RunningMean {
    fn push(&mut self, sample: f64) {
        if !sample.is_finite() || sample < 0.0 {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(SAMPLE_WEIGHT);
        self.value += weight * (sample - self.value);
    }

    fn get(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.value)
    }
}

/// What one gateway tells others of a service.
///
/// Whole numbers, so that no message can bring in a value that is no number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ServiceSummary {
    /// Key of the service.
    pub service: u64,
    /// Prompt tokens that its engines read in a second.
    pub tokens_per_s: u32,
    /// What one more request costs another one in its batch, in microseconds.
    pub share_us: u32,
    /// How long a request takes, in microseconds.
    pub turn_us: u32,
}

impl ServiceSummary {
    fn costs(&self) -> ServiceCosts {
        ServiceCosts {
            tokens_per_ms: f64::from(self.tokens_per_s) / THOUSAND,
            share_ms: f64::from(self.share_us) / THOUSAND,
            turn_ms: f64::from(self.turn_us) / THOUSAND,
        }
    }
}

/// A reading of a prompt, from the sending of the request to its first event.
#[derive(Debug, Clone, Copy)]
pub struct PrefillSample {
    /// Tokens that the engine was believed to have to read before.
    pub tokens: u64,
    /// Time to the first event, in milliseconds.
    pub first_ms: f64,
    /// Whether what was believed of the engine's memory is certain enough to learn from.
    pub is_certain: bool,
}

/// An answer that ended well.
#[derive(Debug, Clone, Copy)]
pub struct Turn {
    /// Time at the engine, in milliseconds.
    pub turn_ms: f64,
    /// Time between two events while the engine read no prompt in between, in milliseconds.
    pub step_ms: Option<f64>,
    /// Events.
    pub events: u64,
    /// Requests that were open at the engine when this one was sent.
    pub open: u32,
}

/// What a service's engines take for which work, in milliseconds where nothing else is said.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceCosts {
    /// Prompt tokens read in a millisecond.
    pub tokens_per_ms: f64,
    /// What one more request costs another one in its batch.
    pub share_ms: f64,
    /// How long a request takes.
    pub turn_ms: f64,
}

/// What is known of the engines of one service.
#[derive(Debug, Clone, Default)]
pub struct ServiceModel {
    prefills: SampleWindow,
    steps: SampleWindow,
    events: RunningMean,
    /// Times of whole requests by the requests that were open there.
    turns: SampleWindow,
    /// The shorter ones of these times, in which hardly any waited for a place.
    turn_ms: Option<f64>,
    samples: u32,
    /// Sums of the first readings, for a rate before there is a slope.
    first_tokens: f64,
    first_ms: f64,
    ms_per_token: Option<f64>,
    /// What prompts show that were read in so and so much time, waits included: the rate is no lower.
    min_rate: Option<f64>,
    step_growth: Option<f64>,
    samples_since_refresh: u32,
    received: Option<ServiceCosts>,
    costs: Cell<Option<ServiceCosts>>,
    last_reported: Option<ServiceCosts>,
}

impl ServiceModel {
    /// An engine has read a prompt.
    pub fn on_prefill_sample(&mut self, reading: PrefillSample) {
        let tokens = reading.tokens as f64;
        if self.prefills.len() < MIN_OWN_SAMPLES as usize && reading.first_ms.is_finite() {
            self.first_tokens += tokens;
            self.first_ms += reading.first_ms.max(0.0);
            self.costs.set(None);
        }
        if reading.is_certain {
            self.prefills.push(tokens, reading.first_ms);
            self.on_sample();
        }
    }

    /// A request ended well.
    pub fn on_turn(&mut self, turn: Turn) {
        self.samples = self.samples.saturating_add(1);
        self.turns.push(f64::from(turn.open), turn.turn_ms);
        if let Some(step_ms) = turn.step_ms {
            self.steps.push(f64::from(turn.open), step_ms);
            self.events.push(turn.events as f64);
        }
        self.on_sample();
    }

    /// Another gateway tells what it knows.
    pub fn on_summary(&mut self, summary: ServiceSummary) {
        let costs = summary.costs();
        self.received = Some(match self.received {
            None => costs,
            Some(received) => ServiceCosts {
                tokens_per_ms: smoothed(Some(received.tokens_per_ms), costs.tokens_per_ms),
                share_ms: smoothed(Some(received.share_ms), costs.share_ms),
                turn_ms: smoothed(Some(received.turn_ms), costs.turn_ms),
            },
        });
        self.costs.set(None);
    }

    /// What this gateway tells others; `None` while it has seen too little itself.
    pub fn summary(&self, key: ServiceKey) -> Option<ServiceSummary> {
        if self.samples < MIN_OWN_SAMPLES {
            return None;
        }
        let costs = self.costs();
        // What others told is left out, or gateways would confirm each other for ever.
        let rate = self.own_rate().unwrap_or(costs.tokens_per_ms);
        Some(ServiceSummary {
            service: key.0,
            tokens_per_s: (rate * THOUSAND) as u32,
            share_us: (costs.share_ms * THOUSAND) as u32,
            turn_us: (costs.turn_ms * THOUSAND) as u32,
        })
    }

    /// What work costs at the service's engines.
    pub fn costs(&self) -> ServiceCosts {
        if let Some(costs) = self.costs.get() {
            return costs;
        }
        let costs = ServiceCosts {
            tokens_per_ms: self.tokens_per_ms(),
            share_ms: self.share_ms(),
            turn_ms: self.turn_ms(),
        };
        self.costs.set(Some(costs));
        costs
    }

    /// The costs, where they have changed so much since they were last told that it should be told again.
    pub fn news(&mut self) -> Option<ServiceCosts> {
        let costs = self.costs();
        if self
            .last_reported
            .is_some_and(|last_reported| last_reported.is_similar(&costs))
        {
            return None;
        }
        self.last_reported = Some(costs);
        self.last_reported
    }

    /// Samples that the costs rest on, of this gateway's own requests.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    fn on_sample(&mut self) {
        self.costs.set(None);
        self.samples_since_refresh += 1;
        if self.samples_since_refresh < REFRESH_SAMPLES {
            return;
        }
        self.samples_since_refresh = 0;
        let ms_per_token = self.prefills.slope(LOW_QUANTILE, MIN_TOKEN_SPREAD);
        if let Some(ms_per_token) = ms_per_token {
            // Slopes of nothing but noise count too, or the mean would be too high.
            self.ms_per_token = Some(smoothed(self.ms_per_token, ms_per_token));
        }
        self.turn_ms = self.turns.y_quantile(LOW_QUANTILE);
        self.min_rate = self.prefills.ratio_quantile(1.0 - LOW_QUANTILE);
        if let Some(growth) = self.steps.slope(MEDIAN, MIN_OPEN_SPREAD) {
            self.step_growth = Some(smoothed(self.step_growth, growth.max(0.0)));
        }
    }

    /// The reading rate by this gateway's own requests, in tokens a millisecond.
    fn own_rate(&self) -> Option<f64> {
        let ms_per_token = self.ms_per_token?;
        let rate = 1.0 / ms_per_token.max(1.0 / TOKENS_PER_MS_RANGE.end());
        Some(rate.max(self.min_rate.unwrap_or(0.0)))
    }

    fn tokens_per_ms(&self) -> f64 {
        let received = self.received.map(|received| received.tokens_per_ms);
        let first = (self.first_ms > 0.0 && self.first_tokens > 0.0)
            .then_some(self.first_tokens / self.first_ms);
        let own = self.own_rate();
        // All gateways measure the same engines, so the middle of both is nearer than either.
        let rate = match (own, received) {
            (Some(own), Some(received)) => Some((own * received).sqrt()),
            (own, received) => own.or(received).or(first),
        };
        let rate = rate.unwrap_or(DEFAULT_TOKENS_PER_MS);
        rate.clamp(*TOKENS_PER_MS_RANGE.start(), *TOKENS_PER_MS_RANGE.end())
    }

    fn turn_ms(&self) -> f64 {
        let received = self.received.map(|received| received.turn_ms);
        let own = self.turn_ms.or_else(|| self.turns.y_quantile(LOW_QUANTILE));
        let is_known = self.samples >= MIN_OWN_SAMPLES;
        let turn_ms = if is_known { own } else { received.or(own) };
        turn_ms.unwrap_or(DEFAULT_TURN_MS)
    }

    /// Each request makes every step of the others in its batch longer.
    fn share_ms(&self) -> f64 {
        if self.samples < MIN_OWN_SAMPLES
            && let Some(received) = self.received
        {
            return received.share_ms;
        }
        let events = self.events.get().unwrap_or(0.0);
        let growth_ms = self.step_growth.map_or(0.0, |growth| growth * events);
        growth_ms.min(self.turn_ms())
    }
}

impl ServiceCosts {
    /// Whether no cost differs by more than [`REPORTED_CHANGE_RATIO`].
    fn is_similar(&self, other: &Self) -> bool {
        let is_similar = |one: f64, two: f64| one.max(two) <= one.min(two) * REPORTED_CHANGE_RATIO;
        is_similar(self.tokens_per_ms, other.tokens_per_ms)
            && is_similar(self.share_ms, other.share_ms)
            && is_similar(self.turn_ms, other.turn_ms)
    }

    /// What each place in an engine's queue costs, where it works on `slots` requests at once.
    pub fn queue_position_ms(&self, slots: u32) -> f64 {
        self.turn_ms / f64::from(slots.max(1))
    }

    /// What one more open request costs at an engine that works on `slots` requests at once.
    pub fn open_ms(&self, slots: u32) -> f64 {
        // It is slowed by the others, and they by it.
        (2.0 * self.share_ms).max(self.queue_position_ms(slots) * MIN_SLOT_FRACTION)
    }
}
