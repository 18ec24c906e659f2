//! Messages between nodes, and their encoding.
#![allow(missing_docs, reason = "the resolvers that rkyv derives carry undocumented fields")]

use std::fmt;

use ridgeworks_domain::{CallRequest, Cost, NodeId, PartnerName, ProgramName, Refusal, RunId};
use rkyv::rancor;
use rkyv::util::AlignedVec;
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
        /// Budget asked for, at most the program's; part of the parent's budget where there is one.
        budget: Option<Cost>,
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
            | Self::Call { run, .. }
            | Self::CloseRun { run, .. }
            | Self::ReadHistory { run, .. } => *run,
        }
    }
}

/// One ended call as the history shows it.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct HistoryCall {
    /// The call as it was made.
    pub request: CallRequest,
    /// Its answer, when it has one.
    pub answer: Option<Vec<u8>>,
    /// What it cost.
    pub spent: Cost,
}

/// What an owner answers.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum OwnerAnswer {
    /// The run is open.
    Opened {
        /// Its budget.
        budget: Cost,
    },
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
    /// The run's ended calls in order.
    History {
        /// The calls.
        calls: Vec<HistoryCall>,
        /// Whether the run is closed.
        closed: bool,
    },
    /// The request was given up.
    Refused(Refusal),
    /// Another node owns the run; the gateway asks there.
    AskOther {
        /// That node.
        owner: NodeId,
    },
}

/// A message from one node to another.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum NodeMessage {
    /// From a gateway to an owner.
    ToOwner {
        /// The request.
        request: RequestId,
        /// What is asked.
        command: OwnerCommand,
    },
    /// From an owner to a gateway.
    ToGateway {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: OwnerAnswer,
    },
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
