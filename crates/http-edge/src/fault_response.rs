//! Faults as answers of `tiny_http`.

use std::io::{self, Cursor, Write};

use tiny_http::{Request, Response};

use crate::error::FaultResponse;

const JSON: &str = "application/json";

/// Value of the `Upgrade` header on the one path where `tiny_http` gives no other access.
const NO_PROTOCOL: &str = "none";

/// Answers a request, whose body is then read away.
pub(crate) fn respond(request: Request, answer: FaultResponse) -> io::Result<()> {
    let response = Response::from_data(answer.body).with_status_code(answer.status);
    let mut response = with_header(response, "Content-Type", JSON);
    for header in answer.headers {
        response = with_header(response, &header.name, &header.value);
    }
    request.respond(response)
}

/// Answers a request whose body must never be read away; its connection stays open for good.
///
/// `tiny_http` gives the socket up to an upgrade only, whose head has no length. The length
/// therefore goes into the head behind another header's value, and the body follows by hand.
pub(crate) fn respond_and_abandon(request: Request, answer: FaultResponse) -> io::Result<()> {
    let kind_and_length = format!("{JSON}\r\nContent-Length: {}", answer.body.len());
    let response = Response::from_data(Vec::new()).with_status_code(answer.status);
    let mut response = with_header(response, "Content-Type", &kind_and_length);
    for header in answer.headers {
        response = with_header(response, &header.name, &header.value);
    }
    let mut stream = request.upgrade(NO_PROTOCOL, response);
    let written = stream.write_all(&answer.body);
    let written = written.and_then(|()| stream.flush());
    std::mem::forget(stream);
    written
}

fn with_header(
    response: Response<Cursor<Vec<u8>>>,
    name: &str,
    value: &str,
) -> Response<Cursor<Vec<u8>>> {
    match tiny_http::Header::from_bytes(name, value) {
        Ok(header) => response.with_header(header),
        Err(()) => response,
    }
}
