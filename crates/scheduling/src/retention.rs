//! Which contexts are kept in the engines while their runs pause.
//!
//! The value of a lease is the cost to rebuild the context × the chance that the run returns in
//! time ÷ the memory held (tokens × expected time). Each engine keeps the most valuable ones within
//! a part of its cache. A partner that weighs wasted cache more than latency gets longer leases.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use ridgeworks_domain::{MonotonicTime, RunId, ServiceName};

use crate::backends::BackendIndex;
use crate::pause_lengths::PauseLengths;

const MIN_CHANCE: f64 = 0.05;
const VALUE_SCALE: f64 = 1.0e6;
const NEUTRAL_HOLD_PRICE: f64 = 0.25;
const NEUTRAL_WEIGHT: u8 = 50;
/// Points of weight that halve the price of holding.
const HALVING_WEIGHT: f64 = 25.0;

/// A context that may be kept.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// The run.
    pub run: RunId,
    /// The engine that holds the context.
    pub backend: BackendIndex,
    /// Tokens held.
    pub tokens: u64,
    /// Time to rebuild the context, in microseconds.
    pub rebuild_micros: f64,
    /// Most tokens that the engine may hold under leases.
    pub budget_tokens: u64,
}

/// What follows from a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetentionChange {
    /// Keep the context until then.
    Keep {
        /// The run.
        run: RunId,
        /// The engine.
        backend: BackendIndex,
        /// End of the lease.
        until: MonotonicTime,
    },
    /// End a lease in favour of a more valuable one; the engine may evict the context.
    End {
        /// The run.
        run: RunId,
        /// The engine.
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

/// Leases on contexts and what is learned of pauses.
#[derive(Debug)]
pub struct Retention {
    max_lease: Duration,
    lengths: HashMap<ServiceName, PauseLengths>,
    pauses: HashMap<RunId, Pause>,
    /// Weights of runs whose last call was answered, until they pause or end.
    latency_weights: HashMap<RunId, u8>,
    leases: HashMap<RunId, Lease>,
    by_end: BTreeSet<(MonotonicTime, RunId)>,
    engines: BTreeMap<BackendIndex, EngineLeases>,
}

impl Retention {
    /// No leases; none will be longer than `max_lease`.
    pub fn new(max_lease: Duration) -> Self {
        Self {
            max_lease,
            lengths: HashMap::new(),
            pauses: HashMap::new(),
            latency_weights: HashMap::new(),
            leases: HashMap::new(),
            by_end: BTreeSet::new(),
            engines: BTreeMap::new(),
        }
    }

    /// A call of a run was answered; a pause or the run's end follows. `latency_weight` is its
    /// partner's weight of latency against wasted cache, 0 to 100.
    pub fn answered(&mut self, run: RunId, latency_weight: u8) {
        self.latency_weights.insert(run, latency_weight);
    }

    /// A run begins to wait for a tool.
    pub fn pause(&mut self, run: RunId, tool: ServiceName, now: MonotonicTime) {
        let weight = self.latency_weights.remove(&run);
        let before = self.pauses.get(&run).map(|pause| pause.latency_weight);
        let pause = Pause {
            since: now,
            tool,
            latency_weight: weight.or(before).unwrap_or(NEUTRAL_WEIGHT),
        };
        self.pauses.insert(run, pause);
    }

    /// A run is back; learns the length of its pause.
    pub fn resume(&mut self, run: RunId, now: MonotonicTime) {
        if let Some(pause) = self.pauses.remove(&run) {
            let lengths = self.lengths.entry(pause.tool).or_default();
            lengths.record(now.since(pause.since));
        }
    }

    /// A run ended; learns that a pause, if it was in one, had no return.
    pub fn end(&mut self, run: RunId) {
        if let Some(pause) = self.pauses.remove(&run) {
            self.lengths.entry(pause.tool).or_default().record_never();
        }
        self.latency_weights.remove(&run);
        self.drop_lease(run);
    }

    /// Decides on a lease for a run in a pause.
    pub fn decide(&mut self, candidate: Candidate, now: MonotonicTime) -> Vec<RetentionChange> {
        self.drop_lease(candidate.run);
        let Some(pause) = self.pauses.get(&candidate.run) else {
            return Vec::new();
        };
        let lengths = self.lengths.entry(pause.tool.clone()).or_default();
        let outlook = lengths.outlook(self.max_lease, hold_price(pause.latency_weight));
        if outlook.chance < MIN_CHANCE || candidate.tokens == 0 {
            return Vec::new();
        }
        let memory = candidate.tokens as f64 * outlook.hold_seconds;
        let value = candidate.rebuild_micros * outlook.chance / memory;
        let lease = Lease {
            backend: candidate.backend,
            tokens: candidate.tokens,
            value: (value * VALUE_SCALE) as u64,
            until: now + outlook.length,
        };
        self.admit(candidate, lease)
    }

    /// Ends the lease of a run whose context is in use again or gone. Returns where it was.
    pub fn drop_lease(&mut self, run: RunId) -> Option<BackendIndex> {
        let lease = self.leases.remove(&run)?;
        self.by_end.remove(&(lease.until, run));
        if let Some(engine) = self.engines.get_mut(&lease.backend) {
            engine.tokens -= lease.tokens;
            engine.by_value.remove(&(lease.value, run));
        }
        Some(lease.backend)
    }

    /// Ends leases whose time is over; the engines end them by themselves.
    pub fn expire(&mut self, now: MonotonicTime) {
        while let Some((until, run)) = self.by_end.first().copied() {
            if until > now {
                return;
            }
            self.drop_lease(run);
        }
    }

    /// Forgets an engine.
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

    /// Tokens under lease at an engine.
    pub fn leased_tokens(&self, backend: BackendIndex) -> u64 {
        self.engines.get(&backend).map_or(0, |engine| engine.tokens)
    }

    /// Tokens of the run under lease at an engine.
    pub fn leased_tokens_of(&self, run: RunId, backend: BackendIndex) -> u64 {
        let lease = self.leases.get(&run);
        let here = lease.filter(|lease| lease.backend == backend);
        here.map_or(0, |lease| lease.tokens)
    }

    /// Prolongs the lease of a run that is back and has to wait for a slot.
    pub fn prolong(&mut self, run: RunId, now: MonotonicTime) -> Option<RetentionChange> {
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

    /// Ends the least valuable leases at an engine until at most `most_tokens` are under lease.
    pub fn make_room(&mut self, backend: BackendIndex, most_tokens: u64) -> Vec<RetentionChange> {
        let mut changes = Vec::new();
        while self.leased_tokens(backend) > most_tokens {
            let engine = self.engines.get(&backend);
            let Some((_, run)) = engine.and_then(|engine| engine.by_value.first().copied()) else {
                break;
            };
            self.drop_lease(run);
            changes.push(RetentionChange::End { run, backend });
        }
        changes
    }

    /// Contexts under lease.
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Whether no context is under lease.
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

/// What holding costs beside the returns that it brings. Weights above the neutral one change nothing:
/// shorter leases lower the 95th percentile on some workloads and raise it on others.
fn hold_price(latency_weight: u8) -> f64 {
    let points = f64::from(latency_weight.min(NEUTRAL_WEIGHT)) - f64::from(NEUTRAL_WEIGHT);
    NEUTRAL_HOLD_PRICE * (points / HALVING_WEIGHT).exp2()
}
