//! Frees connections that `tiny_http` left in its queue.
//!
//! Its task pool queues a new connection behind an idle thread that another connection of the same
//! burst has already taken. The connection then waits until some other one comes or ends, which with
//! streamed answers can be long. A short connection of our own lets the queue move on.

use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

const WAKE_INTERVAL: Duration = Duration::from_millis(25);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Intervals for which a server counts as busy after a request.
const BUSY_INTERVALS: u32 = 40;
/// When quiet, one connection in so many intervals.
const INTERVALS_PER_QUIET_WAKE: u32 = 8;

/// What a server and the thread that wakes it share.
#[derive(Debug, Default)]
pub struct ServerActivity {
    /// Requests received so far.
    pub received: AtomicU64,
    /// Whether the server is stopping.
    pub stopping: AtomicBool,
}

/// Wakes the server at `address` until it is stopping.
pub fn start(address: SocketAddr, activity: Arc<ServerActivity>) {
    thread::spawn(move || {
        let mut received_before = 0;
        let mut quiet_intervals: u32 = 0;
        while !activity.stopping.load(Ordering::SeqCst) {
            thread::sleep(WAKE_INTERVAL);
            let received = activity.received.load(Ordering::Relaxed);
            quiet_intervals = if received == received_before {
                quiet_intervals.wrapping_add(1)
            } else {
                0
            };
            received_before = received;
            let is_busy = quiet_intervals < BUSY_INTERVALS;
            if is_busy || quiet_intervals.is_multiple_of(INTERVALS_PER_QUIET_WAKE) {
                // A server that does not accept now is woken in the next interval.
                let _ = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT);
            }
        }
    });
}
