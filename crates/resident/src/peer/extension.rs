//! Extension messages, whose kinds nodes of protocol version 0 don't know.
//!
//! Each is sent as a section, with a body that is harmless to those nodes. Every node answers a request of an unknown kind with
//! `Unsupported`, so that the requester goes on without it (`docs/design/versions.md`, "A new kind of message").
#![allow(
    missing_docs,
    reason = "the resolvers that rkyv derives carry undocumented fields"
)]

use rkyv::{Archive, Deserialize, Serialize};

use super::encoding::{MessageError, from_bytes, to_bytes};
use super::frame::RawSection;
use super::grant::{GrantReply, GrantRequest};
use super::witness::{WitnessReply, WitnessRequest};

/// Sections of this kind and above are extension messages; those below add to the message in the body.
pub const FIRST_EXTENSION_KIND: u16 = 100;

/// Kinds of requests. A number is never reused.
mod request_kinds {
    pub const FETCH_BUILD: u16 = 100;
    pub const GRANT: u16 = 104;
    pub const WITNESS: u16 = 105;
}

/// Kinds of replies. A number is never reused.
mod reply_kinds {
    pub const BUILD: u16 = 200;
    pub const GRANT: u16 = 204;
    pub const WITNESS: u16 = 205;
}

/// An extension request to another node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExtensionRequest {
    /// Received with this kind, which this version doesn't know. It can't be encoded.
    Unknown(u16),
    /// Asks for the node's build information.
    FetchBuild,
    /// Asks for a grant for a request to an engine that warms up.
    Grant(GrantRequest),
    /// Asks a gateway to witness a send, or the end of an engine.
    Witness(WitnessRequest),
}

/// A reply to an [`ExtensionRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExtensionReply {
    /// Received with this kind, which this version doesn't know. It can't be encoded.
    Unknown(u16),
    /// The node's build information.
    Build(Build),
    /// Whether the request may be sent to the engine.
    Grant(GrantReply),
    /// What the witness knows.
    Witness(WitnessReply),
}

/// An extension message over UDP.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExtensionDatagram {
    /// Received with this kind, which this version doesn't know. It can't be encoded.
    Unknown(u16),
}

/// Build information of a node.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Build {
    /// Commit that the program was built from; `unknown` where the build didn't set it.
    pub commit: String,
    /// Protocol version of the node.
    pub protocol: u16,
    /// Newest version of the disk format that it reads.
    pub disk: u16,
}

/// An extension message of one direction.
pub trait Extension: Sized {
    /// Kind and content of the section; an error for an unknown kind.
    fn encode(&self) -> Result<(u16, Vec<u8>), MessageError>;
    /// Decodes a section. An unknown kind is no error.
    fn decode(raw: RawSection<'_>) -> Result<Self, MessageError>;
}

impl Extension for ExtensionRequest {
    fn encode(&self) -> Result<(u16, Vec<u8>), MessageError> {
        match self {
            Self::Unknown(_) => Err(MessageError::Encode),
            Self::FetchBuild => Ok((request_kinds::FETCH_BUILD, Vec::new())),
            Self::Grant(grant) => Ok((request_kinds::GRANT, to_bytes(grant)?)),
            Self::Witness(witness) => Ok((request_kinds::WITNESS, to_bytes(witness)?)),
        }
    }

    fn decode(raw: RawSection<'_>) -> Result<Self, MessageError> {
        Ok(match raw.kind {
            request_kinds::FETCH_BUILD => Self::FetchBuild,
            request_kinds::GRANT => Self::Grant(from_bytes(raw.content)?),
            request_kinds::WITNESS => Self::Witness(from_bytes(raw.content)?),
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
            Self::Witness(reply) => Ok((reply_kinds::WITNESS, to_bytes(reply)?)),
        }
    }

    fn decode(raw: RawSection<'_>) -> Result<Self, MessageError> {
        Ok(match raw.kind {
            reply_kinds::BUILD => Self::Build(from_bytes(raw.content)?),
            reply_kinds::GRANT => Self::Grant(from_bytes(raw.content)?),
            reply_kinds::WITNESS => Self::Witness(from_bytes(raw.content)?),
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
