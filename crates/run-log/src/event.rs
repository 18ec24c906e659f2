//! What the owner of a run is told, and what it asks for.

use ridgeworks_domain::{
    BackendAddress, BackendName, Ballot, CallEnd, CallKey, CallRequest, Cost, NodeId, Refusal,
    RunId, Sequence,
};

use crate::entry::{LogIndex, Opening, ReplicaId};
use crate::message::{Reply, Request};
use crate::run_state::InvalidEntry;

/// Number by which the node knows one waiting request; chosen by the node, unique within one owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u64);

/// How an attempt ended, as the dispatcher that sent it saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The whole answer came.
    Finished {
        /// The answer.
        answer: Vec<u8>,
        /// What the back end counted.
        spent: Cost,
    },
    /// Nothing was sent and nothing will be, or the back end refused this attempt for good before running it.
    NotRun,
    /// Anything else: broken connection, time-out, half an answer. The owner fences the attempt.
    Lost,
}

/// What a back end said when it was asked to fence an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptResolution {
    /// It ran; here is the answer.
    Finished {
        /// The answer.
        answer: Vec<u8>,
        /// What the back end counted.
        spent: Cost,
    },
    /// It had not come and is now refused for ever.
    NeverStarted,
    /// It was running and was stopped; it can have no further effect. What it cost isn't known.
    Cancelled,
    /// The same, and the back end says what it cost.
    Stopped {
        /// What it cost until then.
        spent: Cost,
    },
    /// The back end is gone. To be reported only when it can start nothing any more (machine listed as
    /// gone, or its fencing token superseded); until then the node asks it again.
    Unreachable,
}

/// A finished call, as a reader of the history gets it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HistoryTurn {
    /// Position in the run.
    pub sequence: Sequence,
    /// The caller's key.
    pub key: CallKey,
    /// Request body.
    pub request: Vec<u8>,
    /// The back end's whole answer.
    pub answer: Vec<u8>,
}

/// What the node tells the owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnerEvent {
    /// A replica answered.
    Reply {
        /// Which node.
        from: NodeId,
        /// What it said.
        reply: Reply,
    },
    /// A caller sent a call; repeats of a call may come with other callers.
    Call {
        /// Who waits.
        caller: CallerId,
        /// The call.
        request: CallRequest,
        /// Most attempts, if it is repeatable.
        max_attempts: u32,
    },
    /// A caller no longer waits. The call goes on.
    CallerLeft {
        /// Who.
        caller: CallerId,
    },
    /// The dispatcher granted a slot.
    Granted {
        /// The call.
        call: Sequence,
        /// The attempt that was asked for.
        attempt: u32,
        /// The back end.
        backend: BackendName,
        /// Its address.
        address: BackendAddress,
    },
    /// The dispatcher gives no slot.
    GrantRefused {
        /// The call.
        call: Sequence,
        /// The attempt that was asked for.
        attempt: u32,
        /// Why.
        refusal: Refusal,
    },
    /// An attempt that was started ended.
    AttemptFinished {
        /// The call.
        call: Sequence,
        /// The attempt.
        attempt: u32,
        /// How.
        outcome: AttemptOutcome,
    },
    /// A back end answered a fence.
    Fenced {
        /// The call.
        call: Sequence,
        /// The attempt.
        attempt: u32,
        /// Its fate.
        resolution: AttemptResolution,
    },
    /// A caller wants the history.
    ReadHistory {
        /// Who waits.
        caller: CallerId,
    },
    /// A child run wants part of the budget.
    OpenChild {
        /// Who waits.
        caller: CallerId,
        /// The child.
        run: RunId,
        /// Its budget.
        budget: Cost,
    },
    /// A child run is closed.
    ChildClosed {
        /// The child.
        run: RunId,
        /// What it spent.
        spent: Cost,
    },
    /// A caller ends the run. The call in progress is waited for.
    Close {
        /// Who waits.
        caller: CallerId,
    },
    /// Another node shall replace a replica for good.
    ReplaceReplica {
        /// The one that goes.
        old: ReplicaId,
        /// The one that comes.
        new: ReplicaId,
    },
    /// Ask all replicas whether they are still those that the log names. One with another store is replaced.
    CheckReplicas,
    /// Time passed.
    Tick,
}

/// What a waiting request is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerAnswer {
    /// The call ended, durably.
    Ended(CallEnd),
    /// The request was refused. Nothing was or will be run on its behalf.
    Refused(Refusal),
    /// This node no longer owns the run. The same request is to be sent to the next owner, under the same
    /// key; whether it ran is not known here.
    OwnerChanged,
    /// The finished calls in order.
    History(Vec<HistoryTurn>),
    /// The budget of the child is set aside; the child may be opened.
    ChildOpened,
    /// The run is closed.
    Closed {
        /// What it spent.
        spent: Cost,
    },
}

/// What the owner asks of the node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnerEffect {
    /// Send to a replica.
    SendToReplica {
        /// Which node.
        to: NodeId,
        /// What.
        request: Request,
    },
    /// The run can take calls. Emitted once, after the opening or takeover is committed and every doubtful
    /// attempt is resolved.
    Ready {
        /// What the run was opened with.
        opening: Opening,
        /// What it has spent.
        spent: Cost,
    },
    /// Ask the dispatcher for a slot.
    RequestGrant {
        /// The call.
        call: Sequence,
        /// Number of the attempt.
        attempt: u32,
        /// The whole request.
        request: CallRequest,
    },
    /// Send the attempt to the back end. `Dispatched` is committed.
    StartAttempt {
        /// The call.
        call: Sequence,
        /// Number of the attempt.
        attempt: u32,
        /// The back end.
        backend: BackendName,
        /// Its address.
        address: BackendAddress,
        /// The whole request.
        request: CallRequest,
    },
    /// Ask the back end for the fate of an attempt, so that it refuses it from now on. Idempotent.
    FenceAttempt {
        /// The call.
        call: Sequence,
        /// Number of the attempt.
        attempt: u32,
        /// The back end.
        backend: BackendName,
        /// Its address.
        address: BackendAddress,
        /// The caller's key, by which back ends know the call.
        key: CallKey,
    },
    /// Give back a slot that came too late to be used.
    ReturnGrant {
        /// The call.
        call: Sequence,
        /// Number of the attempt.
        attempt: u32,
        /// The back end.
        backend: BackendName,
    },
    /// Tell a waiting request.
    AnswerCaller {
        /// Who.
        caller: CallerId,
        /// What.
        answer: CallerAnswer,
    },
    /// The run is closed: engines may drop its cached context.
    ReleaseContext {
        /// The run.
        run: RunId,
    },
    /// Another node owns the run; this owner does nothing any more.
    SteppedDown {
        /// Its claim, as far as known.
        higher: Ballot,
    },
    /// The log holds an entry that it can't hold at its place: a fault of this software. The owner does nothing any more.
    InvalidLog {
        /// Where.
        index: LogIndex,
        /// What is wrong with it.
        error: InvalidEntry,
    },
    /// No replica that can vote holds the run; it does not exist or was forgotten.
    RunUnknown,
}
