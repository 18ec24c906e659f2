//! Messages between nodes, and their encoding.
#![allow(
    missing_docs,
    reason = "the resolvers that rkyv derives carry undocumented fields"
)]

use std::fmt;

use crate::dispatcher::{DispatcherAnswer, DispatcherCommand};
use ridgeworks_api::caller::CallOutcome;
use ridgeworks_configuration::ConfigurationMessage;
use ridgeworks_domain::{
    CallKey, CallRequest, Cost, NodeId, PartnerName, ProgramName, Refusal, RunId, Sequence,
    ServiceName,
};
use ridgeworks_membership::MembershipMessage;
use ridgeworks_run_log::entry::ReplicaId;
use ridgeworks_run_log::message::Message as RunLogMessage;
use rkyv::rancor;
use rkyv::util::AlignedVec;
use rkyv::with::AsBox;
use rkyv::{Archive, Deserialize, Serialize};

/// One request that a gateway has open, unique over the life of the gateway's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub struct RequestId {
    /// The gateway's node.
    pub gateway: NodeId,
    /// Drawn at random at the start of the process, then counted up.
    pub number: u64,
}

/// What a gateway asks of a run's owner. Repeated until it is answered.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum OwnerCommand {
    /// Opens a run.
    OpenRun {
        /// The run, named by the gateway.
        run: RunId,
        /// The partner that asks.
        partner: PartnerName,
        /// The program.
        program: ProgramName,
        /// The run that it is a sub-agent of.
        parent: Option<RunId>,
        /// Its replicas, whose identities were read before the run was named.
        replicas: Vec<ReplicaId>,
        /// Its budget where it was carved from the parent's; the program's otherwise.
        budget: Option<Cost>,
    },
    /// Sets part of a run's budget aside for a child.
    CarveChild {
        /// The parent.
        run: RunId,
        /// The partner that asks.
        partner: PartnerName,
        /// The child, which is opened next.
        child: RunId,
        /// The child's program.
        program: ProgramName,
    },
    /// Gives back what a closed child left of its part of the budget.
    SettleChild {
        /// The parent.
        run: RunId,
        /// The child.
        child: RunId,
        /// What the child spent.
        spent: Cost,
    },
    /// Makes a call of a run.
    Call {
        /// The run.
        run: RunId,
        /// The partner that asks.
        partner: PartnerName,
        /// The call.
        call: CallRequest,
    },
    /// Ends a run.
    CloseRun {
        /// The run.
        run: RunId,
        /// The partner that asks.
        partner: PartnerName,
    },
    /// Reads a run's history.
    ReadHistory {
        /// The run.
        run: RunId,
        /// The partner that asks.
        partner: PartnerName,
    },
}

impl OwnerCommand {
    /// The run that the command is about.
    pub fn run(&self) -> RunId {
        match self {
            Self::OpenRun { run, .. }
            | Self::CarveChild { run, .. }
            | Self::SettleChild { run, .. }
            | Self::Call { run, .. }
            | Self::CloseRun { run, .. }
            | Self::ReadHistory { run, .. } => *run,
        }
    }
}

/// How a call of the history ended, or that it has not ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum RecordedOutcome {
    /// Accepted; no attempt was dispatched.
    Accepted,
    /// An attempt was dispatched and has not ended.
    Dispatched,
    /// The back end answered.
    Finished,
    /// The call did not run.
    NotRun,
    /// The call may have run.
    Unknown,
}

impl From<RecordedOutcome> for CallOutcome {
    fn from(outcome: RecordedOutcome) -> Self {
        match outcome {
            RecordedOutcome::Accepted => Self::Accepted,
            RecordedOutcome::Dispatched => Self::Dispatched,
            RecordedOutcome::Finished => Self::Finished,
            RecordedOutcome::NotRun => Self::NotRun,
            RecordedOutcome::Unknown => Self::Unknown,
        }
    }
}

/// One call as the history shows it.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct RecordedCall {
    /// Position in the run.
    pub sequence: Sequence,
    /// The caller's key.
    pub key: CallKey,
    /// Where it went.
    pub service: ServiceName,
    /// How it ended.
    pub outcome: RecordedOutcome,
    /// What it cost.
    pub spent: Cost,
    /// Request body.
    pub request: Vec<u8>,
    /// The answer, when it has one.
    pub answer: Option<Vec<u8>>,
}

/// A run and its calls.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct RunHistory {
    /// The program that it was opened from.
    pub program: ProgramName,
    /// Its budget.
    pub budget: Cost,
    /// What it spent.
    pub spent: Cost,
    /// Whether it is closed.
    pub closed: bool,
    /// Its calls in order.
    pub calls: Vec<RecordedCall>,
}

/// What an owner answers.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum OwnerAnswer {
    /// The run is open.
    Opened {
        /// The run.
        run: RunId,
        /// Its budget.
        budget: Cost,
    },
    /// The child's part of the budget is set aside.
    Carved {
        /// That part.
        budget: Cost,
    },
    /// The child's part of the budget is settled.
    Settled,
    /// Part of a streamed answer.
    Chunk {
        /// Bytes of answer text before this chunk.
        offset: u64,
        /// Further answer text.
        text: Vec<u8>,
    },
    /// The call was answered.
    Answered {
        /// The whole answer.
        answer: Vec<u8>,
        /// What it cost.
        spent: Cost,
    },
    /// The run is closed.
    Closed {
        /// What it spent.
        spent: Cost,
    },
    /// The run and its calls.
    History(RunHistory),
    /// The request was given up.
    Refused(Refusal),
    /// This node does not own the run and has not begun anything of the request; the gateway asks
    /// the first candidate again.
    NotTaken,
    /// Another node owns the run; the gateway asks there.
    AskOther {
        /// That node.
        owner: NodeId,
    },
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
        rkyv::to_bytes::<rancor::Error>(self)
            .expect("messages hold no type whose serialization can fail")
            .to_vec()
    }

    /// Reads what [`NodeMessage::encode`] wrote.
    pub fn decode(bytes: &[u8]) -> Result<Self, MalformedMessage> {
        let mut aligned = AlignedVec::<16>::with_capacity(bytes.len());
        aligned.extend_from_slice(bytes);
        rkyv::from_bytes::<Self, rancor::Error>(&aligned).map_err(|_| MalformedMessage)
    }
}
