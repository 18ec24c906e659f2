//! One attempt at one engine, up to the head of its answer.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use ridgeworks_platform::{
    EngineRequestMetadata, EngineResponseHead, engine_headers, read_engine_response_head,
};
use ridgeworks_quota::Grant;
use ridgeworks_resident::http_client::{ConnectError, Connection};
use ridgeworks_routing::{Engine, Exclusion, Outcome};
use tokio::time::Instant;

use crate::at_engine::AtEngine;
use crate::call::Call;
use crate::engine_rules::EngineRules;
use crate::gateway::Gateway;

/// Why an attempt did not succeed.
#[derive(Debug)]
pub enum AttemptFailure {
    /// Since it was chosen, the engine may get nothing any more; it never saw the request.
    Barred(Exclusion),
    /// No connection; the engine never saw the request.
    NotSent(ConnectError),
    /// The engine closed the new connection before the request went out.
    Unsent,
    /// The engine says that it did not run the request.
    Rejected(StatusCode),
    /// The connection broke; the engine may have run the request.
    Lost,
    /// What came was no answer to this request; the engine may have run it.
    Garbled,
    /// The answer broke off; the engine may have run the request.
    BrokenOff,
    /// The engine was silent for too long.
    Silent,
}

impl AttemptFailure {
    /// Whether the engine certainly did not run the request.
    pub fn is_not_run(&self) -> bool {
        matches!(
            self,
            Self::Barred(_) | Self::NotSent(_) | Self::Unsent | Self::Rejected(_)
        )
    }

    /// What it says of the engine; a full one says nothing, nor one that was not asked.
    pub fn outcome(&self) -> Option<Outcome> {
        match self {
            Self::Barred(_) | Self::Rejected(_) => None,
            Self::NotSent(_) | Self::Unsent => Some(Outcome::Unreachable),
            Self::Lost | Self::Garbled | Self::BrokenOff | Self::Silent => Some(Outcome::Failed),
        }
    }

    /// Name for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Barred(exclusion) => exclusion.name(),
            Self::NotSent(error) => error.name(),
            Self::Unsent => "unsent",
            Self::Rejected(_) => "rejected",
            Self::Lost => "lost",
            Self::Garbled => "garbled",
            Self::BrokenOff => "broken_off",
            Self::Silent => "silent",
        }
    }
}

impl fmt::Display for AttemptFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(error) => error.fmt(formatter),
            Self::Rejected(status) => write!(formatter, "rejected with {status}"),
            other => formatter.write_str(other.name()),
        }
    }
}

impl std::error::Error for AttemptFailure {}

/// An engine's answer whose head is read. Dropping it cancels the request at the engine.
pub struct Answered {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// What the head says.
    pub head: EngineResponseHead,
    /// The body, not read yet.
    pub body: Incoming,
    /// The request's stay at the engine.
    pub at_engine: AtEngine,
    connection: Connection,
}

impl Answered {
    /// Gives the connection back; the body must have been read whole.
    pub fn finish(self, gateway: &Gateway) {
        let rest = self.head.keep_alive;
        let engine = self.at_engine.engine();
        gateway.pool.give_back(engine, self.connection, rest);
    }
}

/// What an attempt sends.
pub struct Sending<'a> {
    /// The call.
    pub call: &'a Call,
    /// The body for the engine.
    pub body: &'a Bytes,
    /// Last event that was passed on, when a stream is taken up.
    pub last_event_id: Option<u64>,
    /// Drawn for the request: decides whether an engine that is hardly warm gets it.
    pub draw: f64,
    /// For an engine that warms up.
    pub grant: Option<Grant>,
}

/// Sends a request to an engine and waits for the head of its answer.
pub async fn send(
    gateway: &Rc<Gateway>,
    engine: &Engine,
    at_engine: AtEngine,
    sending: Sending<'_>,
) -> Result<Answered, AttemptFailure> {
    let mut reused = gateway.pool.take_idle(engine.key());
    loop {
        let is_reused = reused.is_some();
        let mut connection = match reused.take() {
            Some(connection) => connection,
            None => {
                check(gateway, sending.call, engine)?;
                new_connection(gateway, engine).await?
            }
        };
        // What keeps it from the engine may have come while the connection was made.
        if let Err(barred) = check(gateway, sending.call, engine) {
            gateway.pool.give_back(engine.key(), connection, None);
            return Err(barred);
        }
        let request = build_request(engine, &sending);
        if let Err(exclusion) = gateway.warm_ups.admit(engine, sending.draw, sending.grant) {
            gateway.pool.give_back(engine.key(), connection, None);
            return Err(AttemptFailure::Barred(exclusion));
        }
        match connection.try_send_request(request).await {
            Ok(response) => {
                at_engine.on_sent(sending.body.len());
                let (parts, body) = response.into_parts();
                let head = read_engine_response_head(parts.status.as_u16(), &parts.headers);
                gateway.warm_ups.on_answer(engine, head.warm_up);
                let answered = Answered {
                    status: parts.status,
                    headers: parts.headers,
                    head,
                    body,
                    at_engine,
                    connection,
                };
                return judge(gateway, answered, sending.call).await;
            }
            Err(mut error) => {
                // The library still has the request when not a byte of it went out.
                let is_unsent = error.take_message().is_some();
                if !is_unsent {
                    at_engine.on_sent(sending.body.len());
                    return Err(AttemptFailure::Lost);
                }
                if !is_reused {
                    return Err(AttemptFailure::Unsent);
                }
            }
        }
    }
}

/// Whether the engine may still get what was meant for it when it was chosen.
fn check(gateway: &Gateway, call: &Call, engine: &Engine) -> Result<(), AttemptFailure> {
    let exclusion = EngineRules::now(gateway, call).exclusion(engine);
    exclusion.map_or(Ok(()), |exclusion| Err(AttemptFailure::Barred(exclusion)))
}

async fn new_connection(gateway: &Gateway, engine: &Engine) -> Result<Connection, AttemptFailure> {
    let began = Instant::now();
    let connected = gateway.pool.connect(engine).await;
    let connection = connected.map_err(AttemptFailure::NotSent)?;
    gateway.metrics.engine_connections.inc();
    let taken = began.elapsed();
    let mut placement = gateway.placement.borrow_mut();
    placement.on_connected(engine, taken);
    gateway.metrics.connect_seconds.observe(taken.as_secs_f64());
    Ok(connection)
}

fn build_request(engine: &Engine, sending: &Sending<'_>) -> Request<Full<Bytes>> {
    let call = sending.call;
    let remaining = call.limit.saturating_duration_since(Instant::now());
    let order = EngineRequestMetadata {
        remaining: remaining.max(Duration::from_millis(1)),
        instance: &engine.instance,
        priority: call.priority(),
        last_event_id: sending.last_event_id,
        tenant: call.owner(),
    };
    let mut request = Request::new(Full::new(sending.body.clone()));
    *request.method_mut() = call.method.clone();
    if let Ok(uri) = call.path.parse() {
        *request.uri_mut() = uri;
    }
    *request.headers_mut() = engine_headers(&call.headers, &order);
    request
}

/// Tells an answer to this request from a rejection and from bytes that answer something else.
async fn judge(
    gateway: &Gateway,
    answered: Answered,
    call: &Call,
) -> Result<Answered, AttemptFailure> {
    if answered.head.not_executed {
        let status = answered.status;
        keep_after_rejection(gateway, answered).await;
        return Err(AttemptFailure::Rejected(status));
    }
    let echoed = answered.head.request_id.as_deref();
    let is_ours = echoed.is_none_or(|id| id == call.metadata.request_id);
    if is_ours && answered.head.is_signed {
        Ok(answered)
    } else {
        Err(AttemptFailure::Garbled)
    }
}

/// An engine that rejected a request goes on with its connection, once the short body is read.
async fn keep_after_rejection(gateway: &Gateway, mut answered: Answered) {
    const MAX_REJECTION_BYTES: usize = 16 * 1024;
    const PATIENCE: Duration = Duration::from_millis(20);
    let reading = Limited::new(&mut answered.body, MAX_REJECTION_BYTES).collect();
    if let Ok(Ok(_)) = tokio::time::timeout(PATIENCE, reading).await {
        answered.finish(gateway);
    }
}
