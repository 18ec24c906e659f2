//! Reads a client's request, finds its route and tenant, and starts its exchange.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::header::HOST;
use http::request::Parts;
use http::{HeaderMap, Method, Request, Response};
use hyper::body::Incoming;
use ridgeworks_platform::{read_metadata, refusal_status};
use ridgeworks_routing::{
    CallMetadata, ClientLimits, Denial, FreshConfiguration, Malformation, Refusal, RefusalReason,
    Residency, Route, RouteTable, Tenant,
};
use tokio::time::Instant;

use crate::call::Call;
use crate::client::{ClientBody, WaitingClient};
use crate::exchange;
use crate::gateway::{Gateway, OpenRequestGuard};
use crate::refusal::{RETRY_AFTER, RETRY_AFTER_RECONFIGURATION, refusal_response};
use crate::request_body;
use crate::request_digest::request_digest;

/// Limits before any configuration is known.
const DEFAULT_LIMITS: ClientLimits = ClientLimits {
    max_header_bytes: 16 * 1024,
    max_body_bytes: 4 * 1024 * 1024,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
};

/// The client limits of the current configuration.
pub fn client_limits(gateway: &Gateway) -> ClientLimits {
    let routes = gateway.node.view.routes();
    routes.map_or(DEFAULT_LIMITS, |routes| routes.limits())
}

/// Answers one request. The future is dropped when the client disconnects.
pub async fn answer(gateway: Rc<Gateway>, request: Request<Incoming>) -> Response<ClientBody> {
    let received = Instant::now();
    let open_request = gateway.track_request();
    let (parts, body) = request.into_parts();
    wait_for_configuration(&gateway).await;
    gateway.keys.wait_until_fresh().await;
    let call = match read_call(&gateway, &parts, body, open_request, received).await {
        Ok(call) => call,
        Err(refusal) => return refuse(&gateway, &parts, &refusal),
    };
    let (client, head) = WaitingClient::new();
    tokio::task::spawn_local(exchange::run(Rc::clone(&gateway), call, client));
    match head.await {
        Ok(response) => response,
        // The exchange task ended without a response, which only a bug can cause.
        Err(_) => refuse(
            &gateway,
            &parts,
            &Refusal::without_retry(RefusalReason::EngineFailed),
        ),
    }
}

/// Waits for the configuration, which a gateway that has just started receives shortly.
async fn wait_for_configuration(gateway: &Gateway) {
    const MAX_WAIT: Duration = Duration::from_millis(400);
    let mut changes = gateway.node.view.changes();
    let known = async { while !gateway.has_routing_state() && changes.changed().await.is_ok() {} };
    // After a timeout the request continues; `read_call` refuses it if there is still no
    // configuration, and the exchange if no engine is known.
    let _ = tokio::time::timeout(MAX_WAIT, known).await;
}

fn refuse(gateway: &Gateway, parts: &Parts, refusal: &Refusal) -> Response<ClientBody> {
    gateway.metrics.on_refused(refusal.reason);
    let metadata = read_metadata(&parts.headers).unwrap_or_default();
    log::info!(
        target: "request",
        request = metadata.request_id.as_str(),
        path = parts.uri.path(),
        outcome = "refused",
        reason = refusal.reason.name(),
        status = refusal_status(refusal.reason).as_u16(),
        version = gateway.node.view.version(),
        version_age_ms = gateway.version_age_ms();
        "request refused at entry"
    );
    refusal_response(refusal).map(ClientBody::Whole)
}

async fn read_call(
    gateway: &Rc<Gateway>,
    parts: &Parts,
    body: Incoming,
    open_request: OpenRequestGuard,
    received: Instant,
) -> Result<Call, Refusal> {
    check_head(gateway, &parts.headers)?;
    let header_error = |_| Denial::malformed(Malformation::Header);
    let metadata = read_metadata(&parts.headers).map_err(header_error)?;
    let deadline = metadata.deadline;
    let deadline = deadline.and_then(|deadline| received.checked_add(deadline));
    let (body, body_reservation) = request_body::read(gateway, body, deadline).await?;
    if metadata.request_id.is_empty() {
        return Err(Denial::malformed(Malformation::NoRequestId).into());
    }
    if parts.method == Method::CONNECT {
        return Err(Denial::malformed(Malformation::Method).into());
    }
    let host = host(parts).ok_or(Denial::malformed(Malformation::NoHost))?;
    let routes = gateway.node.view.routes();
    let routes = routes.ok_or(Refusal::retry_later(
        RefusalReason::NoConfiguration,
        RETRY_AFTER,
    ))?;
    let route = routes.find(&host, parts.uri.path());
    let route = route.ok_or_else(|| denial_if_fresh(gateway, Denial::no_route))?;
    let tenant = find_tenant(gateway, &routes, route, &metadata)?;
    let residency = residency_of(route, tenant.as_deref());
    require_allowed_region(gateway, &residency)?;
    let no_engine = Refusal::retry_later(RefusalReason::NoEngine, RETRY_AFTER);
    let service = gateway.next_service(route).ok_or(no_engine)?;
    let wait = metadata.deadline.unwrap_or(route.timeout());
    let deadline = received + wait.min(route.timeout());
    if gateway.stop.refuses(deadline) {
        return Err(Refusal::retry_later(RefusalReason::Stopping, RETRY_AFTER));
    }
    let path = parts.uri.path_and_query();
    let path = path.map_or("/", |path| path.as_str());
    let digest = request_digest(&parts.method, &host, path, &body, &metadata);
    Ok(Call {
        method: parts.method.clone(),
        host,
        path: path.to_owned(),
        headers: parts.headers.clone(),
        body,
        digest,
        metadata,
        route: Arc::clone(route),
        tenant,
        residency,
        service,
        routes: Rc::clone(&routes),
        received,
        deadline,
        _body_reservation: body_reservation,
        _open_request: open_request,
    })
}

/// Refuses headers that are larger than the configuration allows. Only names and values are counted, so that no other way of counting
/// finds fewer bytes.
fn check_head(gateway: &Gateway, headers: &HeaderMap) -> Result<(), Refusal> {
    let lengths = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len());
    let bytes = lengths.sum::<usize>() as u64;
    let max_bytes = client_limits(gateway).max_header_bytes;
    if bytes <= max_bytes {
        return Ok(());
    }
    let fresh = gateway.fresh_configuration()?;
    let denial = Denial::head_too_large(fresh, bytes, max_bytes);
    denial.map_or(Ok(()), |denial| Err(denial.into()))
}

fn host(parts: &Parts) -> Option<String> {
    if let Some(authority) = parts.uri.authority() {
        return Some(authority.host().to_owned());
    }
    let header = parts.headers.get(HOST)?;
    header.to_str().ok().map(str::to_owned)
}

/// The tenant of a request; `None` if the route requires no key.
fn find_tenant(
    gateway: &Gateway,
    routes: &RouteTable,
    route: &Route,
    metadata: &CallMetadata,
) -> Result<Option<Arc<Tenant>>, Refusal> {
    let tenant = routes.tenant(route, metadata.key);
    let tenant = tenant.map_err(|_| denial_if_fresh(gateway, Denial::unknown_key))?;
    if tenant.is_some() && !gateway.keys.is_fresh() {
        let after = gateway.keys.retry_after();
        return Err(Refusal::retry_later(RefusalReason::KeyStateStale, after));
    }
    Ok(tenant.cloned())
}

/// Where requests of a route may be served for a tenant: in the regions that both allow.
pub fn residency_of(route: &Route, tenant: Option<&Tenant>) -> Residency {
    match tenant {
        Some(tenant) => route.residency.intersection(&tenant.residency),
        None => route.residency.clone(),
    }
}

/// Refuses a request that no region of the deployment may serve. The client may retry, because a
/// newer configuration may allow it.
fn require_allowed_region(gateway: &Gateway, residency: &Residency) -> Result<(), Refusal> {
    if gateway.node.regions.allows_any(residency) {
        return Ok(());
    }
    let reason = RefusalReason::NoAllowedRegion;
    Err(Refusal::retry_later(reason, RETRY_AFTER_RECONFIGURATION))
}

/// The denial if the configuration is known to be recent. Otherwise the route or key may have been added since, and the client is
/// told to retry.
fn denial_if_fresh(
    gateway: &Gateway,
    denial: impl FnOnce(FreshConfiguration) -> Denial,
) -> Refusal {
    let fresh = gateway.fresh_configuration();
    fresh.map_or_else(|stale| stale, |fresh| denial(fresh).into())
}
