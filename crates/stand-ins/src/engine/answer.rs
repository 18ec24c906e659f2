//! What an engine answers: content that names the call, so that it can be recognised in later
//! prompts, and its OpenAI-style JSON forms.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ridgeworks_domain::CallKey;
use ridgeworks_domain::token_count::BYTES_PER_TOKEN;
use serde_json::{Value, json};

const ANSWER_PREFIX: &str = "answer to ";
const ANSWER_SEPARATOR: &str = " :";

/// Words of at most [`BYTES_PER_TOKEN`] bytes, so that each is one token.
const WORDS: [&str; 16] = [
    "area", "best", "case", "door", "each", "free", "goes", "here", "item", "keep", "late", "more",
    "near", "open", "path", "rest",
];

/// Content of an answer, in pieces of one token each.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerContent {
    /// The pieces; every one but the first word's starts with its whitespace.
    pub pieces: Vec<String>,
    /// Whether the limit cut the content short.
    pub cut: bool,
}

impl AnswerContent {
    /// The content of the answer to `call`: always the same for one seed.
    pub fn generate(call: &str, seed: u64, wanted_tokens: usize, limit: Option<usize>) -> Self {
        let mut generator = ChaCha8Rng::seed_from_u64(seed);
        let mut pieces = split_tokens(&format!("{ANSWER_PREFIX}{call}{ANSWER_SEPARATOR}"));
        while pieces.len() < wanted_tokens {
            let word = WORDS[generator.random_range(0..WORDS.len())];
            pieces.push(format!(" {word}"));
        }
        let cut = limit.is_some_and(|limit| limit < pieces.len());
        pieces.truncate(limit.unwrap_or(usize::MAX));
        Self { pieces, cut }
    }

    /// The first `count` tokens as one text.
    pub fn text(&self, count: usize) -> String {
        self.pieces[..count.min(self.pieces.len())].concat()
    }

    /// The OpenAI name of why the content ends.
    pub fn finish_reason(&self) -> &'static str {
        if self.cut { "length" } else { "stop" }
    }
}

/// The call that an earlier answer was for.
pub fn answered_call(content: &str) -> Option<CallKey> {
    let (call, _) = content
        .strip_prefix(ANSWER_PREFIX)?
        .split_once(ANSWER_SEPARATOR)?;
    CallKey::new(call).ok()
}

/// Splits ASCII text into tokens that keep the whitespace before them.
fn split_tokens(text: &str) -> Vec<String> {
    let mut pieces: Vec<String> = Vec::new();
    for (index, word) in text.split_whitespace().enumerate() {
        let mut space = if index == 0 { "" } else { " " };
        for part in word.as_bytes().chunks(BYTES_PER_TOKEN) {
            pieces.push(format!("{space}{}", String::from_utf8_lossy(part)));
            space = "";
        }
    }
    pieces
}

/// What all JSON forms of one answer share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// Identifier of the completion.
    pub id: String,
    /// The model asked for.
    pub model: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
}

impl AnswerHead {
    fn document(&self, object: &str, choice: Value) -> Value {
        json!({
            "id": self.id,
            "object": object,
            "created": 0,
            "model": self.model,
            "choices": [choice],
        })
    }

    fn usage(&self, completion_tokens: usize) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": completion_tokens,
            "total_tokens": self.prompt_tokens + completion_tokens as u64,
        })
    }

    /// The whole answer in one document.
    pub fn whole(&self, content: &AnswerContent) -> String {
        let choice = json!({
            "index": 0,
            "message": {"role": "assistant", "content": content.text(usize::MAX)},
            "finish_reason": content.finish_reason(),
        });
        let mut document = self.document("chat.completion", choice);
        document["usage"] = self.usage(content.pieces.len());
        document.to_string()
    }

    /// One token as a server-sent event.
    pub fn token_event(&self, index: usize, piece: &str) -> Vec<u8> {
        let delta = if index == 0 {
            json!({"role": "assistant", "content": piece})
        } else {
            json!({"content": piece})
        };
        let choice = json!({"index": 0, "delta": delta, "finish_reason": null});
        server_sent_event(&self.document("chat.completion.chunk", choice))
    }

    /// The last event that carries a document.
    pub fn finish_event(&self, content: &AnswerContent) -> Vec<u8> {
        let choice = json!({"index": 0, "delta": {}, "finish_reason": content.finish_reason()});
        let mut document = self.document("chat.completion.chunk", choice);
        document["usage"] = self.usage(content.pieces.len());
        server_sent_event(&document)
    }
}

/// The event that ends every whole stream.
pub const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// A document as a server-sent event.
pub fn server_sent_event(document: &Value) -> Vec<u8> {
    format!("data: {document}\n\n").into_bytes()
}
