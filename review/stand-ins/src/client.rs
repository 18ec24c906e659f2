//! A client of gateways.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{Response, read_response};

/// Host of all routes.
pub const HOST: &str = "app.example";

/// A request of a client, sent on a new connection.
#[derive(Debug, Clone)]
pub struct Call {
    pub method: &'static str,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// How long the client waits for bytes.
    pub patience: Duration,
}

impl Call {
    /// A request with an identifier and a deadline.
    pub fn new(method: &'static str, path: &str, id: &str, deadline_ms: u64) -> Self {
        let headers = vec![
            ("Host".to_owned(), HOST.to_owned()),
            ("Ridgeworks-Request-Id".to_owned(), id.to_owned()),
            ("Ridgeworks-Deadline-Ms".to_owned(), deadline_ms.to_string()),
        ];
        Self {
            method,
            path: path.to_owned(),
            headers,
            body: Vec::new(),
            patience: Duration::from_millis(deadline_ms),
        }
    }

    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    pub fn body(mut self, body: &str) -> Self {
        self.body = body.as_bytes().to_vec();
        self
    }

    /// Sends the request and reads the response; `None` if there was none.
    pub fn send(&self, to: SocketAddr) -> Option<Response> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(self.patience)).ok()?;
        let mut head = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", self.body.len()));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        (&stream).write_all(&bytes).ok()?;
        read_response(&mut BufReader::new(stream))
    }
}

/// Whether a gateway's readiness probe answers 200.
pub fn is_ready(readiness: SocketAddr) -> bool {
    let call = Call::new("GET", "/v1/ready", "probe", 1_000);
    call.send(readiness)
        .is_some_and(|answer| answer.status == 200)
}
