//! Attempts: one sending of a call to a back end.

use std::time::Duration;

use ridgeworks_domain::{BackendAddress, BackendName, CallKey, Cost, RunId, Sequence};
use ridgeworks_scheduling::TokenUsage;

/// Names one attempt towards back ends and within the node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The run.
    pub run: RunId,
    /// Position of the call in the run.
    pub sequence: Sequence,
    /// The caller's key of the call.
    pub key: CallKey,
    /// Number of the attempt, from 1.
    pub attempt: u32,
}

/// What is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BackendCall {
    /// A chat completion; holds the JSON body.
    Chat(Vec<u8>),
    /// A call of a tool or notice service.
    Tool {
        /// Name of the service.
        service: String,
        /// JSON arguments.
        arguments: Vec<u8>,
        /// Price of the call.
        price: Cost,
    },
}

/// Where an attempt was dispatched to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatched {
    /// The back end.
    pub backend: BackendName,
    /// Its address, and which start of it is meant.
    pub address: BackendAddress,
}

/// One attempt to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptOrder {
    /// The attempt.
    pub id: AttemptId,
    /// Where it goes.
    pub to: Dispatched,
    /// What is sent.
    pub call: BackendCall,
    /// Longest time that it may take.
    pub timeout: Duration,
}

/// How an attempt ended, as far as its own connection tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptResult {
    /// The back end answered.
    Answered {
        /// The whole answer: the text of a completion, or the body of a tool's answer.
        answer: Vec<u8>,
        /// What the back end counted.
        spent: Cost,
        /// The same, apart by kind; zero for tools and notices.
        usage: TokenUsage,
    },
    /// The back end refused the attempt before running it, or could not be reached at all.
    NeverStarted,
    /// The connection broke or timed out; the attempt may have run.
    InDoubt,
}

/// How an attempt stands after the back end was told to run it no more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptResolution {
    /// It had ended with this answer.
    Finished {
        /// The whole answer.
        answer: Vec<u8>,
        /// What the back end counted.
        spent: Cost,
    },
    /// It had not started, and will not.
    NeverStarted,
    /// It was running and was stopped.
    Stopped {
        /// What it had cost.
        spent: Cost,
    },
    /// It was running and was cancelled at an unknown cost, or another start of the back end may have run it. It has no
    /// further effect.
    Cancelled,
    /// The back end did not answer.
    Unreachable,
}

/// What a thread of an attempt reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEvent {
    /// Further text of a completion.
    Text {
        /// The attempt.
        id: AttemptId,
        /// The text.
        text: String,
    },
    /// The attempt ended.
    Ended {
        /// The attempt.
        id: AttemptId,
        /// How.
        result: AttemptResult,
    },
    /// The answer to a fence.
    Fenced {
        /// The attempt.
        id: AttemptId,
        /// The back end that was asked.
        backend: BackendName,
        /// How it stands.
        resolution: AttemptResolution,
    },
}
