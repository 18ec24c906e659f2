//! The response to one request.

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

/// The status of a response, readable after its [`Responder`] was consumed.
#[derive(Debug, Clone, Default)]
pub struct ResponseStatus(Arc<AtomicU16>);

impl ResponseStatus {
    /// Returns the HTTP status of the response, or `None` before the edge began to send one. The write may
    /// have failed.
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

/// Sends the response to one request. If dropped without a response, it sends the handler's response
/// for [`RequestFault::Unanswered`].
pub struct Responder {
    writer: Option<Box<dyn Write + Send>>,
    traits: RequestTraits,
    started: Instant,
    path: String,
    status: ResponseStatus,
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
            status: ResponseStatus::default(),
            shared,
        }
    }

    /// Returns a handle that reads the status of the response later.
    pub fn status(&self) -> ResponseStatus {
        self.status.clone()
    }

    /// Sends a complete JSON response.
    pub fn json(self, status: u16, headers: &[Header], body: &[u8]) -> Result<(), ResponseError> {
        self.respond_with(status, "application/json", headers, body)
    }

    /// Sends a complete response of any content type.
    pub fn respond_with(
        mut self,
        status: u16,
        content_type: &str,
        headers: &[Header],
        body: &[u8],
    ) -> Result<(), ResponseError> {
        self.write_complete(status, content_type, headers, body)
    }

    /// Sends the head of a streamed response, which tells the client not to reuse the connection.
    pub fn start_stream(
        mut self,
        status: u16,
        headers: &[Header],
    ) -> Result<StreamWriter, ResponseError> {
        let framing = if self.traits.supports_chunked {
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

    fn write_complete(
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

    /// `tiny_http` reads from the connection while the handler runs, and closes it when that read times
    /// out. A response that may come after the timeout tells the client not to reuse the connection.
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
            let response = self
                .shared
                .handler
                .fault_response(fault, &self.path, settings);
            let content_type = "application/json";
            let _ = self.write_complete(
                response.status,
                content_type,
                &response.headers,
                &response.body,
            );
        }
    }
}
