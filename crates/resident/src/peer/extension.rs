//! Kinds of messages that nodes of the first protocol version do not know.
//!
//! Each travels as a section beside a body that does those nodes no harm. Any node answers a kind that it does not
//! know as such, so that whoever asks does without it (`docs/design/versions.md`, "A new kind of message").
#![allow(
    missing_docs,
    reason = "the resolvers that rkyv derives carry undocumented fields"
)]

use rkyv::{Archive, Deserialize, Serialize};

use super::encoding::{MessageError, from_bytes, to_bytes};
use super::frame::RawSection;
use super::grant::{GrantReply, GrantRequest};

/// Sections from this number on are messages themselves; those below it stand beside a body.
pub const FIRST_EXTENSION_KIND: u16 = 100;

/// Numbers of the kinds of requests. A number is never used again for something else.
mod request_kinds {
    pub const FETCH_BUILD: u16 = 100;
    pub const GRANT: u16 = 104;
}

/// Numbers of the kinds of replies.
mod reply_kinds {
    pub const BUILD: u16 = 200;
    pub const GRANT: u16 = 204;
}

/// What one node asks another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExtensionRequest {
    /// Something that this version does not know, with the number of its kind. It is never sent.
    Unknown(u16),
    /// Asks what the node runs.
    FetchBuild,
    /// Asks for a grant for a request to an engine that warms up.
    Grant(GrantRequest),
}

/// What a node answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExtensionReply {
    /// Something that this version does not know, with the number of its kind. It is never sent.
    Unknown(u16),
    /// What the node runs.
    Build(Build),
    /// Whether a request may go to an engine that warms up.
    Grant(GrantReply),
}

/// What nodes say to each other over UDP.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExtensionDatagram {
    /// Something that this version does not know, with the number of its kind. It is never sent.
    Unknown(u16),
}

/// What a node runs.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Build {
    /// Commit that the program was built from, `unknown` where the build was not told.
    pub commit: String,
    /// Version of the protocol that it speaks.
    pub protocol: u16,
    /// Newest form of records on a disk that it reads.
    pub disk: u16,
}

/// A message of such a kind.
pub trait Extension: Sized {
    /// The section that carries it, with the number of its kind.
    fn encode(&self) -> Result<(u16, Vec<u8>), MessageError>;
    /// Reads it, also where this version does not know its kind.
    fn decode(raw: RawSection<'_>) -> Result<Self, MessageError>;
}

impl Extension for ExtensionRequest {
    fn encode(&self) -> Result<(u16, Vec<u8>), MessageError> {
        match self {
            Self::Unknown(_) => Err(MessageError::Encode),
            Self::FetchBuild => Ok((request_kinds::FETCH_BUILD, Vec::new())),
            Self::Grant(grant) => Ok((request_kinds::GRANT, to_bytes(grant)?)),
        }
    }

    fn decode(raw: RawSection<'_>) -> Result<Self, MessageError> {
        Ok(match raw.kind {
            request_kinds::FETCH_BUILD => Self::FetchBuild,
            request_kinds::GRANT => Self::Grant(from_bytes(raw.content)?),
            kind => Self::Unknown(kind),
        })
    }
}

impl Extension for ExtensionReply {
    fn encode(&self) -> Result<(u16, Vec<u8>), MessageError> {
        match self {
            Self::Unknown(_) => Err(MessageError::Encode),
            Self::Build(build) => Ok((reply_kinds::BUILD, to_bytes(build)?)),
            Self::Grant(reply) => Ok((reply_kinds::GRANT, to_bytes(reply)?)),
        }
    }

    fn decode(raw: RawSection<'_>) -> Result<Self, MessageError> {
        Ok(match raw.kind {
            reply_kinds::BUILD => Self::Build(from_bytes(raw.content)?),
            reply_kinds::GRANT => Self::Grant(from_bytes(raw.content)?),
            kind => Self::Unknown(kind),
        })
    }
}

impl Extension for ExtensionDatagram {
    fn encode(&self) -> Result<(u16, Vec<u8>), MessageError> {
        match self {
            Self::Unknown(_) => Err(MessageError::Encode),
        }
    }

    fn decode(raw: RawSection<'_>) -> Result<Self, MessageError> {
        Ok(Self::Unknown(raw.kind))
    }
}

impl Default for ExtensionRequest {
    fn default() -> Self {
        Self::Unknown(0)
    }
}

impl Default for ExtensionReply {
    fn default() -> Self {
        Self::Unknown(0)
    }
}

impl Default for ExtensionDatagram {
    fn default() -> Self {
        Self::Unknown(0)
    }
}
