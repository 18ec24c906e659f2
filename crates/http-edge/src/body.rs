//! Reads request bodies within a size limit and a deadline.

use std::io::{self, ErrorKind};
use std::sync::Arc;
use std::time::Instant;

use tiny_http::Request;

use crate::counters::{EdgeCounters, increment};
use crate::error::{FaultResponse, RequestFault};
use crate::fault_response;
use crate::request::path_of;
use crate::settings::EdgeSettings;

const READ_BUFFER_BYTES: usize = 16 * 1024;

/// When a request is dropped, `tiny_http` allocates a buffer for the unread rest of the declared length.
/// Requests with a longer body are leaked instead of dropped, because the allocation could abort the
/// process.
const MAX_DISCARDED_BODY_BYTES: usize = 64 * 1024 * 1024;

/// A request that can be dropped safely, whatever `Content-Length` it declares.
pub(crate) struct GuardedRequest {
    request: Option<Request>,
    counters: Arc<EdgeCounters>,
}

impl GuardedRequest {
    pub(crate) fn new(request: Request, counters: Arc<EdgeCounters>) -> Self {
        let request = Some(request);
        Self { request, counters }
    }

    /// Returns the path without the query.
    pub(crate) fn path(&self) -> &str {
        self.request.as_ref().map_or("", path_of)
    }

    pub(crate) fn get_mut(&mut self) -> Option<&mut Request> {
        self.request.as_mut()
    }

    pub(crate) fn into_request(mut self) -> Option<Request> {
        self.request.take()
    }

    /// Sends `response` without reading the rest of the body first.
    pub(crate) fn refuse(mut self, response: FaultResponse) -> io::Result<()> {
        match self.request.take() {
            Some(request) if is_discardable(&request) => fault_response::respond(request, response),
            Some(request) => {
                increment(&self.counters.abandoned_connections);
                fault_response::respond_and_leak(request, response)
            }
            None => Ok(()),
        }
    }
}

impl Drop for GuardedRequest {
    fn drop(&mut self) {
        let leaked = self
            .request
            .take()
            .filter(|request| !is_discardable(request));
        if let Some(request) = leaked {
            increment(&self.counters.abandoned_connections);
            std::mem::forget(request);
        }
    }
}

fn is_discardable(request: &Request) -> bool {
    request.body_length().unwrap_or(0) <= MAX_DISCARDED_BODY_BYTES
}

/// Reads the whole body and checks it against the declared length.
pub(crate) fn read_body(
    request: &mut Request,
    settings: &EdgeSettings,
) -> Result<Vec<u8>, RequestFault> {
    check_length_headers(request)?;
    let declared = request.body_length();
    if declared.is_some_and(|length| length > settings.max_body_bytes) {
        return Err(RequestFault::BodyTooLarge);
    }
    let body = read_until_end(request, settings)?;
    match declared {
        Some(length) if length != body.len() => Err(RequestFault::BodyCutOff),
        _ => Ok(body),
    }
}

/// Rejects ambiguous lengths. `tiny_http` treats a length that it cannot parse as "no body", and would
/// then parse the body as the next request.
fn check_length_headers(request: &Request) -> Result<(), RequestFault> {
    let values = |name: &'static str| {
        let headers = request.headers().iter();
        headers.filter(move |header| header.field.equiv(name))
    };
    let mut lengths = values("Content-Length").map(|header| header.value.as_str());
    let Some(first) = lengths.next() else {
        return Ok(());
    };
    let digits = !first.is_empty() && first.bytes().all(|byte| byte.is_ascii_digit());
    let representable = first.parse::<usize>().is_ok();
    let alone = lengths.next().is_none() && values("Transfer-Encoding").next().is_none();
    if digits && representable && alone {
        Ok(())
    } else {
        Err(RequestFault::MalformedLength)
    }
}

fn read_until_end(request: &mut Request, settings: &EdgeSettings) -> Result<Vec<u8>, RequestFault> {
    let deadline = Instant::now() + settings.body_deadline;
    let mut body = Vec::new();
    let mut buffer = [0; READ_BUFFER_BYTES];
    let reader = request.as_reader();
    loop {
        let length = match reader.read(&mut buffer) {
            Ok(0) => return Ok(body),
            Ok(length) => length,
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            Err(error) => return Err(fault_of(error.kind())),
        };
        if body.len() + length > settings.max_body_bytes {
            return Err(RequestFault::BodyTooLarge);
        }
        body.extend_from_slice(&buffer[..length]);
        if Instant::now() >= deadline {
            return Err(RequestFault::BodyTimedOut);
        }
    }
}

fn fault_of(kind: ErrorKind) -> RequestFault {
    match kind {
        ErrorKind::WouldBlock | ErrorKind::TimedOut => RequestFault::BodyTimedOut,
        _ => RequestFault::BodyCutOff,
    }
}
