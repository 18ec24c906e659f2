//! Calls of tool and notice services by name.

use ridgeworks_api::caller::{ServiceCallRequest, ServiceCallResponse, checked_sequence};
use ridgeworks_domain::{CallRequest, Cost, Refusal, ServiceName};
use ridgeworks_http_edge::{EdgeRequest, Responder};
use serde_json::value::RawValue;

use super::answer::{invalid, respond};
use super::call_metrics::CallMetrics;
use super::caller_request::CallerCommand;
use super::edge::{Answers, Edge};
use super::request::read_body;
use super::runs::unexpected_answer;
use crate::message::OwnerAnswer;
use crate::metrics::labels::CallKind;

const SEQUENCE_FIELD: &str = "sequence";

/// `POST /v1/services/{service}/calls`
pub fn call(edge: &Edge, request: &EdgeRequest, service: ServiceName, responder: Responder) {
    match call_service(edge, request, service) {
        Ok(answer) => respond(responder, &answer),
        Err(refusal) => edge.refuse(responder, &refusal),
    }
}

fn call_service(
    edge: &Edge,
    request: &EdgeRequest,
    service: ServiceName,
) -> Result<ServiceCallResponse, Refusal> {
    let body: ServiceCallRequest = read_body(request)?;
    let deadline_ms = body.deadline_ms;
    let command = CallerCommand::Call {
        run: body.run,
        call: CallRequest {
            key: body.call,
            sequence: checked_sequence(body.sequence, SEQUENCE_FIELD).map_err(invalid)?,
            service,
            repeatable: body.repeatable,
            // The owner sets the reserve from the service's price.
            reserve: Cost::ZERO,
            deadline_ms,
            stream: false,
            body: body.arguments.get().as_bytes().to_vec(),
        },
    };
    let mut metrics = CallMetrics::start(edge.metrics(), CallKind::Service);
    let answers = edge.submit(request, command, deadline_ms);
    let response = answers.and_then(|answers| wait(&answers));
    match &response {
        Ok(_) => metrics.answered(),
        Err(refusal) => metrics.refused(refusal),
    }
    response
}

fn wait(answers: &Answers) -> Result<ServiceCallResponse, Refusal> {
    match answers.next()? {
        OwnerAnswer::Answered { answer, .. } => service_answer(answer),
        _ => Err(unexpected_answer()),
    }
}

fn service_answer(answer: Vec<u8>) -> Result<ServiceCallResponse, Refusal> {
    let text = String::from_utf8(answer).map_err(|_| unexpected_answer())?;
    // A back end that answers with something else than JSON is passed on as a JSON text.
    let result = match RawValue::from_string(text) {
        Ok(result) => result,
        Err(_) => return Err(unexpected_answer()),
    };
    Ok(ServiceCallResponse { result })
}
