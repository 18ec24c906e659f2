//! Measures the resident memory and threads of one edge with open streams or with incomplete requests.
//!
//! Usage: `open_streams streams|half-requests COUNT`. The clients run in the same process without threads
//! of their own; their socket buffers are kernel memory and do not count as resident memory.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use ridgeworks_http_edge::{EdgeRequest, EdgeServer, EdgeSettings, Handler, Responder};

const READ_TIMEOUT: Duration = Duration::from_secs(5);
const STREAM_LIMIT: usize = 20_000;
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const TIMEOUT: Duration = Duration::from_secs(60);
/// Longer than the 5 s for which `tiny_http` keeps an idle thread.
const SETTLE_TIME: Duration = Duration::from_secs(8);

/// Sends one chunk, then keeps the stream open until [`HoldingHandler::release`] is called.
#[derive(Default)]
struct HoldingHandler {
    open_streams: AtomicU64,
    is_released: Mutex<bool>,
    released: Condvar,
}

impl HoldingHandler {
    fn release(&self) {
        *self.is_released.lock().expect("lock") = true;
        self.released.notify_all();
    }
}

impl Handler for HoldingHandler {
    fn handle(&self, _request: EdgeRequest, responder: Responder) {
        let mut stream = responder.start_stream(200, &[]).expect("head");
        stream.send(b"token").expect("client reads");
        self.open_streams.fetch_add(1, Ordering::Relaxed);
        let is_released = self.is_released.lock().expect("lock");
        drop(
            self.released
                .wait_while(is_released, |is_released| !*is_released)
                .expect("lock"),
        );
        stream.finish().expect("client reads");
    }
}

fn status_value(name: &str) -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("status");
    let line = status.lines().find(|line| line.starts_with(name));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.expect("value").parse().expect("number")
}

fn report(what: &str, count: u64, waited: Duration) {
    let resident = status_value("VmRSS:");
    let threads = status_value("Threads:");
    println!("{what} {count} {resident} {threads} {}", waited.as_millis());
}

fn start(handler: Arc<dyn Handler>) -> EdgeServer {
    let settings = EdgeSettings {
        max_concurrent_requests: STREAM_LIMIT,
        read_timeout: READ_TIMEOUT,
        ..EdgeSettings::on_free_loopback_port()
    };
    EdgeServer::start(settings, handler).expect("start")
}

fn wait_until(condition: impl Fn() -> bool) -> Duration {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < TIMEOUT, "waited in vain");
        thread::sleep(POLL_INTERVAL);
    }
    started.elapsed()
}

fn connect(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("connect");
    stream.write_all(bytes).expect("send");
    stream
}

fn measure_streams(count: u64) {
    let handler = Arc::new(HoldingHandler::default());
    let edge = start(Arc::clone(&handler) as Arc<dyn Handler>);
    report("before", 0, Duration::ZERO);
    let streams: Vec<TcpStream> = (0..count)
        .map(|_| connect(edge.address(), b"GET / HTTP/1.1\r\n\r\n"))
        .collect();
    let waited = wait_until(|| handler.open_streams.load(Ordering::Relaxed) == count);
    report("open-streams", count, waited);
    handler.release();
    assert!(edge.wait_until_idle(TIMEOUT));
    drop(streams);
    thread::sleep(SETTLE_TIME);
    report("after", count, SETTLE_TIME);
}

fn measure_incomplete_requests(count: u64) {
    let edge = start(Arc::new(HoldingHandler::default()));
    report("before", 0, Duration::ZERO);
    let started = Instant::now();
    let connections: Vec<TcpStream> = (0..count)
        .map(|_| connect(edge.address(), b"POST / HTTP/1.1\r\nX-Half: "))
        .collect();
    report("half-requests", count, started.elapsed());
    for mut stream in connections {
        let _ = stream.read_to_end(&mut Vec::new());
    }
    report("all-dropped", count, started.elapsed());
    thread::sleep(SETTLE_TIME);
    report("after", count, SETTLE_TIME);
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let mode = arguments.next().expect("streams|half-requests COUNT");
    let count = arguments.next().expect("COUNT").parse().expect("number");
    println!("state count resident_kib threads waited_ms");
    match mode.as_str() {
        "streams" => measure_streams(count),
        "half-requests" => measure_incomplete_requests(count),
        other => panic!("unknown mode {other}"),
    }
}
