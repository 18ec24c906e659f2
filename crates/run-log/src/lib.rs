//! Replicated log of each run, without I/O: ballots, acceptors, proposers, recovery, budget.
//!
//! A node runs one [`owner::RunOwner`] for each run that it owns, and a node with a disk runs one [`replica::Replica`]
//! for all runs that it stores. Both are state machines: they take typed events and the current time, and return the
//! effects to carry out. `docs/design/run-log.md` gives the design rationale.

mod acceptor;
pub mod budget;
mod election;
pub mod entry;
pub mod event;
pub mod message;
pub mod owner;
pub mod proposer;
pub mod replica;
pub mod replication;
pub mod run_state;
pub mod storage;

pub use entry::{Entry, LogEntry, LogIndex, LogPosition, Opening, ReplicaId, StoreId};
pub use event::{
    AttemptOutcome, AttemptResolution, CallerAnswer, CallerId, HistoryTurn, OwnerEffect, OwnerEvent,
};
pub use message::{Message, Rejection, Reply, Request, SilentRun};
pub use owner::{OwnerSettings, RunOwner};
pub use replica::{Replica, ReplicaReady};
pub use replication::ReplicationSettings;
pub use storage::{LogStorage, RestoredStore, RunHead, Write};
