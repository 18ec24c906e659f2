//! Reads a history file line by line.

use std::fmt;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};

use crate::record::Record;

/// Why a history file could not be read.
#[derive(Debug)]
pub enum ReadError {
    /// The file could not be opened.
    Open {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// A line could not be read.
    Io {
        /// Number of the line, from 1.
        line: usize,
        /// The system's error.
        source: io::Error,
    },
    /// A line is not a record.
    Malformed {
        /// Number of the line, from 1.
        line: usize,
        /// What the decoder found.
        source: serde_json::Error,
    },
    /// The last line ends early, as when its writer was killed while writing.
    Torn {
        /// Number of the line, from 1.
        line: usize,
    },
}

impl fmt::Display for ReadError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Open { path, source } => {
                write!(formatter, "{} cannot be opened: {source}", path.display())
            }
            Self::Io { line, source } => write!(formatter, "line {line}: {source}"),
            Self::Malformed { line, source } => {
                write!(formatter, "line {line} is not a record: {source}")
            }
            Self::Torn { line } => write!(formatter, "line {line} ends early"),
        }
    }
}

impl std::error::Error for ReadError {}

/// Iterator over the records of a file; blank lines are passed over.
#[derive(Debug)]
pub struct HistoryReader<R> {
    source: R,
    line_number: usize,
    buffer: Vec<u8>,
}

impl HistoryReader<BufReader<File>> {
    /// Opens a file.
    pub fn open(path: &Path) -> Result<Self, ReadError> {
        let file = File::open(path).map_err(|source| ReadError::Open {
            path: path.to_owned(),
            source,
        })?;
        Ok(Self::new(BufReader::new(file)))
    }
}

impl<R: BufRead> HistoryReader<R> {
    /// Reads from any source of lines.
    pub fn new(source: R) -> Self {
        Self {
            source,
            line_number: 0,
            buffer: Vec::new(),
        }
    }

    fn decode(&self) -> Result<Record, ReadError> {
        let line = self.line_number;
        serde_json::from_slice(&self.buffer).map_err(|source| {
            if self.buffer.ends_with(b"\n") {
                ReadError::Malformed { line, source }
            } else {
                ReadError::Torn { line }
            }
        })
    }
}

impl<R: BufRead> Iterator for HistoryReader<R> {
    type Item = Result<Record, ReadError>;

    fn next(&mut self) -> Option<Self::Item> {
        loop {
            self.buffer.clear();
            self.line_number += 1;
            match self.source.read_until(b'\n', &mut self.buffer) {
                Ok(0) => return None,
                Ok(_) if self.buffer.trim_ascii().is_empty() => {}
                Ok(_) => return Some(self.decode()),
                Err(source) => {
                    let line = self.line_number;
                    return Some(Err(ReadError::Io { line, source }));
                }
            }
        }
    }
}
