//! Requests of gateways that wait for a run's owner.

use ridgeworks_domain::{CallEnd, CallKey, Cost, ProgramName, Refusal, RefusalReason};
use ridgeworks_run_log::entry::LogIndex;
use ridgeworks_run_log::event::CallerAnswer;
use ridgeworks_run_log::run_state::{CallRecord, RunState};

use super::refusals::not_owner;
use crate::RETRY_DELAY;
use crate::message::{OwnerAnswer, RecordedCall, RecordedOutcome, RequestId, RunHistory};

/// What a waiting request wants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Wanted {
    /// The run to be open.
    Opened,
    /// The answer to a call.
    Answer {
        /// The caller's key.
        key: CallKey,
        /// Whether text is passed on as it comes.
        stream: bool,
    },
    /// The run's history.
    History,
    /// Part of the budget for a child run.
    Child {
        /// The part.
        budget: Cost,
        /// The child's program.
        program: ProgramName,
    },
    /// The run to be closed.
    Closed,
}

/// One waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiter {
    /// The request.
    pub request: RequestId,
    /// What it wants.
    pub wanted: Wanted,
}

/// The owner's answer in the words of the gateway.
pub fn owner_answer(
    waiter: &Waiter,
    answer: CallerAnswer,
    state: &RunState,
    committed: LogIndex,
) -> OwnerAnswer {
    match answer {
        CallerAnswer::Ended(CallEnd::Finished { answer, spent }) => {
            OwnerAnswer::Answered { answer, spent }
        }
        CallerAnswer::Ended(CallEnd::NotRun) => OwnerAnswer::Refused(Refusal::retry_after(
            RefusalReason::BackendRefused,
            RETRY_DELAY,
        )),
        CallerAnswer::Ended(CallEnd::Unknown) => {
            OwnerAnswer::Refused(Refusal::permanent(RefusalReason::Unknown))
        }
        CallerAnswer::Refused(refusal) => OwnerAnswer::Refused(refusal),
        CallerAnswer::OwnerChanged => OwnerAnswer::Refused(not_owner()),
        CallerAnswer::History(_) => match run_history(state, committed) {
            Some(history) => OwnerAnswer::History(history),
            None => OwnerAnswer::Refused(Refusal::permanent(RefusalReason::UnknownRun)),
        },
        CallerAnswer::ChildOpened => match waiter.wanted {
            Wanted::Child { budget, .. } => OwnerAnswer::Carved { budget },
            _ => OwnerAnswer::Refused(Refusal::permanent(RefusalReason::Unknown)),
        },
        CallerAnswer::Closed { spent } => OwnerAnswer::Closed { spent },
    }
}

/// The run's calls as far as they are committed.
fn run_history(state: &RunState, committed: LogIndex) -> Option<RunHistory> {
    let opening = state.opening()?;
    Some(RunHistory {
        program: opening.program.clone(),
        budget: opening.budget,
        spent: state.budget().spent(),
        closed: state.is_closed(),
        calls: state
            .calls()
            .map(|record| recorded_call(record, committed))
            .collect(),
    })
}

fn recorded_call(record: &CallRecord, committed: LogIndex) -> RecordedCall {
    let end = record.end.as_ref().filter(|(index, _)| *index <= committed);
    let (outcome, spent, answer) = match end {
        Some((_, CallEnd::Finished { answer, spent })) => {
            (RecordedOutcome::Finished, *spent, Some(answer.clone()))
        }
        Some((_, CallEnd::NotRun)) => (RecordedOutcome::NotRun, Cost::ZERO, None),
        Some((_, CallEnd::Unknown)) => (RecordedOutcome::Unknown, record.request.reserve, None),
        None if record.attempts > 0 => (RecordedOutcome::Dispatched, Cost::ZERO, None),
        None => (RecordedOutcome::Accepted, Cost::ZERO, None),
    };
    RecordedCall {
        sequence: record.request.sequence,
        key: record.request.key.clone(),
        service: record.request.service.clone(),
        outcome,
        spent,
        request: record.request.body.clone(),
        answer,
    }
}
