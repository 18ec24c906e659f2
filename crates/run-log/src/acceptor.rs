//! The acceptor of one run: promises, and the log that follows the newest owner.
//!
//! Survives a crash: everything in [`RunHead`] except a commit index that moved alone, and all entries. The rules are
//! those of Raft's followers, for the reasons given in `docs/design/run-log.md`:
//!
//! - a lower ballot than the promised one is refused, and a ballot is granted to one proposer instance;
//! - entries are taken only where the log before them agrees (same index, same ballot);
//! - a vote belongs to one store. A node that comes back without its disk has another [`StoreId`](crate::entry::StoreId)
//!   and refuses what was meant for the old one, so it can't contradict a vote that it no longer knows of.

use ridgeworks_domain::{Ballot, RunId};

use crate::entry::{Entry, LogEntry, LogIndex, LogPosition, ReplicaId};
use crate::message::{Rejection, Reply};
use crate::storage::{LogStorage, RunHead, Write};

/// Most bytes of entries in one answer to a fetch.
pub const FETCH_BYTES: usize = 256 * 1024;

/// Sweeps after which a store may have forgotten a run that was opened before them.
pub(crate) const FORGET_GENERATIONS: u32 = 2;

/// Entries handed out as writes whose flush has not been reported yet. They stand for the whole log from
/// `first` on, whatever storage still holds there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct UnflushedTail {
    pub first: LogIndex,
    pub entries: Vec<LogEntry>,
    pub write_number: u64,
}

/// One run as a replica holds it in memory.
#[derive(Debug, Clone)]
pub(crate) struct HeldRun {
    pub head: RunHead,
    pub tail: Option<Box<UnflushedTail>>,
}

/// The acceptor's answer, with the writes that must be durable before it leaves.
pub(crate) struct Answer {
    pub writes: Vec<Write>,
    pub reply: Reply,
}

/// One request's view of a run: what is held, and where to read entries.
pub(crate) struct Acceptor<'a> {
    pub run: RunId,
    pub identity: ReplicaId,
    pub held: &'a mut HeldRun,
    pub storage: &'a dyn LogStorage,
    pub write_number: u64,
}

/// The parts of an append that concern the log.
pub(crate) struct Appending {
    pub ballot: Ballot,
    pub previous: LogPosition,
    pub entries: Vec<LogEntry>,
    pub commit_index: LogIndex,
    pub round: u64,
}

impl RunHead {
    /// The head of a run of which nothing is known yet.
    pub(crate) fn new(generation: u32) -> Self {
        Self {
            promised: Ballot::ZERO,
            instance: 0,
            last: LogPosition::NONE,
            commit_index: LogIndex::NONE,
            closed_index: LogIndex::NONE,
            members_index: LogIndex::NONE,
            call_open: false,
            generation,
        }
    }

    /// Whether the run is known to be closed for good.
    pub fn is_closed(&self) -> bool {
        self.closed_index != LogIndex::NONE && self.closed_index <= self.commit_index
    }

    /// Whether an owner has something left to do: a call to end, or the end of the run to commit.
    pub fn is_unsettled(&self) -> bool {
        let ending = self.closed_index != LogIndex::NONE && !self.is_closed();
        self.call_open || ending
    }
}

impl Acceptor<'_> {
    /// Grants the ballot unless a higher one, or the same to another instance, was granted.
    pub fn prepare(&mut self, ballot: Ballot, instance: u64) -> Answer {
        let head = &mut self.held.head;
        let repeated = ballot == head.promised && instance == head.instance && instance != 0;
        if ballot <= head.promised && !repeated {
            return self.reject_lower(ballot);
        }
        head.promised = ballot;
        head.instance = instance;
        let reply = Reply::Promise {
            run: self.run,
            ballot,
            instance,
            replica: self.identity,
            last: head.last,
            commit_index: head.commit_index,
        };
        Answer {
            writes: vec![self.write_head()],
            reply,
        }
    }

    /// Reads a page of the log for the proposer that holds the promise.
    pub fn fetch(&mut self, ballot: Ballot, first: LogIndex) -> Answer {
        if ballot != self.held.head.promised {
            return self.reject_lower(ballot);
        }
        let reply = Reply::Fetched {
            run: self.run,
            ballot,
            replica: self.identity,
            entries: self.entries(first, FETCH_BYTES),
        };
        Answer {
            writes: Vec::new(),
            reply,
        }
    }

    /// Takes entries of the owner that holds the highest ballot seen.
    pub fn append(&mut self, appending: Appending) -> Answer {
        if appending.ballot < self.held.head.promised {
            return self.reject_lower(appending.ballot);
        }
        let before = self.held.head;
        if appending.ballot > before.promised {
            self.held.head.promised = appending.ballot;
            self.held.head.instance = 0;
        }
        let mut writes = Vec::new();
        let reply = match self.gap(appending.previous) {
            Some(next_index) => Reply::Rejected {
                run: self.run,
                ballot: appending.ballot,
                replica: self.identity,
                reason: Rejection::Gap { next_index },
            },
            None => self.take(appending, &mut writes),
        };
        if self.must_write_head(&before) {
            writes.push(self.write_head());
        }
        Answer { writes, reply }
    }

    fn take(&mut self, appending: Appending, writes: &mut Vec<Write>) -> Reply {
        let count = appending.entries.len() as u64;
        let matched = LogIndex(appending.previous.index.0 + count);
        for entry in appending.entries {
            self.take_entry(entry, writes);
        }
        let committed = appending.commit_index.min(matched);
        self.held.head.commit_index = self.held.head.commit_index.max(committed);
        Reply::Appended {
            run: self.run,
            ballot: appending.ballot,
            replica: self.identity,
            last_index: matched,
            round: appending.round,
        }
    }

    fn take_entry(&mut self, entry: LogEntry, writes: &mut Vec<Write>) {
        let index = entry.index;
        if index <= self.held.head.last.index {
            if self.agrees_at(entry.position()) {
                return;
            }
            self.truncate_from(index);
            self.look_back_from(index);
            let run = self.run;
            writes.push(Write::TruncateFrom { run, index });
        }
        if matches!(entry.entry, Entry::Closed) {
            self.held.head.closed_index = index;
        }
        if let Some(call_open) = entry.entry.leaves_call_open() {
            self.held.head.call_open = call_open;
        }
        if entry.entry.replicas().is_some() {
            self.held.head.members_index = index;
        }
        self.held.head.last = entry.position();
        self.remember(entry.clone());
        let run = self.run;
        writes.push(Write::Entry { run, entry });
    }

    /// Where the owner must go on from, if its entries don't follow on from this log.
    fn gap(&self, previous: LogPosition) -> Option<LogIndex> {
        let head = &self.held.head;
        if previous.index > head.last.index {
            return Some(head.last.index.next());
        }
        // Everything committed agrees with every later owner, so it is a safe place to go on from.
        let agrees = self.agrees_at(previous);
        (!agrees).then(|| head.commit_index.next())
    }

    fn agrees_at(&self, position: LogPosition) -> bool {
        if position.index <= self.held.head.commit_index || position == self.held.head.last {
            return true;
        }
        let found = self.entries(position.index, 1);
        found
            .first()
            .is_some_and(|entry| entry.position() == position)
    }

    fn entries(&self, first: LogIndex, max_bytes: usize) -> Vec<LogEntry> {
        let tail_first = self.held.tail.as_ref().map(|tail| tail.first);
        let stored_end = tail_first.unwrap_or(self.held.head.last.index.next());
        let mut found = Vec::new();
        if first < stored_end {
            found = self.storage.entries(self.run, first, max_bytes);
            found.retain(|entry| entry.index < stored_end);
        }
        let next = LogIndex(first.0 + found.len() as u64);
        if let Some(tail) = self.held.tail.as_ref().filter(|tail| next >= tail.first) {
            let skipped = (next.0 - tail.first.0) as usize;
            let mut bytes: usize = found.iter().map(|entry| entry.entry.size_bytes()).sum();
            for entry in tail.entries.iter().skip(skipped) {
                if !found.is_empty() && bytes >= max_bytes {
                    break;
                }
                bytes += entry.entry.size_bytes();
                found.push(entry.clone());
            }
        }
        found
    }

    fn truncate_from(&mut self, index: LogIndex) {
        if self.held.head.closed_index >= index {
            self.held.head.closed_index = LogIndex::NONE;
        }
        if let Some(tail) = self.held.tail.as_mut() {
            let kept = index.0.saturating_sub(tail.first.0) as usize;
            tail.entries.truncate(kept);
            tail.first = tail.first.min(index);
        }
    }

    /// Sets what the head says of the entries before `index`.
    fn look_back_from(&mut self, index: LogIndex) {
        let mut call_open = None;
        let mut members_index = None;
        let mut at = index.previous();
        while at != LogIndex::NONE && (call_open.is_none() || members_index.is_none()) {
            let found = self.entries(at, 1);
            if let Some(found) = found.first().filter(|found| found.index == at) {
                call_open = call_open.or(found.entry.leaves_call_open());
                let names_set = found.entry.replicas().is_some();
                members_index = members_index.or(names_set.then_some(at));
            }
            at = at.previous();
        }
        self.held.head.call_open = call_open.unwrap_or(false);
        self.held.head.members_index = members_index.unwrap_or(LogIndex::NONE);
    }

    fn remember(&mut self, entry: LogEntry) {
        let write_number = self.write_number;
        let first = entry.index;
        let tail = self.held.tail.get_or_insert_with(|| {
            Box::new(UnflushedTail {
                first,
                entries: Vec::new(),
                write_number,
            })
        });
        tail.entries.push(entry);
        tail.write_number = write_number;
    }

    /// A commit index that moved alone is not worth a flush: the owner tells it again. It is written when it
    /// closes the run, because a closed run hears of no owner any more.
    fn must_write_head(&self, before: &RunHead) -> bool {
        let now = self.held.head;
        let unchanged = RunHead {
            commit_index: now.commit_index,
            ..*before
        } == now;
        !unchanged || now.is_closed() != before.is_closed()
    }

    fn write_head(&self) -> Write {
        Write::Head {
            run: self.run,
            head: self.held.head,
        }
    }

    fn reject_lower(&self, ballot: Ballot) -> Answer {
        let promised = self.held.head.promised;
        let reply = Reply::Rejected {
            run: self.run,
            ballot,
            replica: self.identity,
            reason: Rejection::HigherBallot { promised },
        };
        Answer {
            writes: Vec::new(),
            reply,
        }
    }
}
