//! Reads a run and its calls.

use ridgeworks_api::ConnectError;
use ridgeworks_api::field_error::FieldError;
use ridgeworks_api::v1;
use ridgeworks_domain::RunId;
use xxhash_rust::xxh3::xxh3_64;

use super::method::{Session, refused, unexpected_reply};
use crate::inbound::CallerCommand;
use crate::message::{OwnerAnswer, RecordedCall, RecordedOutcome, RunHistory};

const DEFAULT_PAGE_SIZE: usize = 100;

/// Reads a run, page by page.
pub fn get(
    session: &Session<'_>,
    request: &v1::GetRunRequest,
) -> Result<v1::GetRunResponse, ConnectError> {
    let run: RunId = request.run.parse().map_err(|_| {
        ConnectError::InvalidField(FieldError::new("run", v1::FieldProblem::Malformed))
    })?;
    let command = CallerCommand::ReadHistory { run };
    let answers = session
        .edge()
        .submit(session.request(), command, None)
        .map_err(refused)?;
    match answers.next().map_err(refused)? {
        OwnerAnswer::History(history) => Ok(page(run, &history, request)),
        _ => Err(unexpected_reply()),
    }
}

fn page(run: RunId, history: &RunHistory, request: &v1::GetRunRequest) -> v1::GetRunResponse {
    let size = match request.page_size {
        0 => DEFAULT_PAGE_SIZE,
        size => size as usize,
    };
    let rest = |call: &&RecordedCall| call.sequence.0 > request.after_sequence;
    let remaining = history.calls.iter().filter(rest).count();
    let calls = history.calls.iter().filter(rest).take(size);
    v1::GetRunResponse {
        run: Some(summary(run, history)),
        calls: calls.map(recorded_call).collect(),
        more: remaining > size,
    }
}

fn summary(run: RunId, history: &RunHistory) -> v1::RunSummary {
    let state = if history.closed {
        v1::RunState::Closed
    } else {
        v1::RunState::Open
    };
    v1::RunSummary {
        run: run.to_string(),
        program: history.program.to_string(),
        state: state.into(),
        budget: history.budget.0,
        spent: history.spent.0,
        calls: history.calls.len() as u64,
        ..v1::RunSummary::default()
    }
}

fn recorded_call(call: &RecordedCall) -> v1::RecordedCall {
    let outcome = match call.outcome {
        RecordedOutcome::Accepted => v1::CallOutcome::Accepted,
        RecordedOutcome::Dispatched => v1::CallOutcome::Dispatched,
        RecordedOutcome::Finished => v1::CallOutcome::Finished,
        RecordedOutcome::NotRun => v1::CallOutcome::NotRun,
        RecordedOutcome::Unknown => v1::CallOutcome::Unknown,
    };
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let digest = |bytes: &[u8]| format!("{:016x}", xxh3_64(bytes));
    v1::RecordedCall {
        sequence: call.sequence.0,
        call: call.key.to_string(),
        service: call.service.to_string(),
        outcome: outcome.into(),
        cost: call.spent.0,
        request_digest: digest(&call.request),
        answer_digest: call.answer.as_deref().map(digest).unwrap_or_default(),
        request: Some(text(&call.request)),
        answer: call.answer.as_deref().map(text),
        ..v1::RecordedCall::default()
    }
}
