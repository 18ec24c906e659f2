//! Signals of the platform.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// What the platform orders by a signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessSignal {
    /// End in an orderly way.
    Stop,
    /// Read the settings again.
    Reload,
}

/// Receives signals.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl Signals {
    /// Starts to receive signals.
    pub fn listen() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            reload: signal(SignalKind::hangup())?,
        })
    }

    /// The next order.
    pub async fn next(&mut self) -> ProcessSignal {
        tokio::select! {
            _ = self.terminate.recv() => ProcessSignal::Stop,
            _ = self.interrupt.recv() => ProcessSignal::Stop,
            _ = self.reload.recv() => ProcessSignal::Reload,
        }
    }
}
