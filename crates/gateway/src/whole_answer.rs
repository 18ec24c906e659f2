//! Reads an engine's answer to its end before anything of it goes to the client.

use bytes::Bytes;
use http::Response;
use http_body_util::{BodyExt, Limited};
use ridgeworks_platform::client_headers;

use crate::attempt::{Answered, AttemptFailure};
use crate::gateway::Gateway;

/// Longest answer that is held in memory.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// The whole answer, with the engine's status, headers and body.
pub async fn read(
    gateway: &Gateway,
    mut answered: Answered,
) -> Result<Response<Bytes>, AttemptFailure> {
    let reading = Limited::new(&mut answered.body, MAX_ANSWER_BYTES).collect();
    let collected = reading.await.map_err(|_| AttemptFailure::BrokenOff)?;
    let body = collected.to_bytes();
    answered.at_engine.on_bytes(body.len());
    let mut response = Response::new(body);
    *response.status_mut() = answered.status;
    *response.headers_mut() = client_headers(&answered.headers);
    if answered.status.is_success() {
        answered.at_engine.on_whole();
    }
    answered.finish(gateway);
    Ok(response)
}
