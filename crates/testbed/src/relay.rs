//! `ridgeworks-testbed relay`: a TCP relay for the links between processes.

use std::io;

use clap::Args;
use ridgeworks_stand_ins::relay::{Forward, Relay, RelayOptions};

use crate::serving::{ServingArguments, serve_until_signal};

/// Flags of a relay.
#[derive(Debug, Clone, Args)]
pub struct RelayArguments {
    #[command(flatten)]
    serving: ServingArguments,
    /// A port to forward, as `[NAME@]LISTEN=TARGET` (repeatable).
    #[arg(long = "forward")]
    forwards: Vec<Forward>,
}

impl From<RelayArguments> for RelayOptions {
    fn from(arguments: RelayArguments) -> Self {
        Self {
            listen: arguments.serving.listen,
            name: arguments.serving.name,
            zone: arguments.serving.zone,
            forwards: arguments.forwards,
        }
    }
}

/// Forwards until SIGTERM.
pub fn run(arguments: RelayArguments) -> io::Result<()> {
    let mut relay = Relay::start(arguments.into())?;
    serve_until_signal(relay.address())?;
    relay.stop();
    Ok(())
}
