//! Chat completions of model engines, always streamed, so that an answer can be passed on while it
//! is generated.

use std::io::{BufRead, BufReader};
use std::time::Duration;

use ridgeworks_domain::Cost;
use ridgeworks_scheduling::TokenUsage;
use serde::Deserialize;
use ureq::Agent;

use super::attempt::{AttemptId, AttemptResult, Dispatched};
use super::tool::{attempt_headers, body_framing, never_started};

const DATA_PREFIX: &str = "data:";
const LAST_DATA: &str = "[DONE]";

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
}

#[derive(Default, Deserialize)]
struct Delta {
    content: Option<String>,
}

#[derive(Deserialize)]
struct Usage {
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    completion_tokens: u64,
    #[serde(default)]
    prompt_tokens_details: PromptDetails,
}

#[derive(Default, Deserialize)]
struct PromptDetails {
    #[serde(default)]
    cached_tokens: u64,
}

/// Sends a completion request and reports its text as it comes.
pub fn complete(
    agent: &Agent,
    id: &AttemptId,
    to: &Dispatched,
    body: &[u8],
    timeout: Duration,
    report: &mut dyn FnMut(String),
) -> AttemptResult {
    let url = format!("http://{}/v1/chat/completions", to.address.socket);
    let request = attempt_headers(agent.post(&url), id)
        .header("content-type", "application/json")
        .config()
        .timeout_global(Some(timeout))
        .build();
    let response = match request.send(body) {
        Ok(response) => response,
        Err(ureq::Error::ConnectionFailed) => return AttemptResult::NeverStarted,
        Err(ureq::Error::Io(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            return AttemptResult::NeverStarted;
        }
        Err(_) => return AttemptResult::InDoubt,
    };
    if body_framing(id, &response).is_none() {
        return AttemptResult::InDoubt;
    }
    if !response.status().is_success() {
        return never_started(response.status().as_u16());
    }
    let reader = BufReader::new(response.into_body().into_reader());
    read_events(reader, report)
}

fn read_events(reader: impl BufRead, report: &mut dyn FnMut(String)) -> AttemptResult {
    let mut answer = String::new();
    let mut usage: Option<TokenUsage> = None;
    for line in reader.lines() {
        let Ok(line) = line else {
            return AttemptResult::InDoubt;
        };
        let Some(data) = line.strip_prefix(DATA_PREFIX).map(str::trim) else {
            continue;
        };
        if data == LAST_DATA {
            return match usage {
                Some(usage) => AttemptResult::Answered {
                    answer: answer.into_bytes(),
                    spent: Cost(usage.prompt + usage.output),
                    usage,
                },
                None => AttemptResult::InDoubt,
            };
        }
        let Ok(chunk) = serde_json::from_str::<Chunk>(data) else {
            return AttemptResult::InDoubt;
        };
        if let Some(counted) = chunk.usage {
            usage = Some(TokenUsage {
                prompt: counted.prompt_tokens,
                cached: counted.prompt_tokens_details.cached_tokens,
                output: counted.completion_tokens,
            });
        }
        let choice = chunk.choices.into_iter().next();
        if let Some(text) = choice.and_then(|choice| choice.delta.content) {
            answer.push_str(&text);
            report(text);
        }
    }
    AttemptResult::InDoubt
}
