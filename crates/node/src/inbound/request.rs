//! Reads bodies of requests.

use ridgeworks_domain::{InvalidRequest, Refusal};
use ridgeworks_http_edge::EdgeRequest;
use serde::de::DeserializeOwned;

use super::answer::invalid;

/// The body as a typed value.
pub fn read_body<T: DeserializeOwned>(request: &EdgeRequest) -> Result<T, Refusal> {
    serde_json::from_slice(&request.body).map_err(|_| invalid(InvalidRequest::Malformed))
}
