//! Nodes as separate processes, and HTTP requests of any shape to them.
#![allow(dead_code, reason = "each test file uses a part of this")]

use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use ridgeworks_node::inbound::token_digest;
use serde_json::Value;
use tempfile::TempDir;

/// Longest wait for anything.
pub const PATIENCE: Duration = Duration::from_secs(20);
/// Name of the partner that the settings of all nodes hold.
pub const PARTNER: &str = "partner-1";
/// Its token.
pub const TOKEN: &str = "token of partner 1";

/// A running `ridgeworksd`, killed when dropped.
pub struct Node {
    process: Child,
    /// Its HTTP edge.
    pub edge: SocketAddr,
    /// Its links.
    pub links: SocketAddr,
    _folder: TempDir,
}

/// What differs between nodes.
pub struct NodeOptions<'a> {
    /// Name of the node; its zone has the same one.
    pub name: &'a str,
    /// Names of the voters.
    pub voters: &'a [&'a str],
    /// Links of the nodes to join through.
    pub peers: Vec<SocketAddr>,
    /// The platform.
    pub platform: Option<SocketAddr>,
    /// Further lines of the settings' table `edge`.
    pub edge: &'a str,
}

impl Node {
    /// Starts a node on free ports and waits until it listens.
    pub fn start(options: &NodeOptions<'_>) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let settings = folder.path().join("node.toml");
        std::fs::write(&settings, settings_text(options, folder.path())).expect("written");
        let mut process = Command::new(env!("CARGO_BIN_EXE_ridgeworksd"))
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the node's program runs");
        let mut line = String::new();
        let output = process.stdout.take().expect("its output is piped");
        BufReader::new(output).read_line(&mut line).expect("text");
        let words: Vec<&str> = line.split_whitespace().collect();
        let ["listening", edge, "links", links] = words.as_slice() else {
            panic!("unexpected line {line:?}");
        };
        Self {
            process,
            edge: edge.parse().expect("an address"),
            links: links.parse().expect("an address"),
            _folder: folder,
        }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }

    /// Asserts that the node still serves.
    pub fn assert_serving(&self) {
        let answer = send(self.edge, &request("GET", "/health", &[], b""));
        assert_eq!(answer.status, 200);
    }

    /// Sends a request with the partner's token and a JSON body.
    pub fn post(&self, path: &str, headers: &[(&str, &str)], body: &Value) -> Answer {
        let bearer = format!("Bearer {TOKEN}");
        let mut all = vec![
            ("authorization", bearer.as_str()),
            ("content-type", "application/json"),
        ];
        all.extend_from_slice(headers);
        let body = body.to_string();
        send(self.edge, &request("POST", path, &all, body.as_bytes()))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

fn settings_text(options: &NodeOptions<'_>, folder: &Path) -> String {
    let mut text = format!("name = {0:?}\nzone = {0:?}\n", options.name);
    let peers: Vec<String> = options.peers.iter().map(SocketAddr::to_string).collect();
    let _ = writeln!(text, "configuration_voters = {:?}", options.voters);
    let _ = writeln!(text, "peers = {peers:?}");
    if let Some(platform) = options.platform {
        let _ = writeln!(text, "platform = \"{platform}\"");
    }
    let digest = token_digest(TOKEN);
    let _ = writeln!(text, "[edge]\n{}", options.edge);
    let _ = writeln!(text, "[store]\ndata_dir = {:?}", folder.join("data"));
    let _ = writeln!(text, "[log]\nlevel = \"warn\"");
    let _ = writeln!(text, "[[bootstrap_partners]]\nname = {PARTNER:?}");
    let _ = writeln!(text, "token_sha256 = {digest:?}");
    text
}

/// An answer.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status; zero when the connection ended without an answer.
    pub status: u16,
    /// Names in lower case, with values.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// Time from the last byte sent to the last byte of the answer.
    pub elapsed: Duration,
}

impl Answer {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    /// The body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body)
            .unwrap_or_else(|_| panic!("no JSON in the body of {self:?}"))
    }

    /// Asserts a refusal of the callers' interface, as not run.
    pub fn assert_refused(&self, status: u16, code: &str) -> Value {
        let error = self.json()["error"].clone();
        assert_eq!(error["code"], code, "{error}");
        assert_eq!(self.status, status, "{error}");
        assert_eq!(error["outcome"], "not_run", "{error}");
        error
    }

    /// Asserts that the refusal says when to come back.
    pub fn assert_come_back(&self) {
        let seconds = self.header("retry-after").expect("a time to come back");
        assert!(seconds.parse::<u64>().expect("whole seconds") > 0);
        assert_eq!(self.header("x-should-retry"), Some("true"));
    }
}

/// A whole request.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{method} {path} HTTP/1.1\r\nhost: node\r\n");
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let _ = write!(head, "content-length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A whole request whose body goes in chunks.
pub fn chunked(path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("POST {path} HTTP/1.1\r\nhost: node\r\ntransfer-encoding: chunked\r\n");
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let mut bytes = format!("{head}\r\n").into_bytes();
    for chunk in body.chunks(body.len().div_ceil(3).max(1)) {
        bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

/// Opens a connection and sends bytes on it.
pub fn connect(edge: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(edge).expect("the node listens");
    stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    // The node may refuse a body before it read all of it.
    let _ = stream.write_all(bytes);
    stream
}

/// Sends bytes and reads one answer.
pub fn send(edge: SocketAddr, bytes: &[u8]) -> Answer {
    read_answer(connect(edge, bytes))
}

/// Reads one answer.
pub fn read_answer(stream: TcpStream) -> Answer {
    let sent = Instant::now();
    let mut reader = BufReader::new(stream);
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        let read = reader.read_line(&mut line).unwrap_or(0);
        if read == 0 || line == "\r\n" {
            break;
        }
        lines.push(line.trim_end().to_owned());
    }
    let status = lines.first().and_then(|line| line.split(' ').nth(1));
    let status = status.and_then(|status| status.parse().ok()).unwrap_or(0);
    let headers: Vec<(String, String)> = lines
        .iter()
        .skip(1)
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
        .collect();
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.and_then(|(_, value)| value.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).expect("the whole body");
    Answer {
        status,
        headers,
        body,
        elapsed: sent.elapsed(),
    }
}

/// Waits until a condition holds.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < deadline, "{what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}
