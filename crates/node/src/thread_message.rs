//! What other threads tell the actor thread.

use crossbeam_channel::Sender;
use ridgeworks_domain::Refusal;

use crate::inbound::CallerRequest;
use crate::message::OwnerAnswer;
use crate::outbound::AttemptEvent;

/// Hands answers back to the thread of one caller's request.
pub type AnswerSender = Sender<Result<OwnerAnswer, Refusal>>;

/// A message to the actor thread.
pub enum ThreadMessage {
    /// A caller's request.
    Caller {
        /// The request.
        request: CallerRequest,
        /// Where its answers go.
        answers: AnswerSender,
    },
    /// News of an attempt.
    Attempt(AttemptEvent),
    /// The process was told to stop.
    Stop,
}
