//! Writing the head of an answer.

use std::fmt::Write as _;

use tiny_http::{HTTPVersion, Request, StatusCode};

use crate::error::ResponseError;
use crate::request::Header;

/// How the end of an answer's body is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyFraming {
    /// By its length in bytes.
    Length(usize),
    /// By a last chunk.
    Chunked,
    /// By the end of the connection (HTTP/1.0 clients know no chunks).
    UntilClose,
}

/// What of the request decides the form of the answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestTraits {
    pub is_head: bool,
    pub knows_chunks: bool,
}

impl RequestTraits {
    pub(crate) fn of(request: &Request) -> Self {
        Self {
            is_head: *request.method() == tiny_http::Method::Head,
            knows_chunks: *request.http_version() >= HTTPVersion(1, 1),
        }
    }
}

/// Whether the connection stays open for the next request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionUse {
    Keep,
    Close,
}

/// Text of the head, up to and with the empty line.
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
