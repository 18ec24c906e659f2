//! Input events and output effects of the configuration role.

use std::sync::Arc;

use ridgeworks_domain::NodeId;

use crate::change::{ChangeError, ChangeRequest};
use crate::machines::{Machine, MachineList};
use crate::message::ConfigurationMessage;
use crate::revision::{OperationId, PlatformVersion, RequestId, Revision};
use crate::set::ConfigurationSet;
use crate::settings::Member;
use crate::voter_state::StoredVoter;

/// Key of the only configuration document in the platform's store.
pub const DOCUMENT_KEY: &str = "ridgeworks-configuration";

/// The host's identifier of one operator request, returned with its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// An input of the configuration role.
#[derive(Debug, Clone)]
pub enum Event {
    /// A message arrived.
    Message {
        /// The authenticated sender.
        from: NodeId,
        /// The message.
        message: ConfigurationMessage,
    },
    /// An answer to a platform operation.
    PlatformAnswer {
        /// Identifier of the operation.
        request: RequestId,
        /// The answer.
        answer: PlatformAnswer,
    },
    /// An event of the platform's watch.
    PlatformWatch(WatchEvent),
    /// Periodic timer; see [`crate::settings::TICK_INTERVAL`].
    Tick,
    /// An operator requests a change.
    Change {
        /// The host's identifier of the request.
        ticket: Ticket,
        /// The change.
        request: ChangeRequest,
    },
    /// An operator requests the newest configuration.
    Read {
        /// The host's identifier of the request.
        ticket: Ticket,
    },
    /// The write with this number and all earlier writes are durable.
    Flushed {
        /// Number of the write.
        write: u64,
    },
    /// The live members of the system, from which relays are chosen.
    Members(Vec<Member>),
}

/// An action that the host must carry out.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Send a message.
    Send {
        /// The receiver; never this node itself.
        to: NodeId,
        /// The message.
        message: ConfigurationMessage,
    },
    /// Send an operation to the platform's store.
    Platform {
        /// Identifier of the operation, to be returned with the answer.
        request: RequestId,
        /// The operation.
        operation: PlatformOperation,
    },
    /// Durably replace the stored state, then report [`Event::Flushed`].
    Write {
        /// Number of the write.
        write: u64,
        /// The state.
        state: StoredVoter,
    },
    /// Answer an operator.
    Answer {
        /// The host's identifier of the request.
        ticket: Ticket,
        /// The answer.
        answer: OperatorAnswer,
    },
    /// A newer configuration is in force.
    InForce(Arc<ConfigurationSet>),
    /// A newer list of machines was received.
    Machines(Arc<MachineList>),
    /// The node's lease was granted (`true`) or expired (`false`).
    Ready(bool),
}

/// An operation on the platform's store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformOperation {
    /// Read the configuration document at [`DOCUMENT_KEY`].
    Read,
    /// Write the document if it is at the expected version.
    CompareAndSwap {
        /// The required version; zero if the document must not exist.
        expected: PlatformVersion,
        /// The complete configuration as JSON.
        document: Vec<u8>,
        /// Operations that this write adds to the document, for the platform's log.
        operations: Vec<OperationId>,
    },
    /// Start or restart the watch of the document and of the machines. It is answered only if it
    /// fails, by any answer; a watch that ends later is reported as [`WatchEvent::Closed`].
    Watch,
    /// Read the list of machines.
    ListMachines,
}

/// An answer of the platform's store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformAnswer {
    /// The document.
    Document {
        /// Its version; zero if there is no document.
        version: PlatformVersion,
        /// Its content; empty if there is no document.
        document: Vec<u8>,
    },
    /// The compare-and-swap took effect.
    Swapped {
        /// The document's new version.
        version: PlatformVersion,
    },
    /// The document is at another version; nothing was written.
    VersionMismatch,
    /// The list of machines.
    Machines {
        /// Version of the list.
        version: u64,
        /// The machines.
        machines: Vec<Machine>,
    },
    /// The operation has no effect, now or later: the platform refused it, or no byte of it was sent.
    Unavailable,
    /// No answer was received: the operation may have taken effect or may still take effect.
    Lost,
}

/// An event of the platform's watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchEvent {
    /// The document changed.
    Document {
        /// Its new version.
        version: PlatformVersion,
        /// Its new content.
        document: Vec<u8>,
    },
    /// The list of machines changed.
    Machines {
        /// Version of the list.
        version: u64,
        /// The complete list.
        machines: Vec<Machine>,
    },
    /// Events were missed.
    Gap,
    /// The watch ended.
    Closed,
}

/// Why a request was refused without effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unavailable {
    /// The platform's store did not answer in time.
    Platform,
    /// No majority of the voters answered in time.
    NoQuorum,
    /// Too many requests are open on this node.
    TooManyRequests,
    /// The platform's document is older than an accepted revision. It was restored from an old copy;
    /// an operator of the platform must repair it.
    PlatformBehind,
    /// The platform's document does not have the format of this version of the program.
    UnreadableDocument,
}

/// The outcome of an operator's change or read.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorAnswer {
    /// The change is permanently accepted.
    Accepted {
        /// Revision of the change, which is also the new version of the object.
        revision: Revision,
    },
    /// The change is rejected and has no effect.
    Rejected(ChangeError),
    /// The request has no effect and may be retried later.
    Refused(Unavailable),
    /// It is unknown whether the change took effect or will take effect. Retrying it with the same
    /// operation identifier is safe.
    Unknown,
    /// The configuration that was the newest at some time after the request arrived.
    Newest(Arc<ConfigurationSet>),
}
