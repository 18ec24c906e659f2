//! Errors of the HTTP edge.

use std::fmt;
use std::io;
use std::time::Duration;

use serde::Serialize;

use crate::request::Header;

/// Why the edge could not start.
#[derive(Debug)]
pub enum EdgeError {
    /// The listening socket could not be opened or set up.
    Listen(io::Error),
    /// `tiny_http` refused the listener.
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

/// Why the edge answered a request itself. Except for [`RequestFault::Unanswered`] no handler saw it,
/// so that it did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestFault {
    /// As many requests as allowed are in progress.
    Overloaded,
    /// The node is stopping.
    Stopping,
    /// The body is longer than allowed.
    BodyTooLong,
    /// The announced length of the body is malformed or contradicts another header.
    MalformedLength,
    /// The body did not arrive in time.
    BodyTimedOut,
    /// The connection ended before the body was whole.
    BodyCutOff,
    /// The handler ended without an answer; what it did is not known.
    Unanswered,
}

/// The answer to a request that no handler answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FaultResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers besides the length and the content type, which is JSON.
    pub headers: Vec<Header>,
    /// The JSON body.
    pub body: Vec<u8>,
}

impl FaultResponse {
    /// The answer of an edge whose handler has no form of its own, with a code of the Connect
    /// protocol. A fault that passes carries when to come back, in whole seconds.
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

/// Body of a refusal.
#[derive(Debug, Serialize)]
struct RefusalBody {
    code: &'static str,
    message: &'static str,
}

impl RequestFault {
    /// HTTP status of the refusal.
    pub fn status(self) -> u16 {
        match self {
            Self::Overloaded | Self::Stopping => 503,
            Self::BodyTooLong => 413,
            Self::MalformedLength | Self::BodyCutOff => 400,
            Self::BodyTimedOut => 408,
            Self::Unanswered => 500,
        }
    }

    /// Whether the same request may succeed later.
    pub fn is_temporary(self) -> bool {
        matches!(self, Self::Overloaded | Self::Stopping)
    }

    /// JSON body of the refusal, with a code of the Connect protocol.
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
            Self::BodyTooLong => "resource_exhausted",
            Self::MalformedLength | Self::BodyCutOff => "invalid_argument",
            Self::BodyTimedOut => "deadline_exceeded",
            Self::Unanswered => "internal",
        }
    }

    fn message(self) -> &'static str {
        match self {
            Self::Overloaded => "too many requests in progress; not run",
            Self::Stopping => "the node is stopping; not run",
            Self::BodyTooLong => "the body is longer than allowed; not run",
            Self::MalformedLength => "the length of the body is malformed; not run",
            Self::BodyTimedOut => "the body did not arrive in time; not run",
            Self::BodyCutOff => "the body ended early; not run",
            Self::Unanswered => "the handler gave no answer",
        }
    }
}

/// Why an answer was not written.
#[derive(Debug)]
pub enum ResponseError {
    /// A header holds a character that HTTP does not allow there.
    InvalidHeader,
    /// The client left or stopped reading.
    ClientDisconnected(io::ErrorKind),
}

impl fmt::Display for ResponseError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidHeader => write!(formatter, "a response header is malformed"),
            Self::ClientDisconnected(kind) => write!(formatter, "the client is gone: {kind}"),
        }
    }
}

impl std::error::Error for ResponseError {}
