//! Writes fault responses through `tiny_http`.

use std::io::{self, Cursor, Write};

use tiny_http::{Request, Response};

use crate::error::FaultResponse;

const JSON: &str = "application/json";

/// Placeholder protocol for `Request::upgrade`, which is called only to get direct access to the socket;
/// sent as the value of the `Upgrade` header.
const NO_PROTOCOL: &str = "none";

/// Responds to a request. `tiny_http` then reads and discards the rest of the body.
pub(crate) fn respond(request: Request, fault_response: FaultResponse) -> io::Result<()> {
    let response = Response::from_data(fault_response.body).with_status_code(fault_response.status);
    let mut response = with_header(response, "Content-Type", JSON);
    for header in fault_response.headers {
        response = with_header(response, &header.name, &header.value);
    }
    request.respond(response)
}

/// Responds to a request whose body must not be discarded; the connection is leaked and stays open.
///
/// `tiny_http` gives access to the socket only for a protocol upgrade, whose response has no
/// `Content-Length`. The length is therefore appended to the value of another header, and the body is
/// written directly.
pub(crate) fn respond_and_leak(request: Request, fault_response: FaultResponse) -> io::Result<()> {
    let type_and_length = format!("{JSON}\r\nContent-Length: {}", fault_response.body.len());
    let response = Response::from_data(Vec::new()).with_status_code(fault_response.status);
    let mut response = with_header(response, "Content-Type", &type_and_length);
    for header in fault_response.headers {
        response = with_header(response, &header.name, &header.value);
    }
    let mut stream = request.upgrade(NO_PROTOCOL, response);
    let written = stream.write_all(&fault_response.body);
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
