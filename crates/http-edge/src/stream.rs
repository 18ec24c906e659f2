//! Streamed responses, flushed to the client after each chunk.

use std::fmt;
use std::io::{self, Write};
use std::sync::Arc;

use crate::counters::{EdgeCounters, increment};
use crate::head::BodyFraming;

const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// An invalid chunk size, which makes the client's decoder fail. `tiny_http` gives no access to the
/// socket, so an incomplete response cannot be signalled by closing the connection.
const INVALID_CHUNK: &[u8] = b"broken\r\n";

/// The client disconnected or did not read within the write timeout; contains the kind of the failed
/// write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientDisconnected(pub io::ErrorKind);

impl fmt::Display for ClientDisconnected {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "the client disconnected: {}", self.0)
    }
}

impl std::error::Error for ClientDisconnected {}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamState {
    Open,
    Finished,
    Disconnected(io::ErrorKind),
}

/// The body of a streamed response. If dropped without [`StreamWriter::finish`], it ends a chunked
/// response with an invalid chunk, so that the client detects that the response is incomplete.
pub struct StreamWriter {
    writer: Box<dyn Write + Send>,
    framing: BodyFraming,
    discards_body: bool,
    state: StreamState,
    counters: Arc<EdgeCounters>,
}

impl StreamWriter {
    pub(crate) fn new(
        writer: Box<dyn Write + Send>,
        framing: BodyFraming,
        discards_body: bool,
        counters: Arc<EdgeCounters>,
    ) -> Self {
        Self {
            writer,
            framing,
            discards_body,
            state: StreamState::Open,
            counters,
        }
    }

    /// Sends one chunk and flushes it to the socket; an empty chunk sends nothing. After the
    /// client closes its socket, the first call may still succeed, because the client may reset the connection
    /// only in response to its data; calls after the reset return an error.
    pub fn send(&mut self, chunk: &[u8]) -> Result<(), ClientDisconnected> {
        if let StreamState::Disconnected(kind) = self.state {
            return Err(ClientDisconnected(kind));
        }
        if chunk.is_empty() || self.discards_body {
            return Ok(());
        }
        let written = self.write_chunk(chunk);
        self.check_written(written)
    }

    /// Completes the response.
    pub fn finish(mut self) -> Result<(), ClientDisconnected> {
        if let StreamState::Disconnected(kind) = self.state {
            return Err(ClientDisconnected(kind));
        }
        let written = self.write_last_chunk();
        self.check_written(written)?;
        self.state = StreamState::Finished;
        Ok(())
    }

    fn write_chunk(&mut self, chunk: &[u8]) -> io::Result<()> {
        if self.framing == BodyFraming::Chunked {
            write!(self.writer, "{:x}\r\n", chunk.len())?;
            self.writer.write_all(chunk)?;
            self.writer.write_all(b"\r\n")?;
        } else {
            self.writer.write_all(chunk)?;
        }
        self.writer.flush()
    }

    fn write_last_chunk(&mut self) -> io::Result<()> {
        if self.framing == BodyFraming::Chunked && !self.discards_body {
            self.writer.write_all(LAST_CHUNK)?;
        }
        self.writer.flush()
    }

    fn check_written(&mut self, written: io::Result<()>) -> Result<(), ClientDisconnected> {
        written.map_err(|error| {
            self.state = StreamState::Disconnected(error.kind());
            increment(&self.counters.client_disconnects);
            ClientDisconnected(error.kind())
        })
    }
}

impl Drop for StreamWriter {
    fn drop(&mut self) {
        let is_incomplete = self.state == StreamState::Open && !self.discards_body;
        if is_incomplete && self.framing == BodyFraming::Chunked {
            let _ = self.writer.write_all(INVALID_CHUNK);
            let _ = self.writer.flush();
        }
    }
}
