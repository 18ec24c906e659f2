//! Words the HTTP edge's own answers in the form of the interface that was asked.

use ridgeworks_api::ConnectError;
use ridgeworks_api::caller::{RETRY_AFTER_HEADER, SHOULD_RETRY_HEADER};
use ridgeworks_api::caller_error::CallerRefusal;
use ridgeworks_api::connect::encode_error;
use ridgeworks_api::operator::SERVICE_PATH;
use ridgeworks_domain::{InvalidRequest, Refusal, RefusalReason};
use ridgeworks_http_edge::{EdgeSettings, FaultResponse, Header, RequestFault};

use super::answer::{invalid, to_json};

const LENGTH_HEADER: &str = "content-length";

/// The answer to a request that no handler answered.
pub fn fault_response(fault: RequestFault, path: &str, settings: &EdgeSettings) -> FaultResponse {
    let refusal = refusal(fault, settings);
    if path.starts_with(SERVICE_PATH) {
        operator_answer(fault, refusal, settings)
    } else {
        caller_answer(fault, &refusal)
    }
}

/// What the fault means to a caller.
pub fn refusal(fault: RequestFault, settings: &EdgeSettings) -> Refusal {
    let retry_after = settings.retry_after;
    match fault {
        RequestFault::Overloaded => {
            Refusal::retry_after(RefusalReason::TooManyRequests, retry_after)
        }
        RequestFault::Stopping => Refusal::retry_after(RefusalReason::NodeStopping, retry_after),
        RequestFault::BodyTooLarge => invalid(InvalidRequest::BodyTooLarge {
            limit_bytes: settings.max_body_bytes as u64,
        }),
        RequestFault::MalformedLength => invalid(InvalidRequest::InvalidField {
            field: LENGTH_HEADER.to_owned(),
        }),
        RequestFault::BodyTimedOut | RequestFault::BodyCutOff => {
            invalid(InvalidRequest::BodyIncomplete)
        }
        RequestFault::Unanswered => Refusal::permanent(RefusalReason::Unknown),
    }
}

// The status stays the one of HTTP for the fault: 408 tells a slow body from one that was cut off.
fn caller_answer(fault: RequestFault, refusal: &Refusal) -> FaultResponse {
    let worded = CallerRefusal::from(refusal);
    let should_retry = worded.should_retry.to_string();
    let mut headers = vec![Header::new(SHOULD_RETRY_HEADER, should_retry)];
    headers.extend(retry_after_header(worded.retry_after_seconds));
    FaultResponse {
        status: fault.status(),
        headers,
        body: to_json(&worded.body),
    }
}

// The Connect protocol ties the status to the code.
fn operator_answer(
    fault: RequestFault,
    refusal: Refusal,
    settings: &EdgeSettings,
) -> FaultResponse {
    let error = match fault {
        RequestFault::BodyTooLarge => ConnectError::BodyTooLarge {
            limit_bytes: settings.max_body_bytes as u64,
        },
        _ => ConnectError::Refused(refusal),
    };
    let answer = encode_error(&error);
    FaultResponse {
        status: answer.status,
        headers: retry_after_header(answer.retry_after_seconds).collect(),
        body: answer.body,
    }
}

fn retry_after_header(seconds: Option<u64>) -> impl Iterator<Item = Header> {
    seconds
        .map(|seconds| Header::new(RETRY_AFTER_HEADER, seconds.to_string()))
        .into_iter()
}
