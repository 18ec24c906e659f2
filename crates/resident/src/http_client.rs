//! Client connections to HTTP servers (the platform's store and the engines), and TCP options that are common to all connections.

use std::cell::Cell;
use std::fmt;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use crate::response_head::{self, BodyFraming, HeadFault};

/// How long sent bytes or keepalive probes may stay unacknowledged before the connection is closed.
const SILENCE_LIMIT: Duration = Duration::from_millis(2_500);
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const PROBES: u32 = 3;

/// Bytes that a connection buffers, and so the largest head of an answer that it reads.
const MAX_BUFFER_BYTES: usize = 64 * 1024;
/// How each response begins.
const RESPONSE_START: &[u8] = b"HTTP/1.";

/// Why a connection could not be established; no request was sent.
#[derive(Debug)]
pub enum ConnectError {
    /// Connecting failed, for example because the server refused the connection or is unreachable, or a socket option could not
    /// be set.
    Refused(io::Error),
    /// The server did not answer in time.
    TimedOut,
    /// The HTTP handshake failed.
    Handshake(hyper::Error),
}

impl ConnectError {
    /// Name for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Refused(_) => "refused",
            Self::TimedOut => "timed_out",
            Self::Handshake(_) => "handshake",
        }
    }
}

impl fmt::Display for ConnectError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(error) => write!(formatter, "cannot connect: {error}"),
            Self::TimedOut => write!(formatter, "timed out while connecting"),
            Self::Handshake(error) => write!(formatter, "HTTP handshake failed: {error}"),
        }
    }
}

impl std::error::Error for ConnectError {}

/// Why a request has no response.
#[derive(Debug)]
pub enum SendFailure {
    /// No byte of the request was sent.
    Unsent,
    /// The connection failed before the head of the response was complete.
    Lost(hyper::Error),
    /// What came has no head that can be used.
    Head(HeadFault),
}

/// A connection for requests with complete bodies, one at a time.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Framing of the last response's body.
    framing: BodyFraming,
    /// Whether the connection ended with bytes unread that do not begin a response.
    has_excess: Rc<Cell<bool>>,
}

impl Connection {
    /// Whether a request can be sent now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether the connection is known to be closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the head of its response.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        let sent = self.sender.try_send_request(request).await;
        let response = sent.map_err(|mut failed| match failed.take_message() {
            // The library returns the request if it sent no byte of it.
            Some(_) => SendFailure::Unsent,
            None if failed.error().is_parse() => {
                SendFailure::Head(HeadFault::Unreadable(failed.into_error()))
            }
            None => SendFailure::Lost(failed.into_error()),
        })?;
        let checked = response_head::check(response.status(), response.headers());
        self.framing = checked.map_err(SendFailure::Head)?;
        Ok(response)
    }

    /// How the end of the last response's body is found.
    pub fn framing(&self) -> BodyFraming {
        self.framing
    }

    /// Whether the last response's body went on beyond the length that its head told, as far as it has come. The body must have
    /// been read to its end. Another response behind it is not a part of it.
    pub fn has_cut_body(&self) -> bool {
        self.framing == BodyFraming::Length && self.has_excess.get()
    }
}

/// Connects to a server. The connection closes when the returned handle is dropped.
pub async fn connect(address: SocketAddr, timeout: Duration) -> Result<Connection, ConnectError> {
    let stream = connect_tcp(address, timeout).await?;
    let handshake = http1::Builder::new()
        .preserve_header_case(false)
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(TokioIo::new(stream));
    let (sender, connection) = handshake.await.map_err(ConnectError::Handshake)?;
    let has_excess = Rc::new(Cell::new(false));
    tokio::task::spawn_local(drive(connection, address, Rc::clone(&has_excess)));
    Ok(Connection {
        sender,
        framing: BodyFraming::UntilClose,
        has_excess,
    })
}

/// Runs a connection to its end, and looks at what it brought beyond its responses.
async fn drive(
    mut connection: http1::Connection<TokioIo<TcpStream>, Full<Bytes>>,
    address: SocketAddr,
    has_excess: Rc<Cell<bool>>,
) {
    let ended = poll_fn(|ctx| connection.poll_without_shutdown(ctx)).await;
    let unread = connection.into_parts().read_buf;
    let compared = unread.len().min(RESPONSE_START.len());
    has_excess.set(!RESPONSE_START.starts_with(&unread[..compared]));
    if let Err(error) = ended {
        log::debug!("connection to {address} ended: {error}");
    }
}

/// Connects a socket and configures it ([`configure_socket`]).
pub async fn connect_tcp(
    address: SocketAddr,
    timeout: Duration,
) -> Result<TcpStream, ConnectError> {
    let connecting = tokio::time::timeout(timeout, TcpStream::connect(address));
    let stream = match connecting.await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(ConnectError::Refused(error)),
        Err(_) => return Err(ConnectError::TimedOut),
    };
    configure_socket(&stream).map_err(ConnectError::Refused)?;
    Ok(stream)
}

/// Disables Nagle's algorithm and sets the keepalive and timeout by which a dead peer is detected.
pub fn configure_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(SILENCE_LIMIT))
}
