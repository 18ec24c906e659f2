//! Just enough of HTTP/1.1 for the stand-ins.

use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Head of a request or an answer.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads from a connection, with a buffer and an optional deadline.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
    pub deadline: Option<Instant>,
}

fn ended(text: &str) -> io::Error {
    io::Error::new(ErrorKind::UnexpectedEof, text.to_owned())
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
            deadline: None,
        }
    }

    /// Reads more bytes; false at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let timeout = match self.deadline {
            None => None,
            Some(deadline) => {
                let left = deadline.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return Err(io::Error::new(ErrorKind::TimedOut, "deadline"));
                }
                Some(left.max(Duration::from_millis(1)))
            }
        };
        self.stream.set_read_timeout(timeout)?;
        let mut bytes = [0; 16_384];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }

    /// The next head; `None` if the connection ended before it.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                break end;
            }
            if !self.fill()? {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(ended("in a head"))
                };
            }
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first_line = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()));
        Ok(Some(Head {
            first_line,
            headers: headers.collect(),
        }))
    }

    fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill()? {
                return Err(ended("in a body"));
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill()? {
                return Err(ended("in a line"));
            }
        }
    }

    /// Reads a body piece by piece; an error says that it is incomplete.
    pub fn body(&mut self, head: &Head, mut on_piece: impl FnMut(&[u8])) -> io::Result<()> {
        let is_chunked = head
            .get("transfer-encoding")
            .is_some_and(|value| value.contains("chunked"));
        if is_chunked {
            loop {
                let line = self.line()?;
                let size = line.split(';').next().unwrap_or_default().trim();
                let size = usize::from_str_radix(size, 16).map_err(|_| ended("a chunk's size"))?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Ok(());
                }
                let piece = self.exactly(size)?;
                on_piece(&piece);
                self.exactly(2)?;
            }
        }
        let length = head
            .get("content-length")
            .and_then(|length| length.parse().ok())
            .unwrap_or(0);
        let piece = self.exactly(length)?;
        on_piece(&piece);
        Ok(())
    }

    /// Waits whether the peer closes the connection; false if it does not in this time.
    pub fn is_closed_within(&mut self, time: Duration) -> bool {
        self.deadline = Some(Instant::now() + time);
        let outcome = self.fill();
        self.deadline = None;
        match outcome {
            Ok(has_more) => !has_more,
            Err(error) => !matches!(error.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock),
        }
    }
}

/// Writes an answer with a length.
pub fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut out = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (key, value) in headers {
        out.push_str(&format!("{key}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut bytes = out.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
