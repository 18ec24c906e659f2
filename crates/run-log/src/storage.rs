//! What a replica writes, and what it reads back.
//!
//! A storage crate turns each [`Write`] into key/value writes and commits a batch of them with one
//! fsync. The writes of one [`ReplicaReady`](crate::replica::ReplicaReady) are atomic: all of them survive a crash or none. After a
//! crash it may have lost only writes whose replies were not sent yet, and always the last ones.

use ridgeworks_domain::{Ballot, RunId};

use crate::entry::{LogEntry, LogIndex, LogPosition, StoreId};

/// What an acceptor keeps of one run apart from its entries; small and of fixed size, so that a replica can
/// hold it in memory for every run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct RunHead {
    /// Every lower ballot is refused.
    pub promised: Ballot,
    /// The proposer instance that the promise was given to; 0 when it came with an append.
    pub instance: u64,
    /// End of the log.
    pub last: LogPosition,
    /// Everything up to here is committed.
    pub commit_index: LogIndex,
    /// Index of the `Closed` entry, [`LogIndex::NONE`] when there is none.
    pub closed_index: LogIndex,
    /// Index of the newest entry that names the replica set.
    pub members_index: LogIndex,
    /// Whether the log ends within a call.
    pub call_open: bool,
    /// The store's generation under which this acceptor was named a replica of the run.
    pub generation: u32,
}

/// One durable change, to be applied in the order given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// Set the head of a run.
    Head {
        /// The run.
        run: RunId,
        /// Its head.
        head: RunHead,
    },
    /// Set the entry at (run, entry.index).
    Entry {
        /// The run.
        run: RunId,
        /// The entry.
        entry: LogEntry,
    },
    /// Remove all entries of the run from this index on.
    TruncateFrom {
        /// The run.
        run: RunId,
        /// The first index removed.
        index: LogIndex,
    },
    /// Remove the run's head and entries.
    DeleteRun {
        /// The run.
        run: RunId,
    },
    /// Set the store's generation.
    Generation {
        /// Its new value.
        generation: u32,
    },
}

/// Reads entries back. Sees every write that was reported as flushed; a replica remembers the others itself.
pub trait LogStorage {
    /// Consecutive entries from `first` on, at least one if there is one, at most about `max_bytes`.
    fn entries(&self, run: RunId, first: LogIndex, max_bytes: usize) -> Vec<LogEntry>;
}

/// What a store held when it was opened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RestoredStore {
    /// Identity of the data folder, drawn at random and made durable before first use.
    pub store: StoreId,
    /// The store's generation, 0 at first.
    pub generation: u32,
    /// Heads of all runs.
    pub heads: Vec<(RunId, RunHead)>,
}
