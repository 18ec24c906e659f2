//! Buffers an engine's whole response before any of it is sent to the client.

use bytes::Bytes;
use http::Response;
use http_body_util::{BodyExt, Limited};
use ridgeworks_platform::client_headers;

use crate::attempt::{AttemptFailure, EngineResponse};
use crate::gateway::Gateway;

/// Largest response body that can be buffered. A larger one fails the attempt.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Reads the whole response, including status and headers. Fails if the body ends early or is too
/// large.
pub async fn read(
    gateway: &Gateway,
    mut engine_response: EngineResponse,
) -> Result<Response<Bytes>, AttemptFailure> {
    let reading = Limited::new(&mut engine_response.body, MAX_RESPONSE_BYTES).collect();
    let collected = reading.await.map_err(|_| AttemptFailure::Truncated)?;
    let body = collected.to_bytes();
    engine_response.in_flight.on_bytes(body.len());
    let mut response = Response::new(body);
    *response.status_mut() = engine_response.status;
    *response.headers_mut() = client_headers(&engine_response.headers);
    if engine_response.status.is_success() {
        engine_response.in_flight.on_complete();
    }
    engine_response.finish(gateway);
    Ok(response)
}
