//! A complete request, as passed to handlers.

use std::net::SocketAddr;

/// Method of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Method {
    /// GET
    Get,
    /// HEAD
    Head,
    /// POST
    Post,
    /// PUT
    Put,
    /// DELETE
    Delete,
    /// Name of any other method.
    Other(String),
}

impl From<&tiny_http::Method> for Method {
    fn from(method: &tiny_http::Method) -> Self {
        match method {
            tiny_http::Method::Get => Self::Get,
            tiny_http::Method::Head => Self::Head,
            tiny_http::Method::Post => Self::Post,
            tiny_http::Method::Put => Self::Put,
            tiny_http::Method::Delete => Self::Delete,
            other => Self::Other(other.to_string()),
        }
    }
}

/// One header of a request or of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Name, which is case-insensitive.
    pub name: String,
    /// Value; in a response only visible ASCII characters, spaces and tabs are allowed.
    pub value: String,
}

impl Header {
    /// Creates a header; the characters are checked when a response is sent.
    pub fn new(name: impl Into<String>, value: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            value: value.into(),
        }
    }
}

/// A request whose body was read completely.
#[derive(Debug, Clone)]
pub struct EdgeRequest {
    /// Method of the request.
    pub method: Method,
    /// Path without the query, still percent-encoded.
    pub path: String,
    /// Query without the question mark; empty if there is none.
    pub query: String,
    /// Headers in the order received.
    pub headers: Vec<Header>,
    /// Complete body.
    pub body: Vec<u8>,
    /// Address of the client, if known.
    pub remote: Option<SocketAddr>,
}

impl EdgeRequest {
    /// Returns the value of the first header with this name, ignoring case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|header| header.name.eq_ignore_ascii_case(name))
            .map(|header| header.value.as_str())
    }

    pub(crate) fn new(request: &tiny_http::Request, body: Vec<u8>) -> Self {
        let path = path_of(request);
        let rest = &request.url()[path.len()..];
        let query = rest.strip_prefix('?').unwrap_or(rest);
        let headers = request
            .headers()
            .iter()
            .map(|header| Header::new(header.field.as_str().as_str(), header.value.as_str()));
        Self {
            method: Method::from(request.method()),
            path: path.to_owned(),
            query: query.to_owned(),
            headers: headers.collect(),
            body,
            remote: request.remote_addr().copied(),
        }
    }
}

/// Returns the path without the query.
pub(crate) fn path_of(request: &tiny_http::Request) -> &str {
    let url = request.url();
    url.split_once('?').map_or(url, |(path, _)| path)
}
