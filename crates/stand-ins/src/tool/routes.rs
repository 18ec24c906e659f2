//! The tool service's HTTP paths.

use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tiny_http::Method;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::attempts::{Attempt, AttemptKey, AttemptState, Begin, CallHeaders};
use crate::failure::Failure;
use crate::history::{HistoryEvent, digest};
use crate::http::Reply;
use crate::incoming::Incoming;
use crate::tool::{Hang, ToolPlan, ToolState};

/// How often a call that hangs looks whether the process is stopping.
const HANG_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Answers one request.
pub fn handle(tool: &ToolState, incoming: &Incoming) -> Result<Reply, Failure> {
    let result = route(tool, incoming);
    if result.is_err() {
        tool.metrics.refused.inc();
    }
    result
}

fn route(tool: &ToolState, incoming: &Incoming) -> Result<Reply, Failure> {
    let segments = incoming.segments();
    match (&incoming.method, segments.as_slice()) {
        (Method::Post, ["invoke", service]) => invoke(tool, service, incoming),
        (Method::Get, ["v1", "attempts", run, call, attempt]) => {
            let key = AttemptKey::from_path(run, call, attempt)?;
            Ok(Reply::json(&tool.attempts.state(&key)?))
        }
        (Method::Post, ["v1", "attempts", run, call, attempt, "fence"])
        | (Method::Delete, ["v1", "attempts", run, call, attempt]) => {
            let key = AttemptKey::from_path(run, call, attempt)?;
            Ok(fence(tool, &key))
        }
        (Method::Get, ["executions"]) => Ok(Reply::json(&tool.executions.list())),
        (Method::Get, ["health"]) => Ok(health(tool)),
        (Method::Get, ["metrics"]) => Ok(Reply::Text(tool.metrics.text())),
        _ => Err(Failure::UnknownRoute),
    }
}

fn invoke(tool: &ToolState, service: &str, incoming: &Incoming) -> Result<Reply, Failure> {
    let headers = CallHeaders::read(incoming)?;
    let key = headers
        .key
        .ok_or(Failure::InvalidField("x-ridgeworks-run"))?;
    let begin = tool.attempts.begin(&key, || {
        if tool.is_leaving() {
            return Err(Failure::Leaving);
        }
        Ok(ToolPlan {
            key: key.clone(),
            sequence: headers.sequence,
            service: service.to_owned(),
            arguments: incoming.json()?,
        })
    })?;
    match begin {
        Begin::New(attempt) => {
            tool.metrics.accepted.inc();
            carry_out(tool, &attempt)
        }
        Begin::Known(attempt) => {
            tool.metrics.joined.inc();
            answer(attempt.wait_for_end())
        }
    }
}

fn carry_out(tool: &ToolState, attempt: &Arc<Attempt<ToolPlan>>) -> Result<Reply, Failure> {
    let hang = tool.next_hang();
    attempt.wait_at_most(tool.latency(&attempt.plan.key));
    if hang == Hang::BeforeEffect {
        return answer(hang_until_fenced(tool, attempt));
    }
    let state = attempt.update(|progress| {
        if progress.state == AttemptState::Queued {
            progress.state = take_effect(tool, &attempt.plan);
        }
        progress.state.clone()
    });
    if hang == Hang::AfterEffect {
        wait_for_stop(tool);
        return Ok(Reply::Nothing);
    }
    answer(state)
}

/// Waits until the attempt is fenced, which the stop of the process does too.
fn hang_until_fenced(tool: &ToolState, attempt: &Attempt<ToolPlan>) -> AttemptState {
    loop {
        let state = attempt.wait_at_most(HANG_POLL_INTERVAL);
        if state.is_final() {
            return state;
        }
        if tool.is_leaving() {
            attempt.update(|progress| progress.state = AttemptState::NeverStarted);
        }
    }
}

fn wait_for_stop(tool: &ToolState) {
    while !tool.is_leaving() {
        std::thread::sleep(HANG_POLL_INTERVAL);
    }
}

fn take_effect(tool: &ToolState, plan: &ToolPlan) -> AttemptState {
    let answer = answer_body(tool, plan);
    tool.executions.add(&plan.key);
    tool.history.record(&HistoryEvent::BackendExecuted {
        backend: tool.history.by().to_owned(),
        run: plan.key.run,
        call: plan.key.call.clone(),
        attempt: plan.key.attempt,
        sequence: plan.sequence,
        cost: tool.options.price,
        answer_digest: digest(answer.as_bytes()),
        prior_calls: None,
        started_at_us: None,
        cancelled: false,
    });
    AttemptState::Finished {
        answer,
        spent: tool.options.price,
    }
}

fn answer_body(tool: &ToolState, plan: &ToolPlan) -> String {
    let name = format!("{}/{}", plan.key.run, plan.key.call);
    let value = xxh3_64_with_seed(name.as_bytes(), tool.options.seed);
    let body = json!({
        "result": {
            "service": plan.service,
            "call": plan.key.call,
            "arguments": plan.arguments,
            "value": format!("{value:016x}"),
        },
        "executed": true,
        "cost": tool.options.price,
    });
    body.to_string()
}

fn answer(state: AttemptState) -> Result<Reply, Failure> {
    match state {
        AttemptState::Finished { answer, .. } => Ok(Reply::Json {
            status: 200,
            body: answer.into_bytes(),
        }),
        AttemptState::NeverStarted => Err(Failure::AttemptFenced),
        AttemptState::Queued | AttemptState::Running | AttemptState::Cancelled { .. } => {
            Err(Failure::AttemptCancelled)
        }
    }
}

fn fence(tool: &ToolState, key: &AttemptKey) -> Reply {
    tool.metrics.fenced.inc();
    // A tool's effect takes no time, so no attempt is ever seen running.
    let state = tool.attempts.fence(key, |_, _| AttemptState::NeverStarted);
    Reply::json(&state)
}

fn health(tool: &ToolState) -> Reply {
    Reply::json(&json!({
        "status": if tool.is_leaving() { "leaving" } else { "live" },
        "name": tool.options.name,
        "zone": tool.options.zone,
        "instance": tool.attempts.instance(),
    }))
}
