//! Why a deployment could not be started or controlled.

use std::fmt;
use std::io;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;

use ridgeworks_api::client::ClientError;

use super::preset::PresetError;

/// Why a deployment could not be started or controlled.
#[derive(Debug)]
pub enum ClusterError {
    /// The preset cannot be used.
    Preset(PresetError),
    /// A program of the project is not where the testbed looks for it.
    MissingBinary(PathBuf),
    /// A file or folder of the working folder could not be written.
    File {
        /// Its path.
        path: PathBuf,
        /// What the system answered.
        source: io::Error,
    },
    /// No free port was found.
    NoFreePort,
    /// A process could not be started.
    Spawn {
        /// Its name in the deployment.
        name: String,
        /// What the system answered.
        source: io::Error,
    },
    /// A process ended before it was ready.
    EndedEarly {
        /// Its name in the deployment.
        name: String,
        /// What it printed.
        log: PathBuf,
    },
    /// A process was not ready in time.
    NotReady {
        /// Its name in the deployment.
        name: String,
        /// What it printed.
        log: PathBuf,
        /// How long it was waited for.
        waited: Duration,
    },
    /// A process did not end in time after it was told to.
    DidNotEnd {
        /// Its name in the deployment.
        name: String,
    },
    /// A planned stop ended with a failure.
    StopFailed {
        /// Its name in the deployment.
        name: String,
        /// How it ended.
        status: ExitStatus,
    },
    /// A signal could not be sent, or the end of a process not be learned.
    Signal {
        /// Its name in the deployment.
        name: String,
        /// What the system answered.
        source: io::Error,
    },
    /// No process of this name belongs to the deployment, or it is not running.
    NotRunning(String),
    /// The deployment has no such link.
    UnknownLink(String),
    /// No partner of this name belongs to the deployment.
    UnknownPartner(String),
    /// A control path of a stand-in did not do what was asked.
    Control {
        /// The address asked.
        url: String,
        /// What went wrong.
        source: Box<ureq::Error>,
    },
    /// The operators' interface refused a change.
    Configure {
        /// What was to be changed.
        step: String,
        /// What went wrong.
        source: ClientError,
    },
    /// A condition did not come about in time.
    TimedOut(Condition),
    /// Handlers of signals could not be set.
    SignalHandler(io::Error),
}

/// What a deployment is waited for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// Every node takes requests.
    NodesReady,
    /// Every node sees every other one alive.
    MembersAlive,
    /// Every back end is listed and takes work.
    BackendsListed,
}

impl fmt::Display for ClusterError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Preset(error) => write!(formatter, "preset: {error}"),
            Self::MissingBinary(path) => {
                write!(formatter, "{} is missing; build it first", path.display())
            }
            Self::File { path, source } => write!(formatter, "{}: {source}", path.display()),
            Self::NoFreePort => write!(formatter, "no free port"),
            Self::Spawn { name, source } => write!(formatter, "cannot start {name}: {source}"),
            Self::EndedEarly { name, log } => {
                write!(
                    formatter,
                    "{name} ended before it was ready, see {}",
                    log.display()
                )
            }
            Self::NotReady { name, log, waited } => write!(
                formatter,
                "{name} was not ready after {waited:?}, see {}",
                log.display()
            ),
            Self::DidNotEnd { name } => write!(formatter, "{name} did not end in time"),
            Self::StopFailed { name, status } => {
                write!(formatter, "the planned stop of {name} ended with {status}")
            }
            Self::Signal { name, source } => write!(formatter, "signal to {name}: {source}"),
            Self::NotRunning(name) => write!(formatter, "{name} is not running"),
            Self::UnknownLink(name) => write!(formatter, "there is no link {name}"),
            Self::UnknownPartner(name) => write!(formatter, "there is no partner {name}"),
            Self::Control { url, source } => write!(formatter, "{url}: {source}"),
            Self::Configure { step, source } => write!(formatter, "{step}: {source}"),
            Self::TimedOut(condition) => write!(formatter, "gave up waiting for {condition:?}"),
            Self::SignalHandler(error) => write!(formatter, "cannot handle signals: {error}"),
        }
    }
}

impl std::error::Error for ClusterError {}

impl From<PresetError> for ClusterError {
    fn from(error: PresetError) -> Self {
        Self::Preset(error)
    }
}
