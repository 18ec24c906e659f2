//! Replicated records of the turns of programs, without I/O.
//!
//! Two kinds of records are kept: *turns*, which later turns continue, and the *ledger* of the
//! tokens that each program may still generate. A turn never changes once it is written, and
//! merging two copies of a ledger is commutative, associative and idempotent. So a write takes one
//! round to a majority of the replicas, and there is no leader.
//!
//! - [`ReplicaState`] is the state machine of one replica.
//! - [`QuorumWrite`] and [`ChainRead`] are the state machines of one operation at a gateway.
//! - [`ReplicaSet`] holds the replicas of one group at an [`Epoch`]. The sets of all
//!   [`ReplicaGroups`] are one object of a register with compare-and-swap; [`plan_change`] computes
//!   the next change of a set.
#![allow(
    missing_docs,
    reason = "the resolvers that rkyv derives carry undocumented fields"
)]

mod chain_read;
mod change_log;
mod engine_ends;
mod groups;
mod identifiers;
mod ledger;
mod message;
mod origin;
mod plan;
mod quorum_write;
mod replica;
mod replica_set;
mod turn;

pub use chain_read::{ChainOutcome, ChainRead};
pub use change_log::ListPosition;
pub use engine_ends::{
    EndCertainty, EngineEnd, EngineEnds, EngineRun, ExpiredEnds, MARK_ENTRY, MAX_ENGINE_ENDS,
    PERMIT_ENTRY, RequestDigest, SendVerdict,
};
pub use groups::{GroupId, ReplicaGroups};
pub use identifiers::{Epoch, ProgramId, RecordKey, ReplicaId, TurnId};
pub use ledger::{LedgerEntry, ProgramLedger, TurnAdmission};
pub use message::{Admission, Listing, ReplicaReply, ReplicaRequest, Settlement};
pub use origin::StreamOrigin;
pub use plan::{CopyProgress, SetStep, StorageNode, assign_groups, initial_groups, plan_change};
pub use quorum_write::{QuorumWrite, WriteProgress, Written};
pub use replica::{
    ChainGap, Change, DISK_VERSION, Handled, IncompleteAppend, NotRestored, RETENTION_MARGIN_MS,
    ReplicaState, StoredRecord, Wait,
};
pub use replica_set::{Replica, ReplicaSet};
pub use turn::TurnRecord;
