//! How an owner keeps its replicas' logs equal to its own, and when an entry is committed.
//!
//! Nothing here is durable; the next owner reads it all back from a majority.

use std::collections::BTreeMap;
use std::time::Duration;

use ridgeworks_domain::weakening::{Weakening, is_off};
use ridgeworks_domain::{Ballot, MonotonicTime, NodeId, RunId};

use crate::election::replica_set;
use crate::entry::{Entry, LogEntry, LogIndex, LogPosition, ReplicaId};
use crate::message::{Rejection, Reply, Request};

/// Replicas that a run has unless one is being replaced.
const FULL_SET: usize = ridgeworks_domain::run_id::REPLICAS_PER_RUN;

/// Limits of replication.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicationSettings {
    /// Time without an answer after which a message is sent again.
    pub retry_after: Duration,
    /// Most bytes of entries in one append, unless one entry alone is larger.
    pub max_append_bytes: usize,
    /// Most appends under way to one replica.
    pub max_inflight: u32,
    /// Least time between two appends to a replica that copies committed entries. Together with
    /// `max_append_bytes` it bounds the rate of catching up.
    pub catch_up_interval: Duration,
}

impl Default for ReplicationSettings {
    fn default() -> Self {
        Self {
            retry_after: Duration::from_millis(50),
            max_append_bytes: 256 * 1024,
            max_inflight: 8,
            catch_up_interval: Duration::from_millis(5),
        }
    }
}

/// What the owner knows of one replica.
#[derive(Debug, Clone)]
struct Progress {
    replica: ReplicaId,
    /// The replica's log is known to agree up to here, on its disk.
    matched: LogIndex,
    /// The next entry to send.
    next: LogIndex,
    /// Appends with entries under way.
    inflight: u32,
    /// Highest confirmation round that it answered.
    answered_round: u64,
    /// Highest commit index that it was sent.
    sent_commit: LogIndex,
    last_sent: MonotonicTime,
    /// Earliest time of the next append of committed entries.
    catch_up_from: MonotonicTime,
}

impl Progress {
    fn new(replica: ReplicaId, now: MonotonicTime) -> Self {
        Self {
            replica,
            matched: LogIndex::NONE,
            next: LogIndex::FIRST,
            inflight: 0,
            answered_round: 0,
            sent_commit: LogIndex::NONE,
            last_sent: now,
            catch_up_from: now,
        }
    }
}

/// The owner's copy of the log and its replicas' progress.
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
    higher: Option<Ballot>,
}

impl Replication {
    /// Goes on from `log`. `spares` are replicas that may fill up a set that lost one.
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
            higher: None,
        };
        replication.follow_members(now);
        // What was adopted is likely to be there already; a gap is answered with where to go on from.
        let next = replication.last_index().next();
        for progress in replication.progress.values_mut() {
            progress.next = next;
        }
        replication
    }

    /// Appends entries at consecutive indices and sends them. Returns the index of the last.
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
                self.follow_members(now);
            }
        }
        self.send_all(now);
        self.last_index()
    }

    /// Starts a round that proves, once a majority answered it, that no other owner had won before now.
    pub fn confirm(&mut self, now: MonotonicTime) -> u64 {
        self.round += 1;
        let nodes: Vec<NodeId> = self.progress.keys().copied().collect();
        for node in nodes {
            self.send_page(node, now, true);
        }
        self.round
    }

    /// The highest round that a majority answered.
    pub fn confirmed_round(&self) -> u64 {
        self.reached_by_majority(|progress| progress.answered_round)
    }

    /// Everything up to here is committed.
    pub fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    /// Whether every replica was sent the commit index.
    pub fn has_told_commit(&self) -> bool {
        let mut replicas = self.progress.values();
        replicas.all(|progress| progress.sent_commit >= self.commit_index)
    }

    /// The ballot by which another owner took over, if one did.
    pub fn higher(&self) -> Option<Ballot> {
        self.higher
    }

    /// The entry at `index`.
    pub fn entry(&self, index: LogIndex) -> Option<&LogEntry> {
        let position = index.0.checked_sub(1)?;
        self.log.get(position as usize)
    }

    /// The replica set in use.
    pub fn members(&self) -> &[ReplicaId] {
        &self.members
    }

    /// Requests to send.
    pub fn take_outgoing(&mut self) -> Vec<(NodeId, Request)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Asks for `new` in place of `old`, in two changes of one acceptor each.
    pub fn replace(&mut self, old: ReplicaId, new: ReplicaId, now: MonotonicTime) {
        self.replacement = Some((old, new));
        self.drive_replacement(now);
    }

    /// Takes a reply.
    pub fn handle(&mut self, from: NodeId, reply: &Reply, now: MonotonicTime) {
        match reply {
            Reply::Appended {
                ballot,
                replica,
                last_index,
                round,
                ..
            } if *ballot == self.ballot => {
                self.take_appended(from, *replica, *last_index, *round);
            }
            Reply::Rejected {
                ballot,
                replica,
                reason,
                ..
            } => self.take_rejection(from, *ballot, *replica, *reason, now),
            _ => return,
        }
        self.advance_commit();
        self.drive_replacement(now);
        self.send_all(now);
    }

    /// Sends again what was not answered.
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
            self.send_again(node, now);
        }
        self.send_all(now);
    }

    fn send_again(&mut self, node: NodeId, now: MonotonicTime) {
        if let Some(progress) = self.progress.get_mut(&node) {
            progress.inflight = 0;
            if progress.matched != LogIndex::NONE {
                progress.next = progress.matched.next();
            }
        }
        self.send_page(node, now, true);
    }

    fn take_appended(
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

    fn take_rejection(
        &mut self,
        from: NodeId,
        ballot: Ballot,
        replica: ReplicaId,
        reason: Rejection,
        now: MonotonicTime,
    ) {
        if let Rejection::HigherBallot { promised } = reason {
            if promised > self.ballot {
                self.higher = self.higher.max(Some(promised));
            }
            return;
        }
        if ballot != self.ballot {
            return;
        }
        let last = self.last_index();
        let Some(progress) = self.progress.get_mut(&from) else {
            // A late answer to the claim, from a node that was asked but is no member (any more).
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

    /// Commits what a majority has, up to an entry of this owner's own ballot: an older entry counts only
    /// together with one of those after it, else a later owner could still overrule it.
    fn advance_commit(&mut self) {
        let reached = LogIndex(self.reached_by_majority(|progress| progress.matched.0));
        let own = self
            .entry(reached)
            .is_some_and(|entry| entry.ballot == self.ballot);
        if own && reached > self.commit_index {
            self.commit_index = reached;
        }
    }

    fn reached_by_majority(&self, value: impl Fn(&Progress) -> u64) -> u64 {
        let mut values: Vec<u64> = self.progress.values().map(value).collect();
        values.sort_unstable();
        if is_off(Weakening::Majority) {
            return values.last().copied().unwrap_or(0);
        }
        let minority = values.len().saturating_sub(1) / 2;
        values.get(minority).copied().unwrap_or(0)
    }

    /// Takes the next step of a replacement, one acceptor a change and one change at a time.
    fn drive_replacement(&mut self, now: MonotonicTime) {
        let own_committed = self
            .entry(self.commit_index)
            .is_some_and(|entry| entry.ballot == self.ballot);
        if !own_committed || self.members_index > self.commit_index || self.higher.is_some() {
            return;
        }
        if self.members.len() == FULL_SET {
            self.remove_replaced(now);
        } else {
            self.add_replacement(now);
        }
    }

    fn remove_replaced(&mut self, now: MonotonicTime) {
        let Some((old, new)) = self.replacement else {
            return;
        };
        if old == new || !self.members.contains(&old) {
            self.replacement = None;
            return;
        }
        let mut replicas = self.members.clone();
        replicas.retain(|replica| *replica != old);
        self.append(vec![Entry::ReplicasChanged { replicas }], now);
    }

    fn add_replacement(&mut self, now: MonotonicTime) {
        let wanted = self.replacement.map(|(_, new)| new);
        let is_new = |spare: &ReplicaId| !self.members.iter().any(|m| m.node == spare.node);
        let spare = wanted.into_iter().chain(self.spares.iter().copied());
        let Some(new) = spare.into_iter().find(is_new) else {
            return;
        };
        self.replacement = None;
        let mut replicas = self.members.clone();
        replicas.push(new);
        self.append(vec![Entry::ReplicasChanged { replicas }], now);
    }

    fn follow_members(&mut self, now: MonotonicTime) {
        let members = self.members.clone();
        self.progress
            .retain(|_, progress| members.contains(&progress.replica));
        for member in members {
            self.progress
                .entry(member.node)
                .or_insert_with(|| Progress::new(member, now));
        }
    }

    fn last_index(&self) -> LogIndex {
        LogIndex(self.log.len() as u64)
    }

    fn position_at(&self, index: LogIndex) -> LogPosition {
        self.entry(index)
            .map_or(LogPosition::NONE, LogEntry::position)
    }

    fn send_all(&mut self, now: MonotonicTime) {
        let nodes: Vec<NodeId> = self.progress.keys().copied().collect();
        for node in nodes {
            while self.may_send(node, now) {
                self.send_page(node, now, false);
            }
        }
    }

    fn may_send(&self, node: NodeId, now: MonotonicTime) -> bool {
        let Some(progress) = self.progress.get(&node) else {
            return false;
        };
        if progress.next > self.last_index() {
            return false;
        }
        if progress.next <= self.commit_index {
            return progress.inflight == 0 && now >= progress.catch_up_from;
        }
        progress.inflight < self.settings.max_inflight
    }

    /// Sends the next entries, or none at all when `heartbeat` is all that is wanted.
    fn send_page(&mut self, node: NodeId, now: MonotonicTime, heartbeat: bool) {
        let with_entries = !heartbeat || self.may_send(node, now);
        let Some(progress) = self.progress.get(&node) else {
            return;
        };
        let first = progress.next;
        let entries = if with_entries {
            self.page(first)
        } else {
            Vec::new()
        };
        let append = Request::Append {
            run: self.run,
            ballot: self.ballot,
            replica: progress.replica,
            previous: self.position_at(first.previous()),
            entries,
            commit_index: self.commit_index,
            round: self.round,
        };
        self.note_sent(node, &append, now);
        self.outgoing.push((node, append));
    }

    fn note_sent(&mut self, node: NodeId, append: &Request, now: MonotonicTime) {
        let (Some(progress), Request::Append { entries, .. }) =
            (self.progress.get_mut(&node), append)
        else {
            return;
        };
        progress.last_sent = now;
        progress.sent_commit = self.commit_index;
        let Some(last) = entries.last() else {
            return;
        };
        progress.inflight += 1;
        if progress.next <= self.commit_index {
            progress.catch_up_from = now + self.settings.catch_up_interval;
        }
        progress.next = last.index.next();
    }

    fn page(&self, first: LogIndex) -> Vec<LogEntry> {
        let mut bytes = 0;
        let mut page = Vec::new();
        for entry in self.log.iter().skip(first.previous().0 as usize) {
            bytes += entry.entry.size_bytes();
            if !page.is_empty() && bytes > self.settings.max_append_bytes {
                break;
            }
            page.push(entry.clone());
        }
        page
    }
}
