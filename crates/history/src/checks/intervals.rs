//! Makes the search for a linearization small without changing its result.
//!
//! - Accepted changes take effect in the order of their revisions, so none takes effect before one
//!   of lower revision was sent, nor after one of higher revision was answered.
//! - A change of unknown end whose value no later read shows is left out, since it can stand after
//!   all other operations.
//! - One whose value can come from no other change, and not from before the history, took effect
//!   by the answer of the first read that shows it.
//! - The history is split where no operation is under way and the value is settled by the change
//!   of highest revision.

use super::register::Operation;
use crate::history::RecordNumber;

/// Changes whose revisions contradict the order of their times.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RevisionsAgainstTime {
    /// The records of the change that had no time left to take effect, and of its neighbours.
    pub records: Vec<RecordNumber>,
}

/// Narrows the times at which operations may have taken effect; returns them in order of their
/// beginning.
pub fn narrow(mut operations: Vec<Operation>) -> Result<Vec<Operation>, RevisionsAgainstTime> {
    narrow_by_revision(&mut operations)?;
    let mut operations = bound_unknown_ends(operations);
    operations.sort_by_key(|operation| (operation.invoked_us, operation.revision));
    Ok(operations)
}

fn narrow_by_revision(operations: &mut [Operation]) -> Result<(), RevisionsAgainstTime> {
    let is_accepted = |operation: &&mut Operation| {
        operation.is_write() && operation.revision.is_some() && operation.ended_us.is_some()
    };
    let mut changes: Vec<&mut Operation> = operations.iter_mut().filter(is_accepted).collect();
    changes.sort_by_key(|change| change.revision);
    for index in 1..changes.len() {
        let earlier_us = changes[index - 1].invoked_us;
        changes[index].invoked_us = changes[index].invoked_us.max(earlier_us);
    }
    for index in (1..changes.len()).rev() {
        let later_us = changes[index].ended_us;
        changes[index - 1].ended_us = changes[index - 1].ended_us.min(later_us);
    }
    let impossible = changes
        .iter()
        .position(|change| change.end_or_never() < change.invoked_us);
    match impossible {
        None => Ok(()),
        Some(index) => Err(RevisionsAgainstTime {
            records: neighbours(&changes, index),
        }),
    }
}

fn neighbours(changes: &[&mut Operation], index: usize) -> Vec<RecordNumber> {
    let from = index.saturating_sub(1);
    let to = changes.len().min(index + 2);
    let changes = changes[from..to].iter();
    changes.flat_map(|change| change.records.clone()).collect()
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
pub fn split(operations: Vec<Operation>) -> Vec<Vec<Operation>> {
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
