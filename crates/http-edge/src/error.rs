//! Errors of the HTTP edge.

use std::fmt;
use std::io;
use std::time::Duration;

use serde::Serialize;

use crate::request::Header;

/// Why the edge could not start.
#[derive(Debug)]
pub enum EdgeError {
    /// The listening socket could not be opened or configured.
    Listen(io::Error),
    /// `tiny_http` could not start on the listener.
    Server(Box<dyn std::error::Error + Send + Sync>),
    /// A thread could not be started.
    Thread(io::Error),
}

impl fmt::Display for EdgeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(error) => write!(formatter, "cannot listen: {error}"),
            Self::Server(error) => write!(formatter, "cannot start the HTTP server: {error}"),
            Self::Thread(error) => write!(formatter, "cannot start a thread: {error}"),
        }
    }
}

impl std::error::Error for EdgeError {}

/// Why the edge responded to a request itself. Except for [`RequestFault::Unanswered`], the request did
/// not reach the handler and therefore did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestFault {
    /// The limit of in-flight requests is reached.
    Overloaded,
    /// The node is shutting down.
    Stopping,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The declared length of the body is malformed or conflicts with another header.
    MalformedLength,
    /// The body did not arrive before its deadline or the read timeout.
    BodyTimedOut,
    /// The body could not be read completely: the connection ended, or reading failed for a reason other
    /// than a timeout, such as a malformed chunk.
    BodyCutOff,
    /// The handler ended without a response; whether the request took effect is unknown.
    Unanswered,
}

/// The response to a request that the handler did not answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FaultResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers except `Content-Length` and `Content-Type`; the content type is always JSON.
    pub headers: Vec<Header>,
    /// The JSON body.
    pub body: Vec<u8>,
}

impl FaultResponse {
    /// Creates the default response, with a code of the Connect protocol. A temporary fault gets a
    /// `Retry-After` header in seconds, rounded up and at least 1.
    pub fn plain(fault: RequestFault, retry_after: Duration) -> Self {
        let mut headers = Vec::new();
        if fault.is_temporary() {
            let seconds = retry_after.as_secs_f64().ceil().max(1.0);
            headers.push(Header::new("Retry-After", format!("{seconds:.0}")));
        }
        Self {
            status: fault.status(),
            headers,
            body: fault.json_body(),
        }
    }
}

/// JSON body of a refusal.
#[derive(Debug, Serialize)]
struct RefusalBody {
    code: &'static str,
    message: &'static str,
}

impl RequestFault {
    /// Returns the HTTP status of the response.
    pub fn status(self) -> u16 {
        match self {
            Self::Overloaded | Self::Stopping => 503,
            Self::BodyTooLarge => 413,
            Self::MalformedLength | Self::BodyCutOff => 400,
            Self::BodyTimedOut => 408,
            Self::Unanswered => 500,
        }
    }

    /// Returns whether the same request may succeed later.
    pub fn is_temporary(self) -> bool {
        matches!(self, Self::Overloaded | Self::Stopping)
    }

    /// Returns the JSON body of the response, with a code of the Connect protocol.
    pub fn json_body(self) -> Vec<u8> {
        let body = RefusalBody {
            code: self.code(),
            message: self.message(),
        };
        serde_json::to_vec(&body).unwrap_or_default()
    }

    fn code(self) -> &'static str {
        match self {
            Self::Overloaded | Self::Stopping => "unavailable",
            Self::BodyTooLarge => "resource_exhausted",
            Self::MalformedLength | Self::BodyCutOff => "invalid_argument",
            Self::BodyTimedOut => "deadline_exceeded",
            Self::Unanswered => "internal",
        }
    }

    fn message(self) -> &'static str {
        match self {
            Self::Overloaded => "too many requests in progress; not run",
            Self::Stopping => "the node is stopping; not run",
            Self::BodyTooLarge => "the body is longer than allowed; not run",
            Self::MalformedLength => "the length of the body is malformed; not run",
            Self::BodyTimedOut => "the body did not arrive in time; not run",
            Self::BodyCutOff => "the body ended early; not run",
            Self::Unanswered => "the handler gave no answer",
        }
    }
}

/// Why a response was not written.
#[derive(Debug)]
pub enum ResponseError {
    /// A header's name is empty or not an HTTP token, or its value contains a character other than printable
    /// ASCII, space and tab.
    InvalidHeader,
    /// The client disconnected or stopped reading; contains the kind of the failed write.
    ClientDisconnected(io::ErrorKind),
}

impl fmt::Display for ResponseError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidHeader => write!(formatter, "a response header is malformed"),
            Self::ClientDisconnected(kind) => write!(formatter, "the client disconnected: {kind}"),
        }
    }
}

impl std::error::Error for ResponseError {}
