//! Responses that the gateway creates itself.

use std::time::Duration;

use http::header::CONNECTION;
use http::{HeaderValue, Response};
use ridgeworks_platform::{refusal_headers, refusal_status};
use ridgeworks_routing::Refusal;

use crate::client::WholeBody;

/// Retry delay after a refusal for a transient reason.
pub const RETRY_AFTER: Duration = Duration::from_millis(150);
/// Retry delay when only a new configuration can allow the request.
pub const RETRY_AFTER_RECONFIGURATION: Duration = Duration::from_secs(1);

/// The response to a refused request.
pub fn refusal_response(refusal: &Refusal) -> Response<WholeBody> {
    let mut response = Response::new(WholeBody::default());
    *response.status_mut() = refusal_status(refusal.reason);
    *response.headers_mut() = refusal_headers(refusal);
    if refusal.reason.is_gateway_local() {
        // Closed, so that the client's next request uses a new connection, which the platform can
        // route to another gateway.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}
