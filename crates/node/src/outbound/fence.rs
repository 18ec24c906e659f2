//! Fences an attempt at its back end: from then on the back end does not run it.

use std::net::SocketAddr;
use std::time::Duration;

use ridgeworks_api::chat::ChatCompletion;
use ridgeworks_domain::Cost;
use serde::Deserialize;
use serde_json::Value;
use ureq::Agent;

use super::attempt::{AnswerForm, AttemptFate, AttemptId};

#[derive(Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
enum FenceAnswer {
    Finished { answer: String, spent: u64 },
    NeverStarted,
    Cancelled,
}

/// Sends the fence and reads how the attempt stands.
pub fn fence(
    agent: &Agent,
    id: &AttemptId,
    address: SocketAddr,
    form: AnswerForm,
    timeout: Duration,
) -> AttemptFate {
    let url = format!(
        "http://{address}/v1/attempts/{}/{}/{}/fence",
        id.run, id.key, id.attempt
    );
    let answer = agent
        .post(&url)
        .config()
        .timeout_global(Some(timeout))
        .build()
        .send_empty();
    let Ok(mut response) = answer else {
        return AttemptFate::Unreachable;
    };
    if !response.status().is_success() {
        return AttemptFate::Unreachable;
    }
    match response.body_mut().read_json::<FenceAnswer>() {
        Ok(FenceAnswer::Finished { answer, spent }) => finished(answer, Cost(spent), form),
        Ok(FenceAnswer::NeverStarted) => AttemptFate::NeverStarted,
        Ok(FenceAnswer::Cancelled) => AttemptFate::Cancelled,
        Err(_) => AttemptFate::Unreachable,
    }
}

/// A completion that cannot be read is one that ran and whose answer is not to be had.
fn finished(answer: String, spent: Cost, form: AnswerForm) -> AttemptFate {
    let answer = match form {
        AnswerForm::Plain => Some(answer),
        AnswerForm::Completion => completion_text(&answer),
    };
    match answer.map(String::into_bytes) {
        Some(answer) => AttemptFate::Finished { answer, spent },
        None => AttemptFate::Cancelled,
    }
}

fn completion_text(answer: &str) -> Option<String> {
    let completion: ChatCompletion = serde_json::from_str(answer).ok()?;
    match completion.choices.into_iter().next()?.message.content {
        Value::String(text) => Some(text),
        _ => None,
    }
}
