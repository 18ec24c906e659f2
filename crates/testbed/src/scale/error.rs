//! Why a run could not be carried out.

use std::fmt;
use std::io;

use ridgeworks_api::client::ClientError;
use ridgeworks_domain::IdentifierError;
use ridgeworks_link::LinkError;

use crate::bench::ProcessError;
use crate::cluster::ClusterError;

/// What a run waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Goal {
    /// Every hollow node sees all members, has the newest configuration and all machines.
    Joined,
}

/// Why a run could not be carried out.
#[derive(Debug)]
pub enum ScaleError {
    /// The full processes or the platform.
    Cluster(ClusterError),
    /// A name is no identifier.
    Name(IdentifierError),
    /// A hollow node could not listen.
    Link(LinkError),
    /// The system's poll failed.
    Poll(io::Error),
    /// A process of hollow nodes could not be started.
    Spawn(io::Error),
    /// The pipe to or from a process broke: it ended.
    Pipe(io::Error),
    /// A line between driver and process could not be written or read.
    Protocol(serde_json::Error),
    /// A process did not answer in time, or ended.
    NoReport {
        /// Its number in the system.
        process: u32,
    },
    /// The figures of a process could not be read.
    ProcessFigures(ProcessError),
    /// The counters of a stand-in or a full process could not be read.
    Metrics(Box<ureq::Error>),
    /// An operator's change was not accepted.
    Change(ClientError),
    /// A goal was not reached in time.
    TimedOut(Goal),
    /// More processes or memory than allowed.
    OverLimit {
        /// Processes started.
        processes: usize,
        /// Memory that they hold, in bytes.
        memory_bytes: u64,
    },
}

impl fmt::Display for ScaleError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Cluster(error) => write!(formatter, "{error}"),
            Self::Name(error) => write!(formatter, "{error}"),
            Self::Link(error) => write!(formatter, "{error}"),
            Self::Poll(error) => write!(formatter, "poll failed: {error}"),
            Self::Spawn(error) => write!(formatter, "cannot start hollow nodes: {error}"),
            Self::Pipe(error) => write!(formatter, "pipe of a process: {error}"),
            Self::Protocol(error) => write!(formatter, "line of a process: {error}"),
            Self::NoReport { process } => write!(formatter, "process {process} gave no report"),
            Self::ProcessFigures(error) => write!(formatter, "{error}"),
            Self::Metrics(error) => write!(formatter, "counters: {error}"),
            Self::Change(error) => write!(formatter, "operator's change: {error}"),
            Self::TimedOut(goal) => write!(formatter, "gave up waiting for {goal:?}"),
            Self::OverLimit {
                processes,
                memory_bytes,
            } => write!(
                formatter,
                "{processes} processes with {memory_bytes} bytes are more than allowed"
            ),
        }
    }
}

impl std::error::Error for ScaleError {}

impl From<Goal> for ScaleError {
    fn from(goal: Goal) -> Self {
        Self::TimedOut(goal)
    }
}

impl From<ClusterError> for ScaleError {
    fn from(error: ClusterError) -> Self {
        Self::Cluster(error)
    }
}
