//! A request as handlers see it, and what they read from it.

use std::io::Read;
use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use tiny_http::{Header, Method, Request};

use crate::failure::Failure;

const BODY_LIMIT_BYTES: u64 = 64 * 1024 * 1024;

/// A request whose body has been read.
pub struct Incoming {
    /// Its method.
    pub method: Method,
    /// Its body.
    pub body: Vec<u8>,
    /// The other end of the connection.
    pub peer: Option<SocketAddr>,
    path: String,
    query: String,
    headers: Vec<Header>,
}

impl Incoming {
    /// Reads a request's body.
    pub(crate) fn read(request: &mut Request) -> Result<Self, Failure> {
        let mut body = Vec::new();
        request
            .as_reader()
            .take(BODY_LIMIT_BYTES + 1)
            .read_to_end(&mut body)
            .map_err(|_| Failure::InvalidField("body"))?;
        if body.len() as u64 > BODY_LIMIT_BYTES {
            return Err(Failure::BodyTooLarge(BODY_LIMIT_BYTES));
        }
        let (path, query) = request.url().split_once('?').unwrap_or((request.url(), ""));
        Ok(Self {
            method: request.method().clone(),
            body,
            peer: request.remote_addr().copied(),
            path: path.to_owned(),
            query: query.to_owned(),
            headers: request.headers().to_vec(),
        })
    }

    /// The path, split at its slashes.
    pub fn segments(&self) -> Vec<&str> {
        self.path.trim_matches('/').split('/').collect()
    }

    /// A header's value.
    pub fn header(&self, name: &'static str) -> Option<&str> {
        self.headers
            .iter()
            .find(|header| header.field.equiv(name))
            .map(|header| header.value.as_str())
    }

    /// A header's value as a number or identifier, if the header is there.
    pub fn parsed_header<T: std::str::FromStr>(
        &self,
        name: &'static str,
    ) -> Result<Option<T>, Failure> {
        self.header(name).map_or(Ok(None), |text| {
            let parsed = text.trim().parse();
            parsed.map(Some).map_err(|_| Failure::InvalidField(name))
        })
    }

    /// A query parameter, if it is there.
    pub fn query(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// A numeric query parameter; `default` when it is missing.
    pub fn query_number(&self, name: &'static str, default: u64) -> Result<u64, Failure> {
        self.query(name).map_or(Ok(default), |text| {
            text.parse().map_err(|_| Failure::InvalidField(name))
        })
    }

    /// The body, read as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Failure> {
        serde_json::from_slice(&self.body).map_err(|_| Failure::InvalidField("body"))
    }
}

/// Parses one segment of a path.
pub fn path_value<T: std::str::FromStr>(text: &str, name: &'static str) -> Result<T, Failure> {
    text.parse().map_err(|_| Failure::InvalidField(name))
}
