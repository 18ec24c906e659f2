//! The replica role: keeps the logs of runs on this node's disk.

pub mod adoption_sweep;
mod log_store;
mod role;
mod store;
mod sweep;

pub use role::ReplicaRole;
pub use store::{NodeStore, OpenStoreError, WriteOwner};
pub use sweep::RunSweeps;
