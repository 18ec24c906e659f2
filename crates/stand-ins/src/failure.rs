//! Why a stand-in refused a request, and the HTTP form of each reason.

use std::fmt;

use serde_json::{Value, json};

/// Why a stand-in refused a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// No such path or method.
    UnknownRoute,
    /// No such object, machine, attempt or context.
    NotFound,
    /// A field, header or the whole body is missing or malformed; holds its name.
    InvalidField(&'static str),
    /// The body is larger than the limit in bytes.
    BodyTooLarge(u64),
    /// The fencing token is lower than one seen before; holds the highest one.
    StaleToken(u64),
    /// The attempt was fenced before it started, so it never runs.
    AttemptFenced,
    /// The attempt was cancelled while it ran.
    AttemptCancelled,
    /// The queue is full.
    QueueFull,
    /// The server is stopping.
    Leaving,
    /// The request needs more memory than the engine has.
    ContextTooLarge,
    /// No memory is free for an imported context.
    NoFreeBlocks,
    /// The model is not loaded.
    ModelNotLoaded,
    /// The engine's role does not serve this request.
    WrongRole,
    /// The object has another version; holds the current one, 0 when there is no object.
    VersionConflict(u64),
    /// Events after the wanted version are gone; holds the oldest version to watch from.
    Compacted(u64),
    /// As many watches are open as are allowed.
    TooManyWatchers,
    /// The server could not do its part, such as binding a port or reaching the weight store.
    Unavailable,
}

impl Failure {
    /// The HTTP status code.
    pub fn status(&self) -> u16 {
        match self {
            Self::InvalidField(_) | Self::ContextTooLarge => 400,
            Self::UnknownRoute | Self::NotFound | Self::ModelNotLoaded => 404,
            Self::StaleToken(_)
            | Self::AttemptFenced
            | Self::WrongRole
            | Self::VersionConflict(_) => 409,
            Self::Compacted(_) => 410,
            Self::BodyTooLarge(_) => 413,
            Self::TooManyWatchers => 429,
            // The only status of a call that had begun: all others mean that it did not run.
            Self::AttemptCancelled => 500,
            Self::QueueFull | Self::Leaving | Self::Unavailable => 503,
            Self::NoFreeBlocks => 507,
        }
    }

    /// Seconds after which coming back may help.
    pub fn retry_after_seconds(&self) -> Option<u64> {
        match self {
            Self::QueueFull | Self::TooManyWatchers | Self::NoFreeBlocks | Self::Unavailable => {
                Some(1)
            }
            _ => None,
        }
    }

    /// The machine-readable name of the reason.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::UnknownRoute => "unknown_route",
            Self::NotFound => "not_found",
            Self::InvalidField(_) => "invalid_request",
            Self::BodyTooLarge(_) => "body_too_large",
            Self::StaleToken(_) => "stale_token",
            Self::AttemptFenced => "attempt_fenced",
            Self::AttemptCancelled => "attempt_cancelled",
            Self::QueueFull => "queue_full",
            Self::Leaving => "leaving",
            Self::ContextTooLarge => "context_too_large",
            Self::NoFreeBlocks => "no_free_blocks",
            Self::ModelNotLoaded => "model_not_loaded",
            Self::WrongRole => "wrong_role",
            Self::VersionConflict(_) => "version_conflict",
            Self::Compacted(_) => "compacted",
            Self::TooManyWatchers => "too_many_watchers",
            Self::Unavailable => "unavailable",
        }
    }

    /// The JSON body.
    pub fn body(&self) -> Value {
        let mut body = json!({"error": {"type": self.kind(), "message": self.to_string()}});
        match self {
            Self::VersionConflict(current) => body["current"] = json!(current),
            Self::Compacted(oldest) => body["oldest"] = json!(oldest),
            Self::StaleToken(highest) => body["highest"] = json!(highest),
            _ => {}
        }
        body
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidField(field) => write!(formatter, "{field} is missing or malformed"),
            Self::BodyTooLarge(limit) => write!(formatter, "at most {limit} bytes are allowed"),
            Self::StaleToken(highest) => write!(formatter, "token {highest} was seen before"),
            Self::VersionConflict(current) => write!(formatter, "current version is {current}"),
            Self::Compacted(oldest) => write!(formatter, "the oldest version kept is {oldest}"),
            other => formatter.write_str(other.kind()),
        }
    }
}

impl std::error::Error for Failure {}
