//! How far one replica's log agrees with the owner's.

use ridgeworks_domain::MonotonicTime;

use crate::entry::{LogIndex, ReplicaId};

/// What the owner knows of one replica.
#[derive(Debug, Clone)]
pub(super) struct Progress {
    /// The replica.
    pub replica: ReplicaId,
    /// The replica's log is known to agree up to here, on its disk.
    pub matched: LogIndex,
    /// The next entry to send.
    pub next: LogIndex,
    /// Appends with entries under way.
    pub inflight: u32,
    /// Highest confirmation round that it answered.
    pub answered_round: u64,
    /// Highest commit index that it was sent.
    pub sent_commit: LogIndex,
    /// When it was last sent anything.
    pub last_sent: MonotonicTime,
    /// Earliest time of the next append of committed entries.
    pub catch_up_from: MonotonicTime,
}

impl Progress {
    /// Of a replica that was sent nothing yet.
    pub fn new(replica: ReplicaId, now: MonotonicTime) -> Self {
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
