//! Blocking HTTP/1.1 messages.

use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;

/// A request as read by a server.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// A response as read by a client.
#[derive(Debug, Clone, Default)]
pub struct Response {
    pub status: u16,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end by its framing.
    pub is_whole: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(present, _)| present == name);
    found.map(|(_, value)| value.as_str())
}

type Head = (String, Vec<(String, String)>);

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 || line.last() != Some(&b'\n') {
        return Ok(None);
    }
    let text = String::from_utf8_lossy(&line);
    Ok(Some(text.trim_end_matches(['\r', '\n']).to_owned()))
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let Some(start) = read_line(reader)? else {
        return Ok(None);
    };
    let mut headers = Vec::new();
    loop {
        match read_line(reader)? {
            None => return Ok(None),
            Some(line) if line.is_empty() => return Ok(Some((start, headers))),
            Some(line) => {
                let (name, value) = line.split_once(':').unwrap_or((line.as_str(), ""));
                headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }
}

/// Reads a request; `None` if the connection was closed before a whole one.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some((start, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut parts = start.split(' ');
    let method = parts.next().unwrap_or_default().to_owned();
    let target = parts.next().unwrap_or_default().to_owned();
    let (body, is_whole) = match find(&headers, "content-length") {
        Some(length) => read_exactly(reader, length.parse().unwrap_or(0)),
        None if find(&headers, "transfer-encoding").is_some() => read_chunks(reader),
        None => (Vec::new(), true),
    };
    Ok(is_whole.then_some(Request {
        method,
        target,
        headers,
        body,
    }))
}

/// Reads a response; `None` if the connection ended before a whole head.
pub fn read_response(reader: &mut BufReader<TcpStream>) -> Option<Response> {
    let (start, headers) = read_head(reader).ok()??;
    let status = start.split(' ').nth(1)?.parse().ok()?;
    let (body, is_whole) = match find(&headers, "content-length") {
        Some(length) => read_exactly(reader, length.parse().unwrap_or(0)),
        None if find(&headers, "transfer-encoding").is_some() => read_chunks(reader),
        None => {
            let mut body = Vec::new();
            let is_whole = reader.read_to_end(&mut body).is_ok();
            (body, is_whole)
        }
    };
    Some(Response {
        status,
        headers,
        body,
        is_whole,
    })
}

fn read_exactly(reader: &mut impl Read, length: usize) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    let read = reader.take(length as u64).read_to_end(&mut body);
    let is_whole = read.is_ok() && body.len() == length;
    (body, is_whole)
}

fn read_chunks(reader: &mut impl BufRead) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Ok(Some(line)) = read_line(reader) else {
            return (body, false);
        };
        let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
            return (body, false);
        };
        let (chunk, is_whole) = read_exactly(reader, length);
        body.extend_from_slice(&chunk);
        let Ok(Some(_)) = read_line(reader) else {
            return (body, false);
        };
        if !is_whole || length == 0 {
            return (body, is_whole);
        }
    }
}
