//! Messages between nodes, and their encoding.
#![allow(
    missing_docs,
    reason = "the resolvers that rkyv derives carry undocumented fields"
)]

mod history;
mod owner;

use std::fmt;

use ridgeworks_configuration::ConfigurationMessage;
use ridgeworks_domain::{NodeId, RunId, ServiceName};
use ridgeworks_membership::MembershipMessage;
use ridgeworks_run_log::message::Message as RunLogMessage;
use rkyv::with::AsBox;
use rkyv::{Archive, Deserialize, Serialize};

pub use self::history::{RecordedCall, RecordedOutcome, RunHistory};
pub use self::owner::{OwnerAnswer, OwnerCommand};
use crate::archive;
use crate::dispatcher::{DispatcherAnswer, DispatcherCommand};

/// One request that a gateway has open, unique over the life of the gateway's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub struct RequestId {
    /// The gateway's node.
    pub gateway: NodeId,
    /// Drawn at random at the start of the process, then counted up.
    pub number: u64,
}

/// A message from one node to another.
///
/// An archived enum is as long as its longest variant, so everything longer than a membership message,
/// by far the most frequent one, stands in a box of its own.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum NodeMessage {
    /// From a gateway to an owner.
    ToOwner {
        /// The request.
        request: RequestId,
        /// What is asked.
        #[rkyv(with = AsBox)]
        command: OwnerCommand,
    },
    /// From an owner to a gateway.
    ToGateway {
        /// The request.
        request: RequestId,
        /// The answer.
        #[rkyv(with = AsBox)]
        answer: OwnerAnswer,
    },
    /// From a node that is about to take a run over, to one that may own it.
    OwnershipQuery {
        /// The run.
        run: RunId,
    },
    /// The answer to it. A node that owns the run and is not busy with it has given it up.
    OwnershipAnswer {
        /// The run.
        run: RunId,
        /// Whether calls of it are in progress there.
        busy: bool,
    },
    /// Tells a node to stop as planned.
    Drain,
    /// Between an owner and a replica.
    RunLog(#[rkyv(with = AsBox)] RunLogMessage),
    /// From a replica to the node that is to own runs which lack something only an owner can do.
    AdoptRuns {
        /// The runs.
        runs: Vec<RunId>,
        /// Whether a node that owned them before passed it on.
        forwarded: bool,
    },
    /// From a dispatcher to a replica: which of these runs have ended?
    EndedRunsQuery {
        /// The service whose engines hold their contexts.
        service: ServiceName,
        /// The runs.
        runs: Vec<RunId>,
    },
    /// The answer to it.
    EndedRunsAnswer {
        /// The service.
        service: ServiceName,
        /// Runs whose end is committed.
        ended: Vec<RunId>,
        /// Runs of which the replica holds nothing.
        unknown: Vec<RunId>,
    },
    /// From an owner to the dispatcher of a service.
    ToDispatcher(#[rkyv(with = AsBox)] DispatcherCommand),
    /// From a dispatcher to an owner.
    ToOwnerOfTicket(#[rkyv(with = AsBox)] DispatcherAnswer),
    /// Between members.
    Membership(MembershipMessage),
    /// Between the configuration roles.
    Configuration(#[rkyv(with = AsBox)] ConfigurationMessage),
}

/// Why a message could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MalformedMessage;

impl fmt::Display for MalformedMessage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "message from another node is malformed")
    }
}

impl std::error::Error for MalformedMessage {}

impl NodeMessage {
    /// Bytes for the link.
    pub fn encode(&self) -> Vec<u8> {
        archive::encode(self)
    }

    /// Reads what [`NodeMessage::encode`] wrote.
    pub fn decode(bytes: &[u8]) -> Result<Self, MalformedMessage> {
        archive::decode(bytes).ok_or(MalformedMessage)
    }
}
