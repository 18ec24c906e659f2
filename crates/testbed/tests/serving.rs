//! The serving subcommands as processes: the ready line, and a planned stop that cuts nothing.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(10);

struct Process {
    child: Child,
    address: SocketAddr,
}

impl Process {
    fn start(arguments: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_ridgeworks-testbed"))
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let output = child.stdout.take().unwrap();
        BufReader::new(output).read_line(&mut line).unwrap();
        let address = line.trim().strip_prefix("listening ").unwrap();
        Self {
            address: address.parse().unwrap(),
            child,
        }
    }

    fn connect(&self) -> BufReader<TcpStream> {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        BufReader::new(stream)
    }

    fn terminate(&self) {
        let process = self.child.id().to_string();
        let status = Command::new("kill").args(["-TERM", &process]).status();
        assert!(status.unwrap().success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Only matters when a test failed before the planned stop.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn every_server_says_where_it_listens_and_stops_when_asked() {
    for command in ["engine", "platform", "tool", "relay"] {
        let mut process = Process::start(&[command, "--name", "under-test"]);
        let mut connection = process.connect();
        let request = b"GET /health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        connection.get_mut().write_all(request).unwrap();
        let mut answer = String::new();
        connection.read_to_string(&mut answer).unwrap();
        assert!(answer.contains(r#""status":"live""#), "{command}: {answer}");
        process.terminate();
        assert!(process.child.wait().unwrap().success(), "{command}");
    }
}

#[test]
fn engine_finishes_its_stream_after_the_signal() {
    let mut process = Process::start(&["engine", "--name", "under-test"]);
    let mut connection = process.connect();
    let body =
        r#"{"model":"m","messages":[{"role":"user","content":"x"}],"stream":true,"max_tokens":20}"#;
    let head = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n";
    let request = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
    connection.get_mut().write_all(request.as_bytes()).unwrap();
    let mut line = String::new();
    while !line.starts_with("data: ") {
        line.clear();
        connection.read_line(&mut line).unwrap();
    }
    process.terminate();
    let mut rest = String::new();
    connection.read_to_string(&mut rest).unwrap();
    assert!(rest.contains("data: [DONE]"), "{rest}");
    assert!(process.child.wait().unwrap().success());
}
