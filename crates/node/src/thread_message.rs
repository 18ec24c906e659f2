//! What other threads tell the actor thread.

use crossbeam_channel::Sender;
use ridgeworks_domain::Refusal;

use crate::inbound::CallerRequest;
use crate::message::OwnerAnswer;
use ridgeworks_storage::StoreError;

use crate::configuration::PlatformEvent;
use crate::dispatcher::EngineReport;
use crate::operator::OperatorRequestMessage;
use crate::outbound::AttemptEvent;
use crate::replica::WriteOwner;

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
    /// An operator's request.
    Operator(OperatorRequestMessage),
    /// News of an attempt.
    Attempt(AttemptEvent),
    /// A write reached the disk, or failed.
    Durable {
        /// Who asked for it.
        owner: WriteOwner,
        /// Its number.
        write: u64,
        /// Whether it is durable.
        result: Result<(), StoreError>,
    },
    /// The platform answered or its watch reported something.
    Platform(PlatformEvent),
    /// News of an engine that is polled.
    Engine(EngineReport),
    /// The process was told to stop.
    Stop,
}
