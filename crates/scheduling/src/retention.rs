//! Retention leases, which keep contexts in the engines while their runs pause.
//!
//! The value of a lease is the cost of rebuilding the context × the probability that the run returns
//! in time ÷ the memory held (tokens × expected time). Each engine keeps the most valuable leases
//! within a fraction of its cache. A partner with a low latency weight gets longer leases.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use ridgeworks_domain::{MonotonicTime, RunId, ServiceName};

use crate::backends::BackendIndex;
use crate::pause_histogram::PauseHistogram;

const MIN_RETURN_PROBABILITY: f64 = 0.05;
const VALUE_SCALE: f64 = 1.0e6;
const NEUTRAL_MIN_GAIN_RATIO: f64 = 0.25;
const NEUTRAL_LATENCY_WEIGHT: u8 = 50;
/// Decrease of the latency weight that halves the minimum gain of a longer lease.
const WEIGHT_POINTS_PER_HALVING: f64 = 25.0;

/// A context that may get a lease.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Paused run that the context belongs to.
    pub run: RunId,
    /// Engine that holds the context.
    pub backend: BackendIndex,
    /// Cached length, in tokens.
    pub tokens: u64,
    /// Time to prefill the context again, in microseconds.
    pub rebuild_micros: f64,
    /// Maximum number of tokens under lease at the engine.
    pub budget_tokens: u64,
}

/// A change of leases that the engine has to be notified of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetentionChange {
    /// A lease was granted or extended.
    Keep {
        /// Run that the context belongs to.
        run: RunId,
        /// Engine that holds the context.
        backend: BackendIndex,
        /// End of the lease.
        until: MonotonicTime,
    },
    /// A lease ended early to make room; the engine may evict the context.
    End {
        /// Run that the context belongs to.
        run: RunId,
        /// Engine that holds the context.
        backend: BackendIndex,
    },
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    backend: BackendIndex,
    tokens: u64,
    value: u64,
    until: MonotonicTime,
}

#[derive(Debug, Default)]
struct EngineLeases {
    tokens: u64,
    by_value: BTreeSet<(u64, RunId)>,
}

#[derive(Debug, Clone)]
struct Pause {
    since: MonotonicTime,
    tool: ServiceName,
    latency_weight: u8,
}

/// Retention leases, and the distribution of pause lengths for each tool.
#[derive(Debug)]
pub struct Retention {
    max_lease: Duration,
    histograms: HashMap<ServiceName, PauseHistogram>,
    pauses: HashMap<RunId, Pause>,
    /// Latency weights of runs whose last call completed, until they pause or end.
    latency_weights: HashMap<RunId, u8>,
    leases: HashMap<RunId, Lease>,
    by_end: BTreeSet<(MonotonicTime, RunId)>,
    engines: BTreeMap<BackendIndex, EngineLeases>,
}

impl Retention {
    /// Starts without leases; none will be longer than `max_lease`.
    pub fn new(max_lease: Duration) -> Self {
        Self {
            max_lease,
            histograms: HashMap::new(),
            pauses: HashMap::new(),
            latency_weights: HashMap::new(),
            leases: HashMap::new(),
            by_end: BTreeSet::new(),
            engines: BTreeMap::new(),
        }
    }

    /// Records the completion of a run's call, after which the run pauses or ends. `latency_weight`
    /// is the partner's weight of latency against cache use, 0 to 100.
    pub fn call_completed(&mut self, run: RunId, latency_weight: u8) {
        self.latency_weights.insert(run, latency_weight);
    }

    /// Records that a run began to wait for a tool.
    pub fn pause(&mut self, run: RunId, tool: ServiceName, now: MonotonicTime) {
        let weight = self.latency_weights.remove(&run);
        let before = self.pauses.get(&run).map(|pause| pause.latency_weight);
        let pause = Pause {
            since: now,
            tool,
            latency_weight: weight.or(before).unwrap_or(NEUTRAL_LATENCY_WEIGHT),
        };
        self.pauses.insert(run, pause);
    }

    /// Records that a run returned from its pause, and the length of the pause.
    pub fn resume(&mut self, run: RunId, now: MonotonicTime) {
        if let Some(pause) = self.pauses.remove(&run) {
            let histogram = self.histograms.entry(pause.tool).or_default();
            histogram.record(now.since(pause.since));
        }
    }

    /// Records that a run ended, and if it was paused, that it did not return. Drops its lease.
    pub fn end(&mut self, run: RunId) {
        if let Some(pause) = self.pauses.remove(&run) {
            self.histograms
                .entry(pause.tool)
                .or_default()
                .record_without_return();
        }
        self.latency_weights.remove(&run);
        self.drop_lease(run);
    }

    /// Grants a lease to a paused run if its value suffices, ending less valuable leases at the engine
    /// where needed. Replaces the run's current lease.
    pub fn request_lease(
        &mut self,
        candidate: Candidate,
        now: MonotonicTime,
    ) -> Vec<RetentionChange> {
        self.drop_lease(candidate.run);
        let Some(pause) = self.pauses.get(&candidate.run) else {
            return Vec::new();
        };
        let histogram = self.histograms.entry(pause.tool.clone()).or_default();
        let best_lease = histogram.best_lease(self.max_lease, min_gain_ratio(pause.latency_weight));
        if best_lease.return_probability < MIN_RETURN_PROBABILITY || candidate.tokens == 0 {
            return Vec::new();
        }
        let memory = candidate.tokens as f64 * best_lease.hold_seconds;
        let value = candidate.rebuild_micros * best_lease.return_probability / memory;
        let lease = Lease {
            backend: candidate.backend,
            tokens: candidate.tokens,
            value: (value * VALUE_SCALE) as u64,
            until: now + best_lease.length,
        };
        self.admit(candidate, lease)
    }

    /// Removes the lease of a run whose context is in use again or gone. Returns its engine.
    pub fn drop_lease(&mut self, run: RunId) -> Option<BackendIndex> {
        let lease = self.leases.remove(&run)?;
        self.by_end.remove(&(lease.until, run));
        if let Some(engine) = self.engines.get_mut(&lease.backend) {
            engine.tokens -= lease.tokens;
            engine.by_value.remove(&(lease.value, run));
        }
        Some(lease.backend)
    }

    /// Removes expired leases; the engines end them on their own.
    pub fn expire(&mut self, now: MonotonicTime) {
        while let Some((until, run)) = self.by_end.first().copied() {
            if until > now {
                return;
            }
            self.drop_lease(run);
        }
    }

    /// Removes an engine and its leases.
    pub fn forget_engine(&mut self, backend: BackendIndex) {
        let Some(engine) = self.engines.remove(&backend) else {
            return;
        };
        for (_, run) in engine.by_value {
            if let Some(lease) = self.leases.remove(&run) {
                self.by_end.remove(&(lease.until, run));
            }
        }
    }

    /// Total tokens under lease at an engine.
    pub fn leased_tokens(&self, backend: BackendIndex) -> u64 {
        self.engines.get(&backend).map_or(0, |engine| engine.tokens)
    }

    /// Tokens of the run's context under lease at an engine; 0 if its lease is elsewhere.
    pub fn leased_tokens_of(&self, run: RunId, backend: BackendIndex) -> u64 {
        let lease = self.leases.get(&run);
        let here = lease.filter(|lease| lease.backend == backend);
        here.map_or(0, |lease| lease.tokens)
    }

    /// Extends the lease of a run to the maximum from `now` on; `None` if it has no lease.
    pub fn extend(&mut self, run: RunId, now: MonotonicTime) -> Option<RetentionChange> {
        let until = now + self.max_lease;
        let lease = self.leases.get_mut(&run)?;
        self.by_end.remove(&(lease.until, run));
        lease.until = until;
        self.by_end.insert((until, run));
        let backend = lease.backend;
        Some(RetentionChange::Keep {
            run,
            backend,
            until,
        })
    }

    /// Ends the least valuable leases at an engine until at most `max_total_tokens` are under lease.
    pub fn make_room(
        &mut self,
        backend: BackendIndex,
        max_total_tokens: u64,
    ) -> Vec<RetentionChange> {
        let mut changes = Vec::new();
        while self.leased_tokens(backend) > max_total_tokens {
            let engine = self.engines.get(&backend);
            let Some((_, run)) = engine.and_then(|engine| engine.by_value.first().copied()) else {
                break;
            };
            self.drop_lease(run);
            changes.push(RetentionChange::End { run, backend });
        }
        changes
    }

    /// Number of leases.
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Whether there are no leases.
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    fn admit(&mut self, candidate: Candidate, lease: Lease) -> Vec<RetentionChange> {
        let engine = self.engines.entry(candidate.backend).or_default();
        let mut left = candidate.budget_tokens.saturating_sub(engine.tokens);
        let mut displaced = Vec::new();
        for (value, run) in &engine.by_value {
            if left >= lease.tokens || *value >= lease.value {
                break;
            }
            left += self.leases.get(run).map_or(0, |other| other.tokens);
            displaced.push(*run);
        }
        if left < lease.tokens {
            return Vec::new();
        }
        let mut changes = Vec::with_capacity(displaced.len() + 1);
        for run in displaced {
            let backend = lease.backend;
            self.drop_lease(run);
            changes.push(RetentionChange::End { run, backend });
        }
        self.store(candidate.run, lease);
        changes.push(RetentionChange::Keep {
            run: candidate.run,
            backend: lease.backend,
            until: lease.until,
        });
        changes
    }

    fn store(&mut self, run: RunId, lease: Lease) {
        let engine = self.engines.entry(lease.backend).or_default();
        engine.tokens += lease.tokens;
        engine.by_value.insert((lease.value, run));
        self.by_end.insert((lease.until, run));
        self.leases.insert(run, lease);
    }
}

/// Minimum gain of a longer lease relative to the shorter one. Weights above the neutral one are
/// treated as neutral, since leases shorter than the neutral ones do not reliably lower the 95th
/// percentile of latency.
fn min_gain_ratio(latency_weight: u8) -> f64 {
    let points =
        f64::from(latency_weight.min(NEUTRAL_LATENCY_WEIGHT)) - f64::from(NEUTRAL_LATENCY_WEIGHT);
    NEUTRAL_MIN_GAIN_RATIO * (points / WEIGHT_POINTS_PER_HALVING).exp2()
}
