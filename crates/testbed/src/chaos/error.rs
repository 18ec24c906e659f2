//! Why a run under faults could not be carried out or judged.

use std::fmt;
use std::io;

use ridgeworks_history::reader::ReadError;
use ridgeworks_history::recovery::MeasureError;
use ridgeworks_history::writer::WriteError;

use super::arguments::UnknownFault;
use crate::cluster::ClusterError;

/// Why a run could not be carried out or judged.
#[derive(Debug)]
pub enum ChaosError {
    /// The deployment failed beyond the faults injected.
    Cluster(ClusterError),
    /// A list of faults names none that there is.
    Faults(UnknownFault),
    /// The preset holds no program that a client could run.
    NoProgram,
    /// A history file cannot be written.
    Record(WriteError),
    /// A history file cannot be read.
    Read(ReadError),
    /// The folder of the run cannot be read.
    Folder(io::Error),
    /// Recovery could not be measured.
    Measure(MeasureError),
    /// The summary could not be encoded.
    Encoding(serde_json::Error),
}

impl fmt::Display for ChaosError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Cluster(error) => error.fmt(formatter),
            Self::Faults(error) => error.fmt(formatter),
            Self::NoProgram => write!(formatter, "the preset holds no program to run"),
            Self::Record(error) => error.fmt(formatter),
            Self::Read(error) => error.fmt(formatter),
            Self::Folder(error) => write!(formatter, "the folder cannot be read: {error}"),
            Self::Measure(error) => error.fmt(formatter),
            Self::Encoding(error) => write!(formatter, "summary cannot be encoded: {error}"),
        }
    }
}

impl std::error::Error for ChaosError {}

impl From<ClusterError> for ChaosError {
    fn from(error: ClusterError) -> Self {
        Self::Cluster(error)
    }
}
