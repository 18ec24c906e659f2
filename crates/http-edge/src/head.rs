//! Formats the head of a response.

use std::fmt::Write as _;

use tiny_http::{HTTPVersion, Request, StatusCode};

use crate::error::ResponseError;
use crate::request::Header;

/// How the client recognizes the end of a response's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyFraming {
    /// By its length in bytes.
    Length(usize),
    /// By the last chunk.
    Chunked,
    /// By the end of the connection, for HTTP/1.0 clients, which do not support chunked encoding.
    UntilClose,
}

/// Properties of the request that determine the format of the response.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestTraits {
    pub is_head: bool,
    pub supports_chunked: bool,
}

impl RequestTraits {
    pub(crate) fn of(request: &Request) -> Self {
        Self {
            is_head: *request.method() == tiny_http::Method::Head,
            supports_chunked: *request.http_version() >= HTTPVersion(1, 1),
        }
    }
}

/// Whether the client may reuse the connection after the response. `Close` only adds the header
/// `Connection: close`; the edge does not close the connection itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionUse {
    Keep,
    Close,
}

/// Formats the head, including the empty line at its end.
pub(crate) fn head_text(
    status: u16,
    headers: &[Header],
    framing: BodyFraming,
    connection: ConnectionUse,
) -> Result<String, ResponseError> {
    let reason = StatusCode(status).default_reason_phrase();
    let mut head = format!("HTTP/1.1 {status} {reason}\r\n");
    for header in headers {
        if !is_valid(header) {
            return Err(ResponseError::InvalidHeader);
        }
        let _ = write!(head, "{}: {}\r\n", header.name, header.value);
    }
    match framing {
        BodyFraming::Length(length) => {
            let _ = write!(head, "Content-Length: {length}\r\n");
        }
        BodyFraming::Chunked => head.push_str("Transfer-Encoding: chunked\r\n"),
        BodyFraming::UntilClose => {}
    }
    if connection == ConnectionUse::Close {
        head.push_str("Connection: close\r\n");
    }
    head.push_str("\r\n");
    Ok(head)
}

fn is_valid(header: &Header) -> bool {
    let name_character =
        |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    let value_character = |byte: u8| byte == b'\t' || (b' '..=b'~').contains(&byte);
    !header.name.is_empty()
        && header.name.bytes().all(name_character)
        && header.value.bytes().all(value_character)
}
