//! Splits the bytes of an engine's event stream into complete events, without changing a byte.
//!
//! Source: the `text/event-stream` format of the HTML standard. Only `id` and `data` fields are parsed. A carriage return that no
//! line feed follows does not end a line here.

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
    /// Start of the first line in the buffer that has no end yet.
    line: usize,
    /// Number of bytes at the start of the buffer that were searched for the ends of lines.
    searched: usize,
}

impl EventSplitter {
    /// Adds bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Event>, EventTooLong> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.find_end() {
            let raw: Vec<u8> = self.buffer.drain(..end).collect();
            self.line = 0;
            self.searched = 0;
            events.push(read_event(raw));
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(events)
    }

    /// Bytes of an incomplete event.
    pub fn rest(&self) -> &[u8] {
        &self.buffer
    }

    /// End of the first empty line, which ends the event.
    fn find_end(&mut self) -> Option<usize> {
        loop {
            let unsearched = &self.buffer[self.searched..];
            let Some(length) = unsearched.iter().position(|byte| *byte == b'\n') else {
                self.searched = self.buffer.len();
                return None;
            };
            let line_feed = self.searched + length;
            let line = &self.buffer[self.line..line_feed];
            self.line = line_feed + 1;
            self.searched = self.line;
            if without_carriage_return(line).is_empty() {
                return Some(self.line);
            }
        }
    }
}

/// A line ends with a line feed, before which a carriage return may stand.
fn without_carriage_return(line: &[u8]) -> &[u8] {
    line.strip_suffix(b"\r").unwrap_or(line)
}

fn read_event(raw: Vec<u8>) -> Event {
    let mut id = None;
    let mut data: Option<Vec<u8>> = None;
    for line in raw.split(|byte| *byte == b'\n') {
        let (name, value) = field(without_carriage_return(line));
        match name {
            b"id" => id = number(value),
            b"data" => match &mut data {
                None => data = Some(value.to_vec()),
                Some(joined) => {
                    joined.push(b'\n');
                    joined.extend_from_slice(value);
                }
            },
            _ => {}
        }
    }
    Event { raw, id, data }
}

/// Name and value of a line; the value is empty if the line has no colon.
fn field(line: &[u8]) -> (&[u8], &[u8]) {
    let Some(colon) = line.iter().position(|byte| *byte == b':') else {
        return (line, &[]);
    };
    let value = &line[colon + 1..];
    (&line[..colon], value.strip_prefix(b" ").unwrap_or(value))
}

fn number(value: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(value).ok()?;
    text.parse().ok()
}
