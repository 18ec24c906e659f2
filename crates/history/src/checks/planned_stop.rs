//! Promise 9: a planned stop cuts nothing.
//!
//! A planned stop lasts from `node_stopping` with `planned` to the next `node_stopped` of the node,
//! or to the end of the history. A sending of a call is *broken* where its answer is `unknown`, or
//! where it has none and the same client sent the same call again. Rules:
//! - No broken sending overlaps a planned stop, unless another fault was on at any time from the
//!   call's first sending to the end of the broken one. `rolling-stop` and `operator-race` excuse
//!   nothing, as neither may break a call.
//! - A planned stop ends within the bound, unless the node was killed meanwhile. It is undecided
//!   where the history ends before the bound.

use ridgeworks_domain::{CallKey, RunId};

use super::{Bounds, Check, Findings, micros};
use crate::history::{CallHistory, FaultInterval, History, Invocation, RecordNumber};
use crate::record::{Event, Outcome};
use crate::violation::ViolationKind;

const FAULTS_WITHOUT_EXCUSE: [&str; 2] = ["rolling-stop", "operator-race"];
const KILL_FAULT: &str = "kill";

struct PlannedStop<'a> {
    node: &'a str,
    record: RecordNumber,
    from_us: u64,
    to_us: u64,
}

struct BrokenSending<'a> {
    run: RunId,
    call: &'a CallKey,
    records: Vec<RecordNumber>,
    first_sent_us: u64,
    sent_us: u64,
    ended_us: u64,
}

/// Checks every planned stop.
pub fn check(history: &History, bounds: &Bounds) -> Findings {
    let mut findings = Findings::default();
    let stops = planned_stops(history, bounds, &mut findings);
    findings.judged = stops.len();
    for broken in broken_sendings(history) {
        let overlapped = stops
            .iter()
            .find(|stop| stop.from_us <= broken.ended_us && stop.to_us >= broken.sent_us);
        let Some(stop) = overlapped else { continue };
        if is_excused(history, &broken) {
            continue;
        }
        let mut records = vec![stop.record];
        records.extend(&broken.records);
        let kind = ViolationKind::CallBroken {
            node: stop.node.to_owned(),
            call: broken.call.clone(),
        };
        findings.add(Check::PlannedStop, Some(broken.run), kind, records);
    }
    findings
}

fn planned_stops<'a>(
    history: &'a History,
    bounds: &Bounds,
    findings: &mut Findings,
) -> Vec<PlannedStop<'a>> {
    let mut stops = Vec::new();
    for (record, entry) in history.records.iter().enumerate() {
        let Event::NodeStopping {
            node,
            planned: true,
        } = &entry.event
        else {
            continue;
        };
        let stopped_us = stopped_after(history, record, node);
        if stopped_us.is_none() {
            judge_missing_end(history, bounds, (record, node), findings);
        }
        stops.push(PlannedStop {
            node,
            record,
            from_us: entry.at_us,
            to_us: stopped_us.unwrap_or(history.end_us()),
        });
    }
    stops
}

fn stopped_after(history: &History, record: RecordNumber, stopping: &str) -> Option<u64> {
    let later = history.records[record..].iter();
    later
        .filter(|entry| matches!(&entry.event, Event::NodeStopped { node, .. } if node == stopping))
        .map(|entry| entry.at_us)
        .next()
}

fn judge_missing_end(
    history: &History,
    bounds: &Bounds,
    (record, node): (RecordNumber, &str),
    findings: &mut Findings,
) {
    let from_us = history.records[record].at_us;
    let killed = history.faults.iter().any(|fault| {
        fault.fault == KILL_FAULT && fault.hits(node) && fault.overlaps(from_us, u64::MAX)
    });
    if history.end_us() - from_us <= micros(bounds.planned_stop) {
        findings.undecided += 1;
    } else if !killed {
        let kind = ViolationKind::StopNotEnded {
            node: node.to_owned(),
        };
        findings.add(Check::PlannedStop, None, kind, vec![record]);
    }
}

fn broken_sendings(history: &History) -> Vec<BrokenSending<'_>> {
    let mut broken = Vec::new();
    for (run, run_history) in &history.runs {
        for (key, call) in &run_history.calls {
            let sendings = call.invocations.iter().enumerate();
            let found = sendings.filter_map(|(index, sending)| {
                let (end_record, ended_us) = broken_end(call, index, sending)?;
                Some(BrokenSending {
                    run: *run,
                    call: key,
                    records: vec![sending.record, end_record],
                    first_sent_us: call.invocations[0].at_us,
                    sent_us: sending.at_us,
                    ended_us,
                })
            });
            broken.extend(found);
        }
    }
    broken
}

/// The record and the time that show a sending as broken.
fn broken_end(
    call: &CallHistory,
    index: usize,
    sending: &Invocation,
) -> Option<(RecordNumber, u64)> {
    if let Some(answer) = &sending.answer {
        let unknown = answer.outcome == Outcome::Unknown;
        return unknown.then_some((answer.record, answer.at_us));
    }
    call.invocations[index + 1..]
        .iter()
        .find(|later| later.by == sending.by)
        .map(|later| (later.record, later.at_us))
}

fn is_excused(history: &History, broken: &BrokenSending<'_>) -> bool {
    let excuses = |fault: &FaultInterval| {
        !FAULTS_WITHOUT_EXCUSE.contains(&fault.fault.as_str())
            && fault.overlaps(broken.first_sent_us, broken.ended_us)
    };
    history.faults.iter().any(excuses)
}
