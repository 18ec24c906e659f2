//! Acquires grants of tenants' rate limits before their requests run (`docs/design/quotas.md`).

use std::cell::RefCell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use ridgeworks_quota::{
    LimiterCandidate, LimiterKey, LimiterSelection, LimiterSelector, ProgramProgress,
};
use ridgeworks_records::{Admission, GroupId, Replica, ReplicaReply, ReplicaRequest};
use ridgeworks_resident::clock::whole_ms;
use ridgeworks_resident::node::Node;
use ridgeworks_resident::peer::LinkError;
use ridgeworks_routing::{RateLimit, Refusal, RefusalReason, Tenant};
use tokio::time::Instant;

use crate::refusal::RETRY_AFTER;
use crate::replica_paths::ReplicaPaths;

/// Shortest time before a hedged request to the next limiter. A limiter usually answers in a few
/// milliseconds.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(80);
/// How long a request waits if all limiters are suspected. They are still asked, so that their
/// recovery is noticed.
const SUSPECTED_LIMITERS_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout of a request to one limiter.
const LIMITER_TIMEOUT: Duration = Duration::from_millis(700);

type Reply = (LimiterKey, Result<ReplicaReply, LinkError>);

/// Grants of tenants' rate limits held by a gateway.
pub struct RateLimits {
    node: Rc<Node>,
    paths: Rc<ReplicaPaths>,
    selector: RefCell<LimiterSelector>,
}

/// A tenant's request that needs a grant.
struct PendingGrant<'a> {
    request: &'a str,
    tenant: &'a Tenant,
    progress: ProgramProgress,
    limit: RateLimit,
    /// Version of the configuration with this limit.
    version: u64,
}

/// Replies of limiters that issued no grant.
#[derive(Default)]
struct Denials {
    /// Shortest time after which a limiter expects to have a grant.
    retry: Option<Duration>,
    /// Replies that a limiter has no grant.
    exhausted: usize,
    /// Errors and all other replies.
    failed: usize,
}

impl RateLimits {
    /// Creates the rate limits of a gateway on this node, with limiters reached over `paths`.
    pub fn new(node: Rc<Node>, paths: Rc<ReplicaPaths>) -> Self {
        Self {
            node,
            paths,
            selector: RefCell::default(),
        }
    }

    /// Waits until `deadline` for a grant for a tenant's request.
    pub async fn acquire(
        &self,
        request: &str,
        tenant: &Tenant,
        progress: ProgramProgress,
        version: u64,
        deadline: Instant,
    ) -> Result<(), Refusal> {
        let Some(limit) = tenant.limit else {
            return Ok(());
        };
        let pending = PendingGrant {
            request,
            tenant,
            progress,
            limit,
            version,
        };
        let group = self.group_of(tenant);
        let limiters = self.limiters(group);
        let state = self.select_limiters(tenant, progress, &limiters);
        let order = match state {
            LimiterSelection::Granted => return Ok(()),
            LimiterSelection::Exhausted(after) => {
                let denials = Denials {
                    retry: Some(after),
                    ..Denials::default()
                };
                return Err(self.refuse(&pending, &denials));
            }
            LimiterSelection::Ask(order) => order,
        };
        let order = order.into_iter().filter_map(|key| {
            let mut limiters = limiters.iter();
            limiters.find(|limiter| LimiterKey(limiter.id.0) == key)
        });
        let order: Vec<&Replica> = order.collect();
        let deadline = if order
            .iter()
            .all(|limiter| self.paths.is_suspected(limiter.id))
        {
            deadline.min(Instant::now() + SUSPECTED_LIMITERS_TIMEOUT)
        } else {
            deadline
        };
        let asking = self.ask_in_order(&pending, group, &order);
        let outcome = tokio::time::timeout_at(deadline, asking).await;
        match outcome.unwrap_or_else(|_| Err(Denials::default())) {
            Ok(()) => Ok(()),
            Err(denials) => Err(self.refuse(&pending, &denials)),
        }
    }

    /// Returns an unused grant: no engine has run the request, and none will.
    pub fn return_grant(&self, tenant: &Tenant) {
        if tenant.limit.is_some() {
            let now = self.node.clock.now();
            self.selector.borrow_mut().return_grant(&tenant.name, now);
        }
    }

    pub fn remove_expired(&self) {
        let now = self.node.clock.now();
        self.selector.borrow_mut().clean_up(now);
    }

    fn group_of(&self, tenant: &Tenant) -> GroupId {
        let groups = self.node.view.replica_sets();
        groups.map_or(GroupId::default(), |groups| {
            groups.group_of_tenant(&tenant.name)
        })
    }

    fn limiters(&self, group: GroupId) -> Vec<Replica> {
        let set = self.node.view.replica_set(group);
        set.map(|set| set.voters).unwrap_or_default()
    }

    fn select_limiters(
        &self,
        tenant: &Tenant,
        progress: ProgramProgress,
        limiters: &[Replica],
    ) -> LimiterSelection {
        let candidates = limiters.iter().map(|limiter| LimiterCandidate {
            key: LimiterKey(limiter.id.0),
            is_unresponsive: self.paths.is_suspected(limiter.id) || !self.paths.is_open(limiter.id),
        });
        let candidates: Vec<LimiterCandidate> = candidates.collect();
        let now = self.node.clock.now();
        let mut selector = self.selector.borrow_mut();
        selector.next(&tenant.name, progress, &candidates, now, &mut rand::rng())
    }

    /// Asks the limiters one by one; the next one is also asked if one is slow.
    async fn ask_in_order(
        &self,
        pending: &PendingGrant<'_>,
        group: GroupId,
        order: &[&Replica],
    ) -> Result<(), Denials> {
        let mut denials = Denials::default();
        let mut order = order.iter();
        let mut pending_replies = FuturesUnordered::new();
        let mut hedge_timer = pin!(tokio::time::sleep(MIN_HEDGE_DELAY));
        let mut next = order.next();
        loop {
            if let Some(limiter) = next.take() {
                pending_replies.push(self.ask(pending, group, limiter));
                let single = std::slice::from_ref(*limiter);
                let wait = self.paths.silence_timeout(single, MIN_HEDGE_DELAY);
                hedge_timer.as_mut().reset(Instant::now() + wait);
            }
            let (from, reply) = tokio::select! {
                reply = pending_replies.next() => match reply {
                    Some(reply) => reply,
                    None => return Err(denials),
                },
                () = hedge_timer.as_mut(), if order.len() > 0 => {
                    next = order.next();
                    continue;
                }
            };
            if self.apply_reply(pending, from, reply, &mut denials) {
                return Ok(());
            }
            next = order.next();
        }
    }

    async fn ask(&self, pending: &PendingGrant<'_>, group: GroupId, limiter: &Replica) -> Reply {
        let request = ReplicaRequest::Admit(Admission {
            group,
            tenant: pending.tenant.name.clone(),
            may_start_program: pending.progress == ProgramProgress::Beginning,
            per_ks: pending.limit.per_ks,
            burst: pending.limit.burst,
            version: pending.version,
        });
        let reply = self.paths.ask(limiter, request, LIMITER_TIMEOUT).await;
        (LimiterKey(limiter.id.0), reply)
    }

    /// Applies a reply. Returns whether it is a grant.
    fn apply_reply(
        &self,
        pending: &PendingGrant<'_>,
        from: LimiterKey,
        reply: Result<ReplicaReply, LinkError>,
        denials: &mut Denials,
    ) -> bool {
        match reply {
            Ok(ReplicaReply::Granted) => return true,
            Ok(ReplicaReply::Exhausted { next_ms, retry_ms }) => {
                let next = Duration::from_millis(next_ms);
                let retry = Duration::from_millis(retry_ms);
                let now = self.node.clock.now();
                let mut selector = self.selector.borrow_mut();
                let PendingGrant {
                    tenant, progress, ..
                } = pending;
                selector.on_exhausted(&tenant.name, *progress, from, next, retry, now);
                denials.exhausted += 1;
                denials.retry = Some(denials.retry.map_or(retry, |known| known.min(retry)));
            }
            Ok(_) | Err(_) => denials.failed += 1,
        }
        false
    }

    fn refuse(&self, pending: &PendingGrant<'_>, denials: &Denials) -> Refusal {
        let reason = match denials.retry {
            Some(_) => RefusalReason::RateExceeded,
            None => RefusalReason::RateUnknown,
        };
        let after = denials.retry.unwrap_or_default().max(RETRY_AFTER);
        log::info!(
            target: "request",
            request = pending.request,
            tenant = pending.tenant.name.as_str(),
            reason = reason.name(),
            progress:? = pending.progress,
            per_ks = pending.limit.per_ks,
            burst = pending.limit.burst,
            version = pending.version,
            exhausted = denials.exhausted,
            silent = denials.failed,
            retry_ms = whole_ms(after);
            "no rate-limit grant for the request"
        );
        Refusal::retry_later(reason, after)
    }
}
