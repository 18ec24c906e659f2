//! Settings of the HTTP edge.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

const DEFAULT_MAX_CONCURRENT_REQUESTS: usize = 1_024;
const DEFAULT_MAX_CONCURRENT_REFUSALS: usize = 128;
const DEFAULT_MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
const DEFAULT_READ_TIMEOUT: Duration = Duration::from_secs(60);
const DEFAULT_WRITE_TIMEOUT: Duration = Duration::from_secs(15);
const DEFAULT_BODY_DEADLINE: Duration = Duration::from_secs(30);
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
const DEFAULT_HANDLER_STACK_BYTES: usize = 256 * 1024;
const DEFAULT_LISTEN_BACKLOG: i32 = 1_024;

/// Bounds of one HTTP edge.
#[derive(Debug, Clone)]
pub struct EdgeSettings {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Requests in progress at once, each with its thread; one more is refused with 503.
    pub max_concurrent_requests: usize,
    /// Refusals being written at once; above it the edge takes no new request until one is done.
    pub max_concurrent_refusals: usize,
    /// Longest accepted request body, in bytes; a longer one is refused with 413.
    pub max_body_bytes: usize,
    /// Longest silence of a connection, inside a request and between requests. `tiny_http` leaves
    /// room for only one value, the receive time-out of the socket, so this is the idle time-out too.
    /// Below 250 ms the edge would have to start its acceptor anew time and again.
    pub read_timeout: Duration,
    /// Longest time that one write to a client that does not read may take.
    pub write_timeout: Duration,
    /// Longest time from the end of a request's head to the end of its body.
    pub body_deadline: Duration,
    /// Time to come back that a refusal carries; sent in whole seconds, rounded up.
    pub retry_after: Duration,
    /// Stack of a handler's thread, in bytes.
    pub handler_stack_bytes: usize,
    /// Connections that the kernel holds before they are accepted.
    pub listen_backlog: i32,
}

impl EdgeSettings {
    /// The default bounds on this address.
    pub fn with_defaults(listen: SocketAddr) -> Self {
        Self {
            listen,
            max_concurrent_requests: DEFAULT_MAX_CONCURRENT_REQUESTS,
            max_concurrent_refusals: DEFAULT_MAX_CONCURRENT_REFUSALS,
            max_body_bytes: DEFAULT_MAX_BODY_BYTES,
            read_timeout: DEFAULT_READ_TIMEOUT,
            write_timeout: DEFAULT_WRITE_TIMEOUT,
            body_deadline: DEFAULT_BODY_DEADLINE,
            retry_after: DEFAULT_RETRY_AFTER,
            handler_stack_bytes: DEFAULT_HANDLER_STACK_BYTES,
            listen_backlog: DEFAULT_LISTEN_BACKLOG,
        }
    }

    /// The default bounds on a free loopback port.
    pub fn on_free_loopback_port() -> Self {
        Self::with_defaults(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
    }
}
