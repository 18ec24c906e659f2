//! Replicated log of each run, without I/O: ballots, acceptors, proposers, recovery, budget.
//!
//! Where to start: [`owner::RunOwner`] is what a node runs for each run that it owns, [`replica::Replica`] what a
//! node with a disk runs for all runs that it keeps. Both take typed events and the time, and hand back what is to be done.
//! `docs/design/run-log.md` gives the reasons.

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
