//! The acceptor of one run: its promise, and the log that it replicates from the current owner.
//!
//! [`RunHead`] and all entries survive a crash, except that the commit index may fall back to an earlier value. An
//! advance that closes the run is durable. The rules are those of Raft's followers, for the reasons given in `docs/design/run-log.md`:
//!
//! - a ballot below the promised one is refused, and a ballot is granted to only one proposer instance;
//! - entries are appended only where the preceding entry matches (same index, same ballot);
//! - a promise belongs to one store. A node that restarts without its disk has another [`StoreId`](crate::entry::StoreId)
//!   and refuses messages addressed to the old one, so it can't contradict a promise that it has lost.

use ridgeworks_domain::{Ballot, RunId};

use crate::entry::{Entry, LogEntry, LogIndex, LogPosition, ReplicaId};
use crate::message::{Rejection, Reply};
use crate::storage::{LogStorage, RunHead, Write};

/// Approximate limit on the size of the entries in one reply to a fetch, in bytes; the last entry may exceed it.
pub const FETCH_BYTES: usize = 256 * 1024;

/// A store deletes a closed run only once its generation exceeds the one that the run's log names for it by at least
/// this number.
pub(crate) const RETAINED_GENERATIONS: u32 = 2;

/// Entries whose writes have not been reported as flushed. They replace whatever the storage still holds
/// from `first` on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct UnflushedTail {
    pub first: LogIndex,
    pub entries: Vec<LogEntry>,
    pub write_number: u64,
}

/// In-memory state of the acceptor of one run.
#[derive(Debug, Clone)]
pub(crate) struct AcceptorState {
    pub head: RunHead,
    pub tail: Option<Box<UnflushedTail>>,
}

/// A reply, and the writes that must be durable before it is sent.
pub(crate) struct Answer {
    pub writes: Vec<Write>,
    pub reply: Reply,
}

/// The acceptor of one run, borrowed from the replica to handle one request.
pub(crate) struct Acceptor<'a> {
    pub run: RunId,
    pub identity: ReplicaId,
    pub state: &'a mut AcceptorState,
    pub storage: &'a dyn LogStorage,
    pub write_number: u64,
}

/// The fields of [`Request::Append`](crate::message::Request::Append) that concern the log.
pub(crate) struct AppendRequest {
    pub ballot: Ballot,
    pub previous: LogPosition,
    pub entries: Vec<LogEntry>,
    pub commit_index: LogIndex,
    pub round: u64,
}

impl RunHead {
    /// The head of a run without a promise or entries.
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

    /// Whether the `Closed` entry is known to be committed.
    pub fn is_closed(&self) -> bool {
        self.closed_index != LogIndex::NONE && self.closed_index <= self.commit_index
    }

    /// Whether an owner must still end a call or commit the end of the run.
    pub fn has_pending_work(&self) -> bool {
        let ending = self.closed_index != LogIndex::NONE && !self.is_closed();
        self.call_open || ending
    }
}

impl Acceptor<'_> {
    /// Promises the ballot unless a higher one was promised, or the same one to another instance.
    pub fn prepare(&mut self, ballot: Ballot, instance: u64) -> Answer {
        let head = &mut self.state.head;
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

    /// Returns a page of the log to the proposer that holds the promise.
    pub fn fetch(&mut self, ballot: Ballot, first: LogIndex) -> Answer {
        if ballot != self.state.head.promised {
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

    /// Appends entries of an owner whose ballot is at least the promised one.
    pub fn append(&mut self, append_request: AppendRequest) -> Answer {
        if append_request.ballot < self.state.head.promised {
            return self.reject_lower(append_request.ballot);
        }
        let before = self.state.head;
        if append_request.ballot > before.promised {
            self.state.head.promised = append_request.ballot;
            self.state.head.instance = 0;
        }
        let mut writes = Vec::new();
        let reply = match self.resume_index(append_request.previous) {
            Some(next_index) => Reply::Rejected {
                run: self.run,
                ballot: append_request.ballot,
                replica: self.identity,
                reason: Rejection::Gap { next_index },
            },
            None => self.append_entries(append_request, &mut writes),
        };
        if self.must_write_head(&before) {
            writes.push(self.write_head());
        }
        Answer { writes, reply }
    }

    fn append_entries(&mut self, append_request: AppendRequest, writes: &mut Vec<Write>) -> Reply {
        let count = append_request.entries.len() as u64;
        let matched = LogIndex(append_request.previous.index.0 + count);
        for entry in append_request.entries {
            self.append_entry(entry, writes);
        }
        let committed = append_request.commit_index.min(matched);
        self.state.head.commit_index = self.state.head.commit_index.max(committed);
        Reply::Appended {
            run: self.run,
            ballot: append_request.ballot,
            replica: self.identity,
            last_index: matched,
            round: append_request.round,
        }
    }

    fn append_entry(&mut self, entry: LogEntry, writes: &mut Vec<Write>) {
        let index = entry.index;
        if index <= self.state.head.last.index {
            if self.contains_position(entry.position()) {
                return;
            }
            self.truncate_from(index);
            self.recompute_head_before(index);
            let run = self.run;
            writes.push(Write::TruncateFrom { run, index });
        }
        if matches!(entry.entry, Entry::Closed) {
            self.state.head.closed_index = index;
        }
        if let Some(call_open) = entry.entry.call_in_progress_after() {
            self.state.head.call_open = call_open;
        }
        if entry.entry.replicas().is_some() {
            self.state.head.members_index = index;
        }
        self.state.head.last = entry.position();
        self.push_unflushed(entry.clone());
        let run = self.run;
        writes.push(Write::Entry { run, entry });
    }

    /// Index from which the owner must resume sending, if its entries don't follow this log.
    fn resume_index(&self, previous: LogPosition) -> Option<LogIndex> {
        let head = &self.state.head;
        if previous.index > head.last.index {
            return Some(head.last.index.next());
        }
        // Every later owner's log contains all committed entries, so sending can resume after them.
        let agrees = self.contains_position(previous);
        (!agrees).then(|| head.commit_index.next())
    }

    fn contains_position(&self, position: LogPosition) -> bool {
        if position.index <= self.state.head.commit_index || position == self.state.head.last {
            return true;
        }
        let found = self.entries(position.index, 1);
        found
            .first()
            .is_some_and(|entry| entry.position() == position)
    }

    fn entries(&self, first: LogIndex, max_bytes: usize) -> Vec<LogEntry> {
        let tail_first = self.state.tail.as_ref().map(|tail| tail.first);
        let stored_end = tail_first.unwrap_or(self.state.head.last.index.next());
        let mut found = Vec::new();
        if first < stored_end {
            found = self.storage.entries(self.run, first, max_bytes);
            found.retain(|entry| entry.index < stored_end);
        }
        let next = LogIndex(first.0 + found.len() as u64);
        if let Some(tail) = self.state.tail.as_ref().filter(|tail| next >= tail.first) {
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
        if self.state.head.closed_index >= index {
            self.state.head.closed_index = LogIndex::NONE;
        }
        if let Some(tail) = self.state.tail.as_mut() {
            let kept = index.0.saturating_sub(tail.first.0) as usize;
            tail.entries.truncate(kept);
            tail.first = tail.first.min(index);
        }
    }

    /// Recomputes the fields of the head that depend on the entries before `index`.
    fn recompute_head_before(&mut self, index: LogIndex) {
        let mut call_open = None;
        let mut members_index = None;
        let mut at = index.previous();
        while at != LogIndex::NONE && (call_open.is_none() || members_index.is_none()) {
            let found = self.entries(at, 1);
            if let Some(found) = found.first().filter(|found| found.index == at) {
                call_open = call_open.or(found.entry.call_in_progress_after());
                let defines_members = found.entry.replicas().is_some();
                members_index = members_index.or(defines_members.then_some(at));
            }
            at = at.previous();
        }
        self.state.head.call_open = call_open.unwrap_or(false);
        self.state.head.members_index = members_index.unwrap_or(LogIndex::NONE);
    }

    fn push_unflushed(&mut self, entry: LogEntry) {
        let write_number = self.write_number;
        let first = entry.index;
        let tail = self.state.tail.get_or_insert_with(|| {
            Box::new(UnflushedTail {
                first,
                entries: Vec::new(),
                write_number,
            })
        });
        tail.entries.push(entry);
        tail.write_number = write_number;
    }

    /// An advance of the commit index alone is not written, because the owner sends it again. It is written when it
    /// closes the run, because no owner contacts a closed run any more.
    fn must_write_head(&self, before: &RunHead) -> bool {
        let now = self.state.head;
        let unchanged = RunHead {
            commit_index: now.commit_index,
            ..*before
        } == now;
        !unchanged || now.is_closed() != before.is_closed()
    }

    fn write_head(&self) -> Write {
        Write::Head {
            run: self.run,
            head: self.state.head,
        }
    }

    fn reject_lower(&self, ballot: Ballot) -> Answer {
        let promised = self.state.head.promised;
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
