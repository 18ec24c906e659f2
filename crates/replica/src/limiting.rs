//! Gives out this node's shares of the limits of tenants (`docs/design/quotas.md`).
//!
//! It needs no disk: what was given out counts for a window only, and a limiter that knows nothing of before starts low.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use ridgeworks_quota::{Limiter, Progress, QuotaBounds, Verdict};
use ridgeworks_records::{Admission, GroupId, ReplicaGroups, ReplicaReply};
use ridgeworks_resident::clock::whole_ms;
use ridgeworks_routing::RateLimit;

/// How often buckets that are full again are let go.
pub const TIDY_INTERVAL: Duration = Duration::from_secs(10);

/// The limiters of the groups whose voter this node is.
#[derive(Debug)]
pub struct Limiting {
    bounds: QuotaBounds,
    /// Limiters that each limit is split among.
    limiters: usize,
    groups: RefCell<BTreeMap<GroupId, Limiter>>,
}

impl Limiting {
    /// No limiter yet.
    pub fn new(bounds: QuotaBounds, limiters: usize) -> Self {
        Self {
            bounds,
            limiters,
            groups: RefCell::default(),
        }
    }

    /// Takes in newer replica sets: a voter that is new knows nothing of what the one before it has given out.
    pub fn on_sets(&self, sets: &ReplicaGroups, node: &str, now: Duration) {
        let mut groups = self.groups.borrow_mut();
        for (group, set) in sets.iter() {
            let is_voter = set.voters.iter().any(|voter| voter.node == node);
            if is_voter {
                let new = || Limiter::new(self.bounds, self.limiters, now);
                groups.entry(group).or_insert_with(new);
            } else {
                groups.remove(&group);
            }
        }
    }

    /// Whether a request of a tenant may run.
    pub fn admit(&self, admission: &Admission, now: Duration) -> ReplicaReply {
        let mut groups = self.groups.borrow_mut();
        let Some(limiter) = groups.get_mut(&admission.group) else {
            return ReplicaReply::NotMember;
        };
        let limit = RateLimit {
            per_ks: admission.per_ks,
            burst: admission.burst,
        };
        let progress = if admission.is_beginning {
            Progress::Beginning
        } else {
            Progress::UnderWay
        };
        match limiter.admit(&admission.tenant, progress, limit, admission.version, now) {
            Verdict::Granted => ReplicaReply::Granted,
            Verdict::Exhausted { next, retry } => ReplicaReply::Exhausted {
                next_ms: whole_ms(next),
                retry_ms: whole_ms(retry),
            },
        }
    }

    /// Lets go of buckets that are full again.
    pub fn tidy(&self, now: Duration) {
        let mut groups = self.groups.borrow_mut();
        groups.values_mut().for_each(|limiter| limiter.tidy(now));
    }

    /// Tenants of whom something was taken lately.
    pub fn tenants(&self) -> usize {
        self.groups.borrow().values().map(Limiter::len).sum()
    }
}
