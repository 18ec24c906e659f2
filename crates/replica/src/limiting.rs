//! Gives out this node's shares of the limits of tenants (`docs/design/quotas.md`) and of what engines bear that warm up
//! (`docs/design/warm-up.md`).
//!
//! It needs no disk: what was given out counts for a window only, and a limiter that knows nothing of before starts low.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use ridgeworks_quota::{
    GrantLimiter, Limiter, LimiterDecision, ProgramProgress, QuotaBounds, WarmUpBounds,
};
use ridgeworks_records::{Admission, GroupId, ReplicaGroups, ReplicaReply};
use ridgeworks_resident::clock::whole_ms;
use ridgeworks_resident::peer::{GrantReply, GrantRequest};
use ridgeworks_routing::{RateLimit, WarmUpLimit};

/// How often buckets that are full again are let go.
pub const TIDY_INTERVAL: Duration = Duration::from_secs(10);

/// What this node gives out as a voter of one group.
#[derive(Debug)]
struct GroupLimiters {
    tenants: Limiter,
    /// None where engines need no care.
    engines: Option<GrantLimiter>,
}

/// The limiters of the groups whose voter this node is.
#[derive(Debug)]
pub struct Limiting {
    bounds: QuotaBounds,
    warm_up: Option<WarmUpBounds>,
    /// Limiters that each limit is split among.
    limiters: usize,
    groups: RefCell<BTreeMap<GroupId, GroupLimiters>>,
}

impl Limiting {
    /// No limiter yet.
    pub fn new(bounds: QuotaBounds, warm_up: Option<WarmUpBounds>, limiters: usize) -> Self {
        Self {
            bounds,
            warm_up,
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
                groups.entry(group).or_insert_with(|| self.new_group(now));
            } else {
                groups.remove(&group);
            }
        }
    }

    fn new_group(&self, now: Duration) -> GroupLimiters {
        let engines = self.warm_up;
        GroupLimiters {
            tenants: Limiter::new(self.bounds, self.limiters, now),
            engines: engines.map(|bounds| GrantLimiter::new(bounds, self.limiters, now)),
        }
    }

    /// Whether a request may go to an engine that warms up; `None` where nothing is promised of that.
    pub fn grant(&self, request: &GrantRequest, now: Duration) -> Option<GrantReply> {
        self.warm_up?;
        let mut groups = self.groups.borrow_mut();
        let group = groups.get_mut(&request.group);
        let Some(limiter) = group.and_then(|group| group.engines.as_mut()) else {
            return Some(GrantReply::NotMember);
        };
        let limit = WarmUpLimit {
            per_ks: request.per_ks,
            duration_ms: 0,
        };
        let verdict = limiter.grant(&request.engine, limit, request.version, now);
        Some(match verdict {
            LimiterDecision::Granted => GrantReply::Granted,
            LimiterDecision::Exhausted { next, retry } => GrantReply::Exhausted {
                next_ms: whole_ms(next),
                retry_ms: whole_ms(retry),
            },
        })
    }

    /// Whether a request of a tenant may run.
    pub fn admit(&self, admission: &Admission, now: Duration) -> ReplicaReply {
        let mut groups = self.groups.borrow_mut();
        let Some(group) = groups.get_mut(&admission.group) else {
            return ReplicaReply::NotMember;
        };
        let limiter = &mut group.tenants;
        let limit = RateLimit {
            per_ks: admission.per_ks,
            burst: admission.burst,
        };
        let progress = if admission.may_start_program {
            ProgramProgress::Beginning
        } else {
            ProgramProgress::UnderWay
        };
        match limiter.admit(&admission.tenant, progress, limit, admission.version, now) {
            LimiterDecision::Granted => ReplicaReply::Granted,
            LimiterDecision::Exhausted { next, retry } => ReplicaReply::Exhausted {
                next_ms: whole_ms(next),
                retry_ms: whole_ms(retry),
            },
        }
    }

    /// Lets go of buckets that are full again.
    pub fn clean_up(&self, now: Duration) {
        let mut groups = self.groups.borrow_mut();
        for group in groups.values_mut() {
            group.tenants.clean_up(now);
            if let Some(engines) = &mut group.engines {
                engines.clean_up(now);
            }
        }
    }

    /// Tenants of whom something was taken lately.
    pub fn tenants(&self) -> usize {
        let groups = self.groups.borrow();
        groups.values().map(|group| group.tenants.len()).sum()
    }
}
