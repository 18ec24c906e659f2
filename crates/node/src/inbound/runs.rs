//! Opening and closing runs, and reading their history.

use ridgeworks_api::caller::{
    CloseRunResponse, HistoryCall, OpenRunRequest, OpenRunResponse, RunHistoryResponse, RunState,
};
use ridgeworks_domain::{Refusal, RefusalReason, RunId};
use ridgeworks_http_edge::{EdgeRequest, Responder};
use xxhash_rust::xxh3::xxh3_64;

use super::answer::respond;
use super::caller_request::CallerCommand;
use super::edge::Edge;
use super::request::read_body;
use crate::message::{OwnerAnswer, RecordedCall, RunHistory};

/// Longest time for a request about a run, which waits for no back end. All of them can be repeated.
const DEADLINE_MS: u64 = 10_000;

/// `POST /v1/runs`
pub fn open(edge: &Edge, request: &EdgeRequest, responder: Responder) {
    match open_run(edge, request) {
        Ok(opened) => respond(responder, &opened),
        Err(refusal) => edge.refuse(responder, &refusal),
    }
}

fn open_run(edge: &Edge, request: &EdgeRequest) -> Result<OpenRunResponse, Refusal> {
    let body: OpenRunRequest = read_body(request)?;
    let command = CallerCommand::OpenRun {
        program: body.program,
        parent: body.parent,
    };
    match edge.submit(request, command, Some(DEADLINE_MS))?.next()? {
        OwnerAnswer::Opened { run, budget } => Ok(OpenRunResponse { run, budget }),
        _ => Err(unexpected_answer()),
    }
}

/// `POST /v1/runs/{run}/close`
pub fn close(edge: &Edge, request: &EdgeRequest, run: RunId, responder: Responder) {
    match close_run(edge, request, run) {
        Ok(closed) => respond(responder, &closed),
        Err(refusal) => edge.refuse(responder, &refusal),
    }
}

fn close_run(edge: &Edge, request: &EdgeRequest, run: RunId) -> Result<CloseRunResponse, Refusal> {
    let command = CallerCommand::CloseRun { run };
    match edge.submit(request, command, Some(DEADLINE_MS))?.next()? {
        OwnerAnswer::Closed { spent } => Ok(CloseRunResponse { run, spent }),
        _ => Err(unexpected_answer()),
    }
}

/// `GET /v1/runs/{run}/history`
pub fn history(edge: &Edge, request: &EdgeRequest, run: RunId, responder: Responder) {
    match read_history(edge, request, run) {
        Ok(history) => respond(responder, &history),
        Err(refusal) => edge.refuse(responder, &refusal),
    }
}

fn read_history(
    edge: &Edge,
    request: &EdgeRequest,
    run: RunId,
) -> Result<RunHistoryResponse, Refusal> {
    let command = CallerCommand::ReadHistory { run };
    match edge.submit(request, command, Some(DEADLINE_MS))?.next()? {
        OwnerAnswer::History(history) => Ok(history_response(run, history)),
        _ => Err(unexpected_answer()),
    }
}

fn history_response(run: RunId, history: RunHistory) -> RunHistoryResponse {
    RunHistoryResponse {
        run,
        program: history.program,
        state: if history.closed {
            RunState::Closed
        } else {
            RunState::Open
        },
        budget: history.budget,
        spent: history.spent,
        calls: history.calls.into_iter().map(history_call).collect(),
    }
}

fn history_call(call: RecordedCall) -> HistoryCall {
    let digest = |bytes: &[u8]| format!("{:016x}", xxh3_64(bytes));
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    HistoryCall {
        sequence: call.sequence,
        call: call.key,
        service: call.service,
        outcome: call.outcome.into(),
        cost: call.spent,
        request_digest: digest(&call.request),
        answer_digest: call.answer.as_deref().map(digest),
        request: Some(text(&call.request)),
        answer: call.answer.as_deref().map(text),
    }
}

/// The owner answered with what belongs to another command; the end of the request is not known.
pub fn unexpected_answer() -> Refusal {
    Refusal::permanent(RefusalReason::Unknown)
}
