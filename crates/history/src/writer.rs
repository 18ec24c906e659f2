//! Appends records to one process's history file.
//!
//! Each record is handed to the operating system before `write` returns, so a killed process
//! loses nothing that it wrote. The file is not synced: it survives a crash of the process, not of
//! the machine.

use std::fs::{File, OpenOptions};
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::Serialize;

use crate::clock::HistoryClock;
use crate::record::Record;

/// Why a record was not written.
#[derive(Debug)]
pub enum WriteError {
    /// The file could not be opened or written.
    Io(io::Error),
    /// The record has no JSON form.
    Encoding(serde_json::Error),
}

impl std::fmt::Display for WriteError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Io(error) => write!(formatter, "history file cannot be written: {error}"),
            Self::Encoding(error) => write!(formatter, "record cannot be encoded: {error}"),
        }
    }
}

impl std::error::Error for WriteError {}

impl From<WriteError> for io::Error {
    fn from(error: WriteError) -> Self {
        match error {
            WriteError::Io(error) => error,
            WriteError::Encoding(error) => error.into(),
        }
    }
}

/// Writer of one process; threads share it by reference.
#[derive(Debug)]
pub struct HistoryWriter {
    by: String,
    clock: HistoryClock,
    file: Mutex<BufWriter<File>>,
}

impl HistoryWriter {
    /// Opens `path` for appending and writes under the process name `by`.
    pub fn append(path: &Path, by: impl Into<String>) -> Result<Self, WriteError> {
        let file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)
            .map_err(WriteError::Io)?;
        Ok(Self {
            by: by.into(),
            clock: HistoryClock,
            file: Mutex::new(BufWriter::new(file)),
        })
    }

    /// The time now on the clock that the records carry, in microseconds.
    pub fn now_micros(&self) -> u64 {
        self.clock.now_micros()
    }

    /// Writes an event that happens now; returns the time that it was given.
    pub fn write<E: Serialize>(&self, event: E) -> Result<u64, WriteError> {
        // The clock is read under the lock so that the file's lines stand in order of time.
        let mut file = self.lock();
        let at_us = self.clock.now_micros();
        self.write_line(&mut file, at_us, event)?;
        Ok(at_us)
    }

    /// Writes an event that happened at an earlier time of [`HistoryWriter::now_micros`].
    pub fn write_at<E: Serialize>(&self, at_us: u64, event: E) -> Result<(), WriteError> {
        self.write_line(&mut self.lock(), at_us, event)
    }

    fn lock(&self) -> MutexGuard<'_, BufWriter<File>> {
        self.file.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write_line<E: Serialize>(
        &self,
        file: &mut BufWriter<File>,
        at_us: u64,
        event: E,
    ) -> Result<(), WriteError> {
        let record = Record {
            at_us,
            by: self.by.clone(),
            event,
        };
        let mut line = serde_json::to_vec(&record).map_err(WriteError::Encoding)?;
        line.push(b'\n');
        file.write_all(&line).map_err(WriteError::Io)?;
        file.flush().map_err(WriteError::Io)
    }
}
