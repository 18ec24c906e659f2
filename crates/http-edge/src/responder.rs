//! The answer to one request.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Instant;

use tiny_http::Request;

use crate::counters::increment;
use crate::error::{RequestFault, ResponseError};
use crate::head::{BodyFraming, ConnectionUse, RequestTraits, head_text};
use crate::request::{Header, path_of};
use crate::serving::Shared;
use crate::stream::StreamWriter;

/// The status of an answer, readable after its [`Responder`] is used up.
#[derive(Debug, Clone, Default)]
pub struct AnswerStatus(Arc<AtomicU16>);

impl AnswerStatus {
    /// The HTTP status that was sent, `None` before that.
    pub fn get(&self) -> Option<u16> {
        match self.0.load(Ordering::Relaxed) {
            0 => None,
            status => Some(status),
        }
    }

    fn set(&self, status: u16) {
        self.0.store(status, Ordering::Relaxed);
    }
}

/// Answers one request, once. Dropped without an answer it sends the handler's words for
/// [`RequestFault::Unanswered`].
pub struct Responder {
    writer: Option<Box<dyn Write + Send>>,
    traits: RequestTraits,
    started: Instant,
    path: String,
    status: AnswerStatus,
    shared: Arc<Shared>,
}

impl Responder {
    pub(crate) fn new(request: Request, shared: Arc<Shared>) -> Self {
        let traits = RequestTraits::of(&request);
        let path = path_of(&request).to_owned();
        Self {
            writer: Some(request.into_writer()),
            traits,
            started: Instant::now(),
            path,
            status: AnswerStatus::default(),
            shared,
        }
    }

    /// Where the status of the answer can be read later.
    pub fn status(&self) -> AnswerStatus {
        self.status.clone()
    }

    /// Sends a whole JSON answer.
    pub fn json(self, status: u16, headers: &[Header], body: &[u8]) -> Result<(), ResponseError> {
        self.respond_with(status, "application/json", headers, body)
    }

    /// Sends a whole answer of any content type.
    pub fn respond_with(
        mut self,
        status: u16,
        content_type: &str,
        headers: &[Header],
        body: &[u8],
    ) -> Result<(), ResponseError> {
        self.write_whole(status, content_type, headers, body)
    }

    /// Sends the head of a streamed answer. The connection is not used again after it.
    pub fn start_stream(
        mut self,
        status: u16,
        headers: &[Header],
    ) -> Result<StreamWriter, ResponseError> {
        let framing = if self.traits.knows_chunks {
            BodyFraming::Chunked
        } else {
            BodyFraming::UntilClose
        };
        let head = head_text(status, headers, framing, ConnectionUse::Close)?;
        self.status.set(status);
        let writer = self.send_parts(&[head.as_bytes()])?;
        let counters = Arc::clone(&self.shared.counters);
        Ok(StreamWriter::new(
            writer,
            framing,
            self.traits.is_head,
            counters,
        ))
    }

    fn write_whole(
        &mut self,
        status: u16,
        content_type: &str,
        headers: &[Header],
        body: &[u8],
    ) -> Result<(), ResponseError> {
        let mut all_headers = vec![Header::new("Content-Type", content_type)];
        all_headers.extend_from_slice(headers);
        let framing = BodyFraming::Length(body.len());
        let head = head_text(status, &all_headers, framing, self.connection_use())?;
        self.status.set(status);
        let sent_body: &[u8] = if self.traits.is_head { &[] } else { body };
        self.send_parts(&[head.as_bytes(), sent_body]).map(drop)
    }

    /// `tiny_http` reads on while the handler works, and gives the connection up once that read times
    /// out; the client must then not send its next request on it.
    fn connection_use(&self) -> ConnectionUse {
        if self.started.elapsed() * 2 >= self.shared.settings.read_timeout {
            ConnectionUse::Close
        } else {
            ConnectionUse::Keep
        }
    }

    fn send_parts(&mut self, parts: &[&[u8]]) -> Result<Box<dyn Write + Send>, ResponseError> {
        let Some(mut writer) = self.writer.take() else {
            return Err(ResponseError::ClientDisconnected(
                std::io::ErrorKind::NotConnected,
            ));
        };
        let mut written = Ok(());
        for part in parts {
            written = written.and_then(|()| writer.write_all(part));
        }
        match written.and_then(|()| writer.flush()) {
            Ok(()) => Ok(writer),
            Err(error) => {
                increment(&self.shared.counters.client_disconnects);
                Err(ResponseError::ClientDisconnected(error.kind()))
            }
        }
    }
}

impl Drop for Responder {
    fn drop(&mut self) {
        if self.writer.is_some() {
            increment(&self.shared.counters.unanswered);
            let fault = RequestFault::Unanswered;
            let settings = &self.shared.settings;
            let answer = self
                .shared
                .handler
                .fault_response(fault, &self.path, settings);
            let content_type = "application/json";
            let _ = self.write_whole(answer.status, content_type, &answer.headers, &answer.body);
        }
    }
}
