//! Chat requests: what callers send, and the plan that an engine makes of it.

use ridgeworks_domain::token_count::count_prompt_tokens;
use ridgeworks_domain::{CallKey, Cost, Sequence};
use serde::Deserialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::attempts::AttemptKey;
use crate::engine::answer::{AnswerContent, AnswerHead, answered_call, called_tool};
use crate::engine::token_blocks::{BLOCK_TOKENS, TokenChain};
use crate::failure::Failure;

const ASSISTANT: &str = "assistant";
const TOOL: &str = "tool";

/// Body of `POST /v1/chat/completions`.
#[derive(Debug, Clone, Deserialize)]
pub struct ChatRequest {
    /// The model asked for.
    pub model: String,
    /// The conversation.
    pub messages: Vec<ChatMessage>,
    /// Whether tokens are to be streamed.
    #[serde(default)]
    pub stream: bool,
    /// Most tokens of the answer.
    #[serde(alias = "max_completion_tokens")]
    pub max_tokens: Option<u64>,
    /// Order in the queue: lower goes first.
    #[serde(default)]
    pub priority: i64,
}

/// One message of a conversation.
#[derive(Debug, Clone, Deserialize)]
pub struct ChatMessage {
    /// Who speaks.
    pub role: String,
    /// What is said; messages that only carry tool calls have none.
    pub content: Option<String>,
}

impl ChatMessage {
    fn text(&self) -> &str {
        self.content.as_deref().unwrap_or_default()
    }

    /// The call whose answer this message is, as its text says.
    fn answered_call(&self) -> Option<CallKey> {
        match self.role.as_str() {
            ASSISTANT => answered_call(self.text()),
            TOOL => called_tool(self.text()),
            _ => None,
        }
    }
}

/// What an engine will do for one attempt.
#[derive(Debug)]
pub struct ChatPlan {
    /// The attempt; `None` for a plain client.
    pub key: Option<AttemptKey>,
    /// The call's position in its run.
    pub sequence: Option<Sequence>,
    /// Order in the queue: lower goes first.
    pub priority: i64,
    /// Head of the answer's JSON forms.
    pub head: AnswerHead,
    /// The answer.
    pub content: AnswerContent,
    /// Calls whose answers stand in the prompt.
    pub prior_calls: Vec<CallKey>,
}

impl ChatPlan {
    /// Plans the answer to a request. `answer_tokens` is the mean length without a limit.
    pub fn new(
        request: &ChatRequest,
        key: Option<AttemptKey>,
        sequence: Option<Sequence>,
        answer_tokens: usize,
    ) -> Result<Self, Failure> {
        if request.messages.is_empty() {
            return Err(Failure::InvalidField("messages"));
        }
        if request.max_tokens == Some(0) {
            return Err(Failure::InvalidField("max_tokens"));
        }
        let call = key.as_ref().map_or("none", |key| key.call.as_str());
        let run = key.as_ref().map_or(0, |key| key.run.0);
        let seed = xxh3_64(format!("{run:x}/{call}").as_bytes());
        let wanted = answer_tokens / 2 + seed as usize % answer_tokens.max(1);
        let limit = request.max_tokens.map(|limit| limit as usize);
        let content = AnswerContent::generate(call, seed, wanted, limit);

        let messages = || request.messages.iter();
        let texts = messages().map(ChatMessage::text);
        let prior_calls = messages().filter_map(ChatMessage::answered_call);
        let attempt = key.as_ref().map_or(1, |key| key.attempt);
        Ok(Self {
            sequence,
            priority: request.priority,
            head: AnswerHead {
                id: format!("chatcmpl-{run:x}-{call}-{attempt}"),
                model: request.model.clone(),
                prompt_tokens: count_prompt_tokens(texts),
            },
            content,
            prior_calls: prior_calls.collect(),
            key,
        })
    }

    /// Tokens of the prompt and `produced` tokens of the answer.
    pub fn cost(&self, produced: usize) -> Cost {
        Cost(self.head.prompt_tokens + produced as u64)
    }

    /// Memory blocks that the attempt needs until its end.
    pub fn blocks(&self) -> u64 {
        self.cost(self.content.tokens()).0.div_ceil(BLOCK_TOKENS)
    }
}

/// The token sequences of an attempt, for the prefix cache. Apart from the plan, since that is kept
/// for as long as the engine runs.
#[derive(Debug)]
pub struct ChatContext {
    /// The prompt.
    pub prompt: TokenChain,
    /// The prompt and the answer.
    pub whole: TokenChain,
}

impl ChatContext {
    /// The sequences of a request and its planned answer.
    pub fn new(request: &ChatRequest, content: &AnswerContent) -> Self {
        let mut prompt = TokenChain::default();
        for message in &request.messages {
            prompt.append(&message.role, message.text());
        }
        let mut whole = prompt.clone();
        whole.append(ASSISTANT, content.text());
        Self { prompt, whole }
    }
}
