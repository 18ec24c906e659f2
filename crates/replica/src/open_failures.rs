//! Tells on-call of a disk that cannot be opened, which is tried again for as long as the process runs.

use std::path::Path;
use std::time::{Duration, Instant};

use ridgeworks_resident::clock::whole_ms;

use crate::disk::DiskError;

const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Consecutive failures to open the disk.
#[derive(Debug, Default)]
pub struct OpenFailures {
    first: Option<Instant>,
    logged: Option<Instant>,
}

impl OpenFailures {
    /// Logs the first failure, and one each five seconds.
    pub fn on_failure(&mut self, error: &DiskError, folder: &Path) {
        let now = Instant::now();
        let first = *self.first.get_or_insert(now);
        if self.logged.is_some_and(|at| now - at < LOG_INTERVAL) {
            return;
        }
        self.logged = Some(now);
        log::error!(
            target: "dependency",
            folder:% = folder.display(),
            failing_ms = whole_ms(now - first),
            detail:% = error;
            "disk cannot be opened"
        );
    }

    /// The disk is open.
    pub fn on_opened(&mut self) {
        *self = Self::default();
    }
}
