//! A caller that runs one program: opens a run, makes calls in order, reads, closes.

use std::collections::BTreeMap;

use ridgeworks_domain::{
    CallEnd, CallKey, CallRequest, Cost, RefusalReason, RunId, Sequence, ServiceName,
};
use ridgeworks_run_log::CallerAnswer;

/// What a caller asks of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ask {
    Open,
    /// Asks for a child's budget.
    OpenChild(RunId, Cost),
    Call(CallRequest),
    Read,
    Close,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// A child run whose parent has not set its budget aside yet.
    Waiting,
    Opening,
    OpeningChild,
    Calling(u64),
    Reading {
        then: u64,
    },
    LastRead,
    Closing,
    Done,
}

#[derive(Debug, Clone)]
pub struct Sent {
    pub ask: Ask,
    pub at: u64,
}

pub struct Client {
    pub run: RunId,
    pub budget: Cost,
    /// A run that works on part of this one's budget.
    pub child: Option<(RunId, Cost)>,
    pub calls: Vec<CallRequest>,
    pub stage: Stage,
    pub node: usize,
    /// Number of the request that the client now waits for.
    pub current: u64,
    pub sent: BTreeMap<u64, Sent>,
    pub acknowledged: BTreeMap<Sequence, Vec<u8>>,
    pub next_number: u64,
}

/// What a client does after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Goes on to its next request.
    GoOn,
    /// Sends the same to another node.
    Elsewhere,
    /// Waits on.
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
    pub fn ask(&self) -> Option<Ask> {
        match self.stage {
            Stage::Waiting | Stage::Done => None,
            Stage::Opening => Some(Ask::Open),
            Stage::OpeningChild => self.child.map(|(run, budget)| Ask::OpenChild(run, budget)),
            Stage::Calling(number) => Some(Ask::Call(self.calls[number as usize - 1].clone())),
            Stage::Reading { .. } | Stage::LastRead => Some(Ask::Read),
            Stage::Closing => Some(Ask::Close),
        }
    }

    /// The stage after the opening.
    pub fn first_stage(&self) -> Stage {
        match self.child {
            Some(_) => Stage::OpeningChild,
            None => Stage::Calling(1),
        }
    }

    pub fn requests_of(&self, call: Sequence) -> usize {
        let of_call =
            |sent: &&Sent| matches!(&sent.ask, Ask::Call(request) if request.sequence == call);
        self.sent.values().filter(of_call).count()
    }

    /// Takes the answer to the current request.
    pub fn take(&mut self, answer: &CallerAnswer, reads: bool) -> Next {
        self.stage = match (self.stage, answer) {
            (_, CallerAnswer::OwnerChanged) => return Next::Elsewhere,
            (_, CallerAnswer::Refused(refusal)) => match refusal.reason {
                RefusalReason::UnknownRun => Stage::Done,
                RefusalReason::NoBackend => return Next::Elsewhere,
                _ if matches!(self.stage, Stage::Calling(_)) => Stage::LastRead,
                _ => return Next::Elsewhere,
            },
            (Stage::OpeningChild, CallerAnswer::ChildOpened) => Stage::Calling(1),
            (Stage::Calling(number), CallerAnswer::Ended(end)) => {
                if let CallEnd::Finished { answer, .. } = end {
                    self.acknowledged.insert(Sequence(number), answer.clone());
                }
                let then = number + 1;
                match (reads, then as usize > self.calls.len()) {
                    (_, true) => Stage::LastRead,
                    (true, false) => Stage::Reading { then },
                    (false, false) => Stage::Calling(then),
                }
            }
            (Stage::Reading { then }, CallerAnswer::History(_)) => Stage::Calling(then),
            (Stage::LastRead, CallerAnswer::History(_)) => Stage::Closing,
            (Stage::Closing, CallerAnswer::Closed { .. }) => Stage::Done,
            _ => return Next::Nothing,
        };
        Next::GoOn
    }
}
