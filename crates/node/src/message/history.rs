//! The history of a run as its owner reports it.
#![allow(
    missing_docs,
    reason = "the resolvers that rkyv derives carry undocumented fields"
)]

use ridgeworks_api::caller::CallOutcome;
use ridgeworks_domain::{CallKey, Cost, ProgramName, Sequence, ServiceName};
use rkyv::{Archive, Deserialize, Serialize};

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
