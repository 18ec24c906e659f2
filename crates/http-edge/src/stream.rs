//! Streamed answers: each chunk leaves before the next one is produced.

use std::fmt;
use std::io::{self, Write};
use std::sync::Arc;

use crate::counters::{EdgeCounters, increment};
use crate::head::BodyFraming;

const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// No chunk size, so that the client's decoder fails. `tiny_http` gives no access to the socket, so a
/// broken answer cannot be told by closing it.
const BROKEN_CHUNK: &[u8] = b"broken\r\n";

/// The client left or did not read within the write time-out; holds the kind of the failed write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientDisconnected(pub io::ErrorKind);

impl fmt::Display for ClientDisconnected {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "the client is gone: {}", self.0)
    }
}

impl std::error::Error for ClientDisconnected {}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamState {
    Open,
    Finished,
    Gone(io::ErrorKind),
}

/// The body of a streamed answer. Dropped without [`StreamWriter::finish`] it breaks the answer off,
/// so that the client cannot take it for whole.
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

    /// Sends one chunk and flushes it to the socket. An empty chunk sends nothing. A client that
    /// closed its socket is noticed on the first or second send after that.
    pub fn send(&mut self, chunk: &[u8]) -> Result<(), ClientDisconnected> {
        if let StreamState::Gone(kind) = self.state {
            return Err(ClientDisconnected(kind));
        }
        if chunk.is_empty() || self.discards_body {
            return Ok(());
        }
        let written = self.write_chunk(chunk);
        self.note(written)
    }

    /// Ends the answer as whole.
    pub fn finish(mut self) -> Result<(), ClientDisconnected> {
        if let StreamState::Gone(kind) = self.state {
            return Err(ClientDisconnected(kind));
        }
        let written = self.write_last_chunk();
        self.note(written)?;
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

    fn note(&mut self, written: io::Result<()>) -> Result<(), ClientDisconnected> {
        written.map_err(|error| {
            self.state = StreamState::Gone(error.kind());
            increment(&self.counters.client_disconnects);
            ClientDisconnected(error.kind())
        })
    }
}

impl Drop for StreamWriter {
    fn drop(&mut self) {
        let is_broken_off = self.state == StreamState::Open && !self.discards_body;
        if is_broken_off && self.framing == BodyFraming::Chunked {
            let _ = self.writer.write_all(BROKEN_CHUNK);
            let _ = self.writer.flush();
        }
    }
}
