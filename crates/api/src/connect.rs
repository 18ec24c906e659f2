//! Unary calls of the Connect protocol, independent of the transport.
//!
//! A request is a POST to `/ridgeworks.v1.Operator/METHOD`. Its body is one message in
//! `application/json` or `application/proto`, and the response has the same format. An error is a JSON
//! [`crate::ErrorBody`] with the HTTP status of its code.

use std::borrow::Cow;
use std::fmt;
use std::io::Read;

use flate2::read::GzDecoder;
use prost::Message;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::connect_error::ConnectError;

/// Header with the version of the Connect protocol.
pub const PROTOCOL_VERSION_HEADER: &str = "connect-protocol-version";
/// The supported version of the Connect protocol.
pub const PROTOCOL_VERSION: &str = "1";
/// Header with the time that the client waits for the response, in milliseconds.
pub const TIMEOUT_HEADER: &str = "connect-timeout-ms";
/// Maximum size of a request's body after decompression, in bytes.
pub const MAX_REQUEST_BYTES: u64 = 1 << 20;

const JSON_MEDIA_TYPE: &str = "application/json";
const PROTOBUF_MEDIA_TYPE: &str = "application/proto";
const GZIP_ENCODING: &str = "gzip";
const IDENTITY_ENCODING: &str = "identity";
const HTTP_OK: u16 = 200;

/// Format of a message on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum BodyFormat {
    /// The JSON mapping of protobuf.
    Json,
    /// The binary form of protobuf.
    Protobuf,
}

impl BodyFormat {
    /// Returns the format for the value of a `Content-Type` header, ignoring parameters such as the
    /// character set.
    pub fn from_content_type(content_type: &str) -> Result<Self, ConnectError> {
        let media_type = content_type.split(';').next().unwrap_or_default().trim();
        if media_type.eq_ignore_ascii_case(JSON_MEDIA_TYPE) {
            Ok(Self::Json)
        } else if media_type.eq_ignore_ascii_case(PROTOBUF_MEDIA_TYPE) {
            Ok(Self::Protobuf)
        } else {
            Err(ConnectError::UnsupportedMediaType)
        }
    }

    /// Returns the media type, as sent in the `Content-Type` header.
    pub fn media_type(self) -> &'static str {
        match self {
            Self::Json => JSON_MEDIA_TYPE,
            Self::Protobuf => PROTOBUF_MEDIA_TYPE,
        }
    }
}

impl fmt::Display for BodyFormat {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.media_type())
    }
}

/// A response for the HTTP edge to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: &'static str,
    /// Value of the `Retry-After` header, in seconds; `None` omits the header.
    pub retry_after_seconds: Option<u64>,
    /// Complete body.
    pub body: Vec<u8>,
}

/// The headers of a request that determine how its body is decoded; an absent header is `None`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RequestHead<'a> {
    /// Value of the `Content-Type` header.
    pub content_type: Option<&'a str>,
    /// Value of the `Content-Encoding` header.
    pub content_encoding: Option<&'a str>,
    /// Value of the header [`PROTOCOL_VERSION_HEADER`].
    pub protocol_version: Option<&'a str>,
}

impl RequestHead<'_> {
    /// Checks the protocol version, then decompresses and decodes the body.
    pub fn decode<M>(&self, body: &[u8]) -> Result<M, ConnectError>
    where
        M: Message + Default + DeserializeOwned,
    {
        if self
            .protocol_version
            .is_some_and(|version| version != PROTOCOL_VERSION)
        {
            return Err(ConnectError::UnsupportedProtocolVersion);
        }
        let content_type = self.content_type.unwrap_or_default();
        let format = BodyFormat::from_content_type(content_type)?;
        let body = decompress(self.content_encoding, format, body)?;
        decode_message(format, &body)
    }
}

/// Decompresses a body, up to one byte more than [`decode_message`] accepts. Some generated clients
/// compress every request with gzip by default.
fn decompress<'a>(
    content_encoding: Option<&str>,
    format: BodyFormat,
    body: &'a [u8],
) -> Result<Cow<'a, [u8]>, ConnectError> {
    let encoding = content_encoding.unwrap_or(IDENTITY_ENCODING);
    if encoding.eq_ignore_ascii_case(IDENTITY_ENCODING) {
        return Ok(Cow::Borrowed(body));
    }
    if !encoding.eq_ignore_ascii_case(GZIP_ENCODING) {
        return Err(ConnectError::UnsupportedEncoding);
    }
    // The additional byte distinguishes a body that is too long from one of the maximum size.
    let mut decompressed = Vec::new();
    GzDecoder::new(body)
        .take(MAX_REQUEST_BYTES + 1)
        .read_to_end(&mut decompressed)
        .map_err(|_| ConnectError::MalformedBody(format))?;
    Ok(Cow::Owned(decompressed))
}

/// Decodes the message of a request. A JSON body with unknown fields is refused, so that a misspelt
/// field is not mistaken for an absent one.
pub fn decode_request<M>(content_type: &str, body: &[u8]) -> Result<M, ConnectError>
where
    M: Message + Default + DeserializeOwned,
{
    let format = BodyFormat::from_content_type(content_type)?;
    decode_message(format, body)
}

/// Decodes a message in a known format.
pub fn decode_message<M>(format: BodyFormat, body: &[u8]) -> Result<M, ConnectError>
where
    M: Message + Default + DeserializeOwned,
{
    if body.len() as u64 > MAX_REQUEST_BYTES {
        return Err(ConnectError::BodyTooLarge {
            limit_bytes: MAX_REQUEST_BYTES,
        });
    }
    let malformed = ConnectError::MalformedBody(format);
    match format {
        BodyFormat::Json => serde_json::from_slice(body).map_err(|_| malformed),
        BodyFormat::Protobuf => M::decode(body).map_err(|_| malformed),
    }
}

/// Encodes a successful response in the format of the request.
pub fn encode_response<M>(content_type: &str, message: &M) -> Result<HttpResponse, ConnectError>
where
    M: Message + Serialize,
{
    let format = BodyFormat::from_content_type(content_type)?;
    let body = match format {
        BodyFormat::Json => {
            serde_json::to_vec(message).map_err(|_| ConnectError::UnencodableResponse)?
        }
        BodyFormat::Protobuf => message.encode_to_vec(),
    };
    Ok(HttpResponse {
        status: HTTP_OK,
        content_type: format.media_type(),
        retry_after_seconds: None,
        body,
    })
}

/// Encodes an error as JSON.
pub fn encode_error(error: &ConnectError) -> HttpResponse {
    // The body contains only strings, so encoding it cannot fail.
    let body = serde_json::to_vec(&error.to_body()).unwrap_or_default();
    HttpResponse {
        status: error.http_status(),
        content_type: JSON_MEDIA_TYPE,
        retry_after_seconds: error.retry_after_ms().map(whole_seconds),
        body,
    }
}

/// Converts milliseconds to seconds, rounded up so that clients do not retry too early.
pub fn whole_seconds(milliseconds: u64) -> u64 {
    milliseconds.div_ceil(1000)
}
