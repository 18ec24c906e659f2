//! Why a request of the operators' client has no result.

use std::fmt;
use std::io;

use crate::error_body::ErrorBody;

/// Why no answer came from one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransportError {
    /// The address or the token cannot stand in an HTTP request.
    InvalidRequest,
    /// No connection came about; the request was not sent.
    NotConnected,
    /// The time ran out after the connection stood.
    TimedOut,
    /// The connection broke, or the answer is not HTTP.
    Broken,
    /// The answer is longer than the client takes.
    AnswerTooLong,
}

impl TransportError {
    /// Whether the server may have taken the request.
    pub(crate) fn may_have_arrived(self) -> bool {
        !matches!(self, Self::InvalidRequest | Self::NotConnected)
    }
}

impl From<ureq::Error> for TransportError {
    fn from(error: ureq::Error) -> Self {
        match error {
            ureq::Error::BadUri(_) | ureq::Error::Http(_) => Self::InvalidRequest,
            ureq::Error::HostNotFound
            | ureq::Error::ConnectionFailed
            | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => {
                Self::NotConnected
            }
            ureq::Error::Io(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                Self::NotConnected
            }
            ureq::Error::Timeout(_) => Self::TimedOut,
            ureq::Error::BodyExceedsLimit(_) => Self::AnswerTooLong,
            _ => Self::Broken,
        }
    }
}

/// Why a request has no result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientError {
    /// No server is configured.
    NoServer,
    /// A server answered with an error.
    Refused(ErrorBody),
    /// No server could serve the request in any round.
    Unavailable {
        /// The last error of the last server.
        body: ErrorBody,
        /// Whether some server may have taken the request.
        may_have_arrived: bool,
    },
    /// A server's answer is not the message of the method.
    MalformedAnswer,
    /// No server answered in any round.
    Unreachable {
        /// The last failure of the last server.
        last: TransportError,
        /// Whether some server may have taken the request.
        may_have_arrived: bool,
    },
}

impl ClientError {
    /// Whether a change may have taken effect although the request failed.
    pub fn is_outcome_unknown(&self) -> bool {
        match self {
            Self::NoServer => false,
            Self::Refused(body) => body.is_outcome_unknown(),
            Self::MalformedAnswer => true,
            Self::Unavailable {
                may_have_arrived, ..
            }
            | Self::Unreachable {
                may_have_arrived, ..
            } => *may_have_arrived,
        }
    }
}

impl fmt::Display for ClientError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoServer => write!(formatter, "no server is configured"),
            Self::Refused(body) | Self::Unavailable { body, .. } => {
                write!(formatter, "{}", body.message)
            }
            Self::MalformedAnswer => write!(formatter, "the server's answer cannot be read"),
            Self::Unreachable { last, .. } => {
                write!(
                    formatter,
                    "no server answered, the last failure is {last:?}"
                )
            }
        }
    }
}

impl std::error::Error for ClientError {}
