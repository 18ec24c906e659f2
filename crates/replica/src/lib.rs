//! The replica: keeps records on a disk, and takes part in changing the replica set.
//!
//! `actor` holds the state machine and the disk; `copying` brings the records of a changed set together;
//! `coordinator` changes the set and answers orders to empty a machine.

pub mod actor;
mod coordinator;
mod copying;
pub mod disk;
mod handle;
mod lateness;
pub mod metrics;
mod retirements;
mod role;

pub use role::run;
