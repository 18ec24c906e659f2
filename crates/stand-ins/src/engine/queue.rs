//! The queue in front of the batch: ordered by priority, then by arrival.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::Duration;

use crate::attempts::{Attempt, AttemptState};
use crate::engine::chat::{ChatContext, ChatPlan};

/// How long the scheduler waits before it looks again whether memory has come free.
const MEMORY_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// An attempt with what the scheduler needs for it.
pub struct ChatWork {
    /// The attempt.
    pub attempt: Arc<Attempt<ChatPlan>>,
    /// Its token sequences.
    pub context: ChatContext,
}

/// An attempt in the queue.
pub struct Waiting {
    /// The attempt.
    pub work: ChatWork,
    arrival: u64,
}

impl Waiting {
    fn rank(&self) -> (i64, u64) {
        (self.work.attempt.plan.priority, self.arrival)
    }
}

impl PartialEq for Waiting {
    fn eq(&self, other: &Self) -> bool {
        self.rank() == other.rank()
    }
}

impl Eq for Waiting {}

impl PartialOrd for Waiting {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Waiting {
    /// The largest is the next to run.
    fn cmp(&self, other: &Self) -> Ordering {
        other.rank().cmp(&self.rank())
    }
}

#[derive(Default)]
struct Queue {
    waiting: BinaryHeap<Waiting>,
    arrivals: u64,
    is_closed: bool,
}

/// The queue of attempts, shared between request threads and the scheduler.
#[derive(Default)]
pub struct AttemptQueue {
    queue: Mutex<Queue>,
    changed: Condvar,
}

impl AttemptQueue {
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().expect("no holder of this lock panics")
    }

    /// Number of waiting attempts.
    pub fn len(&self) -> usize {
        self.lock().waiting.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds an attempt; one that comes after the end never starts.
    pub fn push(&self, work: ChatWork) {
        let mut queue = self.lock();
        if queue.is_closed {
            let end = AttemptState::NeverStarted;
            work.attempt.update(|progress| progress.state = end);
            return;
        }
        queue.arrivals += 1;
        let arrival = queue.arrivals;
        queue.waiting.push(Waiting { arrival, work });
        self.changed.notify_all();
    }

    /// Lets the scheduler end once all attempts are done.
    pub fn close(&self) {
        self.lock().is_closed = true;
        self.changed.notify_all();
    }

    /// Takes the attempt that goes first.
    pub fn pop(&self) -> Option<Waiting> {
        self.lock().waiting.pop()
    }

    /// Gives an attempt back that found no room; it keeps its place.
    pub fn put_back(&self, waiting: Waiting) {
        self.lock().waiting.push(waiting);
    }

    /// Waits for an attempt, or a little when those that wait found no memory. Answers whether
    /// there is anything left to do.
    pub fn wait_for_work(&self) -> bool {
        let queue = self.lock();
        if !queue.waiting.is_empty() {
            let waited = self.changed.wait_timeout(queue, MEMORY_POLL_INTERVAL);
            drop(waited.expect("no holder of this lock panics"));
            return true;
        }
        let is_idle = |queue: &mut Queue| queue.waiting.is_empty() && !queue.is_closed;
        let waited = self.changed.wait_while(queue, is_idle);
        let queue = waited.expect("no holder of this lock panics");
        !queue.waiting.is_empty()
    }
}
