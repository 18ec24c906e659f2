//! Entries of a run's log, and the identity of the replicas that store them.
//!
//! A committed entry is durable on a majority of the run's replicas and survives the
//! loss of any node and of one replica's disk.
#![allow(
    missing_docs,
    reason = "the resolvers that rkyv derives carry undocumented fields"
)]

use rkyv::{Archive, Deserialize, Serialize};

use ridgeworks_domain::{
    BackendAddress, BackendName, Ballot, CallRequest, ClassName, Cost, NodeId, PartnerName,
    ProgramName, RunId, Sequence,
};

/// Index of an entry in a run's log. The first entry has index 1; 0 means no entry.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Archive,
    Serialize,
    Deserialize,
)]
pub struct LogIndex(pub u64);

impl LogIndex {
    /// Position before the first entry.
    pub const NONE: Self = Self(0);
    pub const FIRST: Self = Self(1);

    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Saturates at [`LogIndex::NONE`].
    pub fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// Index of an entry and the ballot under which it was first proposed. Two logs that hold the same
/// position are identical up to it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Archive, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// Compared before the index, so that the greatest position belongs to the most recent log.
    pub ballot: Ballot,
    pub index: LogIndex,
}

impl LogPosition {
    /// Position before the first entry.
    pub const NONE: Self = Self {
        ballot: Ballot::ZERO,
        index: LogIndex::NONE,
    };
}

/// Random identity of a data folder, generated when the folder is first used: the low 64 bits of the `StoreCreationId`
/// that the storage keeps.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Archive, Serialize, Deserialize,
)]
pub struct StoreId(pub u64);

/// Identity of a replica: a node and its data folder. A node that lost its disk restarts
/// with another [`StoreId`] and is therefore a different replica, which holds none of the old promises.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub struct ReplicaId {
    pub node: NodeId,
    pub store: StoreId,
    /// Generation of the store when this identity was read; see
    /// [`crate::replica::Replica::sweep`].
    pub generation: u32,
}

impl ReplicaId {
    /// Whether both name the same replica, regardless of generation.
    pub fn same_acceptor(self, other: Self) -> bool {
        self.node == other.node && self.store == other.store
    }
}

/// How an attempt of a repeatable call ended without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// The back end did not execute it and never will.
    NotRun,
    /// It may have been executed; its full reserve counts as spent.
    Unknown,
    /// The back end stopped it and reported its cost
    /// ([`AttemptResolution::Stopped`](crate::event::AttemptResolution::Stopped)).
    Cancelled {
        /// At most the call's reserve.
        spent: Cost,
    },
}

/// Parameters of a run, fixed when it is opened.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Opening {
    /// Owner of the program.
    pub partner: PartnerName,
    pub program: ProgramName,
    /// Priority class of the run's calls.
    pub class: ClassName,
    /// Upper bound on the total cost of the run and its child runs.
    pub budget: Cost,
    pub max_calls: u64,
    /// Parent run, if this run is a sub-agent.
    pub parent: Option<RunId>,
    /// Initial replica set, with the store identities read before the run existed.
    pub replicas: Vec<ReplicaId>,
}

/// One entry of a run's log.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum Entry {
    /// The first entry of every log, and only the first.
    Opened(Opening),
    /// A new owner was elected. Committing this entry commits everything before it.
    OwnerChanged {
        /// Node of the new owner.
        owner: NodeId,
    },
    /// A call was admitted and its reserve is held.
    Accepted {
        request: CallRequest,
        /// xxh3-64 of the request body.
        request_digest: u64,
        /// Applies to repeatable calls only; other calls have one attempt.
        max_attempts: u32,
    },
    /// The attempt may be sent to this back end once this entry is committed.
    Dispatched {
        call: Sequence,
        /// Starts at 1.
        attempt: u32,
        backend: BackendName,
        address: BackendAddress,
    },
    /// An attempt of a repeatable call ended without an answer; the call stays in progress.
    AttemptEnded {
        call: Sequence,
        attempt: u32,
        end: AttemptEnd,
    },
    /// The call was answered.
    Finished {
        call: Sequence,
        /// The attempt that was answered.
        attempt: u32,
        /// The back end's complete answer.
        answer: Vec<u8>,
        /// Cost reported by the back end, at most the call's reserve.
        spent: Cost,
    },
    /// The call was not executed and no attempt of it can be executed any more.
    NotRun {
        /// The call that ended.
        call: Sequence,
    },
    /// The call may have been executed and its answer cannot be obtained.
    Unknown {
        /// The call that ended.
        call: Sequence,
    },
    /// Part of the budget was reserved for a child run.
    ChildOpened {
        /// The child run.
        run: RunId,
        budget: Cost,
    },
    /// The child run ended; the unspent part of its budget is released.
    ChildClosed {
        /// The child run.
        run: RunId,
        spent: Cost,
    },
    /// The replica set from this entry on. Differs from the previous set by exactly one acceptor.
    ReplicasChanged {
        /// The complete new set.
        replicas: Vec<ReplicaId>,
    },
    /// The run ended; only changes of owner and replicas may follow.
    Closed,
}

impl Entry {
    /// Approximate size of the entry in a message, in bytes.
    pub fn size_bytes(&self) -> usize {
        // Estimate for everything except the request body and the answer.
        const FIXED_BYTES: usize = 64;
        let variable = match self {
            Self::Accepted { request, .. } => request.body.len(),
            Self::Finished { answer, .. } => answer.len(),
            _ => 0,
        };
        FIXED_BYTES + variable
    }

    /// Whether a call is in progress after this entry; `None` if the entry doesn't change that.
    pub fn call_in_progress_after(&self) -> Option<bool> {
        match self {
            Self::Accepted { .. } | Self::Dispatched { .. } | Self::AttemptEnded { .. } => {
                Some(true)
            }
            Self::Opened(_)
            | Self::Finished { .. }
            | Self::NotRun { .. }
            | Self::Unknown { .. }
            | Self::Closed => Some(false),
            Self::OwnerChanged { .. }
            | Self::ReplicasChanged { .. }
            | Self::ChildOpened { .. }
            | Self::ChildClosed { .. } => None,
        }
    }

    /// The replica set that this entry defines, if any.
    pub fn replicas(&self) -> Option<&[ReplicaId]> {
        match self {
            Self::Opened(opening) => Some(&opening.replicas),
            Self::ReplicasChanged { replicas } => Some(replicas),
            _ => None,
        }
    }
}

/// An entry as stored in the log.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct LogEntry {
    pub index: LogIndex,
    /// Ballot under which the entry was first proposed.
    pub ballot: Ballot,
    pub entry: Entry,
}

impl LogEntry {
    pub fn position(&self) -> LogPosition {
        LogPosition {
            ballot: self.ballot,
            index: self.index,
        }
    }
}

/// Digest of a request body; distinguishes a repeated call from a conflicting one.
pub fn request_digest(body: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(body)
}
