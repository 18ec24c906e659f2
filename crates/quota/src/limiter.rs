//! Gives out one share of each tenant's limit.

use std::collections::HashMap;
use std::time::Duration;

use ridgeworks_routing::RateLimit;

use crate::share::{QuotaBounds, Share};

/// Part of a bucket that requests of programs that are under way find when others find it empty. Where a tenant asks for more than its
/// limit, every program that is let in can be carried out; without it each program lost some request in its midst.
const BEGUN_SHARE: f64 = 0.55;
/// Full buckets that are kept for the limits that they tell: more than a deployment has tenants, within half a megabyte.
const MAX_FULL_BUCKETS: usize = 4_096;
/// When a request may come back whose limit may be out of date: its gateway hears of the newer version meanwhile.
const UNSURE_RETRY: Duration = Duration::from_millis(200);

/// How far the program of a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Progress {
    /// The request may be its first one.
    Beginning,
    /// It is under way.
    UnderWay,
}

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may run.
    Granted,
    /// This limiter has nothing left.
    Exhausted {
        /// Until the next request can be granted.
        next: Duration,
        /// Until this one can, if all that were turned away before it come back first.
        retry: Duration,
    },
}

#[derive(Debug)]
struct Bucket {
    /// Version of the configuration that set the share.
    version: u64,
    share: Share,
    /// Requests that it holds.
    level: f64,
    /// When that was worked out.
    at: Duration,
    /// When the last request that was turned away may come back.
    promised: Duration,
}

impl Bucket {
    fn fill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.level = (self.level + passed * self.share.per_s).min(self.share.capacity);
        self.at = self.at.max(now);
    }

    fn is_full(&self) -> bool {
        self.level >= self.share.capacity
    }

    fn take(&mut self, progress: Progress, longest: Duration) -> Verdict {
        let needed = match progress {
            Progress::Beginning => 1.0 + self.share.capacity * BEGUN_SHARE,
            Progress::UnderWay => 1.0,
        };
        // A bucket that is full serves whoever comes, however small it is.
        let needed = needed.min(self.share.capacity).max(1.0);
        if self.level >= needed {
            self.level -= 1.0;
            return Verdict::Granted;
        }
        let pace = seconds(1.0 / self.share.per_s, longest);
        let next = seconds((needed - self.level) / self.share.per_s, longest);
        let first = self.at + next;
        let latest = self.at + longest;
        self.promised = (self.promised + pace).max(first).min(latest);
        Verdict::Exhausted {
            next,
            retry: self.promised - self.at,
        }
    }
}

/// A time that may be longer than anybody waits, or endless.
fn seconds(seconds: f64, longest: Duration) -> Duration {
    Duration::try_from_secs_f64(seconds).map_or(longest, |time| time.min(longest))
}

/// Gives out one share of each tenant's limit. Times are since the start of the process.
#[derive(Debug)]
pub struct Limiter {
    bounds: QuotaBounds,
    /// Limiters that a limit is split among.
    limiters: usize,
    /// Since when it is known what this limiter has given out.
    since: Duration,
    buckets: HashMap<String, Bucket>,
    /// Newest version among the limits that were let go.
    forgotten: u64,
}

impl Limiter {
    /// A limiter that knows nothing of what was given out before now.
    pub fn new(bounds: QuotaBounds, limiters: usize, now: Duration) -> Self {
        Self {
            bounds,
            limiters,
            since: now,
            buckets: HashMap::new(),
            forgotten: 0,
        }
    }

    /// Whether a request of a tenant may run, whose limit this version of the configuration sets. A limit of an earlier version than
    /// one that was heard of changes nothing.
    pub fn admit(
        &mut self,
        tenant: &str,
        progress: Progress,
        limit: RateLimit,
        version: u64,
        now: Duration,
    ) -> Verdict {
        let longest = self.bounds.window;
        if !self.buckets.contains_key(tenant) {
            if version < self.forgotten {
                // A lower limit may be among those that were let go.
                return Verdict::Exhausted {
                    next: UNSURE_RETRY,
                    retry: UNSURE_RETRY,
                };
            }
            let bucket = self.new_bucket(limit, version, now);
            self.buckets.insert(tenant.to_owned(), bucket);
        }
        let Some(bucket) = self.buckets.get_mut(tenant) else {
            return Verdict::Exhausted {
                next: longest,
                retry: longest,
            };
        };
        bucket.fill(now);
        if version > bucket.version {
            bucket.version = version;
            bucket.share = Share::new(limit, &self.bounds, self.limiters);
            bucket.level = bucket.level.min(bucket.share.capacity);
        }
        bucket.take(progress, longest)
    }

    /// A bucket of which nothing was taken since it is known what was given out. What was given out before that
    /// does not count any more once a window has passed.
    fn new_bucket(&self, limit: RateLimit, version: u64, now: Duration) -> Bucket {
        let share = Share::new(limit, &self.bounds, self.limiters);
        let known = now.saturating_sub(self.since);
        let level = if known >= self.bounds.window {
            share.capacity
        } else {
            let filled = share.start + known.as_secs_f64() * share.per_s;
            filled.min(share.capacity)
        };
        Bucket {
            version,
            share,
            level,
            at: now,
            promised: now,
        }
    }

    /// Lets go of full buckets beyond those that are kept so that no gateway brings an earlier limit than the newest one that was heard of.
    /// Those with limits of the oldest versions go first.
    pub fn tidy(&mut self, now: Duration) {
        if now.saturating_sub(self.since) < self.bounds.window {
            return;
        }
        let buckets = self.buckets.values_mut();
        buckets.for_each(|bucket| bucket.fill(now));
        let full = self.buckets.values().filter(|bucket| bucket.is_full());
        let mut versions: Vec<u64> = full.map(|bucket| bucket.version).collect();
        if versions.len() <= MAX_FULL_BUCKETS {
            return;
        }
        let last = versions.len() - MAX_FULL_BUCKETS - 1;
        let (_, newest, _) = versions.select_nth_unstable(last);
        let newest = *newest;
        self.forgotten = self.forgotten.max(newest);
        self.buckets
            .retain(|_, bucket| !bucket.is_full() || bucket.version > newest);
    }

    /// Tenants of whom something was taken lately.
    pub fn len(&self) -> usize {
        let taken = self.buckets.values().filter(|bucket| !bucket.is_full());
        taken.count()
    }

    /// Whether nothing was taken lately.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Tenants whose limits are kept.
    pub fn kept(&self) -> usize {
        self.buckets.len()
    }
}
