use rkyv::{Archive, Deserialize, Serialize};

use crate::identifiers::TurnId;

/// A turn that was answered completely. Never changes once it is written.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct TurnRecord {
    pub turn: TurnId,
    /// The turn that it continues; `None` at the start of a conversation.
    pub previous: Option<TurnId>,
    /// The client's input.
    pub input: Vec<u8>,
    /// The engine's output, in the form in which the next turn's prompt contains it.
    pub output: Vec<u8>,
}

impl TurnRecord {
    /// Memory of the record in bytes, without the overhead of the table that holds it.
    pub fn weight(&self) -> usize {
        self.input.len() + self.output.len() + self.turn.0.len()
    }
}
