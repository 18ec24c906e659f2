//! Calls of tool and notice services: plain HTTP with JSON bodies.

use std::time::Duration;

use ridgeworks_domain::Cost;
use ridgeworks_resident::response_head::{self, BodyFraming, HeadFault, is_in_chunks};
use ridgeworks_scheduling::TokenUsage;
use ureq::http::Response;
use ureq::{Agent, Body, RequestBuilder};

use super::attempt::{AttemptId, AttemptResult, Dispatched};

const TIMEOUT_STATUS: u16 = 408;

/// Sends the call and reads its whole answer.
pub fn invoke(
    agent: &Agent,
    id: &AttemptId,
    to: &Dispatched,
    service: &str,
    arguments: &[u8],
    price: Cost,
    timeout: Duration,
) -> AttemptResult {
    let url = format!("http://{}/invoke/{service}", to.address.socket);
    let request = attempt_headers(agent.post(&url), id)
        .header("content-type", "application/json")
        .config()
        .timeout_global(Some(timeout))
        .build();
    let mut response = match request.send(arguments) {
        Ok(response) => response,
        Err(ureq::Error::ConnectionFailed) => return AttemptResult::NeverStarted,
        Err(ureq::Error::Io(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            return AttemptResult::NeverStarted;
        }
        Err(_) => return AttemptResult::InDoubt,
    };
    let Some(framing) = body_framing(id, &response) else {
        return AttemptResult::InDoubt;
    };
    if !response.status().is_success() {
        return never_started(response.status().as_u16());
    }
    match response.body_mut().read_to_vec() {
        Ok(answer)
            if framing == BodyFraming::UntilClose && is_in_chunks(answer.iter().copied()) =>
        {
            AttemptResult::InDoubt
        }
        Ok(answer) => AttemptResult::Answered {
            answer,
            spent: price,
            usage: TokenUsage::default(),
        },
        Err(_) => AttemptResult::InDoubt,
    }
}

/// Framing of an answer's body; `None`, with a line in the log, if the head tells it wrongly. Nothing else of such a head is believed.
pub fn body_framing(id: &AttemptId, response: &Response<Body>) -> Option<BodyFraming> {
    let checked = response_head::check(response.status(), response.headers());
    let log_fault = |fault: &HeadFault| {
        log::warn!(
            "run={} call={} attempt={} answer_unusable={fault}",
            id.run,
            id.key,
            id.attempt
        );
    };
    checked.inspect_err(log_fault).ok()
}

/// Adds the headers that name an attempt.
pub fn attempt_headers<B>(request: RequestBuilder<B>, id: &AttemptId) -> RequestBuilder<B> {
    request
        .header("x-ridgeworks-run", id.run.to_string())
        .header("x-ridgeworks-call", id.key.as_str())
        .header("x-ridgeworks-attempt", id.attempt.to_string())
        .header("x-ridgeworks-sequence", id.sequence.to_string())
}

/// Reads a refusing status: the back end refused before it ran anything, unless it broke inside.
pub fn never_started(status: u16) -> AttemptResult {
    let refused = (400..500).contains(&status) && status != TIMEOUT_STATUS;
    let overloaded = status == 429 || status == 503;
    if refused || overloaded {
        AttemptResult::NeverStarted
    } else {
        AttemptResult::InDoubt
    }
}
