//! Promise 8: leaving back ends get no new work.
//!
//! Rule: no execution starts at a back end later than the bound after its first
//! `backend_leaving`. The back end's name is taken to be left for good: a successor needs another.

use std::collections::BTreeMap;

use ridgeworks_domain::BackendName;

use super::{Bounds, Check, Findings, micros};
use crate::history::{History, RecordNumber};
use crate::record::Event;
use crate::violation::ViolationKind;

/// Checks every leaving back end.
pub fn check(history: &History, bounds: &Bounds) -> Findings {
    let mut findings = Findings::default();
    let leaving = leaving_backends(history);
    findings.judged = leaving.len();
    for (run, run_history) in &history.runs {
        for execution in &run_history.executions {
            let Some((record, published_us)) = leaving.get(&execution.backend) else {
                continue;
            };
            let limit = published_us.saturating_add(micros(bounds.leaving));
            if execution.started_us > limit {
                findings.add(
                    Check::Leaving,
                    Some(*run),
                    ViolationKind::WorkAfterLeaving {
                        backend: execution.backend.clone(),
                        call: execution.call.clone(),
                    },
                    vec![*record, execution.record],
                );
            }
        }
    }
    findings
}

fn leaving_backends(history: &History) -> BTreeMap<&BackendName, (RecordNumber, u64)> {
    let mut leaving = BTreeMap::new();
    for (number, record) in history.records.iter().enumerate() {
        if let Event::BackendLeaving { backend } = &record.event {
            leaving.entry(backend).or_insert((number, record.at_us));
        }
    }
    leaving
}
