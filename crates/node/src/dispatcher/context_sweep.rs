//! Finds contexts of runs that ended without this dispatcher's knowledge.
//!
//! This module does no I/O: it takes engine listings and replica answers, and returns queries and
//! contexts to release. Its state is not durable; a new dispatcher rebuilds it from the next
//! listings. Costs are in `docs/design/sweeps.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ridgeworks_domain::run_id::MAJORITY_OF_REPLICAS;
use ridgeworks_domain::{BackendName, MonotonicTime, NodeId, RunId};

/// Minimum time between a query about a run, or a call of that run, and the next query about it.
pub const QUERY_INTERVAL: Duration = Duration::from_secs(2);
/// Time after a run is first listed during which it does not count as ended if its replicas do not
/// know it: it may still be opening.
pub const OPENING_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of runs in one query; 16 bytes each.
pub const MAX_RUNS_PER_QUERY: usize = 512;
/// Maximum number of runs queried in one sweep step.
pub const MAX_RUNS_PER_STEP: usize = 32_768;
/// Maximum number of runs whose contexts are released in one sweep step.
pub const MAX_RELEASES_PER_STEP: usize = 256;

/// Number of replicas to which a run must be unknown to count as ended, if none has reported its
/// committed end.
const UNKNOWN_QUORUM: usize = MAJORITY_OF_REPLICAS;

/// A query to one replica: which of these runs have ended or are unknown to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaQuery {
    /// Node of the queried replica.
    pub to: NodeId,
    /// At most [`MAX_RUNS_PER_QUERY`] runs.
    pub runs: Vec<RunId>,
}

/// An ended run and the engines that still hold its context.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedContext {
    /// The ended run.
    pub run: RunId,
    /// Engines at which the context must be released.
    pub backends: Vec<BackendName>,
}

#[derive(Debug)]
struct TrackedRun {
    backends: BTreeSet<BackendName>,
    first_seen: MonotonicTime,
    next_query_at: MonotonicTime,
    queries_sent: usize,
    unknown_to: BTreeSet<NodeId>,
    ended: bool,
}

/// Tracks the runs whose contexts the engines of one service hold, and which of them have ended.
#[derive(Debug, Default)]
pub struct ContextSweep {
    listed: BTreeMap<BackendName, BTreeSet<RunId>>,
    runs: BTreeMap<RunId, TrackedRun>,
    last_queried: Option<RunId>,
}

impl ContextSweep {
    /// Replaces the recorded contents of an engine by a complete listing.
    pub fn record_listing(
        &mut self,
        now: MonotonicTime,
        backend: &BackendName,
        runs: impl Iterator<Item = RunId>,
    ) {
        let runs: BTreeSet<RunId> = runs.collect();
        let before = self.listed.remove(backend).unwrap_or_default();
        for run in before.difference(&runs) {
            self.forget(*run, backend);
        }
        for run in &runs {
            let tracked = self
                .runs
                .entry(*run)
                .or_insert_with(|| TrackedRun::new(now));
            tracked.backends.insert(backend.clone());
        }
        self.listed.insert(backend.clone(), runs);
    }

    /// Removes an engine that is no longer listed.
    pub fn backend_gone(&mut self, backend: &BackendName) {
        for run in self.listed.remove(backend).unwrap_or_default() {
            self.forget(run, backend);
        }
    }

    /// Records a call of the run, which defers the next query about it by [`QUERY_INTERVAL`].
    pub fn mark_active(&mut self, now: MonotonicTime, run: RunId) {
        if let Some(tracked) = self.runs.get_mut(&run) {
            tracked.next_query_at = now + QUERY_INTERVAL;
        }
    }

    /// Returns the queries that are due. A run's replicas are queried in rotation, because one that
    /// is down or behind gives no answer.
    pub fn queries(
        &mut self,
        now: MonotonicTime,
        replicas_of: impl Fn(RunId) -> Vec<NodeId>,
    ) -> Vec<ReplicaQuery> {
        let mut by_replica: BTreeMap<NodeId, Vec<RunId>> = BTreeMap::new();
        for run in self.due(now) {
            let Some(tracked) = self.runs.get_mut(&run) else {
                continue;
            };
            tracked.next_query_at = now + QUERY_INTERVAL;
            let replicas = replicas_of(run);
            let turn = tracked.queries_sent.checked_rem(replicas.len());
            let Some(replica) = turn.and_then(|turn| replicas.get(turn)) else {
                continue;
            };
            tracked.queries_sent += 1;
            by_replica.entry(*replica).or_default().push(run);
        }
        let split = by_replica.into_iter().flat_map(|(to, runs)| {
            let parts: Vec<Vec<RunId>> = runs
                .chunks(MAX_RUNS_PER_QUERY)
                .map(<[RunId]>::to_vec)
                .collect();
            parts.into_iter().map(move |runs| ReplicaQuery { to, runs })
        });
        split.collect()
    }

    /// Records a replica's answer: runs whose end is committed there, and runs unknown to it. One
    /// replica suffices for a committed end. Otherwise a run counts as ended when an answer that it
    /// is unknown arrives at least [`OPENING_TIMEOUT`] after the run was first listed, and a
    /// majority of its replicas have given such an answer at any time since the first listing.
    pub fn record_answer(
        &mut self,
        now: MonotonicTime,
        replica: NodeId,
        ended: &[RunId],
        unknown: &[RunId],
    ) {
        for run in ended {
            if let Some(tracked) = self.runs.get_mut(run) {
                tracked.ended = true;
            }
        }
        for run in unknown {
            let Some(tracked) = self.runs.get_mut(run) else {
                continue;
            };
            tracked.unknown_to.insert(replica);
            let old = now.since(tracked.first_seen) >= OPENING_TIMEOUT;
            tracked.ended |= old && tracked.unknown_to.len() >= UNKNOWN_QUORUM;
        }
    }

    /// Removes and returns up to [`MAX_RELEASES_PER_STEP`] ended runs. A run that an engine lists
    /// again is tracked anew.
    pub fn take_ended(&mut self) -> Vec<EndedContext> {
        let ended = self.runs.iter().filter(|(_, tracked)| tracked.ended);
        let ended: Vec<EndedContext> = ended
            .take(MAX_RELEASES_PER_STEP)
            .map(|(run, tracked)| EndedContext {
                run: *run,
                backends: tracked.backends.iter().cloned().collect(),
            })
            .collect();
        for context in &ended {
            self.runs.remove(&context.run);
            for backend in &context.backends {
                if let Some(runs) = self.listed.get_mut(backend) {
                    runs.remove(&context.run);
                }
            }
        }
        ended
    }

    /// Total number of contexts, counted once for each engine that holds one.
    pub fn context_count(&self) -> usize {
        self.listed.values().map(BTreeSet::len).sum()
    }

    /// Runs due for a query. If there are too many for one step, continues after the last run of
    /// the previous step, so that no run is starved.
    fn due(&mut self, now: MonotonicTime) -> Vec<RunId> {
        let last = self.last_queried;
        let is_due = |tracked: &TrackedRun| !tracked.ended && now >= tracked.next_query_at;
        let due = self.runs.iter().filter(|(_, tracked)| is_due(tracked));
        let mut due: Vec<RunId> = due.map(|(run, _)| *run).collect();
        if due.len() > MAX_RUNS_PER_STEP {
            let start = due.partition_point(|run| Some(*run) <= last);
            due.rotate_left(start);
            due.truncate(MAX_RUNS_PER_STEP);
        }
        self.last_queried = due.last().copied();
        due
    }

    fn forget(&mut self, run: RunId, backend: &BackendName) {
        let Some(tracked) = self.runs.get_mut(&run) else {
            return;
        };
        tracked.backends.remove(backend);
        if tracked.backends.is_empty() {
            self.runs.remove(&run);
        }
    }
}

impl TrackedRun {
    fn new(now: MonotonicTime) -> Self {
        Self {
            backends: BTreeSet::new(),
            first_seen: now,
            next_query_at: now,
            queries_sent: 0,
            unknown_to: BTreeSet::new(),
            ended: false,
        }
    }
}
