//! Concurrent operators of both partners, each with its own view of object versions.

use std::collections::BTreeMap;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use ridgeworks_configuration::{
    Change, ChangeError, ChangeRequest, Event, ObjectKey, ObjectVersion, OperationId,
    OperatorAnswer, Revision, Ticket,
};

use super::Report;
use super::history::{Asked, Recorded};
use super::scenario::{INITIAL_STATE, principal, put, registers, service, shares};

pub const OPERATORS: usize = 4;
/// Time in microseconds after which an operator treats its request as lost.
const REQUEST_TIMEOUT: u64 = 12_000_000;
const SPLIT: usize = 2;

struct Pending {
    node: usize,
    operation: usize,
    sent: u64,
}

#[derive(Default)]
pub struct Operators {
    pub operations: Vec<Recorded>,
    requests: BTreeMap<usize, ChangeRequest>,
    pending: BTreeMap<(usize, Ticket), Pending>,
    /// Operations of unknown outcome that an operator retries next.
    to_retry: BTreeMap<usize, usize>,
    versions: [Option<[u64; 3]>; OPERATORS],
    tickets: u64,
    /// Highest accepted revision, by the time at which an operator received the answer.
    accepted: Vec<(u64, Revision)>,
}

impl Operators {
    /// The highest revision whose acceptance an operator had received by `time`.
    pub fn accepted_by(&self, time: u64) -> Revision {
        let count = self
            .accepted
            .partition_point(|(received_at, _)| *received_at <= time);
        match count {
            0 => Revision::ZERO,
            _ => self.accepted[count - 1].1,
        }
    }

    pub fn is_busy(&self, operator: usize) -> bool {
        self.pending.keys().any(|(busy, _)| *busy == operator)
    }

    pub fn node_crashed(&mut self, node: usize) {
        let lost = |pending: &Pending| pending.node == node;
        self.end_unknown(|_, pending| lost(pending));
    }

    pub fn give_up(&mut self, operator: usize, now: u64) {
        self.end_unknown(|of, pending| of == operator && now > pending.sent + REQUEST_TIMEOUT);
    }

    fn end_unknown(&mut self, lost: impl Fn(usize, &Pending) -> bool) {
        let keys: Vec<(usize, Ticket)> = self.pending.keys().copied().collect();
        for key in keys {
            if lost(key.0, &self.pending[&key]) {
                let pending = self.pending.remove(&key).expect("a pending request");
                self.unknown(key.0, pending.operation);
            }
        }
    }

    fn unknown(&mut self, operator: usize, operation: usize) {
        self.operations[operation].unknown_before = true;
        if self.requests.contains_key(&operation) && operation.is_multiple_of(2) {
            self.to_retry.insert(operator, operation);
        }
    }

    /// The next request of an operator: a retry of a change whose outcome is unknown, or a new
    /// operation if `may_start`; otherwise `None`.
    pub fn next(
        &mut self,
        operator: usize,
        node: usize,
        now: u64,
        may_start: bool,
        random: &mut ChaCha8Rng,
    ) -> Option<Event> {
        let operation = match self.to_retry.remove(&operator) {
            Some(operation) => operation,
            None if may_start => self.start(operator, now, random),
            None => return None,
        };
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        let sent = now;
        let pending = Pending {
            node,
            operation,
            sent,
        };
        self.pending.insert((operator, ticket), pending);
        Some(match self.requests.get(&operation) {
            Some(request) => Event::Change {
                ticket,
                request: request.clone(),
            },
            None => Event::Read { ticket },
        })
    }

    fn start(&mut self, operator: usize, now: u64, random: &mut ChaCha8Rng) -> usize {
        let index = self.operations.len();
        let operation = OperationId(index as u128 + 1000);
        let mut asked = Asked::Read;
        if random.random_bool(0.65) {
            let (key, change) = self.choose(operator, index, random);
            let expected = change.expected().0;
            asked = Asked::Change { key, expected };
            let principal = principal(operator % 2);
            let request = ChangeRequest {
                operation,
                principal,
                change,
            };
            self.requests.insert(index, request);
        }
        self.operations.push(Recorded {
            operation,
            asked,
            invoked: now,
            answer: None,
            unknown_before: false,
        });
        index
    }

    fn choose(
        &self,
        operator: usize,
        index: usize,
        random: &mut ChaCha8Rng,
    ) -> (ObjectKey, Change) {
        let [first, second, split, _] = INITIAL_STATE;
        let known = self.versions[operator].unwrap_or([first, second, split]);
        let own = operator % 2;
        let expected = ObjectVersion(known[SPLIT]);
        let change = match random.random_range(0..10) {
            0..=4 => put(service(own, index as u64), known[own]),
            5 => put(service(1 - own, index as u64), known[1 - own]),
            6 | 7 => Change::Consent { expected },
            _ => Change::Propose {
                shares: shares(index as u16 % 1000),
                expected,
            },
        };
        (change.key(), change)
    }

    pub fn answered(&mut self, ticket: Ticket, answer: OperatorAnswer, now: u64) {
        let keys = self.pending.keys();
        let Some(key) = keys.copied().find(|(_, open)| *open == ticket) else {
            return;
        };
        let pending = self.pending.remove(&key).expect("a pending request");
        let operator = key.0;
        self.update_versions(operator, pending.operation, &answer);
        match &answer {
            OperatorAnswer::Unknown => {
                self.unknown(operator, pending.operation);
                return;
            }
            OperatorAnswer::Accepted { revision } => {
                let highest = self
                    .accepted
                    .last()
                    .map_or(Revision::ZERO, |(_, last)| *last);
                self.accepted.push((now, highest.max(*revision)));
            }
            _ => {}
        }
        self.operations[pending.operation].answer = Some((now, answer));
    }

    fn update_versions(&mut self, operator: usize, operation: usize, answer: &OperatorAnswer) {
        let [first, second, split, _] = INITIAL_STATE;
        let versions = self.versions[operator].get_or_insert([first, second, split]);
        let asked = &self.operations[operation].asked;
        match (asked, answer) {
            (_, OperatorAnswer::Newest(set)) => {
                *versions = registers().map(|key| set.version(&key).0);
            }
            (Asked::Change { key, .. }, OperatorAnswer::Accepted { revision }) => {
                versions[register_index(key)] = revision.0;
            }
            (
                Asked::Change { key, .. },
                OperatorAnswer::Rejected(ChangeError::Conflict { current }),
            ) => versions[register_index(key)] = current.0,
            _ => {}
        }
    }

    pub fn report(&self, faults: usize) -> Report {
        let accepted = |recorded: &&Recorded| {
            matches!(recorded.answer, Some((_, OperatorAnswer::Accepted { .. })))
        };
        let unknown = |recorded: &&Recorded| recorded.answer.is_none();
        Report {
            operations: self.operations.len(),
            accepted: self.operations.iter().filter(accepted).count(),
            unknown: self.operations.iter().filter(unknown).count(),
            faults,
        }
    }
}

fn register_index(key: &ObjectKey) -> usize {
    let position = registers().iter().position(|register| register == key);
    position.expect("operators change only the registers")
}
