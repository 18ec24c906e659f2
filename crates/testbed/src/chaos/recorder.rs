//! The history files of the driver, the clients and the operators.

use std::path::Path;

use ridgeworks_history::{Event, HistoryWriter};

use super::error::ChaosError;

/// Ending of every history file in the folder of a run.
pub const HISTORY_SUFFIX: &str = ".history.jsonl";

/// Records what one client, operator or the driver does and sees.
#[derive(Debug)]
pub struct Recorder {
    writer: HistoryWriter,
}

impl Recorder {
    /// Opens the file of the process or thread called `name`.
    pub fn open(folder: &Path, name: &str) -> Result<Self, ChaosError> {
        let path = folder.join(format!("{name}{HISTORY_SUFFIX}"));
        let writer = HistoryWriter::append(&path, name).map_err(ChaosError::Record)?;
        Ok(Self { writer })
    }

    /// Records what happens now.
    ///
    /// # Panics
    /// Panics when the file can't be written: a history with holes would prove nothing.
    pub fn write(&self, event: Event) {
        let written = self.writer.write(event);
        written.expect("the history file takes every line");
    }

    /// The time now, in microseconds of the records' clock.
    pub fn now_us(&self) -> u64 {
        self.writer.now_micros()
    }
}
