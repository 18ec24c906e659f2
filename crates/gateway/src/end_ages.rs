//! Ages of the ends of engines, by this gateway's steady clock.
//!
//! The clocks of two machines may differ by any amount, and either may be set at any time. So the age of an end counts from when
//! this gateway first read of it, never from a time that another machine wrote.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use ridgeworks_records::{EngineRun, RequestDigest};

/// Ends that are remembered. The oldest is forgotten, and counts as new where it is read again.
const MAX_ENDS: usize = 16_384;

/// When ends were first read. Times are since the start of the process.
#[derive(Debug)]
pub struct EndAges {
    lifetime: Duration,
    first_read: HashMap<(RequestDigest, EngineRun), Duration>,
    /// Oldest first.
    order: VecDeque<(RequestDigest, EngineRun)>,
}

impl EndAges {
    /// `lifetime` is how long an end counts.
    pub fn new(lifetime: Duration) -> Self {
        Self {
            lifetime,
            first_read: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Takes in the ends that a ledger has under a request, and returns those that count no longer.
    pub fn expired(
        &mut self,
        digest: RequestDigest,
        runs: impl IntoIterator<Item = EngineRun>,
        now: Duration,
    ) -> BTreeSet<EngineRun> {
        let runs = runs.into_iter();
        runs.filter(|run| {
            let first_read = self.first_read(digest, *run, now);
            now.saturating_sub(first_read) >= self.lifetime
        })
        .collect()
    }

    /// Number of ends that are remembered.
    pub fn len(&self) -> usize {
        self.first_read.len()
    }

    /// Whether no end is remembered.
    pub fn is_empty(&self) -> bool {
        self.first_read.is_empty()
    }

    fn first_read(&mut self, digest: RequestDigest, run: EngineRun, now: Duration) -> Duration {
        let end = (digest, run);
        if let Some(first_read) = self.first_read.get(&end) {
            return *first_read;
        }
        if self.order.len() >= MAX_ENDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.first_read.remove(&oldest);
        }
        self.order.push_back(end);
        self.first_read.insert(end, now);
        now
    }
}
