//! The replica role: keeps the logs of runs on this node's disk.

mod log_store;
mod role;
mod store;

pub use role::ReplicaRole;
pub use store::{NodeStore, OpenStoreError, WriteOwner};
