//! Tests that a server accepts connections after its process was paused for longer than the read timeout.

mod support;

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::time::Duration;

use support::{Client, echo, small_settings, start};

const TEST_NAME: &str = "a_process_accepts_connections_after_a_pause_longer_than_the_read_timeout";
const CHILD_VARIABLE: &str = "RIDGEWORKS_PAUSED_EDGE";
const ADDRESS_PREFIX: &str = "edge at ";

/// Serves until the parent process closes the pipe.
fn serve_for_parent() {
    let edge = start(small_settings(), echo);
    println!("\n{ADDRESS_PREFIX}{}", edge.address());
    let _ = std::io::stdin().read_to_end(&mut Vec::new());
}

type Lines = std::io::Lines<BufReader<ChildStdout>>;

/// Starts the child and reads its address. The caller must keep the returned lines: dropping them closes
/// the child's stdout, and its later writes, such as the test result, would fail.
fn start_child() -> (Child, SocketAddr, Lines) {
    let mut child = Command::new(std::env::current_exe().expect("test binary"))
        .args(["--exact", TEST_NAME, "--nocapture"])
        .env(CHILD_VARIABLE, "1")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("child");
    let stdout = BufReader::new(child.stdout.take().expect("pipe"));
    let mut lines = stdout.lines();
    let address = lines.find_map(|line| line.ok()?.strip_prefix(ADDRESS_PREFIX)?.parse().ok());
    (child, address.expect("address"), lines)
}

fn signal(child: &Child, name: &str) {
    let id = child.id().to_string();
    let status = Command::new("kill").args([name, &id]).status();
    assert!(status.expect("kill").success());
}

#[test]
fn a_process_accepts_connections_after_a_pause_longer_than_the_read_timeout() {
    if std::env::var_os(CHILD_VARIABLE).is_some() {
        return serve_for_parent();
    }
    let (mut child, address, _lines) = start_child();
    let mut before = Client::connect(address);
    before.post("/", b"x");
    assert_eq!(before.read_response().status, 200);
    for _ in 0..2 {
        signal(&child, "-STOP");
        std::thread::sleep(small_settings().read_timeout + Duration::from_millis(300));
        signal(&child, "-CONT");
        let mut after = Client::connect(address);
        after.post("/", b"x");
        assert_eq!(after.read_response().status, 200);
    }
    drop(child.stdin.take());
    assert!(child.wait().expect("child ends").success());
}
