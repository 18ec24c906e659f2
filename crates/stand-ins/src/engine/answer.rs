//! What an engine answers: content that names the call, so that it can be recognised in later
//! prompts, and its OpenAI-style JSON forms.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ridgeworks_domain::CallKey;
use ridgeworks_domain::token_count::BYTES_PER_TOKEN;
use serde::{Deserialize, Serialize};

const ANSWER_PREFIX: &str = "answer to ";
const ANSWER_SEPARATOR: &str = " :";

/// Words of at most [`BYTES_PER_TOKEN`] bytes, so that each is one token.
const WORDS: [&str; 16] = [
    "area", "best", "case", "door", "each", "free", "goes", "here", "item", "keep", "late", "more",
    "near", "open", "path", "rest",
];

/// Content of an answer and where its tokens end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerContent {
    text: String,
    token_ends: Vec<u32>,
    is_cut: bool,
}

impl AnswerContent {
    /// The content of the answer to `call`: always the same for one seed.
    pub fn generate(call: &str, seed: u64, wanted_tokens: usize, limit: Option<usize>) -> Self {
        let mut content = Self {
            text: String::new(),
            token_ends: Vec::new(),
            is_cut: false,
        };
        let opening = format!("{ANSWER_PREFIX}{call}{ANSWER_SEPARATOR}");
        for word in opening.split_whitespace() {
            content.push_word(word);
        }
        let mut generator = ChaCha8Rng::seed_from_u64(seed);
        let limit = limit.unwrap_or(usize::MAX);
        while content.tokens() < wanted_tokens && content.tokens() <= limit {
            content.push_word(WORDS[generator.random_range(0..WORDS.len())]);
        }
        content.cut(limit);
        content
    }

    /// Adds an ASCII word, split into tokens; the whitespace belongs to the token after it.
    fn push_word(&mut self, word: &str) {
        if !self.text.is_empty() {
            self.text.push(' ');
        }
        for part in word.as_bytes().chunks(BYTES_PER_TOKEN) {
            self.text.push_str(&String::from_utf8_lossy(part));
            self.token_ends.push(self.text.len() as u32);
        }
    }

    fn cut(&mut self, limit: usize) {
        if self.tokens() > limit {
            self.is_cut = true;
            self.token_ends.truncate(limit);
            self.text.truncate(self.end_of(limit));
        }
    }

    /// Number of tokens.
    pub fn tokens(&self) -> usize {
        self.token_ends.len()
    }

    /// The whole text.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// The text of the first `count` tokens.
    pub fn beginning(&self, count: usize) -> &str {
        &self.text[..self.end_of(count)]
    }

    /// One token, counted from 0, with the whitespace before it.
    pub fn token(&self, index: usize) -> &str {
        &self.text[self.end_of(index)..self.end_of(index + 1)]
    }

    fn end_of(&self, count: usize) -> usize {
        count
            .checked_sub(1)
            .map_or(0, |last| self.token_ends[last] as usize)
    }

    /// The OpenAI name of why the content ends.
    pub fn finish_reason(&self) -> &'static str {
        if self.is_cut { "length" } else { "stop" }
    }
}

/// The call that an earlier answer was for.
pub fn answered_call(content: &str) -> Option<CallKey> {
    let answer = content.strip_prefix(ANSWER_PREFIX)?;
    let (call, _) = answer.split_once(ANSWER_SEPARATOR)?;
    CallKey::new(call).ok()
}

#[derive(Deserialize)]
struct ToolAnswer {
    result: ToolResult,
}

#[derive(Deserialize)]
struct ToolResult {
    call: CallKey,
}

/// The call whose answer of a tool stand-in this is.
pub fn called_tool(content: &str) -> Option<CallKey> {
    let answer: ToolAnswer = serde_json::from_str(content).ok()?;
    Some(answer.result.call)
}

#[derive(Serialize)]
struct PromptDetails {
    cached_tokens: u64,
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: u64,
    prompt_tokens_details: PromptDetails,
    completion_tokens: u64,
    total_tokens: u64,
}

#[derive(Serialize)]
struct Message<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Message<'a>>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct Completion<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
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
    fn completion<'a>(&'a self, object: &'static str, choice: Choice<'a>) -> Completion<'a> {
        Completion {
            id: &self.id,
            object,
            // Answers are the same at any time, so that a repeated one is recognised.
            created: 0,
            model: &self.model,
            choices: [choice],
            usage: None,
        }
    }

    fn usage(&self, content: &AnswerContent, cached_tokens: u64) -> Usage {
        let completion_tokens = content.tokens() as u64;
        Usage {
            prompt_tokens: self.prompt_tokens,
            prompt_tokens_details: PromptDetails { cached_tokens },
            completion_tokens,
            total_tokens: self.prompt_tokens + completion_tokens,
        }
    }

    fn chunk<'a>(
        &'a self,
        delta: Message<'a>,
        finish_reason: Option<&'static str>,
    ) -> Completion<'a> {
        let choice = Choice {
            index: 0,
            message: None,
            delta: Some(delta),
            finish_reason,
        };
        self.completion("chat.completion.chunk", choice)
    }

    /// The whole answer in one document.
    pub fn whole(&self, content: &AnswerContent, cached_tokens: u64) -> Vec<u8> {
        let message = Message {
            role: Some("assistant"),
            content: Some(content.text()),
        };
        let choice = Choice {
            index: 0,
            message: Some(message),
            delta: None,
            finish_reason: Some(content.finish_reason()),
        };
        let mut completion = self.completion("chat.completion", choice);
        completion.usage = Some(self.usage(content, cached_tokens));
        serde_json::to_vec(&completion).expect("completions have a JSON form")
    }

    /// One token as a server-sent event.
    pub fn token_event(&self, content: &AnswerContent, index: usize) -> Vec<u8> {
        let delta = Message {
            role: (index == 0).then_some("assistant"),
            content: Some(content.token(index)),
        };
        server_sent_event(&self.chunk(delta, None))
    }

    /// The last event that carries a document.
    pub fn finish_event(&self, content: &AnswerContent, cached_tokens: u64) -> Vec<u8> {
        let delta = Message {
            role: None,
            content: None,
        };
        let mut completion = self.chunk(delta, Some(content.finish_reason()));
        completion.usage = Some(self.usage(content, cached_tokens));
        server_sent_event(&completion)
    }
}

/// The event that ends every whole stream.
pub const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// A document as a server-sent event.
pub fn server_sent_event(document: &impl Serialize) -> Vec<u8> {
    let mut event = b"data: ".to_vec();
    serde_json::to_writer(&mut event, document).expect("events have a JSON form");
    event.extend_from_slice(b"\n\n");
    event
}
