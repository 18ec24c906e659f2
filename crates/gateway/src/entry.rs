//! Reads a client's request and finds its route.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::request::Parts;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use ridgeworks_platform::read_metadata;
use ridgeworks_routing::{
    CallMetadata, CallerLimits, Refusal, RefusalReason, Residency, Route, RouteTable, Tenant,
};
use tokio::time::Instant;

use crate::call::Call;
use crate::caller::{Caller, CallerBody};
use crate::exchange;
use crate::gateway::{BodyRoom, Gateway, OpenRequest};
use crate::refusal::{COME_BACK, COME_BACK_RECONFIGURED, refusal_response};

/// Requests that are open at once.
const MAX_OPEN_REQUESTS: usize = 4_000;
/// How long a body may take.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Bounds before any configuration is known.
const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    max_header_bytes: 16 * 1024,
    max_body_bytes: 4 * 1024 * 1024,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
};

/// The bounds for clients in force.
pub fn caller_limits(gateway: &Gateway) -> CallerLimits {
    let routes = gateway.node.view.routes();
    routes.map_or(DEFAULT_LIMITS, |routes| routes.limits())
}

/// Answers one request. Dropping the future means that the client has gone away.
pub async fn answer(gateway: Rc<Gateway>, request: Request<Incoming>) -> Response<CallerBody> {
    let received = Instant::now();
    let open = gateway.open();
    let (parts, body) = request.into_parts();
    wait_for_configuration(&gateway).await;
    gateway.keys.wait_for_proof().await;
    let taken = match read_body(&gateway, body).await {
        Ok((body, room)) => take(&gateway, &parts, body, room, open, received),
        Err(refusal) => Err(refusal),
    };
    let call = match taken {
        Ok(call) => call,
        Err(refusal) => return refuse(&gateway, &parts, &refusal),
    };
    let (caller, head) = Caller::new();
    tokio::task::spawn_local(exchange::run(Rc::clone(&gateway), call, caller));
    match head.await {
        Ok(response) => response,
        // The exchange ended without an answer, which only a fault of this program does.
        Err(_) => refuse(
            &gateway,
            &parts,
            &Refusal::last(RefusalReason::EngineFailed),
        ),
    }
}

/// A gateway that has just started hears of the configuration in a moment.
async fn wait_for_configuration(gateway: &Gateway) {
    const PATIENCE: Duration = Duration::from_millis(400);
    let mut changes = gateway.node.view.changes();
    let known = async { while !gateway.knows_traffic() && changes.changed().await.is_ok() {} };
    // Without one the request is refused.
    let _ = tokio::time::timeout(PATIENCE, known).await;
}

fn refuse(gateway: &Gateway, parts: &Parts, refusal: &Refusal) -> Response<CallerBody> {
    gateway.metrics.on_refused(refusal.reason);
    let metadata = read_metadata(&parts.headers).unwrap_or_default();
    log::info!(
        target: "request",
        request = metadata.request_id.as_str(),
        path = parts.uri.path(),
        outcome = "refused",
        reason = refusal.reason.name(),
        version = gateway.node.view.version(),
        version_age_ms = gateway.version_age_ms();
        "request refused at entry"
    );
    refusal_response(refusal).map(|body| CallerBody::Whole(Some(body)))
}

async fn read_body(gateway: &Rc<Gateway>, body: Incoming) -> Result<(Bytes, BodyRoom), Refusal> {
    let max_bytes = caller_limits(gateway).max_body_bytes;
    let announced = hyper::body::Body::size_hint(&body).lower();
    if announced > max_bytes {
        return Err(Refusal::last(RefusalReason::BodyTooLarge));
    }
    let overloaded = Refusal::retry_later(RefusalReason::Overloaded, COME_BACK);
    if gateway.open_requests() > MAX_OPEN_REQUESTS {
        return Err(overloaded);
    }
    let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    let reading = Limited::new(body, max_bytes).collect();
    let collected = match tokio::time::timeout(BODY_TIMEOUT, reading).await {
        Ok(Ok(collected)) => collected.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            return Err(Refusal::last(RefusalReason::BodyTooLarge));
        }
        Ok(Err(_)) | Err(_) => return Err(Refusal::last(RefusalReason::BadRequest)),
    };
    let room = gateway.body_room(collected.len()).ok_or(overloaded)?;
    Ok((collected, room))
}

fn take(
    gateway: &Rc<Gateway>,
    parts: &Parts,
    body: Bytes,
    room: BodyRoom,
    open: OpenRequest,
    received: Instant,
) -> Result<Call, Refusal> {
    let bad_request = Refusal::last(RefusalReason::BadRequest);
    let metadata = read_metadata(&parts.headers).map_err(|_| bad_request)?;
    if metadata.request_id.is_empty() || parts.method == Method::CONNECT {
        return Err(bad_request);
    }
    let host = host(parts).ok_or(bad_request)?;
    let routes = gateway.node.view.routes();
    let routes = routes.ok_or(Refusal::retry_later(
        RefusalReason::NoConfiguration,
        COME_BACK,
    ))?;
    let route = routes.find(&host, parts.uri.path());
    let route = route.ok_or_else(|| unless_stale(gateway, RefusalReason::NoRoute))?;
    let tenant = find_tenant(gateway, &routes, route, &metadata)?;
    let residency = residency_of(route, tenant.as_deref());
    refuse_where_nowhere(gateway, &residency)?;
    let no_engine = Refusal::retry_later(RefusalReason::NoEngine, COME_BACK);
    let service = gateway.next_service(route).ok_or(no_engine)?;
    let wait = metadata.deadline.unwrap_or(route.timeout());
    let path = parts.uri.path_and_query();
    Ok(Call {
        method: parts.method.clone(),
        host,
        path: path.map_or_else(|| "/".to_owned(), |path| path.as_str().to_owned()),
        headers: parts.headers.clone(),
        body,
        metadata,
        route: Arc::clone(route),
        tenant,
        residency,
        service,
        version: routes.version(),
        received,
        limit: received + wait.min(route.timeout()),
        _room: room,
        _open: open,
    })
}

fn host(parts: &Parts) -> Option<String> {
    if let Some(authority) = parts.uri.authority() {
        return Some(authority.host().to_owned());
    }
    let header = parts.headers.get(HOST)?;
    header.to_str().ok().map(str::to_owned)
}

/// Who a request belongs to, if that has to be known.
fn find_tenant(
    gateway: &Gateway,
    routes: &RouteTable,
    route: &Route,
    metadata: &CallMetadata,
) -> Result<Option<Arc<Tenant>>, Refusal> {
    let tenant = routes.tenant(route, metadata.key);
    let tenant = tenant.map_err(|_| unless_stale(gateway, RefusalReason::UnknownKey))?;
    if tenant.is_some() && !gateway.keys.are_proven() {
        let after = gateway.keys.retry_later();
        return Err(Refusal::retry_later(RefusalReason::KeyStateStale, after));
    }
    Ok(tenant.cloned())
}

/// Where requests of a route may be served for a tenant: where both allow it.
pub fn residency_of(route: &Route, tenant: Option<&Tenant>) -> Residency {
    match tenant {
        Some(tenant) => route.residency.and(&tenant.residency),
        None => route.residency.clone(),
    }
}

/// Refuses what may be served in no region of the deployment. It has not run, and a newer configuration may allow it.
fn refuse_where_nowhere(gateway: &Gateway, residency: &Residency) -> Result<(), Refusal> {
    if gateway.node.regions.allows_any(residency) {
        return Ok(());
    }
    let reason = RefusalReason::NoAllowedRegion;
    Err(Refusal::retry_later(reason, COME_BACK_RECONFIGURED))
}

/// A gateway that nobody has confirmed the configuration to within its bound cannot be certain: the route or the key may have been
/// added meanwhile, and a client does not come back after being told that there is none.
fn unless_stale(gateway: &Gateway, reason: RefusalReason) -> Refusal {
    let bound = gateway.node.settings.bounds.configuration();
    let age = gateway.node.view.confirmation_age();
    if age.is_some_and(|age| age < bound) {
        Refusal::last(reason)
    } else {
        Refusal::retry_later(RefusalReason::ConfigurationStale, COME_BACK)
    }
}
