//! Entries of a run's log, and who keeps them.
//!
//! Everything here is durable on a majority of the run's replicas once committed, and survives the
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

/// Index of an entry in a run's log. The first entry has index 1; 0 means "none".
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
    /// Before the first entry.
    pub const NONE: Self = Self(0);
    /// The first entry.
    pub const FIRST: Self = Self(1);

    /// The index after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The index before this one; [`LogIndex::NONE`] stays.
    pub fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// An index with the ballot under which the entry there was first proposed. Two logs that agree at a
/// position agree in everything before it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Archive, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// Ballot of the entry; compared first, so that the greatest position is the newest log.
    pub ballot: Ballot,
    /// Index of the entry.
    pub index: LogIndex,
}

impl LogPosition {
    /// Before the first entry.
    pub const NONE: Self = Self {
        ballot: Ballot::ZERO,
        index: LogIndex::NONE,
    };
}

/// Random identity of one data folder, drawn when the folder is first used.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Archive, Serialize, Deserialize,
)]
pub struct StoreId(pub u64);

/// One acceptor: a node together with the identity of its disk. A node that lost its disk comes
/// back with another [`StoreId`] and is therefore another acceptor, which holds none of the old votes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub struct ReplicaId {
    /// The node.
    pub node: NodeId,
    /// Its data folder.
    pub store: StoreId,
    /// Count of the store's forgetting sweeps when this identity was read; see
    /// [`crate::replica::Replica::sweep`].
    pub generation: u32,
}

impl ReplicaId {
    /// Whether both name the same acceptor, whatever generation they were read at.
    pub fn same_acceptor(self, other: Self) -> bool {
        self.node == other.node && self.store == other.store
    }
}

/// How one attempt of a repeatable call ended without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// The back end did not run it and never will.
    NotRun,
    /// It may have run; its full reserve counts as spent.
    Unknown,
    /// The back end stopped it, and told what it had cost.
    Cancelled {
        /// That cost, at most the reserve.
        spent: Cost,
    },
}

/// What a run opens with.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Opening {
    /// Owner of the program.
    pub partner: PartnerName,
    /// The program.
    pub program: ProgramName,
    /// Priority class of its calls.
    pub class: ClassName,
    /// Upper bound of what the run and its children may spend.
    pub budget: Cost,
    /// Most calls of the run.
    pub max_calls: u64,
    /// The run that it is a sub-agent of.
    pub parent: Option<RunId>,
    /// Its first replicas, with the identities that their stores had before the run existed.
    pub replicas: Vec<ReplicaId>,
}

/// One entry of a run's log.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum Entry {
    /// Always the first entry.
    Opened(Opening),
    /// A new owner won the run; everything before this entry is committed with it.
    OwnerChanged {
        /// The new owner.
        owner: NodeId,
    },
    /// A call was admitted; its reserve is held.
    Accepted {
        /// The whole request.
        request: CallRequest,
        /// xxh3-64 of the body.
        request_digest: u64,
        /// Most attempts of a repeatable call.
        max_attempts: u32,
    },
    /// An attempt may leave for this back end once this entry is committed.
    Dispatched {
        /// The call.
        call: Sequence,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// The back end.
        backend: BackendName,
        /// Its address.
        address: BackendAddress,
    },
    /// An attempt of a repeatable call ended without an answer; the call goes on.
    AttemptEnded {
        /// The call.
        call: Sequence,
        /// The attempt.
        attempt: u32,
        /// How.
        end: AttemptEnd,
    },
    /// The call was answered.
    Finished {
        /// The call.
        call: Sequence,
        /// The attempt that was answered.
        attempt: u32,
        /// The back end's whole answer.
        answer: Vec<u8>,
        /// What the back end counted.
        spent: Cost,
    },
    /// The call did not run and no attempt of it can run any more.
    NotRun {
        /// The call.
        call: Sequence,
    },
    /// The call may have run and its answer is not to be had.
    Unknown {
        /// The call.
        call: Sequence,
    },
    /// Part of the budget was set aside for a child run.
    ChildOpened {
        /// The child.
        run: RunId,
        /// Its budget.
        budget: Cost,
    },
    /// The child ended; what it left of its budget comes back.
    ChildClosed {
        /// The child.
        run: RunId,
        /// What it spent.
        spent: Cost,
    },
    /// The replica set from this entry on. Differs from the set before by one acceptor only.
    ReplicasChanged {
        /// The whole new set.
        replicas: Vec<ReplicaId>,
    },
    /// The run ended; nothing follows but changes of owner and replicas.
    Closed,
}

impl Entry {
    /// Approximate size of the entry in a message, in bytes.
    pub fn size_bytes(&self) -> usize {
        const FIXED_BYTES: usize = 64;
        let variable = match self {
            Self::Accepted { request, .. } => request.body.len(),
            Self::Finished { answer, .. } => answer.len(),
            _ => 0,
        };
        FIXED_BYTES + variable
    }

    /// Whether a call is under way after this entry; `None` when it is as before.
    pub fn leaves_call_open(&self) -> Option<bool> {
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

    /// The replica set that the entry sets, if it sets one.
    pub fn replicas(&self) -> Option<&[ReplicaId]> {
        match self {
            Self::Opened(opening) => Some(&opening.replicas),
            Self::ReplicasChanged { replicas } => Some(replicas),
            _ => None,
        }
    }
}

/// An entry as the log keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct LogEntry {
    /// Its index.
    pub index: LogIndex,
    /// The ballot under which it was first proposed.
    pub ballot: Ballot,
    /// Its content.
    pub entry: Entry,
}

impl LogEntry {
    /// Its position.
    pub fn position(&self) -> LogPosition {
        LogPosition {
            ballot: self.ballot,
            index: self.index,
        }
    }
}

/// Digest of a request body by which a repeated call is told from a conflicting one.
pub fn request_digest(body: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(body)
}
