//! One request that a gateway has open.

use std::time::Instant;

use ridgeworks_domain::safeguard::{Safeguard, is_disabled};
use ridgeworks_domain::{NodeId, Refusal, RefusalReason};

use crate::message::OwnerCommand;
use crate::thread_message::AnswerSender;

/// A request between its arrival and its last answer.
pub struct OpenRequest {
    /// What is asked of the owner.
    pub command: OwnerCommand,
    /// What is asked next, once that is answered.
    pub next_command: Option<OwnerCommand>,
    /// Where answers go.
    pub answers: AnswerSender,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// The node asked last.
    pub asked: Option<NodeId>,
    /// When the owner is asked again, unless it answers before.
    pub ask_again_at: Instant,
    /// How often an owner was asked.
    pub times_asked: u32,
    /// Bytes of answer text that were passed on.
    pub passed_on: u64,
}

/// Pieces of an answer that may wait for a slow caller. Further ones are left out: the whole answer
/// at the end fills them in.
const MAX_WAITING_ANSWERS: usize = 4_096;

impl OpenRequest {
    /// Whether the caller keeps up, so that a further piece of its answer may wait for it.
    pub fn takes_chunks(&self) -> bool {
        self.answers.len() < MAX_WAITING_ANSWERS
    }

    /// What a refusal says to the caller. An owner that cannot read the run's log speaks for itself
    /// only: where another one was asked before, or the same one before it was restarted, that one
    /// may have begun the call.
    pub fn worded(&self, refusal: Refusal) -> Refusal {
        let speaks_for_itself = refusal.reason == RefusalReason::NoQuorum;
        if speaks_for_itself && self.times_asked > 1 {
            let reason = RefusalReason::Unknown;
            return Refusal { reason, ..refusal };
        }
        refusal
    }

    /// Keeps what of a chunk is new, and notes it. `None` where the chunk leaves a gap or brings
    /// nothing new: the whole answer at the end fills it in.
    pub fn new_part(&mut self, offset: u64, mut text: Vec<u8>) -> Option<Vec<u8>> {
        if is_disabled(Safeguard::TextOffset) {
            self.passed_on += text.len() as u64;
            return Some(text);
        }
        if offset > self.passed_on {
            return None;
        }
        let known = usize::try_from(self.passed_on - offset).ok()?;
        if known >= text.len() {
            return None;
        }
        text.drain(..known);
        self.passed_on += text.len() as u64;
        Some(text)
    }
}
