//! Bodies of `POST /v1/chat/completions` in OpenAI's form, as far as the system reads them.
//!
//! Fields that are not named here travel on unchanged.

use ridgeworks_domain::ServiceName;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Payload of the last server-sent event of a stream.
pub const STREAM_END: &str = "[DONE]";

/// A request for one answer of a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatCompletionRequest {
    /// Service that the call goes to.
    pub model: ServiceName,
    /// The conversation.
    pub messages: Vec<ChatMessage>,
    /// Whether the answer comes as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Most tokens of the answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_completion_tokens: Option<u64>,
    /// Most tokens of the answer, by the older name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// All other fields.
    #[serde(flatten)]
    pub other: Map<String, Value>,
}

impl ChatCompletionRequest {
    /// Most tokens of the answer, by either name; the newer one goes first.
    pub fn output_limit(&self) -> Option<u64> {
        self.max_completion_tokens.or(self.max_tokens)
    }
}

/// One message of a conversation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Who speaks: `system`, `user`, `assistant` or `tool`.
    pub role: String,
    /// What is said: a text or a list of parts; `null` next to tool calls.
    #[serde(default)]
    pub content: Value,
    /// All other fields, such as tool calls.
    #[serde(flatten)]
    pub other: Map<String, Value>,
}

/// Tokens that the back end counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the conversation.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
    /// Sum of both.
    pub total_tokens: u64,
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatCompletion {
    /// Identifier of the answer.
    pub id: String,
    /// Always `chat.completion`.
    pub object: String,
    /// Seconds since the Unix epoch.
    pub created: u64,
    /// Service that answered.
    pub model: String,
    /// The answers; there is one.
    pub choices: Vec<ChatChoice>,
    /// Tokens counted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// One answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatChoice {
    /// Position in the list.
    pub index: u32,
    /// What the model said.
    pub message: ChatMessage,
    /// Why the answer ended, such as `stop` or `length`.
    pub finish_reason: Option<String>,
}

/// One server-sent event of a streamed answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatCompletionChunk {
    /// Identifier of the answer, the same in all of its events.
    pub id: String,
    /// Always `chat.completion.chunk`.
    pub object: String,
    /// Seconds since the Unix epoch.
    pub created: u64,
    /// Service that answers.
    pub model: String,
    /// The next pieces; empty in the event that carries the usage.
    pub choices: Vec<ChunkChoice>,
    /// Tokens counted, in the last event before the end.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// The next piece of one answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Position in the list.
    pub index: u32,
    /// What is added.
    pub delta: ChatDelta,
    /// Why the answer ended; absent until it does.
    pub finish_reason: Option<String>,
}

/// What one event adds to an answer.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ChatDelta {
    /// Who speaks, in the first event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// The text that is added.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
    /// All other fields, such as tool calls.
    #[serde(flatten)]
    pub other: Map<String, Value>,
}
