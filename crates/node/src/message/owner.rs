//! What gateways ask of the owner of a run, and what it answers.
#![allow(
    missing_docs,
    reason = "the resolvers that rkyv derives carry undocumented fields"
)]

use ridgeworks_domain::{CallRequest, Cost, NodeId, PartnerName, ProgramName, Refusal, RunId};
use ridgeworks_run_log::entry::ReplicaId;
use rkyv::{Archive, Deserialize, Serialize};

use super::history::RunHistory;

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
