//! `ridgeworks-testbed chaos`: a deployment of separate processes under load and faults, whose
//! recorded history is judged in the end.

mod arguments;
mod call;
mod client;
mod driver;
mod error;
mod injector;
mod links;
mod operators;
mod outcome;
mod recorder;
mod schedule;
mod sending;
mod status;
mod successors;
mod suite;
mod tally;
mod workload;

pub use arguments::{ChaosArguments, FaultList, UnknownFault};
pub use driver::run;
pub use error::ChaosError;
pub use outcome::{CallShares, ChaosOutcome};
pub use schedule::{Episode, FaultKind, NodeSite, PAUSE_AFTER_LOSS, Schedule, ScheduledFault};
pub use suite::{SuiteArguments, run_suite};
