//! Buffers an engine's whole response before any of it is sent to the client.

use http::Response;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use ridgeworks_platform::client_headers;
use ridgeworks_resident::response_head::{BodyFraming, is_in_chunks};

use crate::attempt::{AttemptFailure, EngineResponse};
use crate::client::WholeBody;
use crate::gateway::Gateway;

/// Largest response body that can be buffered. A larger one fails the attempt.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Bytes of each response that need no reservation, so that small ones pass beside any number of large ones.
pub const UNRESERVED_BYTES: usize = 32 * 1024;

/// Reads the whole response, including status and headers. Fails if the body ends early or is too
/// large.
pub async fn read(
    gateway: &Gateway,
    mut engine_response: EngineResponse,
) -> Result<Response<WholeBody>, AttemptFailure> {
    let body = read_body(gateway, &mut engine_response).await?;
    let is_in_chunks =
        || engine_response.framing() == BodyFraming::UntilClose && is_in_chunks(body.bytes());
    if engine_response.has_cut_body() || is_in_chunks() {
        return Err(AttemptFailure::InvalidResponse);
    }
    let mut response = Response::new(body);
    *response.status_mut() = engine_response.status;
    *response.headers_mut() = client_headers(&engine_response.headers);
    if engine_response.status.is_success() {
        engine_response.in_flight.on_complete();
    }
    engine_response.finish(gateway);
    Ok(response)
}

async fn read_body(
    gateway: &Gateway,
    engine_response: &mut EngineResponse,
) -> Result<WholeBody, AttemptFailure> {
    let mut reservation = gateway.response_memory.reservation();
    let mut body = WholeBody::default();
    let mut bytes = announced_bytes(&engine_response.body);
    loop {
        let reserved = reservation.resize_within_fair_share(bytes.saturating_sub(UNRESERVED_BYTES));
        if bytes > MAX_RESPONSE_BYTES || reserved.is_err() {
            return Err(AttemptFailure::ResponseTooLarge);
        }
        let Some(frame) = engine_response.body.frame().await else {
            body.keep(reservation);
            return Ok(body);
        };
        let frame = frame.map_err(|_| AttemptFailure::Truncated)?;
        let data = frame.into_data().unwrap_or_default();
        engine_response.in_flight.on_bytes(data.len());
        body.push(data);
        bytes = bytes.max(body.len());
    }
}

/// Length of the body by its head; 0 if the head does not tell.
fn announced_bytes(body: &Incoming) -> usize {
    usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX)
}
