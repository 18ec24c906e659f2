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

/// Settings of one HTTP edge.
#[derive(Debug, Clone)]
pub struct EdgeSettings {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Maximum number of in-flight requests, each with its own thread; further ones are refused with 503.
    pub max_concurrent_requests: usize,
    /// Maximum number of refusals written concurrently; 0 counts as 1. Further refusals wait. While a
    /// refusal due to overload or shutdown waits, the edge receives no request.
    pub max_concurrent_refusals: usize,
    /// Maximum size of a request body, in bytes; a larger one is refused with 413.
    pub max_body_bytes: usize,
    /// Maximum time without data from the client, both within a request and between requests:
    /// `tiny_http` supports only the receive timeout of the socket. Below 250 ms the edge would have to
    /// restart its server repeatedly.
    pub read_timeout: Duration,
    /// Maximum time that one write may block because the client does not read.
    pub write_timeout: Duration,
    /// Maximum time for reading a body. It is checked only when data arrives, so a stalled body is refused
    /// after `read_timeout`.
    pub body_deadline: Duration,
    /// Retry delay stated in a temporary refusal; sent in seconds, rounded up.
    pub retry_after: Duration,
    /// Stack size of a handler's thread, in bytes.
    pub handler_stack_bytes: usize,
    /// Maximum number of connections that the kernel queues for `accept`.
    pub listen_backlog: i32,
}

impl EdgeSettings {
    /// Returns the default settings for this address.
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

    /// Returns the default settings for a free port of the loopback interface.
    pub fn on_free_loopback_port() -> Self {
        Self::with_defaults(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
    }
}
