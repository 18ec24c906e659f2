//! The owner role: orders the calls of the runs that this node owns.

mod adoption;
mod attempts;
mod closing;
mod commands;
mod effects;
mod identities;
mod opening;
mod owned_run;
mod owned_runs;
pub mod pause;
mod preemption;
mod prompt;
mod quorum;
mod refusals;
mod role;
mod running_slots;
mod slot;
mod slots;
mod takeover;
mod waiter;
mod waiting_runs;

pub use role::{OwnerOutputs, OwnerRole};
