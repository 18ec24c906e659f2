//! Replicated log of each run, without I/O: ballots, acceptors, proposers, recovery, budget.

pub mod entry;
pub mod event;
pub mod message;
pub mod storage;
