//! Frames: the form of all that nodes send each other, so that versions can run side by side
//! (`docs/design/versions.md`).
//!
//! A message has a *body*, the form that nodes of the first protocol version read, and *sections* of numbered kinds with what
//! came later. Those first nodes look for the body at the end of what they get, so that head and sections
//! stand before it and are passed over there. A node that does not know a section passes over it as well.

use std::fmt;

use xxhash_rust::xxh3::xxh3_64;

/// Version of the protocol that this program speaks. Version 0 has no frames: its messages are bodies alone.
pub const PROTOCOL: u16 = 1;

const MAGIC: [u8; 8] = *b"\xf7rwnode\x01";
/// Bodies and sections begin at multiples of this, as the serializer wants it.
const ALIGNMENT: usize = 16;
const HEAD_BYTES: usize = 32;
const SECTION_HEAD_BYTES: usize = 16;
const CHECKSUM_AT: usize = 24;

/// What stands before a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Frame<'a> {
    /// Version of the protocol that the sender speaks.
    pub protocol: u16,
    /// What kind of message the body is.
    pub kind: u16,
    /// Number that joins a request and its reply, also where the body cannot be read.
    pub number: u64,
    /// The body, as nodes of version 0 read it.
    pub body: &'a [u8],
    sections: &'a [u8],
}

/// One section of a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RawSection<'a> {
    /// Its kind.
    pub kind: u16,
    /// Its content.
    pub content: &'a [u8],
}

/// Bytes that are no frame although they begin as one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameError {
    /// They end before what their head announces.
    TooShort,
    /// They have changed on their way.
    Checksum,
    /// A section reaches beyond the sections' end.
    Section,
}

impl fmt::Display for FrameError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::TooShort => "the frame is cut off",
            Self::Checksum => "the frame has changed on its way",
            Self::Section => "a section reaches beyond its frame",
        })
    }
}

impl std::error::Error for FrameError {}

/// Puts a body into a frame.
pub fn frame(kind: u16, number: u64, sections: &[(u16, Vec<u8>)], body: &[u8]) -> Vec<u8> {
    let lengths = sections.iter();
    let lengths = lengths.map(|(_, content)| SECTION_HEAD_BYTES + padded(content.len()));
    let length: usize = lengths.sum();
    let mut bytes = Vec::with_capacity(HEAD_BYTES + length + body.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&PROTOCOL.to_le_bytes());
    bytes.extend_from_slice(&kind.to_le_bytes());
    bytes.extend_from_slice(&(length as u32).to_le_bytes());
    bytes.extend_from_slice(&number.to_le_bytes());
    bytes.extend_from_slice(&[0; HEAD_BYTES - CHECKSUM_AT]);
    for (kind, content) in sections {
        bytes.extend_from_slice(&kind.to_le_bytes());
        bytes.extend_from_slice(&[0; 2]);
        bytes.extend_from_slice(&(content.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&[0; 8]);
        bytes.extend_from_slice(content);
        bytes.resize(bytes.len() + padded(content.len()) - content.len(), 0);
    }
    bytes.extend_from_slice(body);
    let checksum = checksum(&bytes);
    bytes[CHECKSUM_AT..HEAD_BYTES].copy_from_slice(&checksum.to_le_bytes());
    bytes
}

/// Takes a frame apart; `None` for a message of version 0, which has none.
pub fn unframe(bytes: &[u8]) -> Result<Option<Frame<'_>>, FrameError> {
    if !bytes.starts_with(&MAGIC) {
        return Ok(None);
    }
    let head = bytes.get(..HEAD_BYTES).ok_or(FrameError::TooShort)?;
    if checksum(bytes).to_le_bytes() != head[CHECKSUM_AT..] {
        return Err(FrameError::Checksum);
    }
    let length = u32::from_le_bytes([head[12], head[13], head[14], head[15]]) as usize;
    let number = u64::from_le_bytes([
        head[16], head[17], head[18], head[19], head[20], head[21], head[22], head[23],
    ]);
    let rest = &bytes[HEAD_BYTES..];
    if length > rest.len() {
        return Err(FrameError::TooShort);
    }
    let (sections, body) = rest.split_at(length);
    Ok(Some(Frame {
        protocol: u16::from_le_bytes([head[8], head[9]]),
        kind: u16::from_le_bytes([head[10], head[11]]),
        number,
        body,
        sections,
    }))
}

impl<'a> Frame<'a> {
    /// Its sections, in order.
    pub fn sections(&self) -> Result<Vec<RawSection<'a>>, FrameError> {
        let mut rest = self.sections;
        let mut sections = Vec::new();
        while !rest.is_empty() {
            let (section, after) = next_section(rest).ok_or(FrameError::Section)?;
            sections.push(section);
            rest = after;
        }
        Ok(sections)
    }
}

fn next_section(bytes: &[u8]) -> Option<(RawSection<'_>, &[u8])> {
    let head = bytes.get(..SECTION_HEAD_BYTES)?;
    let kind = u16::from_le_bytes([head[0], head[1]]);
    let length = u32::from_le_bytes([head[4], head[5], head[6], head[7]]) as usize;
    let content = bytes.get(SECTION_HEAD_BYTES..SECTION_HEAD_BYTES.checked_add(length)?)?;
    let after = bytes.get(SECTION_HEAD_BYTES + padded(length)..)?;
    Some((RawSection { kind, content }, after))
}

fn padded(length: usize) -> usize {
    length.next_multiple_of(ALIGNMENT)
}

/// Of all but the checksum itself.
fn checksum(bytes: &[u8]) -> u64 {
    let before = xxh3_64(&bytes[..CHECKSUM_AT]);
    xxh3_64(&bytes[HEAD_BYTES..]) ^ before.rotate_left(1)
}
