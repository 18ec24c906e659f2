//! Error codes of the Connect protocol and their HTTP statuses.
//!
//! Source: the section "Error Codes" of the Connect protocol's reference.

use serde::{Deserialize, Serialize};

/// Error code of the Connect protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConnectCode {
    /// The caller canceled the request.
    Canceled,
    /// No other code describes the failure.
    Unknown,
    /// The request is invalid regardless of the state of the system.
    InvalidArgument,
    /// The deadline passed.
    DeadlineExceeded,
    /// The requested object does not exist.
    NotFound,
    /// The object to create already exists.
    AlreadyExists,
    /// The caller is authenticated but not authorized.
    PermissionDenied,
    /// A limit or quota is exhausted.
    ResourceExhausted,
    /// The state of the system does not allow the request.
    FailedPrecondition,
    /// The operation conflicted with a concurrent change.
    Aborted,
    /// A position lies outside the valid range.
    OutOfRange,
    /// The method does not exist or is not supported.
    Unimplemented,
    /// An internal invariant was violated.
    Internal,
    /// The service is temporarily unavailable; a retry may succeed.
    Unavailable,
    /// Data was lost or corrupted unrecoverably.
    DataLoss,
    /// The token is missing or matches no partner.
    Unauthenticated,
}

impl ConnectCode {
    /// All codes, in the order of the protocol's reference.
    pub const ALL: [Self; 16] = [
        Self::Canceled,
        Self::Unknown,
        Self::InvalidArgument,
        Self::DeadlineExceeded,
        Self::NotFound,
        Self::AlreadyExists,
        Self::PermissionDenied,
        Self::ResourceExhausted,
        Self::FailedPrecondition,
        Self::Aborted,
        Self::OutOfRange,
        Self::Unimplemented,
        Self::Internal,
        Self::Unavailable,
        Self::DataLoss,
        Self::Unauthenticated,
    ];

    /// Returns the HTTP status that the protocol assigns to the code.
    pub fn http_status(self) -> u16 {
        match self {
            Self::Canceled => 499,
            Self::InvalidArgument | Self::FailedPrecondition | Self::OutOfRange => 400,
            Self::Unauthenticated => 401,
            Self::PermissionDenied => 403,
            Self::NotFound => 404,
            Self::AlreadyExists | Self::Aborted => 409,
            Self::ResourceExhausted => 429,
            Self::Unknown | Self::Internal | Self::DataLoss => 500,
            Self::Unimplemented => 501,
            Self::Unavailable => 503,
            Self::DeadlineExceeded => 504,
        }
    }

    /// Returns the code for a response whose body is not a Connect error, such as one from a proxy.
    pub fn from_http_status(status: u16) -> Self {
        match status {
            400 => Self::Internal,
            401 => Self::Unauthenticated,
            403 => Self::PermissionDenied,
            404 => Self::Unimplemented,
            429 | 502 | 503 | 504 => Self::Unavailable,
            _ => Self::Unknown,
        }
    }
}
