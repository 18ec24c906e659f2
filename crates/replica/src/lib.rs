//! The replica process: keeps records on a disk, and takes part in changing the replica sets.
//!
//! - `actor` holds the state machine and the disk.
//! - `coordinator` changes the replica sets by which nodes are alive (`liveness`), asks
//!   `new_members` to copy first, and reports the progress of retirements.
//! - `chain_repair` gets turns that this replica missed from other voters.
//! - `copying` copies the records that a replica needs to join a set; `preparation` tracks which
//!   copies are requested.

pub mod actor;
pub mod chain_repair;
mod coordinator;
mod copying;
pub mod disk;
mod handle;
mod latency;
mod limiters;
mod liveness;
pub mod metrics;
mod new_members;
mod open_failures;
pub mod preparation;
mod retirements;
mod role;

pub use role::run;
