//! The replica: keeps records on a disk, and takes part in changing the replica set.
//!
//! `actor` holds the state machine and the disk; `copying` brings the records together that a replica needs to join the set, and
//! `preparation` says when; `coordinator` changes the sets by who lives (`liveness`), asks `newcomers` to copy first, and answers orders to empty a machine.

pub mod actor;
mod coordinator;
mod copying;
pub mod disk;
mod handle;
mod lateness;
mod limiting;
mod liveness;
pub mod metrics;
mod newcomers;
pub mod preparation;
mod retirements;
mod role;

pub use role::run;
