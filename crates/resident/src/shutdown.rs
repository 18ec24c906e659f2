//! Signals from the platform to stop the process or to reload its settings.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use signal_hook::consts::SIGHUP;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Meaning of a received signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Shut down in order (SIGTERM or SIGINT).
    Stop,
    /// Reload the settings (SIGHUP).
    Reload,
}

/// Catches reload signals from the first steps of the process on, until [`Signals::listen`]. Nothing else keeps such a signal from
/// ending the process.
#[derive(Debug)]
pub struct EarlyReloads(Arc<AtomicBool>);

impl EarlyReloads {
    /// Installs the handler.
    pub fn catch() -> io::Result<Self> {
        let has_come = Arc::new(AtomicBool::new(false));
        signal_hook::flag::register(SIGHUP, Arc::clone(&has_come))?;
        Ok(Self(has_come))
    }
}

/// Receiver of signals.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
    /// Whether a reload signal came that was not returned yet.
    must_reload: bool,
}

impl Signals {
    /// Installs the signal handlers. Must be called inside a runtime.
    pub fn listen(early_reloads: &EarlyReloads) -> io::Result<Self> {
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        let reload = signal(SignalKind::hangup())?;
        Ok(Self {
            terminate,
            interrupt,
            reload,
            must_reload: early_reloads.0.load(Ordering::SeqCst),
        })
    }

    /// Waits for the signal to stop. A reload signal that comes before it is kept for [`Signals::next`].
    pub async fn stop(&mut self) {
        while self.receive().await == ProcessSignal::Reload {
            self.must_reload = true;
        }
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> ProcessSignal {
        if std::mem::take(&mut self.must_reload) {
            return ProcessSignal::Reload;
        }
        self.receive().await
    }

    async fn receive(&mut self) -> ProcessSignal {
        tokio::select! {
            _ = self.terminate.recv() => ProcessSignal::Stop,
            _ = self.interrupt.recv() => ProcessSignal::Stop,
            _ = self.reload.recv() => ProcessSignal::Reload,
        }
    }
}
