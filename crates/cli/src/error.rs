//! Failures of the command line.

use std::fmt;
use std::io;
use std::path::PathBuf;

use ridgeworks_api::FieldError;
use ridgeworks_api::client::ClientError;

use crate::exit_status::ExitStatus;

/// Why a command failed.
#[derive(Debug)]
pub enum CliError {
    /// No server is named.
    NoServer,
    /// No token is given.
    NoToken,
    /// A file cannot be read.
    UnreadableFile {
        /// The file.
        path: PathBuf,
        /// What the system said.
        kind: io::ErrorKind,
    },
    /// A file does not hold objects.
    InvalidFile {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        problem: FileProblem,
    },
    /// An object of a file holds what is not allowed; nothing was sent.
    InvalidObject {
        /// Position in the file, from 1.
        position: usize,
        /// The field.
        error: FieldError,
    },
    /// A file holds the split of the pool, which only `shares` changes.
    PoolSplitInFile,
    /// No line of the logs is about the request.
    UnknownRequest,
    /// A read failed.
    Read(ClientError),
    /// A change failed.
    Change {
        /// Under which identifier it can be repeated.
        operation_id: String,
        /// Why it failed.
        error: ClientError,
    },
    /// An answer lacks what the schema promises.
    IncompleteAnswer,
    /// The output cannot be encoded.
    UnencodableOutput,
    /// The reader of the output went away.
    OutputClosed,
    /// The output cannot be written.
    Output(io::ErrorKind),
}

/// What is wrong with a file of objects.
#[derive(Debug)]
pub enum FileProblem {
    /// The name ends neither in `.toml` nor in `.json`.
    UnknownExtension,
    /// The text is not TOML.
    Toml(toml::de::Error),
    /// The text is not JSON, or its content is not that of objects.
    Json(serde_json::Error),
    /// There is no object.
    Empty,
}

impl fmt::Display for FileProblem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownExtension => write!(formatter, "its name must end in .toml or .json"),
            Self::Toml(error) => write!(formatter, "{error}"),
            Self::Json(error) => write!(formatter, "{error}"),
            Self::Empty => write!(formatter, "it holds no object"),
        }
    }
}

impl CliError {
    /// The exit status that tells a script about the failure.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::NoServer
            | Self::NoToken
            | Self::UnreadableFile { .. }
            | Self::InvalidFile { .. } => ExitStatus::Usage,
            Self::InvalidObject { .. } | Self::PoolSplitInFile => ExitStatus::Refused,
            Self::UnknownRequest => ExitStatus::NotFound,
            Self::Read(error) => client_status(error),
            Self::Change { error, .. } if error.is_outcome_unknown() => ExitStatus::OutcomeUnknown,
            Self::Change { error, .. } => client_status(error),
            Self::IncompleteAnswer
            | Self::UnencodableOutput
            | Self::OutputClosed
            | Self::Output(_) => ExitStatus::Failure,
        }
    }

    /// Under which identifier a change of unknown outcome can be repeated.
    pub fn operation_id(&self) -> Option<&str> {
        match self {
            Self::Change {
                operation_id,
                error,
            } if error.is_outcome_unknown() => Some(operation_id),
            _ => None,
        }
    }
}

fn client_status(error: &ClientError) -> ExitStatus {
    match error {
        ClientError::NoServer => ExitStatus::Usage,
        ClientError::Refused(body) => body.code.into(),
        ClientError::Unavailable { .. } | ClientError::Unreachable { .. } => {
            ExitStatus::Unavailable
        }
        ClientError::MalformedResponse => ExitStatus::Failure,
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoServer => write!(formatter, "name a node with --server or RIDGEWORKS_SERVER"),
            Self::NoToken => write!(
                formatter,
                "give the partner's token with --token-file, RIDGEWORKS_TOKEN_FILE or RIDGEWORKS_TOKEN"
            ),
            Self::UnreadableFile { path, kind } => {
                write!(formatter, "{} cannot be read: {kind}", path.display())
            }
            Self::InvalidFile { path, problem } => {
                write!(formatter, "{} holds no objects: {problem}", path.display())
            }
            Self::InvalidObject { position, error } => {
                write!(
                    formatter,
                    "object {position} of the file: {error}; nothing was changed"
                )
            }
            Self::PoolSplitInFile => write!(
                formatter,
                "the pool's split takes the consent of all partners: use shares propose"
            ),
            Self::UnknownRequest => write!(formatter, "no line of the logs is about the request"),
            Self::Read(error) => write!(formatter, "{error}"),
            Self::Change { error, .. } => write!(formatter, "{error}"),
            Self::IncompleteAnswer => write!(formatter, "the node's answer is incomplete"),
            Self::UnencodableOutput => write!(formatter, "the output cannot be encoded"),
            Self::OutputClosed => write!(formatter, "the output was closed"),
            Self::Output(kind) => write!(formatter, "the output cannot be written: {kind}"),
        }?;
        match self.operation_id() {
            Some(operation_id) => write!(
                formatter,
                "; the change may have taken effect, repeat it with --operation-id {operation_id}"
            ),
            None => Ok(()),
        }
    }
}

impl std::error::Error for CliError {}

impl From<io::Error> for CliError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::BrokenPipe => Self::OutputClosed,
            kind => Self::Output(kind),
        }
    }
}
