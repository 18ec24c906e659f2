//! The record of one turn.

use rkyv::{Archive, Deserialize, Serialize};

use crate::identifiers::TurnId;

/// A turn that was answered whole. Never changes once it is written.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct TurnRecord {
    /// The turn.
    pub turn: TurnId,
    /// The turn that it goes on from; `None` at the start of a conversation.
    pub previous: Option<TurnId>,
    /// What the client sent.
    pub input: Vec<u8>,
    /// What the engine generated, as the next turn's prompt holds it.
    pub output: Vec<u8>,
}

impl TurnRecord {
    /// Memory that the record takes, in bytes, without the overhead of the table it lies in.
    pub fn weight(&self) -> usize {
        self.input.len() + self.output.len() + self.turn.0.len()
    }
}
