//! Grants this node's shares of the rate limits of tenants (`docs/design/quotas.md`) and of the
//! warm-up limits of engines (`docs/design/warm-up.md`).
//!
//! Nothing is stored on disk: a grant counts only within a window, and a limiter without history
//! starts with a low rate.

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

/// How often token buckets that are full again are removed.
pub const CLEAN_UP_INTERVAL: Duration = Duration::from_secs(10);

/// This node's limiters as a voter of one group.
#[derive(Debug)]
struct GroupLimiters {
    tenants: Limiter,
    /// `None` if warm-up limits are off.
    engines: Option<GrantLimiter>,
}

/// The limiters of the groups in which this node is a voter.
#[derive(Debug)]
pub struct LocalLimiters {
    bounds: QuotaBounds,
    warm_up: Option<WarmUpBounds>,
    /// Number of limiters that share each limit.
    limiter_count: usize,
    groups: RefCell<BTreeMap<GroupId, GroupLimiters>>,
}

impl LocalLimiters {
    pub fn new(bounds: QuotaBounds, warm_up: Option<WarmUpBounds>, limiter_count: usize) -> Self {
        Self {
            bounds,
            warm_up,
            limiter_count,
            groups: RefCell::default(),
        }
    }

    /// Adopts newer replica sets. A new voter starts without the grants of its predecessor.
    pub fn adopt_sets(&self, sets: &ReplicaGroups, node: &str, now: Duration) {
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
            tenants: Limiter::new(self.bounds, self.limiter_count, now),
            engines: engines.map(|bounds| GrantLimiter::new(bounds, self.limiter_count, now)),
        }
    }

    /// Decides whether a request may go to an engine that is warming up; `None` if warm-up limits
    /// are off.
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
        let decision = limiter.grant(&request.engine, limit, request.version, now);
        Some(match decision {
            LimiterDecision::Granted => GrantReply::Granted,
            LimiterDecision::Exhausted { next, retry } => GrantReply::Exhausted {
                next_ms: whole_ms(next),
                retry_ms: whole_ms(retry),
            },
        })
    }

    /// Decides whether a tenant's request may run.
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

    /// Removes token buckets that are full again.
    pub fn clean_up(&self, now: Duration) {
        let mut groups = self.groups.borrow_mut();
        for group in groups.values_mut() {
            group.tenants.clean_up(now);
            if let Some(engines) = &mut group.engines {
                engines.clean_up(now);
            }
        }
    }

    /// Number of tenants that have a token bucket at this node.
    pub fn tenants(&self) -> usize {
        let groups = self.groups.borrow();
        groups.values().map(|group| group.tenants.len()).sum()
    }
}
