//! Frames: a length of four bytes, little end first, then as many bytes.

use std::fmt;

use ridgeworks_domain::NodeId;
use rkyv::rancor;
use rkyv::{Archive, Deserialize, Serialize};

/// Largest frame; a longer one breaks the connection.
pub const MAX_FRAME_BYTES: usize = 32 * 1024 * 1024;

pub(crate) const HEADER_BYTES: usize = 4;

/// First frame of each connection: who dialled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Hello {
    /// The node that dialled.
    pub node: NodeId,
    /// Its incarnation.
    pub incarnation: u64,
}

impl Hello {
    /// The bytes of the frame's body.
    pub fn encode(&self) -> Vec<u8> {
        rkyv::to_bytes::<rancor::Error>(self)
            .expect("a hello of two numbers always fits in memory")
            .to_vec()
    }

    /// Reads the body of a first frame.
    pub fn decode(bytes: &[u8]) -> Result<Self, FrameError> {
        rkyv::from_bytes::<Self, rancor::Error>(bytes).map_err(|_| FrameError::BadHello)
    }
}

/// Why a connection's bytes were refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameError {
    /// A frame announces more than [`MAX_FRAME_BYTES`]; holds the announced length.
    TooLong(usize),
    /// The first frame is no hello.
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

/// Length of the body of the frame at the start of `bytes`, if its header is there.
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
