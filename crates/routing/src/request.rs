//! What a gateway knows of a request besides its method, path and body.

use std::time::Duration;

use rkyv::{Archive, Deserialize, Serialize};

use crate::tenants::KeyDigest;

/// A part of a prompt that several requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct PromptPart {
    /// Hash of the part.
    pub hash: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

/// Metadata of one attempt of a client.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallMetadata {
    /// Identifier of the attempt; empty when the client sent none.
    pub request_id: String,
    /// How long the client waits.
    pub deadline: Option<Duration>,
    /// Execution of a program that the request belongs to.
    pub program: Option<String>,
    /// Line of turns that the request belongs to.
    pub session: Option<String>,
    /// Time left before the program should be over; zero once it is late.
    pub finish_in: Option<Duration>,
    /// Tokens that the whole program may generate.
    pub token_budget: Option<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// The most tokens that this request may generate.
    pub max_new_tokens: u64,
    /// The turn that this one goes on from.
    pub previous_turn: Option<String>,
    /// Parts of the prompt, in order.
    pub prompt_parts: Vec<PromptPart>,
    /// Object that the request concerns.
    pub affinity: Option<String>,
    /// Last event that the client has of an earlier attempt.
    pub last_event_id: Option<u64>,
    /// The key that it brings; `None` as well for one that stands there twice or is no text.
    pub key: Option<KeyDigest>,
}

impl CallMetadata {
    /// Whether the program is late already.
    pub fn is_late(&self) -> bool {
        self.finish_in.is_some_and(|left| left.is_zero())
    }

    /// Key of requests that are better served by the same engine: the object they concern, or their
    /// line of turns.
    pub fn placement_key(&self) -> &str {
        let keys = [&self.affinity, &self.session, &self.program];
        let key = keys.into_iter().flatten().next();
        key.unwrap_or(&self.request_id)
    }
}
