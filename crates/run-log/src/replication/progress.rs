//! Replication progress of one replica.

use ridgeworks_domain::MonotonicTime;

use crate::entry::{LogIndex, ReplicaId};

/// What the owner knows of a replica's log.
#[derive(Debug, Clone)]
pub(super) struct Progress {
    pub replica: ReplicaId,
    /// The replica's durable log is known to match the owner's up to this index.
    pub matched: LogIndex,
    /// Index of the next entry to send.
    pub next: LogIndex,
    /// Estimated number of unanswered appends with entries. Each `Appended` reply lowers it by one, also a reply to an
    /// append without entries; a retry and the rejections `Gap` and `UnknownRun` reset it to 0.
    pub inflight: u32,
    /// Highest confirmation round that the replica answered.
    pub answered_round: u64,
    /// Commit index in the last append sent.
    pub sent_commit: LogIndex,
    pub last_sent: MonotonicTime,
    /// Earliest time of the next append that sends entries already committed.
    pub next_catch_up_at: MonotonicTime,
}

impl Progress {
    /// Progress of a replica that was sent nothing yet.
    pub fn new(replica: ReplicaId, now: MonotonicTime) -> Self {
        Self {
            replica,
            matched: LogIndex::NONE,
            next: LogIndex::FIRST,
            inflight: 0,
            answered_round: 0,
            sent_commit: LogIndex::NONE,
            last_sent: now,
            next_catch_up_at: now,
        }
    }
}
