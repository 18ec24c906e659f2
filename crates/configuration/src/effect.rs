//! Events that the configuration role takes and effects that it asks for.

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

/// The host's name of one operator request, returned with its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Something that happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// A message arrived.
    Message {
        /// The authenticated sender.
        from: NodeId,
        /// The message.
        message: ConfigurationMessage,
    },
    /// The platform answered an operation.
    PlatformAnswer {
        /// Number of the operation.
        request: RequestId,
        /// The answer.
        answer: PlatformAnswer,
    },
    /// The platform's watch reported something.
    PlatformWatch(WatchEvent),
    /// Time passed; see [`crate::settings::TICK_INTERVAL`].
    Tick,
    /// An operator asks for a change.
    Change {
        /// The host's name of the request.
        ticket: Ticket,
        /// The change.
        request: ChangeRequest,
    },
    /// An operator asks for the newest configuration.
    Read {
        /// The host's name of the request.
        ticket: Ticket,
    },
    /// The write of this number, and all before it, are durable.
    Flushed {
        /// Number of the write.
        write: u64,
    },
    /// The live members of the system, from which relays are chosen.
    Members(Vec<Member>),
}

/// Something for the host to do.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Send a message.
    Send {
        /// The receiver; never this node itself.
        to: NodeId,
        /// The message.
        message: ConfigurationMessage,
    },
    /// Ask the platform's store.
    Platform {
        /// Number of the operation, to be returned with the answer.
        request: RequestId,
        /// The operation.
        operation: PlatformOperation,
    },
    /// Make this durable in place of earlier writes, then give back [`Event::Flushed`].
    Write {
        /// Number of the write.
        write: u64,
        /// The state.
        state: StoredVoter,
    },
    /// Answer an operator.
    Answer {
        /// The host's name of the request.
        ticket: Ticket,
        /// The answer.
        answer: OperatorAnswer,
    },
    /// A newer configuration is in force.
    InForce(Arc<ConfigurationSet>),
    /// A newer list of machines is known.
    Machines(Arc<MachineList>),
    /// The node became ready for work, or ceased to be.
    Ready(bool),
}

/// An operation on the platform's store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformOperation {
    /// Read the configuration document at [`DOCUMENT_KEY`].
    Read,
    /// Write the document where it stands at the expected version.
    CompareAndSwap {
        /// The version it must stand at, zero where there is none.
        expected: PlatformVersion,
        /// The whole configuration as JSON.
        document: Vec<u8>,
        /// Operations of the document that are new in it, for the platform's own log.
        operations: Vec<OperationId>,
    },
    /// Start or restart the watch of the document and of the machines. It is answered only where it
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
        /// Its version, zero where there is none.
        version: PlatformVersion,
        /// Its content, empty where there is none.
        document: Vec<u8>,
    },
    /// The compare-and-swap took effect.
    Swapped {
        /// The document's new version.
        version: PlatformVersion,
    },
    /// The document stands at another version; nothing was written.
    VersionMismatch,
    /// The list of machines.
    Machines {
        /// Version of the list.
        version: u64,
        /// The machines.
        machines: Vec<Machine>,
    },
    /// The operation had no effect and will have none: the platform refused it, or no byte of it
    /// was sent.
    Unavailable,
    /// The answer was lost: the operation may have taken effect, or may still.
    Lost,
}

/// What the platform's watch reports.
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
        /// The whole list.
        machines: Vec<Machine>,
    },
    /// Events were missed.
    Gap,
    /// The watch ended.
    Closed,
}

/// Why a request was given up without any effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unavailable {
    /// The platform's store does not answer.
    Platform,
    /// No majority of the voters answers.
    NoQuorum,
    /// Too many requests are open on this node.
    TooManyRequests,
    /// The platform's document is older than a revision that was accepted: it was restored from an
    /// old copy and needs its operator.
    PlatformBehind,
    /// The platform's document is not one of this version of the program.
    UnreadableDocument,
}

/// The answer to an operator.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorAnswer {
    /// The change is accepted for good.
    Accepted {
        /// Its revision, also the new version of the object.
        revision: Revision,
    },
    /// The change is rejected and has no effect.
    Rejected(ChangeError),
    /// The request was given up and has no effect; trying again later helps.
    Refused(Unavailable),
    /// Whether the change took effect, or will, could not be learned. Sending it again under the
    /// same operation id is safe.
    Unknown,
    /// The configuration that was the newest at some time after the request came.
    Newest(Arc<ConfigurationSet>),
}
