//! Reads the body of a client's request.

use std::error::Error;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use ridgeworks_routing::{Denial, Malformation, Refusal, RefusalReason};
use tokio::time::Instant;

use crate::entry::client_limits;
use crate::gateway::{BodyReservation, Gateway};
use crate::refusal::RETRY_AFTER;

/// Maximum number of open requests.
const MAX_OPEN_REQUESTS: usize = 4_000;
/// How long reading a body may take.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads the whole body, until the request's deadline at the latest, and reserves memory for it.
pub async fn read(
    gateway: &Rc<Gateway>,
    body: Incoming,
    deadline: Option<Instant>,
) -> Result<(Bytes, BodyReservation), Refusal> {
    let max_bytes = client_limits(gateway).max_body_bytes;
    let announced = body.size_hint().lower();
    if announced > max_bytes {
        return Err(too_large(gateway, announced, max_bytes));
    }
    let overloaded = Refusal::retry_later(RefusalReason::Overloaded, RETRY_AFTER);
    if gateway.open_requests() > MAX_OPEN_REQUESTS {
        return Err(overloaded);
    }
    let reading = Limited::new(body, usize::try_from(max_bytes).unwrap_or(usize::MAX)).collect();
    let until = Instant::now() + READ_TIMEOUT;
    let until = deadline.map_or(until, |deadline| deadline.min(until));
    let collected = tokio::time::timeout_at(until, reading).await;
    // Whether the client or this process was slow is not known.
    let collected = collected.map_err(|_| incomplete())?;
    let collected = collected.map_err(|error| {
        if error.is::<LengthLimitError>() {
            too_large(gateway, max_bytes + 1, max_bytes)
        } else if is_framing_error(error.as_ref()) {
            Denial::malformed(Malformation::BodyFraming).into()
        } else {
            incomplete()
        }
    })?;
    let collected = collected.to_bytes();
    let body_reservation = gateway.reserve_body(collected.len()).ok_or(overloaded)?;
    Ok((collected, body_reservation))
}

fn incomplete() -> Refusal {
    Refusal::without_retry(RefusalReason::BodyIncomplete)
}

/// A newer configuration may allow larger bodies, and the limit is a default while there is none.
fn too_large(gateway: &Gateway, bytes: u64, max_bytes: u64) -> Refusal {
    let denial = |fresh| Denial::body_too_large(fresh, bytes, max_bytes);
    let stale = Refusal::retry_later(RefusalReason::ConfigurationStale, RETRY_AFTER);
    match gateway.fresh_configuration() {
        Ok(fresh) => denial(fresh).map_or(stale, Refusal::from),
        Err(stale) => stale,
    }
}

/// Whether the bytes that the client sent contradict the body's framing, such as a chunk without a length.
fn is_framing_error(error: &(dyn Error + 'static)) -> bool {
    let mut source = Some(error);
    while let Some(error) = source {
        if let Some(error) = error.downcast_ref::<io::Error>() {
            let kind = error.kind();
            return matches!(
                kind,
                io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData
            );
        }
        source = error.source();
    }
    false
}
