//! The replica role: the acceptors of all runs that a node with a disk stores.
//!
//! Memory holds one [`RunHead`] per run and the entries that are not flushed yet. After a crash, the state is
//! restored from [`RestoredStore`].

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::Duration;

use ridgeworks_domain::{Ballot, MonotonicTime, NodeId, RunId};

use crate::acceptor::{Acceptor, AcceptorState, Answer, AppendRequest, RETAINED_GENERATIONS};
use crate::entry::{Entry, LogEntry, LogPosition, ReplicaId};
use crate::message::{Rejection, Reply, Request, SilentRun};
use crate::storage::{LogStorage, RestoredStore, RunHead, Write};

/// Writes and replies that result from one request.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ReplicaReady {
    /// Changes to make durable, in order.
    pub writes: Vec<Write>,
    /// Replies to send once these writes *and those of every earlier call* are durable.
    pub replies_after_flush: Vec<(NodeId, Reply)>,
    /// Number to pass to [`Replica::flushed`] once the writes are durable.
    pub write_number: u64,
}

struct TrackedRun {
    state: AcceptorState,
    last_append: MonotonicTime,
}

/// State of all runs that a node stores.
pub struct Replica {
    identity: ReplicaId,
    runs: BTreeMap<RunId, TrackedRun>,
    /// Runs in which an owner must still end a call or commit the end of the run.
    pending_work: BTreeSet<RunId>,
    unflushed: Vec<(u64, RunId)>,
    write_number: u64,
    generation_since: MonotonicTime,
}

impl Replica {
    /// Restores the replica from its store. `now` counts as the time of every run's last append.
    pub fn restore(node: NodeId, restored: RestoredStore, now: MonotonicTime) -> Self {
        let track = |(run, head)| {
            let state = AcceptorState { head, tail: None };
            let last_append = now;
            (run, TrackedRun { state, last_append })
        };
        let pending_work = restored
            .heads
            .iter()
            .filter(|(_, head)| head.has_pending_work());
        let pending_work = pending_work.map(|(run, _)| *run).collect();
        Self {
            pending_work,
            identity: ReplicaId {
                node,
                store: restored.store,
                generation: restored.generation,
            },
            runs: restored.heads.into_iter().map(track).collect(),
            unflushed: Vec::new(),
            write_number: 0,
            generation_since: now,
        }
    }

    /// Current identity. A node reads it from all three replicas before it generates the identifier of a new run.
    pub fn identity(&self) -> ReplicaId {
        self.identity
    }

    /// Number of runs stored, open or closed.
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Head of a run, if this replica stores the run.
    pub fn head(&self, run: RunId) -> Option<RunHead> {
        self.runs.get(&run).map(|tracked| tracked.state.head)
    }

    /// Runs in which an owner must still end a call or commit the end of the run, and which had no append for at least
    /// `silent_for`.
    pub fn runs_with_pending_work(
        &self,
        now: MonotonicTime,
        silent_for: Duration,
    ) -> impl Iterator<Item = (RunId, RunHead)> {
        let tracked = self.pending_work.iter();
        let tracked = tracked.filter_map(|run| Some((*run, self.runs.get(run)?)));
        tracked
            .filter(move |(_, tracked)| now.since(tracked.last_append) >= silent_for)
            .map(|(run, tracked)| (run, tracked.state.head))
    }

    /// At most `limit` open runs with identifiers above `after`, in ascending order.
    pub fn open_runs(&self, after: Option<RunId>, limit: usize) -> Vec<RunId> {
        let lower = after.map_or(Bound::Unbounded, Bound::Excluded);
        let later = self.runs.range((lower, Bound::Unbounded));
        let open = later.filter(|(_, tracked)| !tracked.state.head.is_closed());
        open.take(limit).map(|(run, _)| *run).collect()
    }

    /// Replica set of a run according to the durable log of this replica; empty if the log names none.
    pub fn members(&self, run: RunId, storage: &dyn LogStorage) -> Vec<ReplicaId> {
        let Some(tracked) = self.runs.get(&run) else {
            return Vec::new();
        };
        let index = tracked.state.head.members_index;
        // An entry that isn't flushed yet comes from an active owner, which maintains the replica set itself.
        let found = storage.entries(run, index, 1);
        let found = found.first().filter(|entry| entry.index == index);
        let members = found.and_then(|entry| entry.entry.replicas());
        members.map(<[ReplicaId]>::to_vec).unwrap_or_default()
    }

    /// Handles a request from the node `from`.
    pub fn handle(
        &mut self,
        from: NodeId,
        request: Request,
        now: MonotonicTime,
        storage: &dyn LogStorage,
    ) -> ReplicaReady {
        self.write_number += 1;
        let answer = self.answer(request, now, storage);
        ReplicaReady {
            writes: answer.writes,
            replies_after_flush: vec![(from, answer.reply)],
            write_number: self.write_number,
        }
    }

    /// Reports that all writes up to this number are durable and can be read from the storage.
    pub fn flushed(&mut self, write_number: u64) {
        let flushed = self
            .unflushed
            .partition_point(|(number, _)| *number <= write_number);
        for (_, run) in self.unflushed.drain(..flushed) {
            let Some(tracked) = self.runs.get_mut(&run) else {
                continue;
            };
            tracked
                .state
                .tail
                .take_if(|tail| tail.write_number <= write_number);
        }
    }

    /// At most `limit` open runs without an append for `silent_for`, with identifiers above `after`, in ascending order.
    pub fn silent_runs(
        &self,
        now: MonotonicTime,
        silent_for: Duration,
        after: Option<RunId>,
        limit: usize,
    ) -> Vec<SilentRun> {
        let lower = after.map_or(Bound::Unbounded, Bound::Excluded);
        let open = self.runs.range((lower, Bound::Unbounded));
        open.filter(|(_, tracked)| !tracked.state.head.is_closed())
            .filter(|(_, tracked)| now.since(tracked.last_append) >= silent_for)
            .take(limit)
            .map(|(run, tracked)| SilentRun {
                run: *run,
                promised: tracked.state.head.promised,
                silent_ms: now.since(tracked.last_append).as_millis() as u64,
            })
            .collect()
    }

    /// Deletes at most `limit` closed runs that had no append for `retention`.
    ///
    /// The first sweep at least `retention` after the last change of generation increments the store's generation. A closed
    /// run is deleted only once the store's generation is at least two above the one that the run's log names. From then
    /// on, a message that names that generation creates no run, so a delayed copy of an opening can't recreate a deleted
    /// run.
    pub fn sweep(&mut self, now: MonotonicTime, retention: Duration, limit: usize) -> ReplicaReady {
        self.write_number += 1;
        let mut writes = Vec::new();
        if now.since(self.generation_since) >= retention {
            self.identity.generation += 1;
            self.generation_since = now;
            let generation = self.identity.generation;
            writes.push(Write::Generation { generation });
        }
        for run in self.deletable_runs(now, retention, limit) {
            self.runs.remove(&run);
            self.pending_work.remove(&run);
            writes.push(Write::DeleteRun { run });
        }
        ReplicaReady {
            writes,
            replies_after_flush: Vec::new(),
            write_number: self.write_number,
        }
    }

    fn deletable_runs(&self, now: MonotonicTime, retention: Duration, limit: usize) -> Vec<RunId> {
        let old = |tracked: &TrackedRun| {
            let head = tracked.state.head;
            head.is_closed()
                && tracked.state.tail.is_none()
                && now.since(tracked.last_append) >= retention
                && !self.retains_runs_of_generation(head.generation)
        };
        let closed = self.runs.iter().filter(|(_, tracked)| old(tracked));
        closed.map(|(run, _)| *run).take(limit).collect()
    }

    /// Whether a run whose log names this store at `generation` can't have been deleted yet.
    fn retains_runs_of_generation(&self, generation: u32) -> bool {
        self.identity.generation < generation.saturating_add(RETAINED_GENERATIONS)
    }

    fn answer(&mut self, request: Request, now: MonotonicTime, storage: &dyn LogStorage) -> Answer {
        match request {
            Request::Prepare {
                run,
                ballot,
                instance,
                replica,
            } => match self.acceptor(run, replica, replica.is_some(), now, storage) {
                Ok(mut acceptor) => acceptor.prepare(ballot, instance),
                Err(reason) => self.reject(run, ballot, reason),
            },
            Request::Fetch {
                run,
                ballot,
                first_index,
            } => match self.acceptor(run, None, false, now, storage) {
                Ok(mut acceptor) => acceptor.fetch(ballot, first_index),
                Err(reason) => self.reject(run, ballot, reason),
            },
            Request::Append {
                run,
                ballot,
                replica,
                previous,
                entries,
                commit_index,
                round,
            } => {
                let append_request = AppendRequest {
                    ballot,
                    previous,
                    entries,
                    commit_index,
                    round,
                };
                self.append(run, replica, append_request, now, storage)
            }
            Request::Identify => reply_only(Reply::Identity {
                replica: self.identity,
            }),
            Request::ListSilentRuns {
                silent_ms,
                after,
                limit,
            } => {
                let silent_for = Duration::from_millis(silent_ms);
                let runs = self.silent_runs(now, silent_for, after, limit as usize);
                reply_only(Reply::SilentRuns { runs })
            }
        }
    }

    /// The acceptor of `run`, if the message is addressed to this store and the run exists or may be created.
    fn acceptor<'a>(
        &'a mut self,
        run: RunId,
        addressed: Option<ReplicaId>,
        may_create: bool,
        now: MonotonicTime,
        storage: &'a dyn LogStorage,
    ) -> Result<Acceptor<'a>, Rejection> {
        if addressed.is_some_and(|addressed| !addressed.same_acceptor(self.identity)) {
            return Err(Rejection::Recovering);
        }
        if let Some(addressed) = addressed.filter(|_| may_create) {
            self.create(run, addressed.generation, now)?;
        }
        let tracked = self.runs.get_mut(&run).ok_or(Rejection::UnknownRun)?;
        Ok(Acceptor {
            run,
            identity: self.identity,
            state: &mut tracked.state,
            storage,
            write_number: self.write_number,
        })
    }

    /// Creates the state of `run`, whose log names this store at `generation`, unless it may have been deleted since.
    fn create(&mut self, run: RunId, generation: u32, now: MonotonicTime) -> Result<(), Rejection> {
        if self.runs.contains_key(&run) {
            return Ok(());
        }
        if !self.retains_runs_of_generation(generation) {
            return Err(Rejection::Recovering);
        }
        let state = AcceptorState {
            head: RunHead::new(generation),
            tail: None,
        };
        let last_append = now;
        self.runs.insert(run, TrackedRun { state, last_append });
        Ok(())
    }

    fn append(
        &mut self,
        run: RunId,
        addressed: ReplicaId,
        append_request: AppendRequest,
        now: MonotonicTime,
        storage: &dyn LogStorage,
    ) -> Answer {
        let ballot = append_request.ballot;
        let starts_log = starts_log(append_request.previous, &append_request.entries);
        let answer = match self.acceptor(run, Some(addressed), starts_log, now, storage) {
            Ok(mut acceptor) => acceptor.append(append_request),
            Err(reason) => return self.reject(run, ballot, reason),
        };
        if let Some(tracked) = self.runs.get_mut(&run) {
            if tracked.state.head.promised == ballot {
                tracked.last_append = now;
            }
            if tracked.state.head.has_pending_work() {
                self.pending_work.insert(run);
            } else {
                self.pending_work.remove(&run);
            }
            if tracked.state.tail.is_some() {
                self.unflushed.push((self.write_number, run));
            }
        }
        answer
    }

    fn reject(&self, run: RunId, ballot: Ballot, reason: Rejection) -> Answer {
        reply_only(Reply::Rejected {
            run,
            ballot,
            replica: self.identity,
            reason,
        })
    }
}

/// Whether an append starts a log. Only such an append may create a run.
fn starts_log(previous: LogPosition, entries: &[LogEntry]) -> bool {
    let first = entries.first().map(|entry| &entry.entry);
    previous == LogPosition::NONE && matches!(first, Some(Entry::Opened(_)))
}

fn reply_only(reply: Reply) -> Answer {
    Answer {
        writes: Vec::new(),
        reply,
    }
}
