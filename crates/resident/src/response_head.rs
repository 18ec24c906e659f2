//! What a response's head tells of its body, and heads that tell it wrongly or in two ways.
//!
//! The HTTP libraries reject bytes that are no head. They accept some heads of which different readers find different bodies; here
//! these are faults, since a body that was cut or joined wrongly looks like a whole one.
//!
//! Source: RFC 9112, sections 6.1 to 6.3.

use std::fmt;
use std::ops::Range;

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, StatusCode};

const CHUNKED: &[u8] = b"chunked";
/// Statuses of final responses. Interim ones are skipped by the HTTP library, and no connection is upgraded.
const FINAL_STATUSES: Range<u16> = 200..600;
/// Most digits of a chunk's size that are taken for one.
const MAX_SIZE_DIGITS: usize = 8;

/// How the end of a response's body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// By the length that the head tells.
    Length,
    /// By the last chunk.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// Why a response's head cannot be used.
#[derive(Debug)]
pub enum HeadFault {
    /// The bytes are no head.
    Unreadable(hyper::Error),
    /// The status is none of a final response.
    Status(StatusCode),
    /// A transfer coding other than `chunked` alone.
    TransferCoding,
    /// Both a transfer coding and a length.
    CodingAndLength,
    /// Several lengths, or one that is no number.
    Length,
}

impl fmt::Display for HeadFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(error) => write!(formatter, "no head of a response: {error}"),
            Self::Status(status) => write!(formatter, "status {}", status.as_u16()),
            Self::TransferCoding => formatter.write_str("a transfer coding other than chunked"),
            Self::CodingAndLength => formatter.write_str("both a transfer coding and a length"),
            Self::Length => formatter.write_str("no single length"),
        }
    }
}

impl std::error::Error for HeadFault {}

/// Checks a head that the HTTP library has accepted.
pub fn check(status: StatusCode, headers: &HeaderMap) -> Result<BodyFraming, HeadFault> {
    if !FINAL_STATUSES.contains(&status.as_u16()) {
        return Err(HeadFault::Status(status));
    }
    let coding = single(headers, &TRANSFER_ENCODING).map_err(|_| HeadFault::TransferCoding)?;
    let length = single(headers, &CONTENT_LENGTH).map_err(|_| HeadFault::Length)?;
    match (coding, length) {
        (None, None) => Ok(BodyFraming::UntilClose),
        (Some(_), Some(_)) => Err(HeadFault::CodingAndLength),
        (Some(coding), None) if coding.as_bytes().eq_ignore_ascii_case(CHUNKED) => {
            Ok(BodyFraming::Chunked)
        }
        (Some(_), None) => Err(HeadFault::TransferCoding),
        (None, Some(length)) if is_number(length) => Ok(BodyFraming::Length),
        (None, Some(_)) => Err(HeadFault::Length),
    }
}

/// A field appears several times.
struct Repeated;

fn single<'a>(
    headers: &'a HeaderMap,
    name: &http::HeaderName,
) -> Result<Option<&'a HeaderValue>, Repeated> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    values.next().map_or(Ok(first), |_| Err(Repeated))
}

fn is_number(value: &HeaderValue) -> bool {
    let digits = value.as_bytes();
    !digits.is_empty() && digits.iter().all(u8::is_ascii_digit)
}

/// Whether a body that ends with its connection is one in chunks, whose head has lost the field that says so. `body` has its bytes
/// from the start on. True also if the bytes end within the first chunk.
pub fn is_in_chunks(body: impl Iterator<Item = u8>) -> bool {
    let mut body = body.peekable();
    let mut size = 0_usize;
    let mut digits = 0;
    while let Some(digit) = body.next_if(u8::is_ascii_hexdigit) {
        digits += 1;
        if digits > MAX_SIZE_DIGITS {
            return false;
        }
        let digit = char::from(digit).to_digit(16).unwrap_or_default();
        size = size * 16 + digit as usize;
    }
    let is_size_line = digits > 0 && body.next() == Some(b'\r') && body.next() == Some(b'\n');
    let chunk_end = body.skip(size).zip(*b"\r\n");
    is_size_line
        && chunk_end
            .into_iter()
            .all(|(byte, expected)| byte == expected)
}
