//! Framing: each body is preceded by its length, a 32-bit little-endian integer.

use std::fmt;

use ridgeworks_domain::NodeId;
use rkyv::rancor;
use rkyv::{Archive, Deserialize, Serialize};

/// Maximum length of a frame's body, in bytes; a longer frame closes the connection.
pub const MAX_FRAME_BYTES: usize = 32 * 1024 * 1024;

pub(crate) const HEADER_BYTES: usize = 4;

/// First frame of each connection, which identifies the connecting node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Hello {
    /// Connecting node.
    pub node: NodeId,
    /// Number that increases with each start of the node.
    pub incarnation: u64,
}

impl Hello {
    /// Encodes the frame's body.
    pub fn encode(&self) -> Vec<u8> {
        rkyv::to_bytes::<rancor::Error>(self)
            .expect("a hello of two numbers always fits in memory")
            .to_vec()
    }

    /// Decodes the body of the first frame.
    pub fn decode(bytes: &[u8]) -> Result<Self, FrameError> {
        rkyv::from_bytes::<Self, rancor::Error>(bytes).map_err(|_| FrameError::BadHello)
    }
}

/// Why the received bytes are not valid frames.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameError {
    /// The length of a frame exceeds [`MAX_FRAME_BYTES`]; contains that length.
    TooLong(usize),
    /// The first frame is not a [`Hello`].
    BadHello,
}

impl fmt::Display for FrameError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong(length) => write!(formatter, "frame of {length} bytes is too long"),
            Self::BadHello => write!(formatter, "first frame is not a hello"),
        }
    }
}

impl std::error::Error for FrameError {}

/// Appends one frame to `out`.
pub(crate) fn append_frame(out: &mut Vec<u8>, body: &[u8]) {
    let length = body.len() as u32;
    out.reserve(HEADER_BYTES + body.len());
    out.extend_from_slice(&length.to_le_bytes());
    out.extend_from_slice(body);
}

/// Returns the body length of the frame at the start of `bytes`, or `None` if the header is incomplete.
pub(crate) fn body_length(bytes: &[u8]) -> Result<Option<usize>, FrameError> {
    let Some(header) = bytes.first_chunk::<HEADER_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(*header) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(length));
    }
    Ok(Some(length))
}
