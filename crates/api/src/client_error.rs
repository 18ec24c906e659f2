//! Errors of the operators' client.

use std::fmt;
use std::io;

use crate::error_body::ErrorBody;

/// Why a server sent no usable response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransportError {
    /// The address or the token is not valid in an HTTP request.
    InvalidRequest,
    /// No connection was established; the request was not sent.
    NotConnected,
    /// The timeout of the attempt expired; the request may have been sent.
    TimedOut,
    /// The connection was lost, or the response is not valid HTTP.
    Broken,
    /// The response exceeds the size limit of the client.
    AnswerTooLong,
}

impl TransportError {
    /// Returns whether the server may have received the request.
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

/// Why a request of the client failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientError {
    /// No server is configured, or the number of rounds is zero.
    NoServer,
    /// A server responded with an error other than [`ConnectCode::Unavailable`](crate::ConnectCode).
    Refused(ErrorBody),
    /// The last attempt got the code `unavailable`; each earlier attempt got it too or got no usable
    /// response.
    Unavailable {
        /// Error of the last attempt.
        body: ErrorBody,
        /// Whether any server may have received the request.
        may_have_arrived: bool,
    },
    /// The response cannot be decoded as the message of the method.
    MalformedResponse,
    /// The last attempt got no usable response; each earlier attempt got none either or got the code
    /// `unavailable`.
    Unreachable {
        /// Failure of the last attempt.
        last: TransportError,
        /// Whether any server may have received the request.
        may_have_arrived: bool,
    },
}

impl ClientError {
    /// Returns whether a change may have taken effect although the request failed.
    pub fn is_outcome_unknown(&self) -> bool {
        match self {
            Self::NoServer => false,
            Self::Refused(body) => body.is_outcome_unknown(),
            Self::MalformedResponse => true,
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
            Self::MalformedResponse => write!(formatter, "the server's response cannot be decoded"),
            Self::Unreachable { last, .. } => {
                write!(formatter, "no server responded; last failure: {last:?}")
            }
        }
    }
}

impl std::error::Error for ClientError {}
