//! A raw HTTP client, with which tests can send malformed requests.
#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use ridgeworks_http_edge::{EdgeRequest, EdgeServer, EdgeSettings, Handler, Responder};

/// Timeout of each wait, far longer than a passing test takes.
pub const TIMEOUT: Duration = Duration::from_secs(20);

pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

pub struct Client {
    stream: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("connect");
        stream
            .set_read_timeout(Some(TIMEOUT))
            .expect("set the read timeout");
        Self {
            stream: BufReader::new(stream),
        }
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.get_mut().write_all(bytes).expect("send");
    }

    pub fn try_send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.get_mut().write_all(bytes)
    }

    pub fn post(&mut self, path: &str, body: &[u8]) {
        let head = format!(
            "POST {path} HTTP/1.1\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        self.send(head.as_bytes());
        self.send(body);
    }

    pub fn read_head(&mut self) -> (u16, String) {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            let length = self.stream.read_line(&mut head).expect("head");
            assert_ne!(length, 0, "connection ended inside the head: {head:?}");
        }
        let status = head.split(' ').nth(1).expect("status");
        (status.parse().expect("number"), head)
    }

    pub fn read_response(&mut self) -> Response {
        let (status, head) = self.read_head();
        let length = head.lines().find_map(|line| {
            let (name, value) = line.split_once(':')?;
            let named = name.eq_ignore_ascii_case("content-length");
            named.then(|| value.trim().parse::<usize>().expect("length"))
        });
        let mut body = vec![0; length.unwrap_or(0)];
        self.stream.read_exact(&mut body).expect("body");
        Response { status, head, body }
    }

    /// Reads the next chunk; `None` for the last one or an invalid chunk size.
    pub fn read_chunk(&mut self) -> Option<Vec<u8>> {
        let mut size = String::new();
        self.stream.read_line(&mut size).expect("chunk size");
        let size = usize::from_str_radix(size.trim_end(), 16).ok()?;
        let mut chunk = vec![0; size + 2];
        self.stream.read_exact(&mut chunk).expect("chunk");
        chunk.truncate(size);
        (size > 0).then_some(chunk)
    }

    /// Reads up to the end of the connection; a reset counts as the end.
    pub fn read_rest(&mut self) -> Vec<u8> {
        let mut rest = Vec::new();
        if let Err(error) = self.stream.read_to_end(&mut rest) {
            assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset, "{error}");
        }
        rest
    }
}

pub fn small_settings() -> EdgeSettings {
    EdgeSettings {
        max_body_bytes: 10_000,
        read_timeout: Duration::from_millis(400),
        write_timeout: Duration::from_millis(400),
        body_deadline: Duration::from_millis(300),
        ..EdgeSettings::on_free_loopback_port()
    }
}

pub fn start(settings: EdgeSettings, handler: impl Handler + 'static) -> EdgeServer {
    EdgeServer::start(settings, Arc::new(handler)).expect("start")
}

/// Responds with the request's own body.
pub fn echo(request: EdgeRequest, responder: Responder) {
    let _ = responder.json(200, &[], &request.body);
}

pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "waited in vain until {what}");
        std::thread::yield_now();
    }
}
