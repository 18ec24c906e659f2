//! Chat completions in OpenAI's form, whole or streamed.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ridgeworks_api::caller::CallHeaders;
use ridgeworks_api::chat::{
    ChatChoice, ChatCompletion, ChatCompletionChunk, ChatCompletionRequest, ChatDelta, ChatMessage,
    ChunkChoice, STREAM_END, Usage,
};
use ridgeworks_domain::token_count::count_tokens;
use ridgeworks_domain::{CallRequest, Cost, InvalidRequest, Refusal, RefusalReason};
use ridgeworks_http_edge::{ClientDisconnected, EdgeRequest, Header, Responder, StreamWriter};
use serde::Serialize;
use serde_json::{Map, Value};

use super::answer::{invalid, refusal_body, respond, to_json};
use super::call_metrics::{CallMetrics, OpenStream};
use super::caller_request::CallerCommand;
use super::edge::{Answers, Edge};
use super::request::read_body;
use super::runs::unexpected_answer;
use super::streamed_text::StreamedText;
use crate::message::OwnerAnswer;
use crate::metrics::labels::CallKind;

const ASSISTANT: &str = "assistant";
const FINISH_REASON: &str = "stop";
const OK: u16 = 200;

/// `POST /v1/chat/completions`
pub fn complete(edge: &Edge, request: &EdgeRequest, responder: Responder) {
    let mut started = match start(edge, request) {
        Ok(started) => started,
        Err(refusal) => return edge.refuse(responder, &refusal),
    };
    if started.stream {
        stream(edge, &mut started, responder);
        return;
    }
    match whole(&started) {
        Ok(completion) => {
            respond(responder, &completion);
            started.metrics.answered();
        }
        Err(refusal) => started.refuse(edge, responder, &refusal),
    }
}

struct Started {
    stream: bool,
    head: CompletionHead,
    answers: Answers,
    metrics: CallMetrics,
}

impl Started {
    fn refuse(&mut self, edge: &Edge, responder: Responder, refusal: &Refusal) {
        self.metrics.refused(refusal);
        edge.refuse(responder, refusal);
    }
}

/// What all parts of one answer share.
struct CompletionHead {
    id: String,
    created: u64,
    model: String,
}

fn start(edge: &Edge, request: &EdgeRequest) -> Result<Started, Refusal> {
    let body: ChatCompletionRequest = read_body(request)?;
    if body.messages.is_empty() {
        let field = "messages".to_owned();
        return Err(invalid(InvalidRequest::MissingField { field }));
    }
    let headers = CallHeaders::read(|name| request.header(name)).map_err(invalid)?;
    let head = CompletionHead {
        id: format!("chatcmpl-{}", headers.call),
        created: unix_seconds(),
        model: body.model.to_string(),
    };
    let command = CallerCommand::Call {
        run: headers.run,
        call: CallRequest {
            key: headers.call,
            sequence: headers.sequence,
            service: body.model,
            repeatable: headers.repeatable,
            // The owner sets the reserve: it knows the history that goes before the messages.
            reserve: Cost::ZERO,
            deadline_ms: headers.deadline_ms,
            stream: body.stream,
            body: request.body.clone(),
        },
    };
    let kind = if body.stream {
        CallKind::ChatStream
    } else {
        CallKind::Chat
    };
    let answers = edge.submit(request, command, headers.deadline_ms)?;
    let metrics = CallMetrics::start(edge.metrics(), kind);
    Ok(Started {
        stream: body.stream,
        head,
        answers,
        metrics,
    })
}

fn unix_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_secs())
}

fn whole(started: &Started) -> Result<ChatCompletion, Refusal> {
    loop {
        match started.answers.next()? {
            OwnerAnswer::Chunk { .. } => {}
            OwnerAnswer::Answered { answer, spent } => {
                let text = String::from_utf8(answer).map_err(|_| unexpected_answer())?;
                return Ok(completion(&started.head, text, spent));
            }
            _ => return Err(unexpected_answer()),
        }
    }
}

fn completion(head: &CompletionHead, text: String, spent: Cost) -> ChatCompletion {
    let usage = usage(&text, spent);
    let message = ChatMessage {
        role: ASSISTANT.to_owned(),
        content: Value::String(text),
        other: Map::new(),
    };
    ChatCompletion {
        id: head.id.clone(),
        object: "chat.completion".to_owned(),
        created: head.created,
        model: head.model.clone(),
        choices: vec![ChatChoice {
            index: 0,
            message,
            finish_reason: Some(FINISH_REASON.to_owned()),
        }],
        usage: Some(usage),
    }
}

// The log keeps the sum that the back end counted; the answer's part is counted again.
fn usage(text: &str, spent: Cost) -> Usage {
    let completion_tokens = count_tokens(text).min(spent.0);
    Usage {
        prompt_tokens: spent.0 - completion_tokens,
        completion_tokens,
        total_tokens: spent.0,
    }
}

/// Streams the answer. The HTTP status waits for the first part of the answer, so that a refusal
/// still has its own.
fn stream(edge: &Edge, started: &mut Started, responder: Responder) {
    let first = match started.answers.next() {
        Ok(first) => first,
        Err(refusal) => return started.refuse(edge, responder, &refusal),
    };
    let headers = [
        Header::new("Content-Type", "text/event-stream"),
        Header::new("Cache-Control", "no-cache"),
    ];
    let _open = OpenStream::start(edge.metrics());
    let Ok(writer) = responder.start_stream(OK, &headers) else {
        return;
    };
    // A caller that left learns the answer by asking again under the same key.
    let _ = write_events(edge, started, first, writer);
}

fn write_events(
    edge: &Edge,
    started: &mut Started,
    first: OwnerAnswer,
    mut writer: StreamWriter,
) -> Result<(), ClientDisconnected> {
    let mut streamed = StreamedText::default();
    let mut answer = Ok(first);
    loop {
        match answer {
            Ok(OwnerAnswer::Chunk { text, .. }) => {
                streamed.push(&text);
                write_text(&started.head, &mut writer, &text)?;
                started.metrics.chunk();
            }
            Ok(OwnerAnswer::Answered { answer, spent }) => {
                let Some(rest) = streamed.rest_of(&answer) else {
                    return write_refusal(edge, started, writer, &answer_replaced());
                };
                write_text(&started.head, &mut writer, rest)?;
                started.metrics.chunk();
                write_end(&started.head, writer, &answer, spent)?;
                started.metrics.answered();
                return Ok(());
            }
            Ok(_) => return write_refusal(edge, started, writer, &unexpected_answer()),
            Err(refusal) => return write_refusal(edge, started, writer, &refusal),
        }
        answer = started.answers.next();
    }
}

/// The recorded answer differs from what was streamed. Asking again under the same key gives it.
fn answer_replaced() -> Refusal {
    Refusal::retry_after(RefusalReason::Unknown, Duration::ZERO)
}

fn write_text(
    head: &CompletionHead,
    writer: &mut StreamWriter,
    text: &[u8],
) -> Result<(), ClientDisconnected> {
    if text.is_empty() {
        return Ok(());
    }
    let delta = ChatDelta {
        role: Some(ASSISTANT.to_owned()),
        content: Some(String::from_utf8_lossy(text).into_owned()),
        other: Map::new(),
    };
    write_event(writer, &chunk(head, delta, None, None))
}

fn write_end(
    head: &CompletionHead,
    mut writer: StreamWriter,
    answer: &[u8],
    spent: Cost,
) -> Result<(), ClientDisconnected> {
    let usage = usage(&String::from_utf8_lossy(answer), spent);
    let reason = Some(FINISH_REASON.to_owned());
    let last = chunk(head, ChatDelta::default(), reason, Some(usage));
    write_event(&mut writer, &last)?;
    writer.send(format!("data: {STREAM_END}\n\n").as_bytes())?;
    writer.finish()
}

fn chunk(
    head: &CompletionHead,
    delta: ChatDelta,
    finish_reason: Option<String>,
    usage: Option<Usage>,
) -> ChatCompletionChunk {
    ChatCompletionChunk {
        id: head.id.clone(),
        object: "chat.completion.chunk".to_owned(),
        created: head.created,
        model: head.model.clone(),
        choices: vec![ChunkChoice {
            index: 0,
            delta,
            finish_reason,
        }],
        usage,
    }
}

fn write_refusal(
    edge: &Edge,
    started: &mut Started,
    mut writer: StreamWriter,
    refusal: &Refusal,
) -> Result<(), ClientDisconnected> {
    edge.metrics().count_refusal(refusal);
    started.metrics.refused(refusal);
    write_event(&mut writer, &refusal_body(refusal))?;
    writer.finish()
}

fn write_event(
    writer: &mut StreamWriter,
    value: &impl Serialize,
) -> Result<(), ClientDisconnected> {
    let mut event = b"data: ".to_vec();
    event.extend_from_slice(&to_json(value));
    event.extend_from_slice(b"\n\n");
    writer.send(&event)
}
