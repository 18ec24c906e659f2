//! Messages between the proposer of a run and its acceptors.
//!
//! Any message may be lost, doubled, delayed for any time or overtaken.
#![allow(
    missing_docs,
    reason = "the resolvers that rkyv derives carry undocumented fields"
)]

use rkyv::{Archive, Deserialize, Serialize};

use ridgeworks_domain::{Ballot, RunId};

use crate::entry::{LogEntry, LogIndex, LogPosition, ReplicaId};

/// Why an acceptor did not do what a proposer asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum Rejection {
    /// It promised another claim.
    HigherBallot {
        /// What it promised.
        promised: Ballot,
    },
    /// The appended entries do not follow on from its log.
    Gap {
        /// Where to go on from.
        next_index: LogIndex,
    },
    /// The message was meant for a store that this node no longer has, or names the store at a
    /// generation before which it may have forgotten the run.
    Recovering,
    /// It holds nothing of the run.
    UnknownRun,
}

/// An open run that no owner was heard of for a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct SilentRun {
    /// The run.
    pub run: RunId,
    /// Who owned it last.
    pub promised: Ballot,
    /// Time since the last append, in milliseconds.
    pub silent_ms: u64,
}

/// What a proposer or a sweeping node asks of a replica.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum Request {
    /// Asks for the promise to refuse every lower ballot.
    Prepare {
        /// The run.
        run: RunId,
        /// The claim.
        ballot: Ballot,
        /// Random number of this proposer instance. A node without a disk may draw the same ballot
        /// again after a restart; an acceptor grants a ballot to one instance only.
        instance: u64,
        /// The acceptor as the run's log names it, once known. Without it a replica that holds nothing
        /// of the run writes nothing.
        replica: Option<ReplicaId>,
    },
    /// Asks for a part of the log from an acceptor that promised `ballot`.
    Fetch {
        /// The run.
        run: RunId,
        /// The promised claim.
        ballot: Ballot,
        /// The first index wanted.
        first_index: LogIndex,
    },
    /// Adds entries, or nothing (as a heartbeat).
    Append {
        /// The run.
        run: RunId,
        /// The owner's claim.
        ballot: Ballot,
        /// The acceptor that is meant, as the run's log names it.
        replica: ReplicaId,
        /// Position just before `entries`.
        previous: LogPosition,
        /// Entries at consecutive indices.
        entries: Vec<LogEntry>,
        /// Everything up to here is committed.
        commit_index: LogIndex,
        /// Number that the answer repeats, by which the owner confirms that it still owns the run.
        round: u64,
    },
    /// Asks for the store's identity, which the opener of a run must know.
    Identify,
    /// Asks for open runs without a sign of their owner.
    ListSilentRuns {
        /// Least time since the last append, in milliseconds.
        silent_ms: u64,
        /// Only runs above this one, to page through.
        after: Option<RunId>,
        /// Most runs wanted.
        limit: u32,
    },
}

/// What a replica answers.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum Reply {
    /// It refuses every lower ballot from now on.
    Promise {
        /// The run.
        run: RunId,
        /// The claim.
        ballot: Ballot,
        /// The instance that it was granted to.
        instance: u64,
        /// Who promises.
        replica: ReplicaId,
        /// End of its log.
        last: LogPosition,
        /// Everything up to here is committed, as far as it knows.
        commit_index: LogIndex,
    },
    /// Part of its log.
    Fetched {
        /// The run.
        run: RunId,
        /// The claim under which it was asked.
        ballot: Ballot,
        /// Who answers.
        replica: ReplicaId,
        /// Consecutive entries from the asked index on; fewer than there are when they are large.
        entries: Vec<LogEntry>,
    },
    /// Its log agrees with the owner's up to an index, on disk.
    Appended {
        /// The run.
        run: RunId,
        /// The owner's claim.
        ballot: Ballot,
        /// Who answers.
        replica: ReplicaId,
        /// The index.
        last_index: LogIndex,
        /// The number of the request.
        round: u64,
    },
    /// It did not do it.
    Rejected {
        /// The run.
        run: RunId,
        /// The claim of the request.
        ballot: Ballot,
        /// Who answers, as it is now.
        replica: ReplicaId,
        /// Why.
        reason: Rejection,
    },
    /// Its identity.
    Identity {
        /// Node, store and generation.
        replica: ReplicaId,
    },
    /// Open runs without a sign of their owner, ascending.
    SilentRuns {
        /// The runs.
        runs: Vec<SilentRun>,
    },
}

/// One message between nodes.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum Message {
    /// To a replica.
    Request(Request),
    /// From a replica.
    Reply(Reply),
}

impl Request {
    /// The run it is about, if any.
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
    /// The run it is about, if any.
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
