//! All runs that one node with a disk keeps: the replica role.
//!
//! In memory: one [`RunHead`] a run and the entries that are not flushed yet. Survives a crash: what
//! [`RestoredStore`] lists.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::Duration;

use ridgeworks_domain::{Ballot, MonotonicTime, NodeId, RunId};

use crate::acceptor::{Acceptor, Answer, Appending, FORGET_GENERATIONS, HeldRun};
use crate::entry::{Entry, LogEntry, LogPosition, ReplicaId};
use crate::message::{Rejection, Reply, Request, SilentRun};
use crate::storage::{LogStorage, RestoredStore, RunHead, Write};

/// What follows from one request.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ReplicaReady {
    /// Durable changes, in order.
    pub writes: Vec<Write>,
    /// Replies that may leave once these writes *and those of every earlier call* are durable.
    pub replies_after_flush: Vec<(NodeId, Reply)>,
    /// Number to report to [`Replica::flushed`] once they are.
    pub write_number: u64,
}

struct TrackedRun {
    held: HeldRun,
    last_append: MonotonicTime,
}

/// The replica role of one node.
pub struct Replica {
    identity: ReplicaId,
    runs: BTreeMap<RunId, TrackedRun>,
    /// Runs in which an owner has something left to do.
    unsettled: BTreeSet<RunId>,
    unflushed: Vec<(u64, RunId)>,
    write_number: u64,
    generation_since: MonotonicTime,
}

impl Replica {
    /// Takes up what a store held. `now` counts as the last sign of every run's owner.
    pub fn restore(node: NodeId, restored: RestoredStore, now: MonotonicTime) -> Self {
        let track = |(run, head)| {
            let held = HeldRun { head, tail: None };
            let last_append = now;
            (run, TrackedRun { held, last_append })
        };
        let unsettled = restored
            .heads
            .iter()
            .filter(|(_, head)| head.is_unsettled());
        let unsettled = unsettled.map(|(run, _)| *run).collect();
        Self {
            unsettled,
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

    /// Who this replica is now. The opener of a run needs it of all three replicas before it draws the run's number.
    pub fn identity(&self) -> ReplicaId {
        self.identity
    }

    /// Runs held, open or closed.
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// The head of a run, if it is held.
    pub fn head(&self, run: RunId) -> Option<RunHead> {
        self.runs.get(&run).map(|tracked| tracked.held.head)
    }

    /// Runs in which an owner has something left to do and of which none was heard for `silent_for`.
    pub fn runs_with_pending_work(
        &self,
        now: MonotonicTime,
        silent_for: Duration,
    ) -> impl Iterator<Item = (RunId, RunHead)> {
        let tracked = self.unsettled.iter();
        let tracked = tracked.filter_map(|run| Some((*run, self.runs.get(run)?)));
        tracked
            .filter(move |(_, tracked)| now.since(tracked.last_append) >= silent_for)
            .map(|(run, tracked)| (run, tracked.held.head))
    }

    /// Runs that are not closed, above `after`, ascending.
    pub fn open_runs(&self, after: Option<RunId>, limit: usize) -> Vec<RunId> {
        let lower = after.map_or(Bound::Unbounded, Bound::Excluded);
        let held = self.runs.range((lower, Bound::Unbounded));
        let open = held.filter(|(_, tracked)| !tracked.held.head.is_closed());
        open.take(limit).map(|(run, _)| *run).collect()
    }

    /// The replica set of a run as the log held here names it; empty if none is held.
    pub fn members(&self, run: RunId, storage: &dyn LogStorage) -> Vec<ReplicaId> {
        let Some(tracked) = self.runs.get(&run) else {
            return Vec::new();
        };
        let index = tracked.held.head.members_index;
        // What is not flushed yet was appended just now: its owner sees to its replicas.
        let found = storage.entries(run, index, 1);
        let found = found.first().filter(|entry| entry.index == index);
        let members = found.and_then(|entry| entry.entry.replicas());
        members.map(<[ReplicaId]>::to_vec).unwrap_or_default()
    }

    /// Answers one request.
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

    /// All writes up to this number are durable and can be read back.
    pub fn flushed(&mut self, write_number: u64) {
        let flushed = self
            .unflushed
            .partition_point(|(number, _)| *number <= write_number);
        for (_, run) in self.unflushed.drain(..flushed) {
            let Some(tracked) = self.runs.get_mut(&run) else {
                continue;
            };
            tracked
                .held
                .tail
                .take_if(|tail| tail.write_number <= write_number);
        }
    }

    /// Open runs without an append for `silent_for`, above `after`, ascending.
    pub fn silent_runs(
        &self,
        now: MonotonicTime,
        silent_for: Duration,
        after: Option<RunId>,
        limit: usize,
    ) -> Vec<SilentRun> {
        let lower = after.map_or(Bound::Unbounded, Bound::Excluded);
        let open = self.runs.range((lower, Bound::Unbounded));
        open.filter(|(_, tracked)| !tracked.held.head.is_closed())
            .filter(|(_, tracked)| now.since(tracked.last_append) >= silent_for)
            .take(limit)
            .map(|(run, tracked)| SilentRun {
                run: *run,
                promised: tracked.held.head.promised,
                silent_ms: now.since(tracked.last_append).as_millis() as u64,
            })
            .collect()
    }

    /// Forgets closed runs, at most `limit`, that were left alone for `retention`.
    ///
    /// Each sweep that comes `retention` after the last one raises the store's generation. A run is forgotten
    /// two generations after the one that its log names, and a message that names a generation so old creates no
    /// run: a late copy of an opening therefore can't bring a forgotten run back to life.
    pub fn sweep(&mut self, now: MonotonicTime, retention: Duration, limit: usize) -> ReplicaReady {
        self.write_number += 1;
        let mut writes = Vec::new();
        if now.since(self.generation_since) >= retention {
            self.identity.generation += 1;
            self.generation_since = now;
            let generation = self.identity.generation;
            writes.push(Write::Generation { generation });
        }
        for run in self.forgettable(now, retention, limit) {
            self.runs.remove(&run);
            self.unsettled.remove(&run);
            writes.push(Write::DeleteRun { run });
        }
        ReplicaReady {
            writes,
            replies_after_flush: Vec::new(),
            write_number: self.write_number,
        }
    }

    fn forgettable(&self, now: MonotonicTime, retention: Duration, limit: usize) -> Vec<RunId> {
        let old = |tracked: &TrackedRun| {
            let head = tracked.held.head;
            head.is_closed()
                && tracked.held.tail.is_none()
                && now.since(tracked.last_append) >= retention
                && !self.remembers_since(head.generation)
        };
        let closed = self.runs.iter().filter(|(_, tracked)| old(tracked));
        closed.map(|(run, _)| *run).take(limit).collect()
    }

    /// Whether this store can't have forgotten a run that names it at `generation`.
    fn remembers_since(&self, generation: u32) -> bool {
        self.identity.generation < generation.saturating_add(FORGET_GENERATIONS)
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
                let appending = Appending {
                    ballot,
                    previous,
                    entries,
                    commit_index,
                    round,
                };
                self.append(run, replica, appending, now, storage)
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

    /// The acceptor of `run`, if this store is the one meant and holds the run, or may begin to.
    fn acceptor<'a>(
        &'a mut self,
        run: RunId,
        meant: Option<ReplicaId>,
        may_create: bool,
        now: MonotonicTime,
        storage: &'a dyn LogStorage,
    ) -> Result<Acceptor<'a>, Rejection> {
        if meant.is_some_and(|meant| !meant.same_acceptor(self.identity)) {
            return Err(Rejection::Recovering);
        }
        if let Some(meant) = meant.filter(|_| may_create) {
            self.create(run, meant.generation, now)?;
        }
        let tracked = self.runs.get_mut(&run).ok_or(Rejection::UnknownRun)?;
        Ok(Acceptor {
            run,
            identity: self.identity,
            held: &mut tracked.held,
            storage,
            write_number: self.write_number,
        })
    }

    /// Begins to hold `run`, which names this store at `generation`, unless it may have been forgotten since.
    fn create(&mut self, run: RunId, generation: u32, now: MonotonicTime) -> Result<(), Rejection> {
        if self.runs.contains_key(&run) {
            return Ok(());
        }
        if !self.remembers_since(generation) {
            return Err(Rejection::Recovering);
        }
        let held = HeldRun {
            head: RunHead::new(generation),
            tail: None,
        };
        let last_append = now;
        self.runs.insert(run, TrackedRun { held, last_append });
        Ok(())
    }

    fn append(
        &mut self,
        run: RunId,
        meant: ReplicaId,
        appending: Appending,
        now: MonotonicTime,
        storage: &dyn LogStorage,
    ) -> Answer {
        let ballot = appending.ballot;
        let opens = opens(appending.previous, &appending.entries);
        let answer = match self.acceptor(run, Some(meant), opens, now, storage) {
            Ok(mut acceptor) => acceptor.append(appending),
            Err(reason) => return self.reject(run, ballot, reason),
        };
        if let Some(tracked) = self.runs.get_mut(&run) {
            if tracked.held.head.promised == ballot {
                tracked.last_append = now;
            }
            if tracked.held.head.is_unsettled() {
                self.unsettled.insert(run);
            } else {
                self.unsettled.remove(&run);
            }
            if tracked.held.tail.is_some() {
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

/// Whether an append starts a log: only then may it create the run.
fn opens(previous: LogPosition, entries: &[LogEntry]) -> bool {
    let first = entries.first().map(|entry| &entry.entry);
    previous == LogPosition::NONE && matches!(first, Some(Entry::Opened(_)))
}

fn reply_only(reply: Reply) -> Answer {
    Answer {
        writes: Vec::new(),
        reply,
    }
}
