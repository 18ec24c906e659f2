//! Error codes of the Connect protocol and their HTTP statuses.
//!
//! Source: the section "Error Codes" of the Connect protocol's reference.

use serde::{Deserialize, Serialize};

/// Why a request failed, in the terms of the Connect protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConnectCode {
    /// The caller gave up.
    Canceled,
    /// The failure has no better code.
    Unknown,
    /// The request is wrong, whatever the state of the system.
    InvalidArgument,
    /// The deadline passed.
    DeadlineExceeded,
    /// What the request names does not exist.
    NotFound,
    /// What the request creates exists already.
    AlreadyExists,
    /// The caller is known and may not do this.
    PermissionDenied,
    /// A limit was reached.
    ResourceExhausted,
    /// The state of the system does not allow the request.
    FailedPrecondition,
    /// Another change came first.
    Aborted,
    /// A position lies outside of what exists.
    OutOfRange,
    /// No such method.
    Unimplemented,
    /// A rule inside the system was broken.
    Internal,
    /// The service cannot answer now; coming back helps.
    Unavailable,
    /// Data was lost for good.
    DataLoss,
    /// The token is missing or matches no partner.
    Unauthenticated,
}

impl ConnectCode {
    /// Every code.
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

    /// HTTP status that goes with the code.
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

    /// Code of an answer whose body is not a Connect error, as an intermediary may send it.
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
