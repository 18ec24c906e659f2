//! Splits the bytes of an engine's event stream into complete events, without changing a byte.
//!
//! Source: the `text/event-stream` format of the HTML standard. Only `id` and `data` fields are parsed.

use std::fmt;

/// Longest event, in bytes; a longer one is an engine's fault.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its bytes as received, including the blank line at its end.
    pub raw: Vec<u8>,
    /// The `id` field if it is a number.
    pub id: Option<u64>,
    /// The `data` fields, joined by line feeds; `None` for a comment.
    pub data: Option<Vec<u8>>,
}

/// An event is longer than an engine may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

impl fmt::Display for EventTooLong {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "an event has more than {MAX_EVENT_BYTES} bytes")
    }
}

impl std::error::Error for EventTooLong {}

/// Buffers bytes until an event is complete.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
    /// Number of bytes at the start of the buffer that contain no end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Adds bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Event>, EventTooLong> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.find_end() {
            let raw: Vec<u8> = self.buffer.drain(..end).collect();
            self.searched = 0;
            events.push(read_event(raw));
        }
        self.searched = self.buffer.len().saturating_sub(3);
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(events)
    }

    /// Bytes of an incomplete event.
    pub fn rest(&self) -> &[u8] {
        &self.buffer
    }

    fn find_end(&self) -> Option<usize> {
        let from = self.searched.min(self.buffer.len());
        let unsearched = &self.buffer[from..];
        let lf = unsearched.windows(2).position(|two| two == b"\n\n");
        let crlf = unsearched.windows(4).position(|four| four == b"\r\n\r\n");
        match (lf, crlf) {
            (Some(lf), Some(crlf)) if crlf < lf => Some(from + crlf + 4),
            (Some(lf), _) => Some(from + lf + 2),
            (None, Some(crlf)) => Some(from + crlf + 4),
            (None, None) => None,
        }
    }
}

fn read_event(raw: Vec<u8>) -> Event {
    let mut id = None;
    let mut data: Option<Vec<u8>> = None;
    for line in raw.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if let Some(value) = field(line, b"id") {
            id = std::str::from_utf8(value)
                .ok()
                .and_then(|text| text.parse().ok());
        } else if let Some(value) = field(line, b"data") {
            let joined = data.get_or_insert_default();
            if !joined.is_empty() {
                joined.push(b'\n');
            }
            joined.extend_from_slice(value);
        }
    }
    Event { raw, id, data }
}

fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
