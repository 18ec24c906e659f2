//! Streams answers from many workers at a time, from the system or straight from engines, and
//! measures when tokens arrive.

mod command;
mod target;
mod workers;

pub use command::{LoadArguments, LoadError, run};
pub use target::{DirectTarget, StreamTarget, SystemTarget};
pub use workers::{LoadPlan, LoadResult, run_load};
