//! What this gateway itself saw of engines that ended under requests. It stands in for the replicas while they cannot be asked,
//! and tells requests that many clients send alike from those that end engines.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use ridgeworks_records::{EndCertainty, EngineRun, RequestDigest};

/// Successes for each end from which on a request that many clients send alike is held to be harmless.
const SERVED_PER_END: usize = 8;
/// Requests that are remembered; the oldest are forgotten.
const MAX_REQUESTS: usize = 4_096;

/// What was seen of one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SeenRequest {
    /// Runs of engines that are known to have ended under it.
    pub known: BTreeSet<EngineRun>,
    /// Runs of engines that are presumed to have ended under it.
    pub presumed: BTreeSet<EngineRun>,
    /// How often engines served it, or one that is the same in everything that tells requests apart. Only counted for requests that
    /// belong to no program.
    pub served: usize,
}

impl SeenRequest {
    /// Whether it was served so often that engines which ended under it had another cause.
    pub fn is_mostly_served(&self, ends: usize) -> bool {
        self.served > 0 && self.served >= ends * SERVED_PER_END
    }
}

/// Requests under which engines ended, and those without a program that were served. Times are since the start of the process.
#[derive(Debug)]
pub struct SeenEnds {
    lifetime: Duration,
    requests: HashMap<RequestDigest, (Duration, SeenRequest)>,
    /// Digests with the times at which they were written, oldest first; some have been written again since.
    order: VecDeque<(Duration, RequestDigest)>,
}

impl SeenEnds {
    /// `lifetime` is how long a request is remembered after it was seen last.
    pub fn new(lifetime: Duration) -> Self {
        Self {
            lifetime,
            requests: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Adds an end; returns how many were seen.
    pub fn on_end(
        &mut self,
        digest: RequestDigest,
        run: EngineRun,
        certainty: EndCertainty,
        now: Duration,
    ) -> usize {
        let seen = self.touch(digest, now);
        match certainty {
            EndCertainty::Known => seen.known.insert(run),
            EndCertainty::Presumed => seen.presumed.insert(run),
        };
        seen.known.union(&seen.presumed).count()
    }

    /// Records that an engine served the request.
    pub fn on_served(&mut self, digest: RequestDigest, now: Duration) {
        self.touch(digest, now).served += 1;
    }

    /// Forgets the ends under a request, which had another cause.
    pub fn forget_ends(&mut self, digest: RequestDigest) {
        if let Some((_, seen)) = self.requests.get_mut(&digest) {
            seen.known.clear();
            seen.presumed.clear();
        }
    }

    /// Forgets an end that was presumed, of an engine that has lived on.
    pub fn forget_presumed(&mut self, digest: RequestDigest, run: EngineRun) {
        if let Some((_, seen)) = self.requests.get_mut(&digest) {
            seen.presumed.remove(&run);
        }
    }

    /// What was seen of a request.
    pub fn find(&mut self, digest: RequestDigest, now: Duration) -> Option<SeenRequest> {
        self.expire(now);
        let (_, seen) = self.requests.get(&digest)?;
        Some(seen.clone())
    }

    /// Number of requests that are remembered.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    fn touch(&mut self, digest: RequestDigest, now: Duration) -> &mut SeenRequest {
        self.expire(now);
        self.order.push_back((now, digest));
        let (at, seen) = self.requests.entry(digest).or_default();
        *at = now;
        seen
    }

    fn expire(&mut self, now: Duration) {
        while let Some((at, digest)) = self.order.front().copied() {
            let is_expired = now.saturating_sub(at) >= self.lifetime;
            if !is_expired && self.order.len() < MAX_REQUESTS {
                return;
            }
            self.order.pop_front();
            let written = self.requests.get(&digest).map(|(written, _)| *written);
            if written == Some(at) {
                self.requests.remove(&digest);
            }
        }
    }
}
