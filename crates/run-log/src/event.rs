//! Events that a run's owner handles, and the effects that it requests.

use ridgeworks_domain::{
    BackendAddress, BackendName, Ballot, CallEnd, CallKey, CallRequest, Cost, NodeId, Refusal,
    RunId, Sequence,
};

use crate::entry::{LogIndex, Opening, ReplicaId};
use crate::message::{Reply, Request};
use crate::run_state::InvalidEntry;

/// Identifies a waiting request. Assigned by the node and unique within one owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u64);

/// Result of an attempt, as observed by the sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The complete answer was received.
    Finished {
        /// The back end's complete answer.
        answer: Vec<u8>,
        /// Cost reported by the back end.
        spent: Cost,
    },
    /// The attempt was not sent and never will be, or the back end permanently refused it before executing it.
    NotRun,
    /// Any other failure: broken connection, timeout, incomplete answer. The owner fences the attempt.
    Lost,
}

/// Result of fencing an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptResolution {
    /// The attempt was executed to its end.
    Finished {
        /// The back end's complete answer.
        answer: Vec<u8>,
        /// Cost reported by the back end.
        spent: Cost,
    },
    /// The back end had not received the attempt and refuses it permanently from now on.
    NeverStarted,
    /// The attempt was stopped while running and has no further effect. Its cost is unknown. Not to be confused with
    /// [`AttemptEnd::Cancelled`](crate::entry::AttemptEnd::Cancelled), whose cost is known.
    Cancelled,
    /// The attempt was stopped while running and has no further effect. Its cost is known.
    Stopped {
        /// Cost reported by the back end until it stopped the attempt.
        spent: Cost,
    },
    /// The back end is permanently unavailable: its machine is listed as gone, or its fencing token is superseded, so it
    /// can't start the attempt any more. Until one of these is known, the node repeats the fencing request.
    Unreachable,
}

/// A finished call in the history of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HistoryTurn {
    /// Position of the call in the run.
    pub sequence: Sequence,
    /// Key chosen by the caller.
    pub key: CallKey,
    /// Body of the request.
    pub request: Vec<u8>,
    /// The back end's complete answer.
    pub answer: Vec<u8>,
}

/// An input of the owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnerEvent {
    /// A replica replied.
    Reply {
        /// Node of the replica.
        from: NodeId,
        /// The replica's message.
        reply: Reply,
    },
    /// A caller sent a call. A repeated call may come from a different caller.
    Call {
        /// Receives the answer.
        caller: CallerId,
        /// The call as sent by the caller.
        request: CallRequest,
        /// Applies to repeatable calls only.
        max_attempts: u32,
    },
    /// A caller no longer waits for its answer. Its call continues.
    CallerLeft {
        /// The caller to drop.
        caller: CallerId,
    },
    /// The dispatcher granted a slot.
    Granted {
        /// The call that requested the slot.
        call: Sequence,
        /// The attempt that requested the slot.
        attempt: u32,
        /// Back end that holds the slot.
        backend: BackendName,
        /// Address of the back end.
        address: BackendAddress,
    },
    /// The dispatcher refused to grant a slot.
    GrantRefused {
        /// The call that requested the slot.
        call: Sequence,
        /// The attempt that requested the slot.
        attempt: u32,
        /// Passed on to the caller if nothing of the call is in the log.
        refusal: Refusal,
    },
    /// The sender of an attempt reports the outcome.
    AttemptFinished {
        /// The call of the attempt.
        call: Sequence,
        /// Number of the attempt.
        attempt: u32,
        /// Result observed by the sender.
        outcome: AttemptOutcome,
    },
    /// A back end fenced an attempt.
    Fenced {
        /// The call of the attempt.
        call: Sequence,
        /// Number of the attempt.
        attempt: u32,
        /// Final state of the attempt.
        resolution: AttemptResolution,
    },
    /// A caller reads the history.
    ReadHistory {
        /// Receives the history.
        caller: CallerId,
    },
    /// A child run requests part of the budget.
    OpenChild {
        /// Receives the answer.
        caller: CallerId,
        /// The child run.
        run: RunId,
        /// Amount to reserve for the child run.
        budget: Cost,
    },
    /// A child run was closed.
    ChildClosed {
        /// The child run.
        run: RunId,
        /// Total cost of the child run.
        spent: Cost,
    },
    /// A caller closes the run, once the call in progress has ended.
    Close {
        /// Receives the answer.
        caller: CallerId,
    },
    /// Replace a replica permanently by one on another node.
    ReplaceReplica {
        /// The replica to remove.
        old: ReplicaId,
        /// The replica to add.
        new: ReplicaId,
    },
    /// Check that all replicas are still those named in the log. A replica with another store is replaced.
    CheckReplicas,
    /// Time has advanced; requests without an answer may be due for a retry.
    Tick,
}

/// Answer to a waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerAnswer {
    /// The end of the call is committed.
    Ended(CallEnd),
    /// The request was refused. Nothing was or will be executed on its behalf.
    Refused(Refusal),
    /// This node no longer owns the run and doesn't know whether the request was executed. Send the same
    /// request to the next owner, under the same key.
    OwnerChanged,
    /// The finished calls in order.
    History(Vec<HistoryTurn>),
    /// The child's budget is reserved; the child may be opened.
    ChildOpened,
    /// The run is closed.
    Closed {
        /// Total cost of the run.
        spent: Cost,
    },
}

/// An action that the owner requests from the node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnerEffect {
    /// Send a request to a replica.
    SendToReplica {
        /// Node of the replica.
        to: NodeId,
        /// The message to send.
        request: Request,
    },
    /// The run accepts calls. Emitted once, after the opening or takeover is committed and every
    /// attempt in doubt is resolved.
    Ready {
        /// Parameters of the run.
        opening: Opening,
        /// Cost of the run so far.
        spent: Cost,
    },
    /// Request a slot from the dispatcher.
    RequestGrant {
        /// The call that needs the slot.
        call: Sequence,
        /// Number of the attempt.
        attempt: u32,
        /// The complete request of the call.
        request: CallRequest,
    },
    /// Send the attempt to the back end. Emitted after its `Dispatched` entry is committed.
    StartAttempt {
        /// The call of the attempt.
        call: Sequence,
        /// Number of the attempt.
        attempt: u32,
        /// Back end to send it to.
        backend: BackendName,
        /// Address of the back end.
        address: BackendAddress,
        /// The complete request of the call.
        request: CallRequest,
    },
    /// Ask the back end for the state of an attempt and to refuse the attempt from now on. Idempotent.
    FenceAttempt {
        /// The call of the attempt.
        call: Sequence,
        /// Number of the attempt.
        attempt: u32,
        /// Back end that the attempt was dispatched to.
        backend: BackendName,
        /// Address of the back end.
        address: BackendAddress,
        /// Key chosen by the caller, which identifies the call to back ends.
        key: CallKey,
    },
    /// Return a slot that is no longer needed.
    ReturnGrant {
        /// The call that the slot was granted to.
        call: Sequence,
        /// Number of the attempt.
        attempt: u32,
        /// Back end that holds the slot.
        backend: BackendName,
    },
    /// Answer a waiting request.
    AnswerCaller {
        /// The waiting request.
        caller: CallerId,
        /// The answer to pass on.
        answer: CallerAnswer,
    },
    /// The run is closed: engines may drop its cached context.
    ReleaseContext {
        /// The closed run.
        run: RunId,
    },
    /// Another node owns the run; this owner has stopped.
    SteppedDown {
        /// The highest ballot known.
        higher: Ballot,
    },
    /// The log holds an entry that is invalid at its position, which only a bug can cause. The owner has stopped.
    InvalidLog {
        /// Position of the invalid entry.
        index: LogIndex,
        /// The rule that the entry breaks.
        error: InvalidEntry,
    },
    /// No replica that can vote holds the run: it doesn't exist or was deleted. The owner has stopped.
    RunUnknown,
}
