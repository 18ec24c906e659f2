//! Reads the body of a client's request.

use std::error::Error;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use ridgeworks_routing::{Denial, Malformation, Refusal, RefusalReason};
use tokio::time::Instant;

use crate::entry::client_limits;
use crate::gateway::Gateway;
use crate::memory_budget::MemoryReservation;
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
) -> Result<(Bytes, MemoryReservation), Refusal> {
    if gateway.open_requests() > MAX_OPEN_REQUESTS {
        return Err(overloaded());
    }
    let until = Instant::now() + READ_TIMEOUT;
    let until = deadline.map_or(until, |deadline| deadline.min(until));
    let reading = tokio::time::timeout_at(until, collect(gateway, body));
    // Whether the client or this process was slow is not known.
    reading.await.unwrap_or_else(|_| Err(incomplete()))
}

async fn collect(
    gateway: &Gateway,
    mut body: Incoming,
) -> Result<(Bytes, MemoryReservation), Refusal> {
    let max_bytes = client_limits(gateway).max_body_bytes;
    let announced = body.size_hint().lower();
    if announced > max_bytes {
        return Err(too_large(gateway, announced, max_bytes));
    }
    let mut reservation = gateway.request_memory.reservation();
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            if is_framing_error(&error) {
                Denial::malformed(Malformation::BodyFraming).into()
            } else {
                incomplete()
            }
        })?;
        let data = frame.into_data().unwrap_or_default();
        let bytes = (collected.len() + data.len()) as u64;
        if bytes > max_bytes {
            return Err(too_large(gateway, bytes, max_bytes));
        }
        reservation.grow(data.len()).map_err(|_| overloaded())?;
        collected.extend_from_slice(&data);
    }
    Ok((collected.freeze(), reservation))
}

fn overloaded() -> Refusal {
    Refusal::retry_later(RefusalReason::Overloaded, RETRY_AFTER)
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
