//! What an engine writes to its history of the attempts that it runs.

use crate::attempts::Progress;
use crate::engine::chat::ChatPlan;
use crate::history::{HistoryEvent, Recorder, digest};

/// Records that an attempt entered the batch.
pub fn record_start(plan: &ChatPlan, history: &Recorder) {
    let Some(key) = &plan.key else { return };
    history.record(&HistoryEvent::AttemptStarted {
        backend: history.by().to_owned(),
        run: key.run,
        call: key.call.clone(),
        attempt: key.attempt,
    });
}

/// Records that an attempt took effect, as far as it has come.
pub fn record_execution(plan: &ChatPlan, progress: &Progress, cancelled: bool, history: &Recorder) {
    let Some(key) = &plan.key else { return };
    let content = plan.content.beginning(progress.produced);
    history.record(&HistoryEvent::BackendExecuted {
        backend: history.by().to_owned(),
        run: key.run,
        call: key.call.clone(),
        attempt: key.attempt,
        sequence: plan.sequence,
        cost: plan.cost(progress.produced),
        answer_digest: digest(content.as_bytes()),
        prior_calls: Some(plan.prior_calls.clone()),
        started_at_us: progress.started_at_us,
        cancelled,
    });
}
