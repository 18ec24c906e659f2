//! Sends a request to one engine and reads the head of its response.

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
use ridgeworks_resident::http_client::{ConnectError, SendFailure};
use ridgeworks_resident::response_head::{BodyFraming, HeadFault};
use ridgeworks_routing::{Engine, Exclusion, Outcome};
use tokio::time::Instant;

use crate::call::Call;
use crate::connection_pool::{EngineConnection, UsedConnections};
use crate::engine_rules::EngineRules;
use crate::gateway::Gateway;
use crate::in_flight::InFlightRequest;

/// Characters of another request's identifier in the log.
const MAX_LOGGED_ID: usize = 64;

/// Why an attempt failed.
#[derive(Debug)]
pub enum AttemptFailure {
    /// The engine was excluded after it was chosen; it never saw the request.
    Excluded(Exclusion),
    /// The connection could not be opened; the engine never saw the request.
    ConnectFailed(ConnectError),
    /// The engine closed the new connection before the request was sent.
    ClosedBeforeSend,
    /// The engine reported that it did not run the request.
    Rejected(StatusCode),
    /// The connection failed; the engine may have run the request.
    ConnectionLost,
    /// The response belongs to another request, whose identifier this is, or to none; the engine may have run the request.
    ForeignResponse(Option<String>),
    /// The head of the response cannot be used; the engine may have run the request.
    InvalidHead(HeadFault),
    /// The response is malformed or unsigned; the engine may have run the request.
    InvalidResponse,
    /// The response ended early; the engine may have run the request.
    Truncated,
    /// The response is larger than the gateway holds; the engine may have run the request.
    ResponseTooLarge,
    /// The head or the first event of the response did not arrive in time; the engine may have run
    /// the request.
    ResponseTimeout,
}

impl AttemptFailure {
    /// Whether the engine certainly did not run the request.
    pub fn did_not_run(&self) -> bool {
        matches!(
            self,
            Self::Excluded(_) | Self::ConnectFailed(_) | Self::ClosedBeforeSend | Self::Rejected(_)
        )
    }

    /// Whether the engine may have ended under the request.
    pub fn may_be_an_end(&self) -> bool {
        matches!(
            self,
            Self::ConnectionLost | Self::Truncated | Self::ResponseTimeout
        )
    }

    /// How the failure counts for the engine's health; `None` if it says nothing about the engine's
    /// health, such as a rejection by a full engine.
    pub fn outcome(&self) -> Option<Outcome> {
        match self {
            Self::Excluded(_) | Self::Rejected(_) => None,
            Self::ConnectFailed(_) | Self::ClosedBeforeSend => Some(Outcome::Unreachable),
            Self::ConnectionLost
            | Self::ForeignResponse(_)
            | Self::InvalidHead(_)
            | Self::InvalidResponse
            | Self::Truncated
            | Self::ResponseTooLarge
            | Self::ResponseTimeout => Some(Outcome::Failed),
        }
    }

    /// Stable name in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Excluded(exclusion) => exclusion.name(),
            Self::ConnectFailed(error) => error.name(),
            Self::ClosedBeforeSend => "unsent",
            Self::Rejected(_) => "rejected",
            Self::ConnectionLost => "lost",
            Self::ForeignResponse(Some(_)) => "other_request",
            Self::ForeignResponse(None) => "no_request",
            Self::InvalidHead(_) => "invalid_head",
            Self::InvalidResponse => "garbled",
            Self::Truncated => "broken_off",
            Self::ResponseTooLarge => "too_large",
            Self::ResponseTimeout => "silent",
        }
    }
}

impl fmt::Display for AttemptFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ConnectFailed(error) => error.fmt(formatter),
            Self::Rejected(status) => write!(formatter, "rejected with {status}"),
            Self::ForeignResponse(Some(id)) => write!(formatter, "response to request {id}"),
            Self::ForeignResponse(None) => {
                formatter.write_str("response without a request identifier")
            }
            Self::InvalidHead(fault) => fault.fmt(formatter),
            other => formatter.write_str(other.name()),
        }
    }
}

impl std::error::Error for AttemptFailure {}

/// An engine's response of which only the head has been read. Dropping it cancels the request at
/// the engine.
pub struct EngineResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    /// Metadata parsed from status and headers.
    pub head: EngineResponseHead,
    /// The unread body.
    pub body: Incoming,
    /// Tracks the request while it is at the engine.
    pub in_flight: InFlightRequest,
    connection: EngineConnection,
}

impl EngineResponse {
    /// How the end of the body is found.
    pub fn framing(&self) -> BodyFraming {
        self.connection.framing()
    }

    /// Whether the body, which has been read to its end, is longer than the head told.
    pub fn has_cut_body(&self) -> bool {
        self.connection.has_cut_body()
    }

    /// Returns the connection to the pool. The body must have been read to its end.
    pub fn finish(self, gateway: &Gateway) {
        let keep_alive = self.head.keep_alive;
        let engine = self.in_flight.engine();
        gateway.pool.put_idle(engine, self.connection, keep_alive);
    }
}

/// A request as it is sent to an engine.
pub struct AttemptRequest<'a> {
    pub call: &'a Call,
    /// Earlier turns and the client's body.
    pub body: &'a Bytes,
    /// Last forwarded event, when a stream is resumed.
    pub last_event_id: Option<u64>,
    /// Random number from 0 to 1, drawn once per request. The request needs no grant for an engine
    /// if the fraction of requests to it that need none (`WarmUps::share`) is greater than this.
    pub draw: f64,
    /// Grant for an engine that is warming up.
    pub warm_up_grant: Option<Grant>,
    /// Connections on which the request was sent before.
    pub used_connections: &'a UsedConnections,
}

/// Sends a request to an engine and waits for the head of its response. An idle connection that
/// turns out to be closed is replaced.
pub async fn send(
    gateway: &Rc<Gateway>,
    engine: &Engine,
    in_flight: InFlightRequest,
    outgoing: AttemptRequest<'_>,
) -> Result<EngineResponse, AttemptFailure> {
    let used = outgoing.used_connections;
    let mut reused = gateway.pool.take_idle(engine.key(), used);
    loop {
        let is_reused = reused.is_some();
        let mut connection = match reused.take() {
            Some(connection) => connection,
            None => {
                check(gateway, outgoing.call, engine)?;
                new_connection(gateway, engine).await?
            }
        };
        // The rules may have changed while the connection was opened.
        if let Err(excluded) = check(gateway, outgoing.call, engine) {
            gateway.pool.put_idle(engine.key(), connection, None);
            return Err(excluded);
        }
        let request = build_request(engine, &outgoing);
        if let Err(exclusion) =
            gateway
                .warm_ups
                .admit(engine, outgoing.draw, outgoing.warm_up_grant)
        {
            gateway.pool.put_idle(engine.key(), connection, None);
            return Err(AttemptFailure::Excluded(exclusion));
        }
        match connection.send(request, used).await {
            Ok(response) => {
                in_flight.on_sent(outgoing.body.len());
                let (parts, body) = response.into_parts();
                let head = read_engine_response_head(parts.status.as_u16(), &parts.headers);
                let engine_response = EngineResponse {
                    status: parts.status,
                    headers: parts.headers,
                    head,
                    body,
                    in_flight,
                    connection,
                };
                return check_response(gateway, engine, engine_response, outgoing.call).await;
            }
            Err(SendFailure::Lost(_)) => {
                in_flight.on_sent(outgoing.body.len());
                return Err(AttemptFailure::ConnectionLost);
            }
            Err(SendFailure::Head(fault)) => {
                in_flight.on_sent(outgoing.body.len());
                return Err(AttemptFailure::InvalidHead(fault));
            }
            Err(SendFailure::Unsent) if is_reused => {}
            Err(SendFailure::Unsent) => return Err(AttemptFailure::ClosedBeforeSend),
        }
    }
}

/// Checks that the engine may still get the request.
fn check(gateway: &Gateway, call: &Call, engine: &Engine) -> Result<(), AttemptFailure> {
    let exclusion = EngineRules::current(gateway, call).exclusion(engine);
    exclusion.map_or(Ok(()), |exclusion| Err(AttemptFailure::Excluded(exclusion)))
}

async fn new_connection(
    gateway: &Gateway,
    engine: &Engine,
) -> Result<EngineConnection, AttemptFailure> {
    let began = Instant::now();
    let connected = gateway.pool.connect(engine).await;
    let connection = connected.map_err(AttemptFailure::ConnectFailed)?;
    gateway.metrics.engine_connections.inc();
    let taken = began.elapsed();
    let mut placement = gateway.placement.borrow_mut();
    placement.on_connected(engine, taken);
    gateway.metrics.connect_seconds.observe(taken.as_secs_f64());
    Ok(connection)
}

fn build_request(engine: &Engine, outgoing: &AttemptRequest<'_>) -> Request<Full<Bytes>> {
    let call = outgoing.call;
    let remaining = call.deadline.saturating_duration_since(Instant::now());
    let request_metadata = EngineRequestMetadata {
        remaining: remaining.max(Duration::from_millis(1)),
        instance: &engine.instance,
        priority: call.priority(),
        last_event_id: outgoing.last_event_id,
        tenant: call.owner(),
    };
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = call.method.clone();
    if let Ok(uri) = call.path.parse() {
        *request.uri_mut() = uri;
    }
    *request.headers_mut() = engine_headers(&call.headers, &request_metadata);
    request
}

/// Returns the response if an engine sent it for this request. A rejection and any other response
/// are failures. Nothing of a response to another request is believed, and its connection is closed:
/// what comes next there may be late too.
async fn check_response(
    gateway: &Gateway,
    engine: &Engine,
    engine_response: EngineResponse,
    call: &Call,
) -> Result<EngineResponse, AttemptFailure> {
    let echoed_id = engine_response.head.request_id.as_deref();
    if echoed_id != Some(&call.metadata.request_id) {
        let id = echoed_id.map(|id| id.chars().take(MAX_LOGGED_ID).collect());
        return Err(AttemptFailure::ForeignResponse(id));
    }
    let warm_up = engine_response.head.warm_up;
    gateway.warm_ups.on_response(engine, warm_up);
    if engine_response.head.not_executed {
        let status = engine_response.status;
        reuse_after_rejection(gateway, engine_response).await;
        return Err(AttemptFailure::Rejected(status));
    }
    let head = &engine_response.head;
    if head.is_signed && !head.is_encoded {
        Ok(engine_response)
    } else {
        Err(AttemptFailure::InvalidResponse)
    }
}

/// Reads the short body of a rejection, so that the connection can be reused.
async fn reuse_after_rejection(gateway: &Gateway, mut engine_response: EngineResponse) {
    const MAX_REJECTION_BYTES: usize = 16 * 1024;
    const BODY_TIMEOUT: Duration = Duration::from_millis(20);
    let reading = Limited::new(&mut engine_response.body, MAX_REJECTION_BYTES).collect();
    if let Ok(Ok(_)) = tokio::time::timeout(BODY_TIMEOUT, reading).await {
        engine_response.finish(gateway);
    }
}
