//! What one limiter gives out of one limit.

use std::collections::HashMap;
use std::time::Duration;

use crate::limiter::{LimiterDecision, ProgramProgress};
use crate::share::Share;

/// Part of a bucket that requests of programs that are under way find when others find it empty. Where a tenant asks for more than its
/// limit, every program that is let in can be carried out; without it each program lost some request in its midst.
const BEGUN_SHARE: f64 = 0.55;
/// Full buckets that are kept for the limits that they tell: more than a deployment has tenants, within half a megabyte.
const MAX_FULL_BUCKETS: usize = 4_096;
/// When a request may come back whose limit may be out of date: its gateway hears of the newer version meanwhile.
const UNSURE_RETRY: Duration = Duration::from_millis(200);

/// A token bucket for one share of a limit. Times are since the start of the process.
#[derive(Debug)]
pub(crate) struct Bucket {
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
    pub(crate) fn new(share: Share, level: f64, version: u64, now: Duration) -> Self {
        Self {
            version,
            share,
            level,
            at: now,
            promised: now,
        }
    }

    /// Takes a share in that a newer version of the configuration sets.
    fn renew(&mut self, fresh: &Self) {
        if fresh.version > self.version {
            self.version = fresh.version;
            self.share = fresh.share;
            self.level = self.level.min(self.share.capacity);
        }
    }

    fn fill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.level = (self.level + passed * self.share.per_s).min(self.share.capacity);
        self.at = self.at.max(now);
    }

    fn is_full(&self) -> bool {
        self.level >= self.share.capacity
    }

    fn take(&mut self, progress: ProgramProgress, longest: Duration) -> LimiterDecision {
        let needed = match progress {
            ProgramProgress::Beginning => 1.0 + self.share.capacity * BEGUN_SHARE,
            ProgramProgress::UnderWay => 1.0,
        };
        // A bucket that is full serves whoever comes, however small it is.
        let needed = needed.min(self.share.capacity).max(1.0);
        if self.level >= needed {
            self.level -= 1.0;
            return LimiterDecision::Granted;
        }
        let pace = seconds(1.0 / self.share.per_s, longest);
        let next = seconds((needed - self.level) / self.share.per_s, longest);
        let first = self.at + next;
        let latest = self.at + longest;
        self.promised = (self.promised + pace).max(first).min(latest);
        LimiterDecision::Exhausted {
            next,
            retry: self.promised - self.at,
        }
    }
}

/// A time that may be longer than anybody waits, or endless.
fn seconds(seconds: f64, longest: Duration) -> Duration {
    Duration::try_from_secs_f64(seconds).map_or(longest, |time| time.min(longest))
}

/// The buckets of one limiter, by whose limit it is.
#[derive(Debug, Default)]
pub(crate) struct Buckets {
    buckets: HashMap<String, Bucket>,
    /// Newest version among the limits that were let go.
    forgotten: u64,
}

impl Buckets {
    /// Takes from the bucket of this name: this one, unless there is one.
    pub(crate) fn take(
        &mut self,
        name: &str,
        fresh: Bucket,
        progress: ProgramProgress,
        longest: Duration,
    ) -> LimiterDecision {
        let Some(bucket) = self.buckets.get_mut(name) else {
            if fresh.version < self.forgotten {
                // A lower limit may be among those that were let go.
                return LimiterDecision::Exhausted {
                    next: UNSURE_RETRY,
                    retry: UNSURE_RETRY,
                };
            }
            let bucket = self.buckets.entry(name.to_owned()).or_insert(fresh);
            return bucket.take(progress, longest);
        };
        bucket.fill(fresh.at);
        bucket.renew(&fresh);
        bucket.take(progress, longest)
    }

    /// Lets go of full buckets beyond those that are kept so that no gateway brings an earlier limit than the newest one that was heard of.
    /// Those with limits of the oldest versions go first.
    pub(crate) fn clean_up(&mut self, now: Duration) {
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

    /// Those of which something was taken lately.
    pub(crate) fn len(&self) -> usize {
        let taken = self.buckets.values().filter(|bucket| !bucket.is_full());
        taken.count()
    }

    /// All that are kept.
    pub(crate) fn kept(&self) -> usize {
        self.buckets.len()
    }
}
