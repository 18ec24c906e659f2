//! Why an experiment could not be run.

use std::fmt;
use std::path::PathBuf;

use ridgeworks_domain::IdentifierError;

/// A failure of the experiment tool.
#[derive(Debug)]
pub enum ExperimentError {
    /// No preset has this name.
    UnknownPreset(String),
    /// No policy has this name.
    UnknownPolicy(String),
    /// A workload file does not read as one.
    Workload(Box<toml::de::Error>),
    /// A workload names something that is no identifier.
    Identifier(IdentifierError),
    /// A file or directory could not be read or written.
    File {
        /// Which.
        path: PathBuf,
        /// Why.
        cause: std::io::Error,
    },
    /// A table could not be written.
    Table(csv::Error),
    /// The summary could not be written.
    Summary(serde_json::Error),
    /// A plot could not be drawn; holds the plotting library's words.
    Plot(String),
}

impl fmt::Display for ExperimentError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownPreset(name) => write!(formatter, "no preset is called {name}"),
            Self::UnknownPolicy(name) => write!(formatter, "no policy is called {name}"),
            Self::Workload(cause) => write!(formatter, "workload file: {cause}"),
            Self::Identifier(cause) => write!(formatter, "workload file: {cause}"),
            Self::File { path, cause } => write!(formatter, "{}: {cause}", path.display()),
            Self::Table(cause) => write!(formatter, "table: {cause}"),
            Self::Summary(cause) => write!(formatter, "summary: {cause}"),
            Self::Plot(cause) => write!(formatter, "plot: {cause}"),
        }
    }
}

impl std::error::Error for ExperimentError {}
