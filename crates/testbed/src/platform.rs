//! `ridgeworks-testbed platform`: the platform.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use ridgeworks_stand_ins::platform::{Platform, PlatformOptions};

use crate::serving::{ServingArguments, serve_until_signal};

/// Flags of the platform.
#[derive(Debug, Clone, Args)]
pub struct PlatformArguments {
    #[command(flatten)]
    serving: ServingArguments,
    /// File that keeps objects over a restart.
    #[arg(long)]
    data_file: Option<PathBuf>,
    /// Most watches at a time.
    #[arg(long, default_value_t = 4)]
    max_watchers: usize,
    /// How late the list of machines is, in milliseconds.
    #[arg(long, default_value_t = 500)]
    machine_list_lag_ms: u64,
    /// Rate of the weight store, in bytes per second.
    #[arg(long, default_value_t = 1 << 28)]
    weights_bytes_per_second: u64,
    /// Size of a model's weights where the request names none, in bytes.
    #[arg(long, default_value_t = 1 << 26)]
    weights_bytes: u64,
}

impl From<PlatformArguments> for PlatformOptions {
    fn from(arguments: PlatformArguments) -> Self {
        Self {
            listen: arguments.serving.listen,
            name: arguments.serving.name,
            zone: arguments.serving.zone,
            history: arguments.serving.history,
            data_file: arguments.data_file,
            max_watchers: arguments.max_watchers,
            machine_list_lag: Duration::from_millis(arguments.machine_list_lag_ms),
            weights_bytes_per_second: arguments.weights_bytes_per_second,
            weights_bytes: arguments.weights_bytes,
        }
    }
}

/// Serves until SIGTERM.
pub fn run(arguments: PlatformArguments) -> io::Result<()> {
    let mut platform = Platform::start(arguments.into())?;
    serve_until_signal(platform.address())?;
    platform.stop();
    Ok(())
}
