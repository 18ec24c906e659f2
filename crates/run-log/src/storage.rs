//! Storage interface of a replica: its writes and the state that it restores.
//!
//! The storage implementation turns each [`Write`] into key/value writes and commits a batch of them with one
//! fsync. The writes of one [`ReplicaReady`](crate::replica::ReplicaReady) are atomic: all of them survive a crash or
//! none. A crash may lose only a suffix of the writes, and only writes whose replies were not sent yet.

use ridgeworks_domain::{Ballot, RunId};

use crate::entry::{LogEntry, LogIndex, LogPosition, StoreId};

/// State of an acceptor for one run, without the entries. Of small, fixed size, because a replica
/// holds it in memory for every run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct RunHead {
    /// Every lower ballot is refused.
    pub promised: Ballot,
    /// The proposer instance that received the promise; 0 if an append raised the ballot.
    pub instance: u64,
    /// End of the log.
    pub last: LogPosition,
    /// All entries up to this index are committed.
    pub commit_index: LogIndex,
    /// Index of the `Closed` entry, or [`LogIndex::NONE`].
    pub closed_index: LogIndex,
    /// Index of the latest entry that defines the replica set.
    pub members_index: LogIndex,
    /// Whether a call is in progress at the end of the log.
    pub call_open: bool,
    /// Generation of this store that the run's log named when the store created its state of the run. The store's own
    /// generation may have been higher by then.
    pub generation: u32,
}

/// A durable change. Changes are applied in the order given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// Sets the head of a run.
    Head {
        /// Key of the head.
        run: RunId,
        /// Replaces any previous head.
        head: RunHead,
    },
    /// Sets the entry at (`run`, `entry.index`).
    Entry {
        /// The run whose log is written.
        run: RunId,
        /// Replaces any previous entry at its index.
        entry: LogEntry,
    },
    /// Removes all entries of the run from an index on.
    TruncateFrom {
        /// The run whose log is truncated.
        run: RunId,
        /// First index removed.
        index: LogIndex,
    },
    /// Removes the run's head and entries.
    DeleteRun {
        /// The run to delete.
        run: RunId,
    },
    /// Sets the store's generation.
    Generation {
        /// The new generation.
        generation: u32,
    },
}

/// Reads stored entries. Must see every write that was reported as flushed; the replica holds the others in memory.
pub trait LogStorage {
    /// Consecutive entries from `first` on: at least one if there is one, at most about `max_bytes` in total.
    fn entries(&self, run: RunId, first: LogIndex, max_bytes: usize) -> Vec<LogEntry>;
}

/// Contents of a store when it is opened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RestoredStore {
    /// Random identity of the data folder, made durable before first use.
    pub store: StoreId,
    /// Generation of the store; 0 for a new store.
    pub generation: u32,
    /// Heads of all runs.
    pub heads: Vec<(RunId, RunHead)>,
}
