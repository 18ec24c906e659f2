//! News of the attempts that this node makes.

use std::time::Instant;

use ridgeworks_domain::{BackendName, RunId};
use ridgeworks_run_log::event::{AttemptOutcome, AttemptResolution as LogFate, OwnerEvent};
use ridgeworks_scheduling::{AttemptOutcome as SlotOutcome, TokenUsage};
use stakker::CX;

use super::role::OwnerRole;
use crate::message::{OwnerAnswer, RequestId};
use crate::outbound::{AttemptEvent, AttemptId, AttemptResolution, AttemptResult};

impl OwnerRole {
    /// Takes news of an attempt.
    pub fn attempt(&mut self, cx: CX![], event: AttemptEvent) {
        let now = cx.now();
        match event {
            AttemptEvent::Text { id, text } => self.attempt_text(&id, text.as_bytes()),
            AttemptEvent::Ended { id, result } => self.attempt_ended(now, id, result),
            AttemptEvent::Fenced {
                id,
                backend,
                resolution,
            } => {
                self.attempt_fenced(now, id, &backend, resolution);
            }
        }
    }

    /// Gives a request that joins a call the text that came before it.
    pub(super) fn pass_on_text_so_far(&mut self, run: RunId, request: RequestId) {
        let Some(owned) = self.runs.get(&run) else {
            return;
        };
        let Some(running) = &owned.running else {
            return;
        };
        if running.text.is_empty() || !owned.streaming_requests().contains(&request) {
            return;
        }
        let text = running.text.clone();
        self.answer(request, OwnerAnswer::Chunk { offset: 0, text });
    }

    fn attempt_text(&mut self, id: &AttemptId, text: &[u8]) {
        let Some(owned) = self.runs.get_mut(&id.run) else {
            return;
        };
        let Some(running) = owned.running.as_mut().filter(|running| running.id == *id) else {
            return;
        };
        let offset = running.text.len() as u64;
        running.text.extend_from_slice(text);
        for request in owned.streaming_requests() {
            let text = text.to_vec();
            self.answer(request, OwnerAnswer::Chunk { offset, text });
        }
    }

    fn attempt_ended(&mut self, now: Instant, id: AttemptId, result: AttemptResult) {
        let run = id.run;
        if !self.is_running(&id) {
            return;
        }
        if let Some(owned) = self.runs.get_mut(&run) {
            owned.running = None;
        }
        let (usage, slot_outcome) = match &result {
            AttemptResult::Answered { usage, .. } => (*usage, SlotOutcome::Completed),
            AttemptResult::NeverStarted | AttemptResult::InDoubt => {
                (TokenUsage::default(), SlotOutcome::Failed)
            }
        };
        self.end_slot(run, usage, slot_outcome);
        let outcome = match result {
            AttemptResult::Answered { answer, spent, .. } => {
                AttemptOutcome::Finished { answer, spent }
            }
            AttemptResult::NeverStarted => AttemptOutcome::NotRun,
            AttemptResult::InDoubt => AttemptOutcome::Lost,
        };
        let event = OwnerEvent::AttemptFinished {
            call: id.sequence,
            attempt: id.attempt,
            outcome,
        };
        self.handle(now, run, event);
    }

    fn attempt_fenced(
        &mut self,
        now: Instant,
        id: AttemptId,
        backend: &BackendName,
        resolution: AttemptResolution,
    ) {
        let resolution = match resolution {
            AttemptResolution::Finished { answer, spent } => LogFate::Finished { answer, spent },
            AttemptResolution::NeverStarted => LogFate::NeverStarted,
            AttemptResolution::Stopped { spent } => LogFate::Stopped { spent },
            AttemptResolution::Cancelled => LogFate::Cancelled,
            // The owner asks again until the back end answers or is gone for good.
            AttemptResolution::Unreachable if !self.directory.is_gone(backend) => return,
            AttemptResolution::Unreachable => LogFate::Unreachable,
        };
        self.end_preempted_slot(&id);
        let event = OwnerEvent::Fenced {
            call: id.sequence,
            attempt: id.attempt,
            resolution,
        };
        self.handle(now, id.run, event);
    }

    fn is_running(&self, id: &AttemptId) -> bool {
        let running = self
            .runs
            .get(&id.run)
            .and_then(|owned| owned.running.as_ref());
        running.is_some_and(|running| running.id == *id)
    }
}
