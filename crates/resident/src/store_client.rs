//! Calls to the platform's store. Each call that waits has a connection of its own; a connection whose
//! call was not answered is not used again.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderValue, Request};
use http_body_util::{BodyExt, Full};
use ridgeworks_platform::{StoreOutcome, StoreRequest, outcome};
use tokio::time::Instant;

use crate::http_client::{ConnectError, Connection, connect};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Connections that are kept for later calls.
const MAX_IDLE: usize = 3;
/// How long a kept connection may have rested and still be used: it may have fallen silent for good meanwhile, and a
/// new one costs less than a call that waits in vain. Calls of a watch follow each other sooner.
const IDLE_LIMIT: Duration = Duration::from_millis(500);
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// The answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreAnswer {
    /// What became of the call.
    pub outcome: StoreOutcome,
    /// The body of the answer.
    pub body: Bytes,
}

/// Why a call has no answer. It may have been carried out, or may still be.
#[derive(Debug)]
pub enum StoreFailure {
    /// No connection; nothing was sent.
    Connect(ConnectError),
    /// The connection broke.
    Broken(hyper::Error),
    /// No answer in time.
    TimedOut,
}

impl StoreFailure {
    /// Name for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Connect(error) => error.name(),
            Self::Broken(_) => "broken",
            Self::TimedOut => "no_answer",
        }
    }
}

impl fmt::Display for StoreFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(error) => error.fmt(formatter),
            Self::Broken(error) => write!(formatter, "the connection broke: {error}"),
            Self::TimedOut => write!(formatter, "no answer in time"),
        }
    }
}

impl std::error::Error for StoreFailure {}

/// Client of the store.
#[derive(Debug)]
pub struct StoreClient {
    address: Cell<SocketAddr>,
    idle: RefCell<Vec<Idle>>,
    calls: Cell<u64>,
    checks: Cell<u64>,
    silent_watches: Cell<u64>,
}

/// A connection whose last call was answered.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

impl StoreClient {
    /// A client of the store at this address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address: Cell::new(address),
            idle: RefCell::default(),
            calls: Cell::new(0),
            checks: Cell::new(0),
            silent_watches: Cell::new(0),
        }
    }

    /// Calls go to this address from now on.
    pub fn set_address(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.idle.borrow_mut().clear();
        }
    }

    /// Calls made so far.
    pub fn calls(&self) -> u64 {
        self.calls.get()
    }

    /// Questions that were asked beside a watch that said nothing.
    pub fn checks(&self) -> u64 {
        self.checks.get()
    }

    /// Counts such a question.
    pub fn on_check(&self) {
        self.checks.set(self.checks.get() + 1);
    }

    /// Watches that had missed changes.
    pub fn silent_watches(&self) -> u64 {
        self.silent_watches.get()
    }

    /// Counts such a watch.
    pub fn on_silent_watch(&self) {
        self.silent_watches.set(self.silent_watches.get() + 1);
    }

    /// Makes a call and waits for its answer.
    pub async fn call(
        &self,
        call: StoreRequest,
        timeout: Duration,
    ) -> Result<StoreAnswer, StoreFailure> {
        match tokio::time::timeout(timeout, self.exchange(call)).await {
            Ok(answer) => answer,
            Err(_) => {
                // What has silenced one connection may have silenced those that rest.
                self.idle.borrow_mut().clear();
                Err(StoreFailure::TimedOut)
            }
        }
    }

    async fn exchange(&self, call: StoreRequest) -> Result<StoreAnswer, StoreFailure> {
        let mut connection = self.connection().await?;
        self.calls.set(self.calls.get() + 1);
        let request = self.request(call);
        let response = connection.send_request(request).await;
        let response = response.map_err(StoreFailure::Broken)?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(StoreFailure::Broken)?.to_bytes();
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

    fn request(&self, call: StoreRequest) -> Request<Full<Bytes>> {
        let has_body = !call.body.is_empty();
        let mut request = Request::new(Full::new(call.body));
        *request.method_mut() = call.method;
        if let Ok(uri) = call.path.parse() {
            *request.uri_mut() = uri;
        }
        let host = HeaderValue::from_str(&self.address.get().to_string());
        if let Ok(host) = host {
            request.headers_mut().insert(HOST, host);
        }
        if has_body {
            request.headers_mut().insert(CONTENT_TYPE, JSON);
        }
        request
    }
}
