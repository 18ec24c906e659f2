//! What goes to a back end for a call: the run's history before a model call's own messages.

use ridgeworks_api::chat::{ChatCompletionRequest, ChatMessage};
use ridgeworks_configuration::ConfigurationSet;
use ridgeworks_domain::objects::{PriorityClass, Service};
use ridgeworks_domain::token_count::count_tokens;
use ridgeworks_domain::{
    CallEnd, CallRequest, Cost, InvalidRequest, Refusal, RefusalReason, ServiceKind,
};
use ridgeworks_run_log::run_state::RunState;
use serde_json::{Map, Value, json};

use crate::outbound::BackendCall;

/// Output tokens of a model call whose caller names no limit.
const DEFAULT_OUTPUT_TOKENS: u64 = 1_024;
const ASSISTANT: &str = "assistant";
const TOOL: &str = "tool";
/// Engines serve lower numbers first; urgent classes have the lowest.
const URGENT_ENGINE_PRIORITY: i64 = 0;
const LOWEST_ENGINE_PRIORITY: i64 = 1 + u8::MAX as i64;

/// Size of a call, from which its reserve and its expected time follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallSize {
    /// Tokens of the whole prompt; zero for tools and notices.
    pub prompt_tokens: u64,
    /// Most tokens of the answer; zero for tools and notices.
    pub max_output_tokens: u64,
    /// Upper bound of the cost.
    pub reserve: Cost,
}

/// Sizes a call that comes after everything in `state`.
pub fn call_size(
    request: &CallRequest,
    service: &Service,
    state: &RunState,
) -> Result<CallSize, Refusal> {
    if service.kind != ServiceKind::Model {
        return Ok(CallSize {
            prompt_tokens: 0,
            max_output_tokens: 0,
            reserve: service.price,
        });
    }
    let body = read_chat(&request.body)?;
    let history = history_messages(state);
    let prompt_tokens = history
        .iter()
        .chain(&body.messages)
        .map(content_tokens)
        .sum();
    let max_output_tokens = body.max_output_tokens().unwrap_or(DEFAULT_OUTPUT_TOKENS);
    Ok(CallSize {
        prompt_tokens,
        max_output_tokens,
        reserve: Cost(prompt_tokens).saturating_add(Cost(max_output_tokens)),
    })
}

/// What is sent to the back end.
pub fn backend_call(
    request: &CallRequest,
    service: &Service,
    class: Option<&PriorityClass>,
    state: &RunState,
) -> Result<BackendCall, Refusal> {
    if service.kind != ServiceKind::Model {
        return Ok(BackendCall::Tool {
            service: service.name.to_string(),
            arguments: request.body.clone(),
            price: service.price,
        });
    }
    let mut body = read_chat(&request.body)?;
    let max_output_tokens = body.max_output_tokens().unwrap_or(DEFAULT_OUTPUT_TOKENS);
    let mut messages = history_messages(state);
    messages.append(&mut body.messages);
    body.messages = messages;
    body.stream = true;
    body.max_tokens = Some(max_output_tokens);
    body.max_completion_tokens = None;
    let priority = class.map_or(LOWEST_ENGINE_PRIORITY, engine_priority);
    body.other.insert("priority".to_owned(), json!(priority));
    body.other
        .insert("stream_options".to_owned(), json!({"include_usage": true}));
    let bytes = serde_json::to_vec(&body).map_err(|_| malformed())?;
    Ok(BackendCall::Chat(bytes))
}

/// The service of a call, if the program may use it.
pub fn service_of<'a>(
    request: &CallRequest,
    state: &RunState,
    configuration: &'a ConfigurationSet,
) -> Result<&'a Service, Refusal> {
    let service = configuration
        .service(&request.service)
        .ok_or(Refusal::permanent(RefusalReason::UnknownService))?;
    let program = state
        .opening()
        .and_then(|opening| configuration.program(&opening.program));
    match program {
        Some(program) if program.services.contains(&request.service) => Ok(service),
        Some(_) => Err(Refusal::permanent(RefusalReason::Forbidden)),
        None => Err(Refusal::permanent(RefusalReason::UnknownProgram)),
    }
}

fn engine_priority(class: &PriorityClass) -> i64 {
    if class.urgent {
        URGENT_ENGINE_PRIORITY
    } else {
        LOWEST_ENGINE_PRIORITY - i64::from(class.rank)
    }
}

/// The messages of all calls that finished: what was said, what was answered, what tools gave.
fn history_messages(state: &RunState) -> Vec<ChatMessage> {
    let mut messages = Vec::new();
    for record in state.calls() {
        let Some((_, CallEnd::Finished { answer, .. })) = &record.end else {
            continue;
        };
        let text = Value::String(String::from_utf8_lossy(answer).into_owned());
        match read_chat(&record.request.body) {
            Ok(mut body) => {
                messages.append(&mut body.messages);
                messages.push(message(ASSISTANT, text, Map::new()));
            }
            // Bodies of tools are arguments, not conversations.
            Err(_) => messages.push(tool_message(record.request.key.as_str(), text)),
        }
    }
    messages
}

fn tool_message(key: &str, content: Value) -> ChatMessage {
    let mut other = Map::new();
    other.insert("tool_call_id".to_owned(), json!(key));
    message(TOOL, content, other)
}

fn message(role: &str, content: Value, other: Map<String, Value>) -> ChatMessage {
    ChatMessage {
        role: role.to_owned(),
        content,
        other,
    }
}

fn read_chat(body: &[u8]) -> Result<ChatCompletionRequest, Refusal> {
    serde_json::from_slice(body).map_err(|_| malformed())
}

fn malformed() -> Refusal {
    Refusal::permanent(RefusalReason::InvalidRequest(InvalidRequest::Malformed))
}

fn content_tokens(message: &ChatMessage) -> u64 {
    match &message.content {
        Value::Null => 0,
        Value::String(text) => count_tokens(text),
        // Parts of other kinds are counted by their JSON form, which is longer than their texts.
        parts => count_tokens(&parts.to_string()),
    }
}
