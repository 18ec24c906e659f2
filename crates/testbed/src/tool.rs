//! `ridgeworks-testbed tool`: a tool or notice service.

use std::io;
use std::time::Duration;

use clap::Args;
use ridgeworks_domain::Cost;
use ridgeworks_stand_ins::tool::{Tool, ToolOptions};

use crate::serving::{ServingArguments, serve_until_signal};

/// Flags of a tool service.
#[derive(Debug, Clone, Args)]
pub struct ToolArguments {
    #[command(flatten)]
    serving: ServingArguments,
    /// Price of a call.
    #[arg(long, default_value_t = 1)]
    price: u64,
    /// Shortest time until a call takes effect, in milliseconds.
    #[arg(long, default_value_t = 20)]
    latency_ms: u64,
    /// Most that a call takes beyond that, in milliseconds.
    #[arg(long, default_value_t = 0)]
    latency_jitter_ms: u64,
    /// Let every so many-th call hang.
    #[arg(long)]
    hang_every: Option<u64>,
    /// Seed of latencies and results.
    #[arg(long, default_value_t = 0)]
    seed: u64,
}

impl From<ToolArguments> for ToolOptions {
    fn from(arguments: ToolArguments) -> Self {
        Self {
            listen: arguments.serving.listen,
            name: arguments.serving.name,
            zone: arguments.serving.zone,
            history: arguments.serving.history,
            price: Cost(arguments.price),
            latency: Duration::from_millis(arguments.latency_ms),
            latency_jitter: Duration::from_millis(arguments.latency_jitter_ms),
            hang_every: arguments.hang_every,
            seed: arguments.seed,
        }
    }
}

/// Serves until SIGTERM, then answers what is open.
pub fn run(arguments: ToolArguments) -> io::Result<()> {
    let mut tool = Tool::start(arguments.into())?;
    serve_until_signal(tool.address())?;
    tool.stop();
    Ok(())
}
