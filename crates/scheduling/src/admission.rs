//! Admission: bounded queues, and refusal of calls that cannot meet their deadline.

use std::time::Duration;

use ridgeworks_domain::{MonotonicTime, Refusal, RefusalReason};

const SHORTEST_RETRY: Duration = Duration::from_millis(100);
const LONGEST_RETRY: Duration = Duration::from_secs(60);
const NO_BACKEND_RETRY: Duration = Duration::from_secs(1);

/// What admission weighs.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionView {
    /// Whether any back end serves.
    pub has_backend: bool,
    /// Calls that wait in the same lane.
    pub queued: usize,
    /// Most calls of the lane.
    pub max_queued: usize,
    /// Expected wait for a slot, in microseconds.
    pub wait_micros: u64,
    /// Expected time in the slot, in microseconds.
    pub attempt_micros: u64,
    /// When the answer must be there, if deadlines are minded.
    pub deadline: Option<MonotonicTime>,
}

/// Why a call is refused, if it is.
pub fn refusal(now: MonotonicTime, view: &AdmissionView) -> Option<Refusal> {
    if !view.has_backend {
        let reason = RefusalReason::NoBackend;
        return Some(Refusal::retry_after(reason, NO_BACKEND_RETRY));
    }
    if view.queued >= view.max_queued {
        let retry = retry_time(Duration::from_micros(view.wait_micros / 2));
        return Some(Refusal::retry_after(RefusalReason::QueueFull, retry));
    }
    let deadline = view.deadline?;
    let needed = Duration::from_micros(view.wait_micros.saturating_add(view.attempt_micros));
    if now + needed <= deadline {
        return None;
    }
    Some(too_late(now, needed, deadline))
}

/// Refusal of a call that needs longer than its deadline leaves. It may come back when the queue
/// has shrunk by what it is too long.
pub fn too_late(now: MonotonicTime, needed: Duration, deadline: MonotonicTime) -> Refusal {
    let allowed = deadline.since(now);
    let retry = retry_time(needed.saturating_sub(allowed));
    Refusal::retry_after(RefusalReason::DeadlineCannotBeMet, retry)
}

fn retry_time(delay: Duration) -> Duration {
    delay.clamp(SHORTEST_RETRY, LONGEST_RETRY)
}
