//! The replica role: keeps the logs of runs on this node's disk.
//!
//! `role` is the actor, `store` the open data folder, `log_store` its records. `sweep` and
//! `adoption_sweep` find owners for runs that lack one. What survives a crash: see `ridgeworks_storage`.

pub mod adoption_sweep;
mod log_store;
mod role;
mod store;
mod sweep;

pub use role::ReplicaRole;
pub use store::{NodeStore, OpenStoreError, WriteOwner};
pub use sweep::RunSweeps;
