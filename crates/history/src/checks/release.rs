//! Promise 4: no engine memory stays with ended runs.
//!
//! An engine holds a run's context from the first `context_held` until `context_released`, or
//! until the engine itself is killed or replaced (a fault `kill` or `replace` that targets it).
//! Rule: where the run ended (`run_closed`, or `run_abandoned`), the holding ends at most the bound
//! after the end of the run or after its own beginning, whichever is later. Time during which the
//! engine was frozen does not count, as it can release nothing then. A holding of which the bound
//! lies beyond the end of the history is undecided. Runs whose end is not in the history are not
//! judged.

use std::collections::BTreeMap;

use ridgeworks_domain::{BackendName, RunId};

use super::{Bounds, Check, Findings, micros};
use crate::history::{History, RecordNumber};
use crate::record::Event;
use crate::violation::ViolationKind;

const ENDING_FAULTS: [&str; 2] = ["kill", "replace"];
const FREEZE_FAULT: &str = "freeze";

struct Holding<'a> {
    backend: &'a BackendName,
    run: RunId,
    record: RecordNumber,
    from_us: u64,
    to_us: Option<u64>,
}

/// Checks every holding of an ended run.
pub fn check(history: &History, bounds: &Bounds) -> Findings {
    let mut findings = Findings::default();
    for holding in holdings(history) {
        let ended = history.runs.get(&holding.run).and_then(|run| run.ended);
        if let Some(ended) = ended {
            judge(history, bounds, &holding, ended, &mut findings);
        }
    }
    findings
}

fn judge(
    history: &History,
    bounds: &Bounds,
    holding: &Holding<'_>,
    (end_record, ended_us): (RecordNumber, u64),
    findings: &mut Findings,
) {
    findings.judged += 1;
    let from_us = holding.from_us.max(ended_us);
    let limit = from_us.saturating_add(micros(bounds.context_release));
    let deadline_us = extend_by_freezes(history, holding.backend, from_us, limit);
    let kept = match holding.to_us {
        Some(to_us) => to_us > deadline_us,
        None if history.end_us() > deadline_us => true,
        None => {
            findings.undecided += 1;
            false
        }
    };
    if kept {
        findings.add(
            Check::Release,
            Some(holding.run),
            ViolationKind::ContextNotReleased {
                backend: holding.backend.clone(),
                deadline_us,
            },
            vec![holding.record, end_record],
        );
    }
}

fn extend_by_freezes(
    history: &History,
    backend: &BackendName,
    from_us: u64,
    mut deadline_us: u64,
) -> u64 {
    for fault in &history.faults {
        let off_us = fault.off_us.unwrap_or(u64::MAX);
        let touches = fault.on_us < deadline_us && off_us > from_us;
        if fault.fault == FREEZE_FAULT && fault.hits(backend.as_str()) && touches {
            let frozen = off_us - fault.on_us.max(from_us);
            deadline_us = deadline_us.saturating_add(frozen);
        }
    }
    deadline_us
}

fn holdings(history: &History) -> Vec<Holding<'_>> {
    let mut finished = Vec::new();
    let mut open: BTreeMap<(&BackendName, RunId), Holding<'_>> = BTreeMap::new();
    for (record, entry) in history.records.iter().enumerate() {
        let at_us = entry.at_us;
        match &entry.event {
            Event::ContextHeld { backend, run, .. } => {
                open.entry((backend, *run)).or_insert(Holding {
                    backend,
                    run: *run,
                    record,
                    from_us: at_us,
                    to_us: None,
                });
            }
            Event::ContextReleased { backend, run, .. } => {
                let closed = open.remove(&(backend, *run));
                finished.extend(closed.into_iter().map(|holding| end(holding, at_us)));
            }
            Event::FaultOn { fault, targets } if ENDING_FAULTS.contains(&fault.as_str()) => {
                let hit = |holding: &Holding<'_>| {
                    targets
                        .iter()
                        .any(|target| target == holding.backend.as_str())
                };
                let closed = open.extract_if(.., |_, holding| hit(holding));
                finished.extend(closed.map(|(_, holding)| end(holding, at_us)));
            }
            _ => {}
        }
    }
    finished.extend(open.into_values());
    finished
}

fn end(holding: Holding<'_>, at_us: u64) -> Holding<'_> {
    Holding {
        to_us: Some(at_us),
        ..holding
    }
}
