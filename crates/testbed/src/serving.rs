//! What the subcommands that serve share: common flags, the ready line and the planned stop.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Args;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Flags of every stand-in.
#[derive(Debug, Clone, Args)]
pub struct ServingArguments {
    /// Address to listen on; port 0 chooses a free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Name of this process.
    #[arg(long)]
    pub name: String,
    /// Zone of this process.
    #[arg(long, default_value = "local")]
    pub zone: String,
    /// File to append the history to.
    #[arg(long)]
    pub history: Option<PathBuf>,
}

/// Prints the ready line and waits for SIGTERM or SIGINT.
pub fn serve_until_signal(address: SocketAddr) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let mut output = io::stdout();
    writeln!(output, "listening {address}")?;
    output.flush()?;
    signals.forever().next();
    Ok(())
}
