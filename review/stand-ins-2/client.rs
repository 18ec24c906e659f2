//! A client of the gateways.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::http::Reader;
use crate::record::Record;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// An id that no other request has.
pub fn new_id(kind: &str) -> String {
    format!("{kind}-{:06x}", NEXT_ID.fetch_add(1, Ordering::SeqCst))
}

/// One try of a client.
#[derive(Debug, Clone)]
pub struct Call {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub deadline: Duration,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

/// What a try brought. Status 0: no answer.
#[derive(Debug, Clone, Default)]
pub struct Reply {
    pub status: u16,
    pub is_whole: bool,
    pub seal: Option<String>,
    pub retry_after: Option<f64>,
    pub body: Vec<u8>,
}

impl Reply {
    /// Whether the engine's whole answer came, a success.
    pub fn is_served(&self) -> bool {
        self.status == 200 && self.is_whole && self.seal.is_some()
    }
}

pub const HOST: &str = "ficu95.example";

impl Call {
    pub fn new(kind: &str, method: &'static str, path: &str, deadline_ms: u64) -> Self {
        Self {
            id: new_id(kind),
            method,
            path: path.to_owned(),
            deadline: Duration::from_millis(deadline_ms),
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    pub fn send(&self, to: SocketAddr, record: &Record) -> Reply {
        self.send_watched(to, record, |_| {})
    }

    /// Sends the try on a new connection; `on_piece` hears of each piece of the body.
    pub fn send_watched(
        &self,
        to: SocketAddr,
        record: &Record,
        on_piece: impl FnMut(&[u8]),
    ) -> Reply {
        record.line(&format!(
            "client sends {} {} {} to {to}",
            self.id, self.method, self.path
        ));
        let mut reply = Reply::default();
        let outcome = self.exchange(to, &mut reply, on_piece);
        let retry = reply
            .retry_after
            .map_or(String::new(), |after| format!(", Retry-After {after}"));
        let seal = if reply.seal.is_some() {
            "signed"
        } else {
            "unsigned"
        };
        let end = match outcome {
            Ok(()) => "whole".to_owned(),
            Err(error) => format!("broken off: {error}"),
        };
        record.line(&format!(
            "client gets {} status {} {seal} {end}{retry}",
            self.id, reply.status
        ));
        reply
    }

    fn exchange(
        &self,
        to: SocketAddr,
        reply: &mut Reply,
        mut on_piece: impl FnMut(&[u8]),
    ) -> io::Result<()> {
        let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let mut out = format!("{} {} HTTP/1.1\r\nHost: {HOST}\r\n", self.method, self.path);
        out.push_str(&format!("Ridgeworks-Request-Id: {}\r\n", self.id));
        out.push_str(&format!(
            "Ridgeworks-Deadline-Ms: {}\r\n",
            self.deadline.as_millis()
        ));
        for (key, value) in &self.headers {
            out.push_str(&format!("{key}: {value}\r\n"));
        }
        if self.method != "GET" {
            out.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        out.push_str("\r\n");
        let mut bytes = out.into_bytes();
        bytes.extend_from_slice(&self.body);
        stream.write_all(&bytes)?;
        let mut reader = Reader::new(stream);
        // A little longer than the deadline, so that an answer at the deadline is seen.
        reader.deadline = Some(Instant::now() + self.deadline + Duration::from_millis(500));
        let head = reader.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        reply.status = head.status();
        reply.seal = head.get("Ridgeworks-Server-Seal").map(str::to_owned);
        reply.retry_after = head.get("Retry-After").and_then(|after| after.parse().ok());
        let body = &mut reply.body;
        reader.body(&head, |piece| {
            body.extend_from_slice(piece);
            on_piece(piece);
        })?;
        reply.is_whole = true;
        Ok(())
    }
}

/// The data of each event of a whole stream, each followed by a line feed. As in `text/event-stream`, the data of an event are its
/// `data` lines, joined by line feeds.
pub fn output_of(body: &[u8]) -> Vec<u8> {
    data_of(body)
        .into_iter()
        .flat_map(|data| format!("{data}\n").into_bytes())
        .collect()
}

/// Events with data in the body of a stream, as far as it came.
pub fn events_in(body: &[u8]) -> u64 {
    data_of(body).len() as u64
}

fn data_of(body: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(body);
    let events = text.split("\n\n").map(|event| {
        let lines = event.lines().filter_map(|line| line.strip_prefix("data:"));
        let lines: Vec<&str> = lines
            .map(|line| line.strip_prefix(' ').unwrap_or(line))
            .collect();
        lines
    });
    events
        .filter(|lines| !lines.is_empty())
        .map(|lines| lines.join("\n"))
        .collect()
}
