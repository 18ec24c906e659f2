//! Signals from the platform to stop the process or to reload its settings.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Meaning of a received signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Shut down in order (SIGTERM or SIGINT).
    Stop,
    /// Reload the settings (SIGHUP).
    Reload,
}

/// Receiver of signals.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl Signals {
    /// Installs the signal handlers.
    pub fn listen() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            reload: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> ProcessSignal {
        tokio::select! {
            _ = self.terminate.recv() => ProcessSignal::Stop,
            _ = self.interrupt.recv() => ProcessSignal::Stop,
            _ = self.reload.recv() => ProcessSignal::Reload,
        }
    }
}
