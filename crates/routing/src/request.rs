//! Metadata of a request besides its method, path and body.

use std::time::Duration;

use rkyv::{Archive, Deserialize, Serialize};

use crate::tenants::KeyDigest;

/// A part of a prompt that several requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct PromptPart {
    pub hash: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// Metadata of one attempt of a client.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallMetadata {
    /// Identifier of the attempt; empty if the client sent none.
    pub request_id: String,
    /// Time that the client waits.
    pub deadline: Option<Duration>,
    /// The program execution that the request belongs to.
    pub program: Option<String>,
    /// The session, a sequence of turns, that the request belongs to.
    pub session: Option<String>,
    /// Time until the program should end; zero once it is late.
    pub finish_in: Option<Duration>,
    /// Tokens that the whole program may generate.
    pub token_budget: Option<u64>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Most tokens that this request may generate.
    pub max_new_tokens: u64,
    /// The turn that this one continues.
    pub previous_turn: Option<String>,
    /// Parts of the prompt, in order.
    pub prompt_parts: Vec<PromptPart>,
    /// Object that the request concerns; requests for the same object prefer the same engine.
    pub affinity: Option<String>,
    /// Last event that the client received in an earlier attempt.
    pub last_event_id: Option<u64>,
    /// Identifier of the attempt in which the client received the stream's first event, if this attempt resumes a
    /// stream.
    pub resumes: Option<String>,
    /// Digest of the request's key; `None` without a key, and also if the key is repeated or not valid text.
    pub key: Option<KeyDigest>,
}

impl CallMetadata {
    pub fn is_late(&self) -> bool {
        self.finish_in.is_some_and(|left| left.is_zero())
    }

    /// Key of requests that benefit from the same engine: the object, the session, the program, or else the
    /// request's own identifier.
    pub fn placement_key(&self) -> &str {
        let keys = [&self.affinity, &self.session, &self.program];
        let key = keys.into_iter().flatten().next();
        key.unwrap_or(&self.request_id)
    }
}
