//! A request as handlers see it: wholly read, within the limits.

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
    /// Any other method, by its name.
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

/// One header of a request or of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Name of the header; compared without regard to case.
    pub name: String,
    /// Value of the header.
    pub value: String,
}

impl Header {
    /// A header with this name and value.
    pub fn new(name: impl Into<String>, value: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            value: value.into(),
        }
    }
}

/// A whole request.
#[derive(Debug, Clone)]
pub struct EdgeRequest {
    /// Method of the request.
    pub method: Method,
    /// Path without the query, as sent (percent encoding is kept).
    pub path: String,
    /// Text after the question mark, empty when there is none.
    pub query: String,
    /// Headers in the order sent.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Vec<u8>,
    /// Address of the client.
    pub remote: Option<SocketAddr>,
}

impl EdgeRequest {
    /// Value of the first header with this name.
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

/// The path without its query.
pub(crate) fn path_of(request: &tiny_http::Request) -> &str {
    let url = request.url();
    url.split_once('?').map_or(url, |(path, _)| path)
}
