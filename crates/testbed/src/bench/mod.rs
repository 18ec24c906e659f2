//! `ridgeworks-testbed bench`: what the system adds to the same load sent straight to the engines,
//! and what requests and open streams cost a node.

mod command;
mod deployment;
mod held_streams;
mod latency;
mod node_process;
mod report;

pub use command::{BenchArguments, BenchError, bench_preset, run};
pub use deployment::Deployment;
pub use held_streams::{HeldLevel, measure as measure_held_streams};
pub use node_process::{NodeProcess, ProcessError};
pub use report::{BenchLine, slope};
