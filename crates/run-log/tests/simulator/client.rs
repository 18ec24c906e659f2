//! A client that opens a run, makes calls in order, reads the history and closes the run.

use std::collections::BTreeMap;

use ridgeworks_domain::{
    CallEnd, CallKey, CallRequest, Cost, RefusalReason, RunId, Sequence, ServiceName,
};
use ridgeworks_run_log::CallerAnswer;

/// A client's request to a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientRequest {
    Open,
    /// Reserves the budget of a child run.
    OpenChild(RunId, Cost),
    Call(CallRequest),
    Read,
    Close,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// A child run whose budget is not reserved yet.
    Waiting,
    Opening,
    OpeningChild,
    Calling(u64),
    Reading {
        then: u64,
    },
    FinalRead,
    Closing,
    Done,
}

#[derive(Debug, Clone)]
pub struct Sent {
    pub client_request: ClientRequest,
    pub at: u64,
}

pub struct Client {
    pub run: RunId,
    pub budget: Cost,
    /// The child run, if any, and its part of this run's budget.
    pub child: Option<(RunId, Cost)>,
    pub calls: Vec<CallRequest>,
    pub stage: Stage,
    pub node: usize,
    /// Number of the request that the client waits for.
    pub current_request: u64,
    pub sent: BTreeMap<u64, Sent>,
    pub acknowledged: BTreeMap<Sequence, Vec<u8>>,
    pub next_number: u64,
}

/// Action of a client after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientAction {
    /// Sends the next request.
    Continue,
    /// Repeats the request at another node.
    TryOtherNode,
    /// Keeps waiting.
    Nothing,
}

pub fn request(run: RunId, number: u64, repeatable: bool, reserve: u64) -> CallRequest {
    CallRequest {
        key: CallKey::new(format!("call-{number}")).unwrap(),
        sequence: Sequence(number),
        service: ServiceName::new("service").unwrap(),
        repeatable,
        reserve: Cost(reserve),
        deadline_ms: None,
        stream: false,
        body: format!("body {run} {number}").into_bytes(),
    }
}

impl Client {
    pub fn client_request(&self) -> Option<ClientRequest> {
        match self.stage {
            Stage::Waiting | Stage::Done => None,
            Stage::Opening => Some(ClientRequest::Open),
            Stage::OpeningChild => self
                .child
                .map(|(run, budget)| ClientRequest::OpenChild(run, budget)),
            Stage::Calling(number) => {
                Some(ClientRequest::Call(self.calls[number as usize - 1].clone()))
            }
            Stage::Reading { .. } | Stage::FinalRead => Some(ClientRequest::Read),
            Stage::Closing => Some(ClientRequest::Close),
        }
    }

    /// The stage that follows `Opening`.
    pub fn stage_after_opening(&self) -> Stage {
        match self.child {
            Some(_) => Stage::OpeningChild,
            None => Stage::Calling(1),
        }
    }

    pub fn requests_of(&self, call: Sequence) -> usize {
        let of_call = |sent: &&Sent| matches!(&sent.client_request, ClientRequest::Call(request) if request.sequence == call);
        self.sent.values().filter(of_call).count()
    }

    /// Handles the answer to the current request.
    pub fn take(&mut self, answer: &CallerAnswer, reads: bool) -> ClientAction {
        self.stage = match (self.stage, answer) {
            (_, CallerAnswer::OwnerChanged) => return ClientAction::TryOtherNode,
            (_, CallerAnswer::Refused(refusal)) => match refusal.reason {
                RefusalReason::UnknownRun => Stage::Done,
                RefusalReason::NoBackend => return ClientAction::TryOtherNode,
                _ if matches!(self.stage, Stage::Calling(_)) => Stage::FinalRead,
                _ => return ClientAction::TryOtherNode,
            },
            (Stage::OpeningChild, CallerAnswer::ChildOpened) => Stage::Calling(1),
            (Stage::Calling(number), CallerAnswer::Ended(end)) => {
                if let CallEnd::Finished { answer, .. } = end {
                    self.acknowledged.insert(Sequence(number), answer.clone());
                }
                let then = number + 1;
                match (reads, then as usize > self.calls.len()) {
                    (_, true) => Stage::FinalRead,
                    (true, false) => Stage::Reading { then },
                    (false, false) => Stage::Calling(then),
                }
            }
            (Stage::Reading { then }, CallerAnswer::History(_)) => Stage::Calling(then),
            (Stage::FinalRead, CallerAnswer::History(_)) => Stage::Closing,
            (Stage::Closing, CallerAnswer::Closed { .. }) => Stage::Done,
            _ => return ClientAction::Nothing,
        };
        ClientAction::Continue
    }
}
