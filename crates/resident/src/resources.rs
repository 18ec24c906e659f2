//! Limits that the machine sets for a process.

use std::io;
use std::sync::Arc;

use signal_hook::consts::{SIGXCPU, SIGXFSZ};

/// Installs handlers for the signals by which the kernel tells that a limit of the process is reached; without them they end it. A
/// write beyond the limit of a file's size then fails like one to a full disk.
pub fn survive_limits() -> io::Result<()> {
    for signal in [SIGXFSZ, SIGXCPU] {
        signal_hook::flag::register(signal, Arc::default())?;
    }
    Ok(())
}
