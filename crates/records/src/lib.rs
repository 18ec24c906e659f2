//! Replicated records of the turns of programs, without I/O.
//!
//! Two kinds of records last: the *turns* that later turns go on from, and the *ledger* of the tokens
//! that each program may still generate. Both only grow: a turn never changes once it is written, and
//! an entry of the ledger only settles downwards. So a write needs one round to a majority of the
//! replicas, and there is no leader.
//!
//! - [`ReplicaState`] is the state machine of one replica.
//! - [`QuorumWrite`] and [`ChainRead`] are the state machines of one operation at a gateway.
//! - [`ReplicaSet`] says which replicas there are in one group, at which [`Epoch`]. The sets of all [`ReplicaGroups`] are one object of a
//!   register with compare-and-swap; [`plan_change`] says how one is to change.
#![allow(
    missing_docs,
    reason = "the resolvers that rkyv derives carry undocumented fields"
)]

mod chain_read;
mod change_log;
mod groups;
mod identifiers;
mod ledger;
mod message;
mod plan;
mod quorum_write;
mod replica;
mod replica_set;
mod turn;

pub use chain_read::{ChainOutcome, ChainRead};
pub use change_log::ListPosition;
pub use groups::{GroupId, ReplicaGroups};
pub use identifiers::{Epoch, ProgramId, RecordKey, ReplicaId, TurnId};
pub use ledger::{LedgerEntry, ProgramLedger};
pub use message::{Admission, Listing, ReplicaReply, ReplicaRequest, Settlement};
pub use plan::{CopiesSeen, SetStep, StorageNode, deal_groups, initial_groups, plan_change};
pub use quorum_write::{QuorumWrite, WriteProgress};
pub use replica::{Change, DISK_VERSION, Handled, ReplicaState, StoredRecord, Wait};
pub use replica_set::{Replica, ReplicaSet};
pub use turn::TurnRecord;
