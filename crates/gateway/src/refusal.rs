//! Answers that no engine gave.

use std::time::Duration;

use bytes::Bytes;
use http::header::CONNECTION;
use http::{HeaderValue, Response};
use ridgeworks_platform::{refusal_headers, refusal_status};
use ridgeworks_routing::Refusal;

/// When a client may come back after a refusal that passes by itself.
pub const COME_BACK: Duration = Duration::from_millis(150);
/// When a client may come back whose request may be served nowhere before the configuration changes.
pub const COME_BACK_RECONFIGURED: Duration = Duration::from_secs(1);

/// An answer without an engine's.
pub fn refusal_response(refusal: &Refusal) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = refusal_status(refusal.reason);
    *response.headers_mut() = refusal_headers(refusal);
    if refusal.reason.is_gateway_local() {
        // The client's next request comes on a new connection, which the platform gives to another gateway.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}
