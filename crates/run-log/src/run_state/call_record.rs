//! State of one call of a run.

use ridgeworks_domain::safeguard::{Safeguard, is_disabled};
use ridgeworks_domain::{BackendAddress, BackendName, CallEnd, CallRequest, Cost, Sequence};

use super::NextStep;
use crate::entry::{LogIndex, request_digest};
use crate::event::HistoryTurn;

/// A dispatched attempt without a known end; it may be running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveAttempt {
    /// The call of the attempt.
    pub call: Sequence,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Back end that the attempt was dispatched to.
    pub backend: BackendName,
    /// Address of the back end.
    pub address: BackendAddress,
}

/// State of a call, built from the entries of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallRecord {
    /// The complete request.
    pub request: CallRequest,
    /// Applies to repeatable calls only.
    pub max_attempts: u32,
    /// Number of attempts dispatched so far.
    pub attempts: u32,
    /// The attempt that may be running.
    pub live: Option<LiveAttempt>,
    /// End of the call and index of the entry that ended it; `None` while the call is in progress.
    pub end: Option<(LogIndex, CallEnd)>,
    pub(super) digest: u64,
    /// Whether the call's reserve is held in the budget.
    pub(super) holds_reserve: bool,
    /// Whether an ended attempt may have been executed.
    pub(super) may_have_run: bool,
}

impl CallRecord {
    pub(super) fn is_repeatable(&self) -> bool {
        self.request.repeatable || is_disabled(Safeguard::SingleAttempt)
    }

    pub(super) fn attempt_allowed(&self) -> bool {
        let limit = if self.is_repeatable() {
            self.max_attempts
        } else {
            1
        };
        self.attempts < limit.max(1)
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

    pub(super) fn history_turn(&self, through: LogIndex) -> Option<HistoryTurn> {
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

    /// Step that ends the call without a further attempt.
    pub(super) fn final_step(&self) -> NextStep {
        if self.may_have_run {
            NextStep::EndUnknown
        } else {
            NextStep::EndNotRun
        }
    }
}
