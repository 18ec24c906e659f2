//! Token buckets of one limiter.

use std::collections::HashMap;
use std::time::Duration;

use crate::limiter::{LimiterDecision, ProgramProgress};
use crate::share::Share;

/// Fraction of a bucket that is reserved for programs in progress. Where a tenant asks for more than its
/// limit, programs that were admitted can then finish; without the reserve, each program would lose a request
/// at some point.
const RESERVED_FRACTION: f64 = 0.55;
/// Full buckets that are kept so that their limits are known: more than a deployment has tenants, in less
/// than half a megabyte.
const MAX_FULL_BUCKETS: usize = 4_096;
/// Delay before a retry of a request whose limit may be outdated. Its gateway receives the newer
/// configuration in the meantime.
const STALE_LIMIT_RETRY: Duration = Duration::from_millis(200);

/// Token bucket for one share of a limit. Times are since the start of the process.
#[derive(Debug)]
pub(crate) struct Bucket {
    /// Version of the configuration that set the share.
    version: u64,
    share: Share,
    /// Tokens in the bucket when it was last updated.
    level: f64,
    updated_at: Duration,
    /// When the last refused request may retry. Each refused request gets a later time, one token apart.
    last_retry_at: Duration,
}

impl Bucket {
    pub(crate) fn new(share: Share, level: f64, version: u64, now: Duration) -> Self {
        Self {
            version,
            share,
            level,
            updated_at: now,
            last_retry_at: now,
        }
    }

    /// Takes over the share of a newer version of the configuration.
    fn update_share(&mut self, fresh: &Self) {
        if fresh.version > self.version {
            self.version = fresh.version;
            self.share = fresh.share;
            self.level = self.level.min(self.share.capacity);
        }
    }

    fn refill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.level = (self.level + passed * self.share.per_s).min(self.share.capacity);
        self.updated_at = self.updated_at.max(now);
    }

    fn is_full(&self) -> bool {
        self.level >= self.share.capacity
    }

    fn take(&mut self, progress: ProgramProgress, max_wait: Duration) -> LimiterDecision {
        let required = match progress {
            ProgramProgress::Beginning => 1.0 + self.share.capacity * RESERVED_FRACTION,
            ProgramProgress::UnderWay => 1.0,
        };
        // A full bucket that holds at least one token grants any request, even if its capacity is below one
        // token plus the reserve.
        let required = required.min(self.share.capacity).max(1.0);
        if self.level >= required {
            self.level -= 1.0;
            return LimiterDecision::Granted;
        }
        let interval = bounded_duration(1.0 / self.share.per_s, max_wait);
        let next = bounded_duration((required - self.level) / self.share.per_s, max_wait);
        let earliest = self.updated_at + next;
        let latest = self.updated_at + max_wait;
        self.last_retry_at = (self.last_retry_at + interval).max(earliest).min(latest);
        LimiterDecision::Exhausted {
            next,
            retry: self.last_retry_at - self.updated_at,
        }
    }
}

/// A duration in seconds, capped at `max_wait`; the cap also holds for values that are infinite or not a
/// number.
fn bounded_duration(seconds: f64, max_wait: Duration) -> Duration {
    Duration::try_from_secs_f64(seconds).map_or(max_wait, |duration| duration.min(max_wait))
}

/// The buckets of one limiter, by name of the tenant or engine.
#[derive(Debug, Default)]
pub(crate) struct Buckets {
    buckets: HashMap<String, Bucket>,
    /// Newest version among the limits that were discarded.
    discarded_version: u64,
}

impl Buckets {
    /// Takes a token from the bucket of this name; `fresh` is its initial state if there is none.
    pub(crate) fn take(
        &mut self,
        name: &str,
        fresh: Bucket,
        progress: ProgramProgress,
        max_wait: Duration,
    ) -> LimiterDecision {
        let Some(bucket) = self.buckets.get_mut(name) else {
            if fresh.version < self.discarded_version {
                // The discarded bucket of this name may have had a newer version and a lower limit, so this
                // limit may be outdated.
                return LimiterDecision::Exhausted {
                    next: STALE_LIMIT_RETRY,
                    retry: STALE_LIMIT_RETRY,
                };
            }
            let bucket = self.buckets.entry(name.to_owned()).or_insert(fresh);
            return bucket.take(progress, max_wait);
        };
        bucket.refill(fresh.updated_at);
        bucket.update_share(&fresh);
        bucket.take(progress, max_wait)
    }

    /// If more than `MAX_FULL_BUCKETS` buckets are full, discards full buckets, those of the oldest
    /// configuration versions first, until at most that many are left. These are kept so that a gateway with
    /// an older configuration cannot put an outdated limit into force again.
    pub(crate) fn clean_up(&mut self, now: Duration) {
        let buckets = self.buckets.values_mut();
        buckets.for_each(|bucket| bucket.refill(now));
        let full = self.buckets.values().filter(|bucket| bucket.is_full());
        let mut versions: Vec<u64> = full.map(|bucket| bucket.version).collect();
        if versions.len() <= MAX_FULL_BUCKETS {
            return;
        }
        let last = versions.len() - MAX_FULL_BUCKETS - 1;
        let (_, newest, _) = versions.select_nth_unstable(last);
        let newest = *newest;
        self.discarded_version = self.discarded_version.max(newest);
        self.buckets
            .retain(|_, bucket| !bucket.is_full() || bucket.version > newest);
    }

    /// Number of buckets that are not full.
    pub(crate) fn non_full_count(&self) -> usize {
        let non_full = self.buckets.values().filter(|bucket| !bucket.is_full());
        non_full.count()
    }

    /// Number of all buckets.
    pub(crate) fn count(&self) -> usize {
        self.buckets.len()
    }
}
