//! Promise 10: accepted configuration is in force everywhere in seconds and never reverts.
//!
//! Rules:
//! - Per node, a status read that was sent after the answer of another one shows no lower
//!   revision, across restarts of the node too.
//! - A status read that was sent later than the bound after revision R was accepted shows R or a
//!   higher one. A node that says it is not ready shows nothing and breaks nothing.
//! - Per key, the operations of the operators are those of a linearizable register; see
//!   [`super::register`].
//!
//! The `operation` of a record is `KIND` or `KIND-ID` (`:` and `/` serve as well as `-`). The kinds
//! `read` and `get` read, `delete` and `remove` delete, all others write the `value`. An operation
//! with an ID that is sent again after an unknown end is one operation, not two.

use std::collections::BTreeMap;

use super::register::{self, Operation, OperationKind};
use super::{Bounds, Check, Findings, micros};
use crate::history::{History, RecordNumber};
use crate::record::{ConfigOutcome, Event};
use crate::violation::ViolationKind;

/// Checks nodes and keys.
pub fn check(history: &History, bounds: &Bounds) -> Findings {
    let mut findings = Findings::default();
    let accepted = accepted_revisions(history);
    for (node, reads) in reads_by_node(history) {
        check_monotone(node, &reads, &mut findings);
        check_staleness(node, &reads, &accepted, bounds, &mut findings);
    }
    for (key, operations) in operations_by_key(history) {
        findings.judged += operations.len();
        register::check(key, operations, bounds, &mut findings);
    }
    findings
}

/// One status read of a node.
#[derive(Debug, Clone, Copy)]
pub struct StatusRead {
    /// Its record.
    pub record: RecordNumber,
    /// When it was sent.
    pub invoked_us: u64,
    /// When it was answered.
    pub answered_us: u64,
    /// The revision shown.
    pub revision: u64,
}

/// Highest revision known by a time.
#[derive(Debug, Default)]
pub struct HighestRevision {
    /// Time, revision and record; each entry holds the highest of all entries up to it.
    entries: Vec<(u64, u64, RecordNumber)>,
}

impl HighestRevision {
    /// Takes times with the revisions that became known then, in any order.
    pub fn new(mut entries: Vec<(u64, u64, RecordNumber)>) -> Self {
        entries.sort_unstable();
        for index in 1..entries.len() {
            let (_, revision, record) = entries[index - 1];
            if revision > entries[index].1 {
                entries[index].1 = revision;
                entries[index].2 = record;
            }
        }
        Self { entries }
    }

    /// The highest revision known strictly before `time_us`, with its record.
    pub fn before(&self, time_us: u64) -> Option<(u64, RecordNumber)> {
        let count = self.entries.partition_point(|(at, _, _)| *at < time_us);
        let (_, revision, record) = self.entries[..count].last()?;
        Some((*revision, *record))
    }

    /// The first time at which this revision or a higher one was known.
    pub fn reached_at(&self, revision: u64) -> Option<u64> {
        let index = self
            .entries
            .partition_point(|(_, known, _)| *known < revision);
        self.entries.get(index).map(|(at, _, _)| *at)
    }
}

/// Status reads of every node, in order of their answers.
pub fn reads_by_node(history: &History) -> BTreeMap<&str, Vec<StatusRead>> {
    let mut by_node: BTreeMap<&str, Vec<StatusRead>> = BTreeMap::new();
    for (number, record) in history.records.iter().enumerate() {
        if let Event::ConfigInForce {
            node,
            revision,
            invoked_at_us,
        } = &record.event
        {
            by_node.entry(node).or_default().push(StatusRead {
                record: number,
                invoked_us: *invoked_at_us,
                answered_us: record.at_us,
                revision: *revision,
            });
        }
    }
    by_node
}

/// Time, revision and record of every accepted change.
pub fn accepted_changes(history: &History) -> Vec<(u64, u64, RecordNumber)> {
    let mut accepted = Vec::new();
    for (number, record) in history.records.iter().enumerate() {
        if let Event::ConfigAnswered {
            operation,
            outcome: ConfigOutcome::Accepted,
            revision: Some(revision),
            ..
        } = &record.event
            && kind_of(operation) != Kind::Read
        {
            accepted.push((record.at_us, *revision, number));
        }
    }
    accepted
}

fn accepted_revisions(history: &History) -> HighestRevision {
    HighestRevision::new(accepted_changes(history))
}

fn check_monotone(node: &str, reads: &[StatusRead], findings: &mut Findings) {
    let entries = reads
        .iter()
        .map(|read| (read.answered_us, read.revision, read.record));
    let shown = HighestRevision::new(entries.collect());
    for read in reads {
        findings.judged += 1;
        let Some((from, record)) = shown.before(read.invoked_us) else {
            continue;
        };
        if read.revision < from {
            let kind = ViolationKind::RevisionWentBack {
                node: node.to_owned(),
                from,
                to: read.revision,
            };
            findings.add(Check::Configuration, None, kind, vec![record, read.record]);
        }
    }
}

fn check_staleness(
    node: &str,
    reads: &[StatusRead],
    accepted: &HighestRevision,
    bounds: &Bounds,
    findings: &mut Findings,
) {
    let bound_us = micros(bounds.configuration_staleness);
    for read in reads {
        let limit = read.invoked_us.saturating_sub(bound_us);
        let Some((revision, record)) = accepted.before(limit) else {
            continue;
        };
        if read.revision < revision {
            let kind = ViolationKind::RevisionStale {
                node: node.to_owned(),
                shown: read.revision,
                accepted: revision,
            };
            findings.add(Check::Configuration, None, kind, vec![record, read.record]);
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Read,
    Delete,
    Write,
}

const ID_SEPARATORS: [char; 3] = ['-', ':', '/'];

fn kind_of(operation: &str) -> Kind {
    match operation.split(ID_SEPARATORS).next() {
        Some("read" | "get") => Kind::Read,
        Some("delete" | "remove") => Kind::Delete,
        _ => Kind::Write,
    }
}

/// An operation as the records give it, before its end is known.
struct Sent<'a> {
    by: &'a str,
    operation: &'a str,
    value: &'a Option<String>,
    record: RecordNumber,
    invoked_us: u64,
    end: Option<(RecordNumber, &'a Event)>,
}

fn operations_by_key(history: &History) -> BTreeMap<&str, Vec<Operation>> {
    let mut sent: BTreeMap<&str, Vec<Sent<'_>>> = BTreeMap::new();
    for (number, record) in history.records.iter().enumerate() {
        match &record.event {
            Event::ConfigInvoked {
                operation,
                key,
                value,
            } => sent.entry(key).or_default().push(Sent {
                by: &record.by,
                operation,
                value,
                record: number,
                invoked_us: record.at_us,
                end: None,
            }),
            Event::ConfigAnswered { operation, key, .. } => {
                let waiting = sent.entry(key).or_default().iter_mut().rev().find(|sent| {
                    sent.end.is_none() && sent.by == record.by && sent.operation == operation
                });
                if let Some(waiting) = waiting {
                    waiting.end = Some((number, &record.event));
                }
            }
            _ => {}
        }
    }
    sent.into_iter()
        .map(|(key, sent)| (key, operations(history, sent)))
        .collect()
}

fn operations(history: &History, sent: Vec<Sent<'_>>) -> Vec<Operation> {
    let mut operations: Vec<Operation> = Vec::new();
    let mut unknown_by_id: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for sent in sent {
        let Some(mut operation) = operation_of(history, &sent) else {
            continue;
        };
        let identity = (sent.by, sent.operation);
        if sent.operation.contains(ID_SEPARATORS) {
            if let Some(earlier) = unknown_by_id.remove(&identity) {
                // The same operation sent again: one effect, at some time since the first sending.
                operation.invoked_us = operations[earlier].invoked_us;
                operations[earlier] = operation;
                if operations[earlier].ended_us.is_none() {
                    unknown_by_id.insert(identity, earlier);
                }
                continue;
            }
            if operation.ended_us.is_none() {
                unknown_by_id.insert(identity, operations.len());
            }
        }
        operations.push(operation);
    }
    operations
}

/// The register's view of an operation; none where it had no effect and showed nothing.
fn operation_of(history: &History, sent: &Sent<'_>) -> Option<Operation> {
    let mut records = vec![sent.record];
    let mut outcome = ConfigOutcome::Unknown;
    let mut answered = (None, None, None);
    if let Some((number, event)) = sent.end
        && let Event::ConfigAnswered {
            value,
            outcome: told,
            revision,
            ..
        } = event
    {
        records.push(number);
        outcome = *told;
        answered = (
            Some(history.records[number].at_us),
            value.clone(),
            *revision,
        );
    }
    let (answered_us, read_value, revision) = answered;
    let accepted = outcome == ConfigOutcome::Accepted;
    if outcome == ConfigOutcome::Rejected {
        return None;
    }
    let kind = match kind_of(sent.operation) {
        Kind::Read if !accepted => return None,
        Kind::Read => OperationKind::Read { value: read_value },
        Kind::Delete => OperationKind::Write { value: None },
        Kind::Write => OperationKind::Write {
            value: sent.value.clone(),
        },
    };
    Some(Operation {
        kind,
        revision: revision.filter(|_| accepted),
        invoked_us: sent.invoked_us,
        ended_us: answered_us.filter(|_| accepted),
        records,
    })
}
