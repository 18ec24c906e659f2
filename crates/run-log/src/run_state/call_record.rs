//! One call of a run, as the log tells it.

use ridgeworks_domain::safeguard::{Safeguard, is_disabled};
use ridgeworks_domain::{BackendAddress, BackendName, CallEnd, CallRequest, Cost, Sequence};

use super::NextStep;
use crate::entry::{LogIndex, request_digest};
use crate::event::HistoryTurn;

/// An attempt that may be running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveAttempt {
    /// The call.
    pub call: Sequence,
    /// Number of the attempt.
    pub attempt: u32,
    /// Where it was sent.
    pub backend: BackendName,
    /// The back end's address.
    pub address: BackendAddress,
}

/// One call as the log tells it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallRecord {
    /// The whole request.
    pub request: CallRequest,
    /// Most attempts.
    pub max_attempts: u32,
    /// Attempts dispatched so far.
    pub attempts: u32,
    /// The attempt that may be running.
    pub live: Option<LiveAttempt>,
    /// Index of the entry that ended it, and how.
    pub end: Option<(LogIndex, CallEnd)>,
    pub(super) digest: u64,
    /// Whether its reserve is set aside in the budget.
    pub(super) holds_reserve: bool,
    /// Whether an attempt of it may have run.
    pub(super) any_unknown: bool,
}

impl CallRecord {
    pub(super) fn is_repeatable(&self) -> bool {
        self.request.repeatable || is_disabled(Safeguard::SingleAttempt)
    }

    pub(super) fn attempt_allowed(&self) -> bool {
        let most = if self.is_repeatable() {
            self.max_attempts
        } else {
            1
        };
        self.attempts < most.max(1)
    }

    pub(super) fn cost_if_unknown(&self) -> Cost {
        if self.live.is_some() {
            self.request.reserve
        } else {
            Cost::ZERO
        }
    }

    pub(super) fn is_same_request(&self, request: &CallRequest) -> bool {
        self.request.sequence == request.sequence
            && self.request.service == request.service
            && self.digest == request_digest(&request.body)
    }

    pub(super) fn turn(&self, through: LogIndex) -> Option<HistoryTurn> {
        let (index, end) = self.end.as_ref()?;
        let CallEnd::Finished { answer, .. } = end else {
            return None;
        };
        (*index <= through).then(|| HistoryTurn {
            sequence: self.request.sequence,
            key: self.request.key.clone(),
            request: self.request.body.clone(),
            answer: answer.clone(),
        })
    }

    /// How it ends where no further attempt can be had.
    pub(super) fn last_step(&self) -> NextStep {
        if self.any_unknown {
            NextStep::EndUnknown
        } else {
            NextStep::EndNotRun
        }
    }
}
