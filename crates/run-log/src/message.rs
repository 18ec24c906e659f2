//! Messages between the proposer of a run and its acceptors.
//!
//! Any message may be lost, duplicated, reordered or delayed without bound.
#![allow(
    missing_docs,
    reason = "the resolvers that rkyv derives carry undocumented fields"
)]

use rkyv::{Archive, Deserialize, Serialize};

use ridgeworks_domain::{Ballot, RunId};

use crate::entry::{LogEntry, LogIndex, LogPosition, ReplicaId};

/// Why an acceptor refused a proposer's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum Rejection {
    /// The acceptor has promised a higher ballot, or this ballot to another proposer instance. A fetch is also rejected
    /// if the promised ballot is lower than its own.
    HigherBallot {
        /// The acceptor refuses every lower ballot.
        promised: Ballot,
    },
    /// The appended entries do not follow the acceptor's log.
    Gap {
        /// Index from which the owner must resume sending.
        next_index: LogIndex,
    },
    /// The message is addressed to a store that this node no longer has, or names a generation of the
    /// store so old that the store may have deleted the run since.
    Recovering,
    /// The acceptor holds no state of the run.
    UnknownRun,
}

/// An open run whose replica has received no append from an owner for some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct SilentRun {
    pub run: RunId,
    /// The promised ballot; names the last known owner.
    pub promised: Ballot,
    /// Time since the last append, in milliseconds.
    pub silent_ms: u64,
}

/// A request to a replica, from a proposer or from a node that looks for runs without an owner.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum Request {
    /// Asks the acceptor to promise that it refuses every lower ballot.
    Prepare {
        run: RunId,
        ballot: Ballot,
        /// Random number of this proposer instance. A node without a disk may choose the same ballot
        /// again after a restart; an acceptor grants a ballot to one instance only.
        instance: u64,
        /// The acceptor as named in the run's log, once known. Without it, a replica that holds no state
        /// of the run doesn't create any.
        replica: Option<ReplicaId>,
    },
    /// Reads part of the log from an acceptor that promised `ballot`.
    Fetch {
        run: RunId,
        ballot: Ballot,
        first_index: LogIndex,
    },
    /// Appends entries; without entries it is a heartbeat.
    Append {
        run: RunId,
        /// The owner's ballot.
        ballot: Ballot,
        /// The addressed acceptor, as named in the run's log.
        replica: ReplicaId,
        /// Position immediately before `entries`.
        previous: LogPosition,
        /// Entries at consecutive indices.
        entries: Vec<LogEntry>,
        /// All entries up to this index are committed.
        commit_index: LogIndex,
        /// Confirmation round, echoed in the reply. A majority of replies proves that the sender still
        /// owns the run.
        round: u64,
    },
    /// Asks for the store's identity, which the node that opens a run must know.
    Identify,
    /// Lists open runs that have received no append for the requested time.
    ListSilentRuns {
        /// Minimum time since the last append, in milliseconds.
        silent_ms: u64,
        /// Lists only runs with a greater identifier; the last run of the previous page.
        after: Option<RunId>,
        limit: u32,
    },
}

/// A replica's reply to a [`Request`].
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum Reply {
    /// The acceptor refuses every lower ballot from now on.
    Promise {
        run: RunId,
        ballot: Ballot,
        /// The proposer instance that received the promise.
        instance: u64,
        replica: ReplicaId,
        /// End of the acceptor's log.
        last: LogPosition,
        /// All entries up to this index are committed, as far as the acceptor knows.
        commit_index: LogIndex,
    },
    /// Part of the acceptor's log.
    Fetched {
        run: RunId,
        /// Ballot of the request.
        ballot: Ballot,
        replica: ReplicaId,
        /// Consecutive entries from the requested index; limited in size.
        entries: Vec<LogEntry>,
    },
    /// The acceptor's durable log agrees with the owner's up to `last_index`.
    Appended {
        run: RunId,
        /// The owner's ballot.
        ballot: Ballot,
        replica: ReplicaId,
        last_index: LogIndex,
        /// Confirmation round of the request.
        round: u64,
    },
    /// The request was refused.
    Rejected {
        run: RunId,
        /// Ballot of the request.
        ballot: Ballot,
        /// Current identity of the replica.
        replica: ReplicaId,
        reason: Rejection,
    },
    /// Current identity of the replica.
    Identity {
        /// Node, store and generation.
        replica: ReplicaId,
    },
    /// Open runs that have received no append for the requested time, in ascending order.
    SilentRuns {
        /// At most as many as the request's limit.
        runs: Vec<SilentRun>,
    },
}

/// A message between nodes.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum Message {
    Request(Request),
    Reply(Reply),
}

impl Request {
    /// The run that the message concerns, if any.
    pub fn run(&self) -> Option<RunId> {
        match self {
            Self::Prepare { run, .. } | Self::Fetch { run, .. } | Self::Append { run, .. } => {
                Some(*run)
            }
            Self::Identify | Self::ListSilentRuns { .. } => None,
        }
    }
}

impl Reply {
    /// The run that the message concerns, if any.
    pub fn run(&self) -> Option<RunId> {
        match self {
            Self::Promise { run, .. }
            | Self::Fetched { run, .. }
            | Self::Appended { run, .. }
            | Self::Rejected { run, .. } => Some(*run),
            Self::Identity { .. } | Self::SilentRuns { .. } => None,
        }
    }
}
