//! Frames of messages between nodes, which let protocol versions run side by side (`docs/design/versions.md`).
//!
//! A message has a *body*, in the layout that nodes of protocol version 0 read, and *sections* of numbered kinds for what that
//! version doesn't have. Nodes of version 0 read the body from the end of the bytes and ignore anything before it, so the header and
//! the sections come first. A node ignores sections of unknown kinds.

use std::fmt;

use xxhash_rust::xxh3::xxh3_64;

/// Protocol version of this program. Version 0 has no frames; its messages are bodies alone. Version 1 knows nothing of the
/// engines' software versions.
pub const PROTOCOL: u16 = 2;

const MAGIC: [u8; 8] = *b"\xf7rwnode\x01";
/// Bodies and sections begin at multiples of this many bytes, as rkyv requires.
const ALIGNMENT: usize = 16;
const HEADER_BYTES: usize = 32;
const SECTION_HEADER_BYTES: usize = 16;
const CHECKSUM_AT: usize = 24;

/// A decoded frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Frame<'a> {
    /// Protocol version of the sender.
    pub protocol: u16,
    /// Kind of the message in the body.
    pub kind: u16,
    /// Number that correlates a request and its reply, known even where the body can't be decoded.
    pub number: u64,
    /// The body, in the layout of protocol version 0.
    pub body: &'a [u8],
    sections: &'a [u8],
}

/// One section of a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RawSection<'a> {
    /// Kind of the section.
    pub kind: u16,
    /// Encoded content, without padding.
    pub content: &'a [u8],
}

/// Why bytes that begin with a frame's magic number are not a valid frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameError {
    /// The bytes end before the header or the sections do.
    TooShort,
    /// The checksum doesn't match.
    Checksum,
    /// A section extends past the end of the sections.
    Section,
}

impl fmt::Display for FrameError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::TooShort => "the frame is truncated",
            Self::Checksum => "the frame's checksum does not match",
            Self::Section => "a section extends past its frame",
        })
    }
}

impl std::error::Error for FrameError {}

/// Encodes a frame; `sections` are pairs of kind and content.
pub fn frame(kind: u16, number: u64, sections: &[(u16, Vec<u8>)], body: &[u8]) -> Vec<u8> {
    let lengths = sections.iter();
    let lengths = lengths.map(|(_, content)| SECTION_HEADER_BYTES + padded(content.len()));
    let length: usize = lengths.sum();
    let mut bytes = Vec::with_capacity(HEADER_BYTES + length + body.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&PROTOCOL.to_le_bytes());
    bytes.extend_from_slice(&kind.to_le_bytes());
    bytes.extend_from_slice(&(length as u32).to_le_bytes());
    bytes.extend_from_slice(&number.to_le_bytes());
    bytes.extend_from_slice(&[0; HEADER_BYTES - CHECKSUM_AT]);
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
    bytes[CHECKSUM_AT..HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
    bytes
}

/// Decodes a frame; `None` for a message of protocol version 0, which has none.
pub fn unframe(bytes: &[u8]) -> Result<Option<Frame<'_>>, FrameError> {
    if !bytes.starts_with(&MAGIC) {
        return Ok(None);
    }
    let header = bytes.get(..HEADER_BYTES).ok_or(FrameError::TooShort)?;
    if checksum(bytes).to_le_bytes() != header[CHECKSUM_AT..] {
        return Err(FrameError::Checksum);
    }
    let length = u32::from_le_bytes([header[12], header[13], header[14], header[15]]) as usize;
    let number = u64::from_le_bytes([
        header[16], header[17], header[18], header[19], header[20], header[21], header[22],
        header[23],
    ]);
    let rest = &bytes[HEADER_BYTES..];
    if length > rest.len() {
        return Err(FrameError::TooShort);
    }
    let (sections, body) = rest.split_at(length);
    Ok(Some(Frame {
        protocol: u16::from_le_bytes([header[8], header[9]]),
        kind: u16::from_le_bytes([header[10], header[11]]),
        number,
        body,
        sections,
    }))
}

impl<'a> Frame<'a> {
    /// Splits the section bytes into sections, in the order of the frame. Fails with [`FrameError::Section`] where one extends past
    /// the end.
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
    let header = bytes.get(..SECTION_HEADER_BYTES)?;
    let kind = u16::from_le_bytes([header[0], header[1]]);
    let length = u32::from_le_bytes([header[4], header[5], header[6], header[7]]) as usize;
    let content = bytes.get(SECTION_HEADER_BYTES..SECTION_HEADER_BYTES.checked_add(length)?)?;
    let after = bytes.get(SECTION_HEADER_BYTES + padded(length)..)?;
    Some((RawSection { kind, content }, after))
}

fn padded(length: usize) -> usize {
    length.next_multiple_of(ALIGNMENT)
}

/// Checksum of all bytes but its own.
fn checksum(bytes: &[u8]) -> u64 {
    let header_hash = xxh3_64(&bytes[..CHECKSUM_AT]);
    xxh3_64(&bytes[HEADER_BYTES..]) ^ header_hash.rotate_left(1)
}
