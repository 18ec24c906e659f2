//! Admission control: bounded queues, and refusal of calls that cannot meet their deadline.

use std::time::Duration;

use ridgeworks_domain::{MonotonicTime, Refusal, RefusalReason};

const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(60);
const NO_BACKEND_RETRY: Duration = Duration::from_secs(1);

/// Inputs of an admission decision.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionView {
    /// Whether any backend is not leaving.
    pub has_backend: bool,
    /// Calls waiting in the same lane.
    pub queued: usize,
    /// Maximum number of calls waiting in the lane.
    pub max_queued: usize,
    /// Expected wait for a slot, in microseconds.
    pub wait_micros: u64,
    /// Expected time in the slot, in microseconds.
    pub attempt_micros: u64,
    /// Time by which the response is needed; `None` if no deadline is enforced.
    pub deadline: Option<MonotonicTime>,
}

/// Decides whether a call is refused; `None` admits it.
pub fn refusal(now: MonotonicTime, view: &AdmissionView) -> Option<Refusal> {
    if !view.has_backend {
        let reason = RefusalReason::NoBackend;
        return Some(Refusal::retry_after(reason, NO_BACKEND_RETRY));
    }
    if view.queued >= view.max_queued {
        let retry = retry_delay(Duration::from_micros(view.wait_micros / 2));
        return Some(Refusal::retry_after(RefusalReason::QueueFull, retry));
    }
    let deadline = view.deadline?;
    let needed = Duration::from_micros(view.wait_micros.saturating_add(view.attempt_micros));
    if now + needed <= deadline {
        return None;
    }
    Some(deadline_refusal(now, needed, deadline))
}

/// Refusal of a call that needs more time than its deadline leaves. The retry delay is the time
/// missing, in which the queue may shrink enough.
pub fn deadline_refusal(now: MonotonicTime, needed: Duration, deadline: MonotonicTime) -> Refusal {
    let allowed = deadline.since(now);
    let retry = retry_delay(needed.saturating_sub(allowed));
    Refusal::retry_after(RefusalReason::DeadlineCannotBeMet, retry)
}

fn retry_delay(delay: Duration) -> Duration {
    delay.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
}
