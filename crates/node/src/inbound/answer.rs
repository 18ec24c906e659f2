//! Writes answers and refusals of the callers' interface.

use ridgeworks_api::caller::{RETRY_AFTER_HEADER, SHOULD_RETRY_HEADER};
use ridgeworks_api::caller_error::{CallerErrorBody, CallerRefusal};
use ridgeworks_domain::{InvalidRequest, Refusal, RefusalReason};
use ridgeworks_http_edge::{Header, Responder};
use serde::Serialize;

const OK: u16 = 200;

/// Sends a JSON body. A caller that left is not told anything.
pub fn respond_json(responder: Responder, status: u16, body: &[u8]) {
    let _ = responder.json(status, &[], body);
}

/// Sends a value as the body of a successful answer.
pub fn respond(responder: Responder, value: &impl Serialize) {
    respond_json(responder, OK, &to_json(value));
}

/// Sends a refusal with its status, its body and when to come back.
pub fn refuse(responder: Responder, refusal: &Refusal) {
    let refusal = CallerRefusal::from(refusal);
    let mut headers = vec![Header::new(
        SHOULD_RETRY_HEADER,
        refusal.should_retry.to_string(),
    )];
    if let Some(seconds) = refusal.retry_after_seconds {
        headers.push(Header::new(RETRY_AFTER_HEADER, seconds.to_string()));
    }
    let _ = responder.json(refusal.status, &headers, &to_json(&refusal.body));
}

/// The body that says why a request was refused, for streams that have begun.
pub fn refusal_body(refusal: &Refusal) -> CallerErrorBody {
    CallerRefusal::from(refusal).body
}

/// A refusal of a request that cannot be read.
pub fn invalid(reason: InvalidRequest) -> Refusal {
    Refusal::permanent(RefusalReason::InvalidRequest(reason))
}

/// A value as JSON.
pub fn to_json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("answers have text keys only, so that they always serialize")
}
