//! Finds contexts of runs that ended without this dispatcher's knowledge.
//!
//! No I/O: listings of engines and answers of replicas come in, questions and releases go out. Nothing here is
//! durable; a dispatcher that takes over begins with the next listings. Costs are in `docs/design/sweeps.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ridgeworks_domain::run_id::MAJORITY_OF_REPLICAS;
use ridgeworks_domain::{BackendName, MonotonicTime, NodeId, RunId};

/// A run is not asked about for this long after a question, or after a call that it made here.
pub const ASK_INTERVAL: Duration = Duration::from_secs(2);
/// A run that no replica holds may be in the course of being opened for this long.
pub const OPENING_TIMEOUT: Duration = Duration::from_secs(60);
/// Most runs in one question; 16 bytes each.
pub const MAX_RUNS_PER_QUESTION: usize = 512;
/// Most runs asked about in one step of the sweep.
pub const MAX_RUNS_PER_STEP: usize = 32_768;
/// Most runs whose contexts are released in one step of the sweep.
pub const MAX_RELEASES_PER_STEP: usize = 256;

/// Replicas that must hold nothing of a run before it counts as forgotten.
const FORGOTTEN_BY: usize = MAJORITY_OF_REPLICAS;

/// Asks one replica which of these runs are closed for good.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Question {
    /// The node of the replica.
    pub to: NodeId,
    /// The runs.
    pub runs: Vec<RunId>,
}

/// An ended run and the engines that hold context of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedContext {
    /// The run.
    pub run: RunId,
    /// The engines.
    pub backends: Vec<BackendName>,
}

#[derive(Debug)]
struct SweptRun {
    backends: BTreeSet<BackendName>,
    first_seen: MonotonicTime,
    quiet_until: MonotonicTime,
    questions: usize,
    unknown_at: BTreeSet<NodeId>,
    ended: bool,
}

/// The contexts at the engines of one service.
#[derive(Debug, Default)]
pub struct ContextSweep {
    listed: BTreeMap<BackendName, BTreeSet<RunId>>,
    runs: BTreeMap<RunId, SweptRun>,
    last_asked: Option<RunId>,
}

impl ContextSweep {
    /// Takes everything that an engine holds.
    pub fn listing(
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
            let swept = self.runs.entry(*run).or_insert_with(|| SweptRun::new(now));
            swept.backends.insert(backend.clone());
        }
        self.listed.insert(backend.clone(), runs);
    }

    /// Forgets an engine that is gone.
    pub fn backend_gone(&mut self, backend: &BackendName) {
        for run in self.listed.remove(backend).unwrap_or_default() {
            self.forget(run, backend);
        }
    }

    /// Notes that a run makes a call here, so that it need not be asked about for a time.
    pub fn used(&mut self, now: MonotonicTime, run: RunId) {
        if let Some(swept) = self.runs.get_mut(&run) {
            swept.quiet_until = now + ASK_INTERVAL;
        }
    }

    /// Questions that are due. A run's replicas are asked in turn, as one that is down or behind says nothing.
    pub fn questions(
        &mut self,
        now: MonotonicTime,
        replicas_of: impl Fn(RunId) -> Vec<NodeId>,
    ) -> Vec<Question> {
        let mut by_replica: BTreeMap<NodeId, Vec<RunId>> = BTreeMap::new();
        for run in self.due(now) {
            let Some(swept) = self.runs.get_mut(&run) else {
                continue;
            };
            swept.quiet_until = now + ASK_INTERVAL;
            let replicas = replicas_of(run);
            let turn = swept.questions.checked_rem(replicas.len());
            let Some(replica) = turn.and_then(|turn| replicas.get(turn)) else {
                continue;
            };
            swept.questions += 1;
            by_replica.entry(*replica).or_default().push(run);
        }
        let split = by_replica.into_iter().flat_map(|(to, runs)| {
            let parts: Vec<Vec<RunId>> = runs
                .chunks(MAX_RUNS_PER_QUESTION)
                .map(<[RunId]>::to_vec)
                .collect();
            parts.into_iter().map(move |runs| Question { to, runs })
        });
        split.collect()
    }

    /// Takes a replica's answer: runs whose end is committed there, and runs of which it holds nothing. One replica
    /// is enough for an end; a run that nobody ended counts as ended only once a majority has forgotten it.
    pub fn answer(
        &mut self,
        now: MonotonicTime,
        replica: NodeId,
        ended: &[RunId],
        unknown: &[RunId],
    ) {
        for run in ended {
            if let Some(swept) = self.runs.get_mut(run) {
                swept.ended = true;
            }
        }
        for run in unknown {
            let Some(swept) = self.runs.get_mut(run) else {
                continue;
            };
            swept.unknown_at.insert(replica);
            let old = now.since(swept.first_seen) >= OPENING_TIMEOUT;
            swept.ended |= old && swept.unknown_at.len() >= FORGOTTEN_BY;
        }
    }

    /// Ended runs whose contexts are to be released now. One that an engine lists again is found anew.
    pub fn take_ended(&mut self) -> Vec<EndedContext> {
        let ended = self.runs.iter().filter(|(_, swept)| swept.ended);
        let ended: Vec<EndedContext> = ended
            .take(MAX_RELEASES_PER_STEP)
            .map(|(run, swept)| EndedContext {
                run: *run,
                backends: swept.backends.iter().cloned().collect(),
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

    /// Contexts that are known at the engines.
    pub fn context_count(&self) -> usize {
        self.listed.values().map(BTreeSet::len).sum()
    }

    /// Runs to ask about, going on after the last one asked, so that none is left out for long.
    fn due(&mut self, now: MonotonicTime) -> Vec<RunId> {
        let last = self.last_asked;
        let is_due = |swept: &SweptRun| !swept.ended && now >= swept.quiet_until;
        let due = self.runs.iter().filter(|(_, swept)| is_due(swept));
        let mut due: Vec<RunId> = due.map(|(run, _)| *run).collect();
        if due.len() > MAX_RUNS_PER_STEP {
            let start = due.partition_point(|run| Some(*run) <= last);
            due.rotate_left(start);
            due.truncate(MAX_RUNS_PER_STEP);
        }
        self.last_asked = due.last().copied();
        due
    }

    fn forget(&mut self, run: RunId, backend: &BackendName) {
        let Some(swept) = self.runs.get_mut(&run) else {
            return;
        };
        swept.backends.remove(backend);
        if swept.backends.is_empty() {
            self.runs.remove(&run);
        }
    }
}

impl SweptRun {
    fn new(now: MonotonicTime) -> Self {
        Self {
            backends: BTreeSet::new(),
            first_seen: now,
            quiet_until: now,
            questions: 0,
            unknown_at: BTreeSet::new(),
            ended: false,
        }
    }
}
