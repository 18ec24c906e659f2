//! Judges the operations on one configuration key as those of a linearizable register, with the
//! search of Wing, Gong and Lowe from `todc-utils`.
//!
//! The register holds a value (none where the object does not exist) and the revision of its last
//! accepted change. A change accepted at revision R is possible only on a lower revision. A read is
//! possible where it shows the value, and a revision not below the register's. What the register
//! holds before the first operation of the history is not known: the first read may show anything.
//!
//! A change of unknown end may take effect at any time until the end of the history, or never. To
//! keep the search small without changing its result:
//! - one whose value no read shows is left out, since it can stand after all other operations;
//! - one whose value can come from no other operation, and not from before the history, ends at the
//!   answer of the first read that shows it;
//! - the history is split where no operation is under way and the value is settled by the change
//!   of highest revision.

use std::cell::Cell;

use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History as RegisterHistory};
use todc_utils::specifications::Specification;

use super::{Bounds, Check, Findings};
use crate::history::RecordNumber;
use crate::violation::ViolationKind;

/// Bytes that the search may spend on remembered states; each takes two bytes an operation.
const MEMORY_BYTES: u64 = 64 * 1024 * 1024;

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
    fn is_write(&self) -> bool {
        matches!(self.kind, OperationKind::Write { .. })
    }

    fn value(&self) -> &Option<String> {
        match &self.kind {
            OperationKind::Read { value } | OperationKind::Write { value } => value,
        }
    }

    fn end_or_never(&self) -> u64 {
        self.ended_us.unwrap_or(u64::MAX)
    }
}

/// Judges the operations on `key`, given in order of their sending.
pub fn check(key: &str, operations: Vec<Operation>, bounds: &Bounds, findings: &mut Findings) {
    let mut operations = bound_unknown_ends(operations);
    operations.sort_by_key(|operation| operation.invoked_us);
    for part in split(operations) {
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

fn bound_unknown_ends(operations: Vec<Operation>) -> Vec<Operation> {
    let bounded = operations.iter().filter_map(|operation| {
        if operation.ended_us.is_some() {
            return Some(operation.clone());
        }
        let first_shown_us = operations
            .iter()
            .filter(|read| !read.is_write() && read.value() == operation.value())
            .map(Operation::end_or_never)
            .filter(|ended_us| *ended_us >= operation.invoked_us)
            .min()?;
        let mut bounded = operation.clone();
        if is_only_source(operation, &operations) {
            bounded.ended_us = Some(first_shown_us);
        }
        Some(bounded)
    });
    bounded.collect()
}

/// Whether no other write, and not the value before the history, explains a read of this value.
fn is_only_source(operation: &Operation, operations: &[Operation]) -> bool {
    let mut writes = operations.iter().filter(|other| other.is_write());
    let written_before = operations
        .iter()
        .any(|other| other.is_write() && other.end_or_never() < operation.invoked_us);
    let alone = writes
        .all(|other| other.records == operation.records || other.value() != operation.value());
    written_before && alone
}

/// Cuts where nothing is under way and the value is settled; each later part starts with the
/// change that settled it.
fn split(operations: Vec<Operation>) -> Vec<Vec<Operation>> {
    let mut parts = Vec::new();
    let mut part: Vec<Operation> = Vec::new();
    let mut latest_end_us = 0;
    for operation in operations {
        if !part.is_empty()
            && operation.invoked_us > latest_end_us
            && let Some(settled) = settling_write(&part)
        {
            let next = vec![settled.clone()];
            parts.push(std::mem::replace(&mut part, next));
        }
        latest_end_us = latest_end_us.max(operation.end_or_never());
        part.push(operation);
    }
    parts.push(part);
    parts
}

/// The change that must be the last one of a part: revisions only rise, so it is the one of the
/// highest revision, where every change without a revision ended before it was sent.
fn settling_write(part: &[Operation]) -> Option<&Operation> {
    let writes = || part.iter().filter(|operation| operation.is_write());
    let last = writes()
        .filter(|write| write.revision.is_some())
        .max_by_key(|write| write.revision)?;
    let settled = writes()
        .filter(|write| write.revision.is_none())
        .all(|write| write.end_or_never() < last.invoked_us);
    settled.then_some(last)
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
fn actions(operations: &[Operation]) -> Vec<(usize, Action<Operation>)> {
    let mut actions = Vec::new();
    for (index, operation) in operations.iter().enumerate() {
        let begin = Action::Call(operation.clone());
        let end = Action::Response(operation.clone());
        actions.push((operation.invoked_us, 0, (index, begin)));
        actions.push((operation.end_or_never(), 1, (index, end)));
    }
    actions.sort_by_key(|(time, order, _)| (*time, *order));
    actions.into_iter().map(|(_, _, action)| action).collect()
}

thread_local! {
    /// Steps that the search may still take. The library has no limit of its own: once the steps
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
    type Operation = Operation;

    fn init() -> RegisterState {
        RegisterState::Initial
    }

    fn apply(operation: &Operation, state: &RegisterState) -> (bool, RegisterState) {
        let steps_left = STEPS_LEFT.get();
        if steps_left == 0 {
            return (false, state.clone());
        }
        STEPS_LEFT.set(steps_left - 1);
        let held = state.revision();
        match &operation.kind {
            OperationKind::Read { value } => {
                let possible = match state {
                    RegisterState::Initial => true,
                    RegisterState::Known { value: known, .. } => {
                        known == value
                            && (operation.revision.is_none() || operation.revision >= held)
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
}
