//! Replicates the owner's log to its replicas and determines which entries are committed.
//!
//! Nothing here is durable; the next owner recovers the log from a majority.

mod progress;
mod replacement;
mod sending;
mod settings;

use std::collections::BTreeMap;

use ridgeworks_domain::safeguard::{Safeguard, is_disabled};
use ridgeworks_domain::{Ballot, MonotonicTime, NodeId, RunId};

use self::progress::Progress;
pub use self::settings::ReplicationSettings;
use crate::election::replica_set;
use crate::entry::{Entry, LogEntry, LogIndex, LogPosition, ReplicaId};
use crate::message::{Rejection, Reply, Request};

/// The owner's copy of the log, and the progress of its replicas.
#[derive(Debug)]
pub(crate) struct Replication {
    run: RunId,
    ballot: Ballot,
    settings: ReplicationSettings,
    log: Vec<LogEntry>,
    commit_index: LogIndex,
    members: Vec<ReplicaId>,
    members_index: LogIndex,
    progress: BTreeMap<NodeId, Progress>,
    round: u64,
    replacement: Option<(ReplicaId, ReplicaId)>,
    spares: Vec<ReplicaId>,
    outgoing: Vec<(NodeId, Request)>,
    higher_ballot: Option<Ballot>,
}

impl Replication {
    /// Starts from an adopted `log`. `spares` are replicas that may be added if the set lacks a
    /// replica.
    pub fn new(
        run: RunId,
        ballot: Ballot,
        settings: ReplicationSettings,
        log: Vec<LogEntry>,
        spares: Vec<ReplicaId>,
        now: MonotonicTime,
    ) -> Self {
        let members = replica_set(&log);
        let newest = log
            .iter()
            .rev()
            .find(|entry| entry.entry.replicas().is_some());
        let members_index = newest.map_or(LogIndex::NONE, |entry| entry.index);
        let mut replication = Self {
            run,
            ballot,
            settings,
            log,
            commit_index: LogIndex::NONE,
            members,
            members_index,
            progress: BTreeMap::new(),
            round: 0,
            replacement: None,
            spares,
            outgoing: Vec::new(),
            higher_ballot: None,
        };
        replication.sync_progress(now);
        // Replicas are likely to hold the adopted entries. One that doesn't rejects the append and names the index to
        // resume from.
        let next = replication.last_index().next();
        for progress in replication.progress.values_mut() {
            progress.next = next;
        }
        replication
    }

    /// Appends entries at consecutive indices and sends them. Returns the index of the last one.
    pub fn append(&mut self, entries: Vec<Entry>, now: MonotonicTime) -> LogIndex {
        for entry in entries {
            let index = self.last_index().next();
            let replicas = entry.replicas().map(<[ReplicaId]>::to_vec);
            let ballot = self.ballot;
            self.log.push(LogEntry {
                index,
                ballot,
                entry,
            });
            if let Some(members) = replicas {
                self.members = members;
                self.members_index = index;
                self.sync_progress(now);
            }
        }
        self.send_all(now);
        self.last_index()
    }

    /// Starts a confirmation round. Once a majority has answered it, it is certain that no other owner had
    /// won the run when this was called.
    pub fn confirm(&mut self, now: MonotonicTime) -> u64 {
        self.round += 1;
        let nodes: Vec<NodeId> = self.progress.keys().copied().collect();
        for node in nodes {
            self.send_page(node, now, true);
        }
        self.round
    }

    /// The highest confirmation round that a majority answered.
    pub fn confirmed_round(&self) -> u64 {
        self.reached_by_majority(|progress| progress.answered_round)
    }

    /// All entries up to this index are committed.
    pub fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    /// Whether the current commit index was sent to every replica.
    pub fn has_sent_commit_index(&self) -> bool {
        let mut replicas = self.progress.values();
        replicas.all(|progress| progress.sent_commit >= self.commit_index)
    }

    /// The highest ballot reported by a replica, if it exceeds this owner's.
    pub fn higher_ballot(&self) -> Option<Ballot> {
        self.higher_ballot
    }

    /// The entry at `index`, committed or not.
    pub fn entry(&self, index: LogIndex) -> Option<&LogEntry> {
        let position = index.0.checked_sub(1)?;
        self.log.get(position as usize)
    }

    /// Current replica set.
    pub fn members(&self) -> &[ReplicaId] {
        &self.members
    }

    /// Removes and returns the requests to send, each with its destination.
    pub fn take_outgoing(&mut self) -> Vec<(NodeId, Request)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Starts to replace `old` by `new`, in two changes of one acceptor each.
    pub fn replace(&mut self, old: ReplicaId, new: ReplicaId, now: MonotonicTime) {
        self.replacement = Some((old, new));
        self.advance_replacement(now);
    }

    /// Handles a reply from the node `from`.
    pub fn handle(&mut self, from: NodeId, reply: &Reply, now: MonotonicTime) {
        match reply {
            Reply::Appended {
                ballot,
                replica,
                last_index,
                round,
                ..
            } if *ballot == self.ballot => {
                self.handle_appended(from, *replica, *last_index, *round);
            }
            Reply::Rejected {
                ballot,
                replica,
                reason,
                ..
            } => self.handle_rejection(from, *ballot, *replica, *reason, now),
            _ => return,
        }
        self.advance_commit();
        self.advance_replacement(now);
        self.send_all(now);
    }

    /// Repeats requests that were not answered in time.
    pub fn tick(&mut self, now: MonotonicTime) {
        let last = self.last_index();
        let round = self.round;
        let commit = self.commit_index;
        let retry_after = self.settings.retry_after;
        let overdue = |progress: &Progress| {
            let behind = progress.matched < last
                || progress.answered_round < round
                || progress.sent_commit < commit;
            behind && now.since(progress.last_sent) >= retry_after
        };
        let nodes: Vec<NodeId> = self
            .progress
            .iter()
            .filter(|(_, progress)| overdue(progress))
            .map(|(node, _)| *node)
            .collect();
        for node in nodes {
            self.resend(node, now);
        }
        self.send_all(now);
    }

    fn handle_appended(
        &mut self,
        from: NodeId,
        replica: ReplicaId,
        last_index: LogIndex,
        round: u64,
    ) {
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        if !progress.replica.same_acceptor(replica) {
            return;
        }
        progress.matched = progress.matched.max(last_index);
        progress.next = progress.next.max(progress.matched.next());
        progress.inflight = progress.inflight.saturating_sub(1);
        progress.answered_round = progress.answered_round.max(round);
    }

    fn handle_rejection(
        &mut self,
        from: NodeId,
        ballot: Ballot,
        replica: ReplicaId,
        reason: Rejection,
        now: MonotonicTime,
    ) {
        if let Rejection::HigherBallot { promised } = reason {
            if promised > self.ballot {
                self.higher_ballot = self.higher_ballot.max(Some(promised));
            }
            return;
        }
        if ballot != self.ballot {
            return;
        }
        let last = self.last_index();
        let Some(progress) = self.progress.get_mut(&from) else {
            // A late rejection of a prepare, fetch or append, from a node that is not or no longer in the replica set.
            self.spares.push(replica);
            return;
        };
        match reason {
            Rejection::Gap { next_index } if progress.replica.same_acceptor(replica) => {
                progress.next = next_index.max(progress.matched.next()).min(last.next());
                progress.inflight = 0;
            }
            Rejection::UnknownRun if progress.replica.same_acceptor(replica) => {
                progress.next = progress.matched.next();
                progress.inflight = 0;
            }
            Rejection::Recovering => {
                let old = progress.replica;
                self.replace(old, replica, now);
            }
            _ => {}
        }
    }

    /// Commits up to the last entry that a majority stores, if it has this owner's ballot. An entry of an older
    /// ballot is committed only with a later entry of this ballot, because another owner could still overwrite it.
    fn advance_commit(&mut self) {
        let reached = LogIndex(self.reached_by_majority(|progress| progress.matched.0));
        if self.is_own(reached) && reached > self.commit_index {
            self.commit_index = reached;
        }
    }

    /// Whether this owner proposed the entry at `index`.
    fn is_own(&self, index: LogIndex) -> bool {
        let entry = self.entry(index);
        entry.is_some_and(|entry| entry.ballot == self.ballot)
    }

    fn reached_by_majority(&self, value: impl Fn(&Progress) -> u64) -> u64 {
        let mut values: Vec<u64> = self.progress.values().map(value).collect();
        values.sort_unstable();
        if is_disabled(Safeguard::Majority) {
            return values.last().copied().unwrap_or(0);
        }
        let minority = values.len().saturating_sub(1) / 2;
        values.get(minority).copied().unwrap_or(0)
    }

    fn last_index(&self) -> LogIndex {
        LogIndex(self.log.len() as u64)
    }

    fn position_at(&self, index: LogIndex) -> LogPosition {
        self.entry(index)
            .map_or(LogPosition::NONE, LogEntry::position)
    }
}
