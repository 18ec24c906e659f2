//! Exit statuses. Scripts rely on them, so that a number never changes its meaning.

use std::process::ExitCode;

use ridgeworks_api::ConnectCode;

/// What `--help` says about the exit statuses.
pub const HELP: &str = "Exit statuses:
  0  success
  1  failure without a better status
  2  wrong arguments, or a file that cannot be read
  3  conflict: another change came first
  4  not authenticated, or the object belongs to the other partner
  5  no node could serve the request; nothing was changed
  6  no such object, run or node
  7  the request is refused as it stands
  8  a change may have taken effect; repeat it with the printed operation identifier";

/// How the command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// All went well.
    Success = 0,
    /// A failure without a better status.
    Failure = 1,
    /// Wrong arguments, or a file that cannot be read. The argument parser exits with it as well.
    Usage = 2,
    /// Another change came first.
    Conflict = 3,
    /// The token matches no partner, or the object belongs to the other partner.
    Forbidden = 4,
    /// No node could serve the request; nothing was changed.
    Unavailable = 5,
    /// No such object, run or node.
    NotFound = 6,
    /// The request is refused as it stands.
    Refused = 7,
    /// A change may have taken effect.
    OutcomeUnknown = 8,
}

impl ExitStatus {
    /// The status as scripts see it in JSON.
    pub fn name(self) -> &'static str {
        match self {
            Self::Success => "success",
            Self::Failure => "failure",
            Self::Usage => "usage",
            Self::Conflict => "conflict",
            Self::Forbidden => "forbidden",
            Self::Unavailable => "unavailable",
            Self::NotFound => "not_found",
            Self::Refused => "refused",
            Self::OutcomeUnknown => "outcome_unknown",
        }
    }
}

impl From<ConnectCode> for ExitStatus {
    fn from(code: ConnectCode) -> Self {
        match code {
            ConnectCode::Aborted | ConnectCode::AlreadyExists => Self::Conflict,
            ConnectCode::Unauthenticated | ConnectCode::PermissionDenied => Self::Forbidden,
            ConnectCode::Unavailable
            | ConnectCode::DeadlineExceeded
            | ConnectCode::ResourceExhausted => Self::Unavailable,
            ConnectCode::NotFound => Self::NotFound,
            ConnectCode::InvalidArgument
            | ConnectCode::FailedPrecondition
            | ConnectCode::OutOfRange => Self::Refused,
            ConnectCode::Canceled
            | ConnectCode::Unknown
            | ConnectCode::Unimplemented
            | ConnectCode::Internal
            | ConnectCode::DataLoss => Self::Failure,
        }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}
