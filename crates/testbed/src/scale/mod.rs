//! `ridgeworks-testbed scale`: a cluster of the two-year size on one machine, and how its costs grow.
//!
//! Hollow nodes share processes. Each runs the product's membership and configuration state machines
//! on the product's own links, over the loopback interface; a few full `ridgeworksd` processes and
//! the platform belong to the same cluster. `docs/design/scale-run.md` says what this shows and what
//! it does not.

mod analysis;
mod arguments;
mod changes;
mod churn;
mod cluster_processes;
mod driver;
mod error;
mod figures;
mod growth;
mod hollow_node;
mod host;
mod host_process;
mod idle_runs;
mod layout;
mod node_report;
mod protocol;
mod report;
mod slope;
mod trial;
mod usage;
mod wall_clock;

pub use analysis::{CutWindow, Life, Spread, Timeline, Verdicts};
pub use arguments::{HostArguments, ScaleArguments};
pub use churn::{Action, Churn, DayRates, Step};
pub use error::{Goal, ScaleError};
pub use host::{Host, run_host};
pub use layout::{HollowPlan, Layout};
pub use protocol::{HostCommand, HostPlan, HostReport, NodeReport, Observation, SeenState};
pub use slope::{Line, Point, fit};

use driver::Driver;

/// Runs all sizes and prints the tables and the JSON line.
pub fn run(arguments: &ScaleArguments) -> Result<(), ScaleError> {
    Driver::new(arguments)?.run()
}
