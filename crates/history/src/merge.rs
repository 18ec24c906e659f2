//! Joins the files of several processes into one history in order of time.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};

use crate::reader::{HistoryReader, ReadError};
use crate::record::Record;
use crate::writer::WriteError;

/// Records of several files in one order.
#[derive(Debug, Default)]
pub struct Merged {
    /// The records in order of `at_us`, the start subtracted.
    pub records: Vec<Record>,
    /// Files whose last line was left out because it ended early.
    pub torn: Vec<PathBuf>,
}

/// Reads the files and orders their records; times count from `start`, or from the earliest
/// record where `start` is not given. Records of equal time keep the order of the files. A last
/// line that its writer did not finish is left out and told.
pub fn merge_files(paths: &[PathBuf], start: Option<u64>) -> Result<Merged, ReadError> {
    let mut merged = Merged::default();
    for path in paths {
        read_into(path, &mut merged)?;
    }
    order(&mut merged.records, start);
    Ok(merged)
}

/// Orders records by time and subtracts the start, by default the earliest record's time.
pub fn order(records: &mut [Record], start: Option<u64>) {
    records.sort_by_key(|record| record.at_us);
    let earliest = records.first().map_or(0, |record| record.at_us);
    let start = start.unwrap_or(earliest);
    for record in records {
        record.subtract_start(start);
    }
}

/// Writes records to a new file, one a line.
pub fn write_file(path: &Path, records: &[Record]) -> Result<(), WriteError> {
    let file = File::create(path).map_err(WriteError::Io)?;
    let mut file = BufWriter::new(file);
    for record in records {
        serde_json::to_writer(&mut file, record).map_err(WriteError::Encoding)?;
        file.write_all(b"\n").map_err(WriteError::Io)?;
    }
    file.flush().map_err(WriteError::Io)
}

fn read_into(path: &Path, merged: &mut Merged) -> Result<(), ReadError> {
    for record in HistoryReader::open(path)? {
        match record {
            Ok(record) => merged.records.push(record),
            Err(ReadError::Torn { .. }) => merged.torn.push(path.to_owned()),
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
