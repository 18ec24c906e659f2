//! The owner role: orders the calls of the runs that this node owns.
//!
//! `role` is the actor. Commands of gateways come in by `commands` and `opening`; a run is owned by
//! `takeover` or, where no caller asks, by `adoption`. `effects` carries out what a run's state machine
//! asks for: slots of dispatchers (`slots`, `running_slots`, `preemption`), attempts at back ends
//! (`attempts`, `prompt`) and what follows a close (`closing`). Nothing here survives a crash: the
//! next owner reads the run's log from its replicas.

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
