//! Client of the platform's store. Each pending call has its own connection; a connection whose call got no answer is not
//! reused.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_TYPE, HOST};
use http::uri::InvalidUri;
use http::{HeaderValue, Request};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use ridgeworks_platform::{StoreOutcome, StoreRequest, outcome};
use tokio::time::Instant;

use crate::http_client::{ConnectError, Connection, SendFailure, connect};
use crate::response_head::HeadFault;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of idle connections that are kept.
const MAX_IDLE: usize = 3;
/// How long a connection may be idle and still be reused. It may fall silent without an error meanwhile, and a new connection
/// costs less than a call that times out. Consecutive calls of a watch come within this time.
const IDLE_LIMIT: Duration = Duration::from_millis(500);
/// Largest answer that is read: several pages of a list.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// The answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreAnswer {
    /// Outcome of the call, from the HTTP status.
    pub outcome: StoreOutcome,
    /// Body of the HTTP response.
    pub body: Bytes,
}

/// Why a call has no answer. Unless nothing was sent, the store may have executed the call or may still do so.
#[derive(Debug)]
pub enum StoreFailure {
    /// The call's path cannot be sent; nothing was sent.
    Path(InvalidUri),
    /// The connection could not be established; nothing was sent.
    Connect(ConnectError),
    /// The connection was closed before the call was sent.
    Unsent,
    /// The connection broke before the answer was complete.
    Broken(hyper::Error),
    /// The head of the answer cannot be used.
    Head(HeadFault),
    /// The answer's body is longer than its head tells.
    CutBody,
    /// The answer did not come in time.
    TimedOut,
    /// The answer has more bytes than an answer of the store may have.
    TooLarge,
}

impl StoreFailure {
    /// Name for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Path(_) => "invalid_path",
            Self::Connect(error) => error.name(),
            Self::Unsent => "unsent",
            Self::Broken(_) => "broken",
            Self::Head(_) => "invalid_head",
            Self::CutBody => "cut_body",
            Self::TimedOut => "no_answer",
            Self::TooLarge => "too_large",
        }
    }
}

impl fmt::Display for StoreFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Path(error) => write!(formatter, "the call's path cannot be sent: {error}"),
            Self::Connect(error) => error.fmt(formatter),
            Self::Unsent => write!(formatter, "the connection was closed before the call"),
            Self::Broken(error) => write!(formatter, "the connection broke: {error}"),
            Self::Head(fault) => write!(formatter, "invalid head: {fault}"),
            Self::CutBody => write!(formatter, "the body is longer than the head tells"),
            Self::TimedOut => write!(formatter, "no answer in time"),
            Self::TooLarge => write!(formatter, "the answer has over {MAX_ANSWER_BYTES} bytes"),
        }
    }
}

impl std::error::Error for StoreFailure {}

impl From<SendFailure> for StoreFailure {
    fn from(failure: SendFailure) -> Self {
        match failure {
            SendFailure::Unsent => Self::Unsent,
            SendFailure::Lost(error) => Self::Broken(error),
            SendFailure::Head(fault) => Self::Head(fault),
        }
    }
}

/// Reads a whole answer. Its connection is closed if it is too large.
async fn read_body(mut body: Incoming) -> Result<Bytes, StoreFailure> {
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(StoreFailure::Broken)?;
        let data = frame.into_data().unwrap_or_default();
        if collected.len() + data.len() > MAX_ANSWER_BYTES {
            return Err(StoreFailure::TooLarge);
        }
        collected.extend_from_slice(&data);
    }
    Ok(collected.freeze())
}

/// Client of the store.
#[derive(Debug)]
pub struct StoreClient {
    address: Cell<SocketAddr>,
    idle: RefCell<Vec<Idle>>,
    calls: Cell<u64>,
    probes: Cell<u64>,
    silent_watches: Cell<u64>,
}

/// A connection without a pending call.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

impl StoreClient {
    /// Connects at the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address: Cell::new(address),
            idle: RefCell::default(),
            calls: Cell::new(0),
            probes: Cell::new(0),
            silent_watches: Cell::new(0),
        }
    }

    /// Sets the address for later calls; pending calls go on.
    pub fn set_address(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.idle.borrow_mut().clear();
        }
    }

    /// Number of calls sent.
    pub fn calls(&self) -> u64 {
        self.calls.get()
    }

    /// Number of probes answered beside an open watch.
    pub fn probes(&self) -> u64 {
        self.probes.get()
    }

    /// Counts a probe; see [`StoreClient::probes`].
    pub fn on_probe(&self) {
        self.probes.set(self.probes.get() + 1);
    }

    /// Number of open watches that had missed changes.
    pub fn silent_watches(&self) -> u64 {
        self.silent_watches.get()
    }

    /// Counts a watch that had missed changes.
    pub fn on_silent_watch(&self) {
        self.silent_watches.set(self.silent_watches.get() + 1);
    }

    /// Sends a call and waits for its answer.
    pub async fn call(
        &self,
        call: StoreRequest,
        timeout: Duration,
    ) -> Result<StoreAnswer, StoreFailure> {
        match tokio::time::timeout(timeout, self.exchange(call)).await {
            Ok(answer) => answer,
            Err(_) => {
                // Whatever silenced this connection may have silenced the idle ones.
                self.idle.borrow_mut().clear();
                Err(StoreFailure::TimedOut)
            }
        }
    }

    async fn exchange(&self, call: StoreRequest) -> Result<StoreAnswer, StoreFailure> {
        let request = self.request(call).map_err(StoreFailure::Path)?;
        let mut connection = self.connection().await?;
        self.calls.set(self.calls.get() + 1);
        let response = connection.send(request).await?;
        let status = response.status();
        let body = read_body(response.into_body()).await?;
        if connection.has_cut_body() {
            return Err(StoreFailure::CutBody);
        }
        self.keep(connection);
        Ok(StoreAnswer {
            outcome: outcome(status),
            body,
        })
    }

    async fn connection(&self) -> Result<Connection, StoreFailure> {
        let idle = self.idle.borrow_mut().pop();
        if let Some(Idle { connection, since }) = idle
            && since.elapsed() < IDLE_LIMIT
            && connection.is_ready()
        {
            return Ok(connection);
        }
        connect(self.address.get(), CONNECT_TIMEOUT)
            .await
            .map_err(StoreFailure::Connect)
    }

    fn keep(&self, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|idle| idle.since.elapsed() < IDLE_LIMIT);
        if idle.len() < MAX_IDLE && !connection.is_closed() {
            let since = Instant::now();
            idle.push(Idle { connection, since });
        }
    }

    fn request(&self, call: StoreRequest) -> Result<Request<Full<Bytes>>, InvalidUri> {
        let has_body = !call.body.is_empty();
        let mut request = Request::new(Full::new(call.body));
        *request.method_mut() = call.method;
        *request.uri_mut() = call.path.parse()?;
        let host = HeaderValue::from_str(&self.address.get().to_string());
        if let Ok(host) = host {
            request.headers_mut().insert(HOST, host);
        }
        if has_body {
            request.headers_mut().insert(CONTENT_TYPE, JSON);
        }
        Ok(request)
    }
}
