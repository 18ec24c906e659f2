//! Estimates the costs of work at a service's engines from this gateway's own requests: the rate of prefill,
//! the slowdown of a batch by each request in it, and the duration of a request.
//!
//! Engines of one service differ only in speed, so samples of all engines are pooled
//! (`docs/design/decisions.md`, "What is learned of engines"). A gateway that has just started uses the
//! summaries in other gateways' heartbeats.

use std::cell::Cell;
use std::fmt;

use rkyv::{Archive, Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::sample_window::SampleWindow;

/// Rate of prefill assumed before there are samples, in tokens per millisecond: the geometric mean of the
/// range of known engines (20 to 400).
const DEFAULT_TOKENS_PER_MS: f64 = 90.0;
/// Range of plausible rates of prefill, in tokens per millisecond.
const TOKENS_PER_MS_RANGE: std::ops::RangeInclusive<f64> = 5.0..=1_000.0;
/// Duration of a request assumed before there are samples, in milliseconds.
const DEFAULT_REQUEST_MS: f64 = 300.0;
/// Minimum spread of the prompt lengths in the samples from which the rate of prefill is estimated, in tokens.
const MIN_TOKEN_SPREAD: f64 = 100.0;
/// Minimum spread of the in-flight request counts in the samples from which the slowdown of a batch is
/// estimated.
const MIN_IN_FLIGHT_SPREAD: f64 = 1.0;
/// Minimum cost of one more in-flight request, as a fraction of a slot's time. It applies even where slots are
/// free, since the counts of in-flight requests lag and the slot may be taken by then.
const MIN_SLOT_FRACTION: f64 = 0.25;
/// Weight of the newest sample in a running mean.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Weight of the newest slope or received summary in an exponential average.
const SMOOTHING_WEIGHT: f64 = 0.2;
/// Minimum number of samples at which a gateway's own estimates replace those of other gateways.
const MIN_OWN_SAMPLES: u32 = 9;
/// Ratio between costs above which a change is logged.
const REPORTED_CHANGE_RATIO: f64 = 1.3;
/// Quantile used for times that waits only lengthen: it reflects requests that hardly waited. For rates it is
/// `1 - LOW_QUANTILE`.
const LOW_QUANTILE: f64 = 0.25;
const MEDIAN: f64 = 0.5;
const THOUSAND: f64 = 1_000.0;
/// New samples after which the slopes are computed again.
const REFRESH_SAMPLES: u32 = 8;

/// Key of a service in tables and in heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceKey(pub u64);

impl fmt::Display for ServiceKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl ServiceKey {
    pub fn of(service: &str) -> Self {
        Self(xxh3_64(service.as_bytes()))
    }
}

/// Running mean that becomes an exponential average once `1 / SAMPLE_WEIGHT` samples are in.
#[derive(Debug, Clone, Copy, Default)]
struct RunningMean {
    value: f64,
    samples: u32,
}

/// Exponential average of a value and a new one.
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

/// Estimates of a service's costs, as sent to other gateways.
///
/// Integers, so that no message can bring in a value that is not a number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ServiceSummary {
    /// Value of the service's [`ServiceKey`].
    pub service: u64,
    /// Rate of prefill in tokens per second.
    pub tokens_per_s: u32,
    /// Slowdown of each other request in the batch by one more request, in microseconds.
    pub share_us: u32,
    /// Duration of a request, in microseconds.
    pub turn_us: u32,
}

impl ServiceSummary {
    fn costs(&self) -> ServiceCosts {
        ServiceCosts {
            prefill_tokens_per_ms: f64::from(self.tokens_per_s) / THOUSAND,
            slowdown_ms: f64::from(self.share_us) / THOUSAND,
            request_ms: f64::from(self.turn_us) / THOUSAND,
        }
    }
}

/// A prefill, measured from the sending of the request to its first event.
#[derive(Debug, Clone, Copy)]
pub struct PrefillSample {
    /// Tokens that the engine was believed to lack in its prompt cache.
    pub tokens: u64,
    /// Time to the first event, in milliseconds.
    pub first_ms: f64,
    /// Whether the belief about the prompt cache is certain enough for an estimate.
    pub is_certain: bool,
}

/// Measurements of a request that was answered.
#[derive(Debug, Clone, Copy)]
pub struct RequestSample {
    /// Time from the sending of the request to the end of the answer, in milliseconds.
    pub request_ms: f64,
    /// Time between two events without a prefill in between, in milliseconds.
    pub step_ms: Option<f64>,
    pub events: u64,
    /// In-flight requests at the engine when this one was sent.
    pub in_flight: u32,
}

/// Costs of work at a service's engines, in milliseconds unless stated otherwise.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceCosts {
    /// Rate of prefill in tokens per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Slowdown of each other request in the batch by one more request.
    pub slowdown_ms: f64,
    /// Duration of a request.
    pub request_ms: f64,
}

/// Samples and estimates for the engines of one service.
#[derive(Debug, Clone, Default)]
pub struct ServiceModel {
    prefills: SampleWindow,
    steps: SampleWindow,
    events: RunningMean,
    /// Durations of requests by the requests that were in flight.
    durations: SampleWindow,
    /// A low quantile of these durations, of requests that hardly waited for a slot.
    request_ms: Option<f64>,
    samples: u32,
    /// Sums of tokens and of times over the first prefills, for a rate until there are enough samples for a
    /// slope.
    first_tokens: f64,
    first_ms: f64,
    ms_per_token: Option<f64>,
    /// Lower bound of the rate: prefilled tokens over the time to the first event, waits included.
    min_rate: Option<f64>,
    step_growth: Option<f64>,
    samples_since_refresh: u32,
    received: Option<ServiceCosts>,
    costs: Cell<Option<ServiceCosts>>,
    last_reported: Option<ServiceCosts>,
}

impl ServiceModel {
    /// An engine has prefilled a prompt.
    pub fn on_prefill_sample(&mut self, sample: PrefillSample) {
        let tokens = sample.tokens as f64;
        if self.prefills.len() < MIN_OWN_SAMPLES as usize && sample.first_ms.is_finite() {
            self.first_tokens += tokens;
            self.first_ms += sample.first_ms.max(0.0);
            self.costs.set(None);
        }
        if sample.is_certain {
            self.prefills.push(tokens, sample.first_ms);
            self.on_sample();
        }
    }

    /// A request was answered.
    pub fn on_request_sample(&mut self, sample: RequestSample) {
        self.samples = self.samples.saturating_add(1);
        self.durations
            .push(f64::from(sample.in_flight), sample.request_ms);
        if let Some(step_ms) = sample.step_ms {
            self.steps.push(f64::from(sample.in_flight), step_ms);
            self.events.push(sample.events as f64);
        }
        self.on_sample();
    }

    /// Takes a summary of another gateway.
    pub fn on_summary(&mut self, summary: ServiceSummary) {
        let costs = summary.costs();
        self.received = Some(match self.received {
            None => costs,
            Some(received) => ServiceCosts {
                prefill_tokens_per_ms: smoothed(
                    Some(received.prefill_tokens_per_ms),
                    costs.prefill_tokens_per_ms,
                ),
                slowdown_ms: smoothed(Some(received.slowdown_ms), costs.slowdown_ms),
                request_ms: smoothed(Some(received.request_ms), costs.request_ms),
            },
        });
        self.costs.set(None);
    }

    /// The summary for other gateways; `None` while there are too few samples.
    pub fn summary(&self, key: ServiceKey) -> Option<ServiceSummary> {
        if self.samples < MIN_OWN_SAMPLES {
            return None;
        }
        let costs = self.costs();
        // Only this gateway's own rate where it is known: if received rates were included, gateways would
        // reinforce each other's estimates forever.
        let rate = self.own_rate().unwrap_or(costs.prefill_tokens_per_ms);
        Some(ServiceSummary {
            service: key.0,
            tokens_per_s: (rate * THOUSAND) as u32,
            share_us: (costs.slowdown_ms * THOUSAND) as u32,
            turn_us: (costs.request_ms * THOUSAND) as u32,
        })
    }

    /// The current estimates.
    pub fn costs(&self) -> ServiceCosts {
        if let Some(costs) = self.costs.get() {
            return costs;
        }
        let costs = ServiceCosts {
            prefill_tokens_per_ms: self.prefill_tokens_per_ms(),
            slowdown_ms: self.slowdown_ms(),
            request_ms: self.request_ms(),
        };
        self.costs.set(Some(costs));
        costs
    }

    /// The costs if one of them differs by more than `REPORTED_CHANGE_RATIO` from those last returned, or if
    /// none were returned before; otherwise `None`.
    pub fn changed_costs(&mut self) -> Option<ServiceCosts> {
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

    /// Number of this gateway's own requests that the costs are based on.
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
            // Slopes that are negative from noise count too; without them the mean would be biased upwards.
            self.ms_per_token = Some(smoothed(self.ms_per_token, ms_per_token));
        }
        self.request_ms = self.durations.y_quantile(LOW_QUANTILE);
        self.min_rate = self.prefills.ratio_quantile(1.0 - LOW_QUANTILE);
        if let Some(growth) = self.steps.slope(MEDIAN, MIN_IN_FLIGHT_SPREAD) {
            self.step_growth = Some(smoothed(self.step_growth, growth.max(0.0)));
        }
    }

    /// Rate of prefill by this gateway's own requests, in tokens per millisecond.
    fn own_rate(&self) -> Option<f64> {
        let ms_per_token = self.ms_per_token?;
        let rate = 1.0 / ms_per_token.max(1.0 / TOKENS_PER_MS_RANGE.end());
        Some(rate.max(self.min_rate.unwrap_or(0.0)))
    }

    fn prefill_tokens_per_ms(&self) -> f64 {
        let received = self.received.map(|received| received.prefill_tokens_per_ms);
        let first = (self.first_ms > 0.0 && self.first_tokens > 0.0)
            .then_some(self.first_tokens / self.first_ms);
        let own = self.own_rate();
        // Both values estimate the rate of the same engines, so their geometric mean is usually closer to the
        // true rate than either.
        let rate = match (own, received) {
            (Some(own), Some(received)) => Some((own * received).sqrt()),
            (own, received) => own.or(received).or(first),
        };
        let rate = rate.unwrap_or(DEFAULT_TOKENS_PER_MS);
        rate.clamp(*TOKENS_PER_MS_RANGE.start(), *TOKENS_PER_MS_RANGE.end())
    }

    fn request_ms(&self) -> f64 {
        let received = self.received.map(|received| received.request_ms);
        let own = self
            .request_ms
            .or_else(|| self.durations.y_quantile(LOW_QUANTILE));
        let is_known = self.samples >= MIN_OWN_SAMPLES;
        let request_ms = if is_known { own } else { received.or(own) };
        request_ms.unwrap_or(DEFAULT_REQUEST_MS)
    }

    /// Each request in a batch makes every decode step of the others longer.
    fn slowdown_ms(&self) -> f64 {
        if self.samples < MIN_OWN_SAMPLES
            && let Some(received) = self.received
        {
            return received.slowdown_ms;
        }
        let events = self.events.get().unwrap_or(0.0);
        let growth_ms = self.step_growth.map_or(0.0, |growth| growth * events);
        growth_ms.min(self.request_ms())
    }
}

impl ServiceCosts {
    /// Whether no cost differs by more than [`REPORTED_CHANGE_RATIO`].
    fn is_similar(&self, other: &Self) -> bool {
        let is_similar = |one: f64, two: f64| one.max(two) <= one.min(two) * REPORTED_CHANGE_RATIO;
        is_similar(self.prefill_tokens_per_ms, other.prefill_tokens_per_ms)
            && is_similar(self.slowdown_ms, other.slowdown_ms)
            && is_similar(self.request_ms, other.request_ms)
    }

    /// Cost of each position in the queue of an engine with this many slots.
    pub fn queue_position_ms(&self, slots: u32) -> f64 {
        self.request_ms / f64::from(slots.max(1))
    }

    /// Cost of one more in-flight request at an engine with this many slots.
    pub fn added_request_ms(&self, slots: u32) -> f64 {
        // The request is slowed by the others and slows them as much.
        (2.0 * self.slowdown_ms).max(self.queue_position_ms(slots) * MIN_SLOT_FRACTION)
    }
}
