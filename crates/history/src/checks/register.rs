//! Judges the operations on one configuration key as those of a linearizable register, with the
//! search of Wing, Gong and Lowe from `todc-utils`.
//!
//! The register holds a value (none where the object does not exist) and the revision of its last
//! accepted change. A change accepted at revision R is possible only on a lower revision. A read is
//! possible where it shows the value, and a revision not below the register's. What the register
//! holds before the first operation of the history is not known: the first read may show anything.
//!
//! A change of unknown end may take effect at any time until the end of the history, or never.
//! [`super::intervals`] makes the search small first, without changing its result.

use std::cell::Cell;
use std::rc::Rc;

use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History as RegisterHistory};
use todc_utils::specifications::Specification;

use super::intervals::{self, RevisionsAgainstTime};
use super::{Bounds, Check, Findings};
use crate::history::RecordNumber;
use crate::violation::ViolationKind;

/// Bytes that the search may spend on remembered states; each takes two bytes an operation.
const MEMORY_BYTES: u64 = 256 * 1024 * 1024;

/// What an operation does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperationKind {
    /// Shows the value; none where the object does not exist.
    Read {
        /// The value shown.
        value: Option<String>,
    },
    /// Changes the value.
    Write {
        /// The new value; none for a deletion.
        value: Option<String>,
    },
}

/// One operation on a key.
#[derive(Debug, Clone)]
pub struct Operation {
    /// What it does.
    pub kind: OperationKind,
    /// The revision that its answer carried.
    pub revision: Option<u64>,
    /// When it was sent.
    pub invoked_us: u64,
    /// When it was answered; none while its end is unknown.
    pub ended_us: Option<u64>,
    /// Its records.
    pub records: Vec<RecordNumber>,
}

impl Operation {
    /// Whether it changes the value.
    pub fn is_write(&self) -> bool {
        matches!(self.kind, OperationKind::Write { .. })
    }

    /// The value written or shown.
    pub fn value(&self) -> &Option<String> {
        match &self.kind {
            OperationKind::Read { value } | OperationKind::Write { value } => value,
        }
    }

    /// When it ended; the end of time while that is unknown.
    pub fn end_or_never(&self) -> u64 {
        self.ended_us.unwrap_or(u64::MAX)
    }
}

/// Judges the operations on `key`, given in order of their sending.
pub fn check(key: &str, operations: Vec<Operation>, bounds: &Bounds, findings: &mut Findings) {
    let operations = match intervals::narrow(operations) {
        Ok(operations) => operations,
        Err(RevisionsAgainstTime { records }) => {
            let key = key.to_owned();
            let kind = ViolationKind::NotLinearizable { key };
            return findings.add(Check::Configuration, None, kind, records);
        }
    };
    for part in intervals::split(operations) {
        let kind = match search(&part, bounds.linearization_steps) {
            Search::Linearizable => continue,
            Search::NotLinearizable => ViolationKind::NotLinearizable {
                key: key.to_owned(),
            },
            Search::GivenUp => ViolationKind::LinearizabilityUndecided {
                key: key.to_owned(),
            },
        };
        let records = part.into_iter().flat_map(|operation| operation.records);
        findings.add(Check::Configuration, None, kind, records.collect());
    }
}

enum Search {
    Linearizable,
    NotLinearizable,
    GivenUp,
}

fn search(operations: &[Operation], step_limit: u64) -> Search {
    if operations.is_empty() {
        return Search::Linearizable;
    }
    let bytes_per_step = 2 * operations.len() as u64;
    STEPS_LEFT.set(step_limit.min(MEMORY_BYTES / bytes_per_step));
    let history = RegisterHistory::from_actions(actions(operations));
    if WGLChecker::<Register>::is_linearizable(history) {
        Search::Linearizable
    } else if STEPS_LEFT.get() == 0 {
        Search::GivenUp
    } else {
        Search::NotLinearizable
    }
}

/// Beginnings and ends in order of time. At equal times beginnings come first, so that operations
/// that touch count as overlapping.
fn actions(operations: &[Operation]) -> Vec<(usize, Action<Rc<Operation>>)> {
    let mut actions = Vec::new();
    for (index, operation) in operations.iter().enumerate() {
        // The search moves its entries about, so they are kept small.
        let shared = Rc::new(operation.clone());
        let begin = Action::Call(shared.clone());
        let end = Action::Response(shared);
        actions.push((operation.invoked_us, 0, (index, begin)));
        actions.push((operation.end_or_never(), 1, (index, end)));
    }
    actions.sort_by_key(|(time, order, _)| (*time, *order));
    actions.into_iter().map(|(_, _, action)| action).collect()
}

thread_local! {
    /// Possible steps that the search may still take; each remembers a state. The library has no limit of its own: once the steps
    /// are used up no operation applies any more, and the search winds back to its start.
    static STEPS_LEFT: Cell<u64> = const { Cell::new(0) };
}

/// What the register holds.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum RegisterState {
    /// Whatever it held before the history.
    Initial,
    /// The value, and the revision of the last accepted change.
    Known {
        value: Option<String>,
        revision: Option<u64>,
    },
}

impl RegisterState {
    fn revision(&self) -> Option<u64> {
        match self {
            Self::Initial => None,
            Self::Known { revision, .. } => *revision,
        }
    }
}

struct Register;

impl Specification for Register {
    type State = RegisterState;
    type Operation = Rc<Operation>;

    fn init() -> RegisterState {
        RegisterState::Initial
    }

    fn apply(operation: &Rc<Operation>, state: &RegisterState) -> (bool, RegisterState) {
        let steps_left = STEPS_LEFT.get();
        if steps_left == 0 {
            return (false, state.clone());
        }
        let (possible, next) = step(operation, state);
        STEPS_LEFT.set(steps_left - u64::from(possible));
        (possible, next)
    }
}

fn step(operation: &Operation, state: &RegisterState) -> (bool, RegisterState) {
    let held = state.revision();
    match &operation.kind {
        OperationKind::Read { value } => {
            let possible = match state {
                RegisterState::Initial => true,
                RegisterState::Known { value: known, .. } => {
                    known == value && (operation.revision.is_none() || operation.revision >= held)
                }
            };
            let value = value.clone();
            (
                possible,
                RegisterState::Known {
                    value,
                    revision: held,
                },
            )
        }
        OperationKind::Write { value } => {
            let revision = operation.revision.or(held);
            let possible = operation.revision.is_none() || operation.revision > held;
            let value = value.clone();
            (possible, RegisterState::Known { value, revision })
        }
    }
}
