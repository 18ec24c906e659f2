//! Asks for grants of a tenant's limit before its requests run (`docs/design/quotas.md`).

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

use crate::refusal::COME_BACK;
use crate::replica_paths::ReplicaPaths;

/// How long one limiter may take before another one is asked too, at least: its answer comes in a few milliseconds, beside the
/// reservation of tokens.
const NEXT_PATIENCE: Duration = Duration::from_millis(80);
/// How long a request waits where no limiter has answered lately: they are asked, so that they are found again, and nobody is held for
/// them.
const LATE_PATIENCE: Duration = Duration::from_millis(150);
/// How long one limiter may take in all.
const LIMITER_TIMEOUT: Duration = Duration::from_millis(700);

type Reply = (LimiterKey, Result<ReplicaReply, LinkError>);

/// Grants of the limits of tenants, at a gateway.
pub struct RateLimits {
    node: Rc<Node>,
    paths: Rc<ReplicaPaths>,
    gate: RefCell<LimiterSelector>,
}

/// The request of a tenant for which a grant is wanted.
struct Wanted<'a> {
    request: &'a str,
    tenant: &'a Tenant,
    progress: ProgramProgress,
    limit: RateLimit,
    /// Version of the configuration that sets the limit.
    version: u64,
}

/// What limiters answered that gave nothing.
#[derive(Default)]
struct Denials {
    /// Until the request may come back, by the limiter that has something first.
    retry: Option<Duration>,
    answered: usize,
    silent: usize,
}

impl RateLimits {
    /// Grants for requests of a gateway on this node, asked for on these ways.
    pub fn new(node: Rc<Node>, paths: Rc<ReplicaPaths>) -> Self {
        Self {
            node,
            paths,
            gate: RefCell::default(),
        }
    }

    /// Waits for a grant for a tenant's request, until this time at most.
    pub async fn take(
        &self,
        request: &str,
        tenant: &Tenant,
        progress: ProgramProgress,
        version: u64,
        until: Instant,
    ) -> Result<(), Refusal> {
        let Some(limit) = tenant.limit else {
            return Ok(());
        };
        let wanted = Wanted {
            request,
            tenant,
            progress,
            limit,
            version,
        };
        let group = self.group_of(tenant);
        let limiters = self.limiters(group);
        let state = self.next(tenant, progress, &limiters);
        let order = match state {
            LimiterSelection::Granted => return Ok(()),
            LimiterSelection::Closed(after) => {
                let denials = Denials {
                    retry: Some(after),
                    ..Denials::default()
                };
                return Err(self.refuse(&wanted, &denials));
            }
            LimiterSelection::Ask(order) => order,
        };
        let order = order.into_iter().filter_map(|key| {
            let mut limiters = limiters.iter();
            limiters.find(|limiter| LimiterKey(limiter.id.0) == key)
        });
        let order: Vec<&Replica> = order.collect();
        let until = if order
            .iter()
            .all(|limiter| self.paths.is_suspected(limiter.id))
        {
            until.min(Instant::now() + LATE_PATIENCE)
        } else {
            until
        };
        let asking = self.ask_in_turn(&wanted, group, &order);
        let asked = tokio::time::timeout_at(until, asking).await;
        match asked.unwrap_or_else(|_| Err(Denials::default())) {
            Ok(()) => Ok(()),
            Err(denials) => Err(self.refuse(&wanted, &denials)),
        }
    }

    /// A grant was not used: no engine has run the request, and none will.
    pub fn return_grant(&self, tenant: &Tenant) {
        if tenant.limit.is_some() {
            let now = self.node.clock.now();
            self.gate.borrow_mut().return_grant(&tenant.name, now);
        }
    }

    /// Lets go of what lies in the past.
    pub fn clean_up(&self) {
        let now = self.node.clock.now();
        self.gate.borrow_mut().clean_up(now);
    }

    fn group_of(&self, tenant: &Tenant) -> GroupId {
        let groups = self.node.view.groups();
        groups.map_or(GroupId::default(), |groups| {
            groups.group_of_tenant(&tenant.name)
        })
    }

    fn limiters(&self, group: GroupId) -> Vec<Replica> {
        let set = self.node.view.replica_set(group);
        set.map(|set| set.voters).unwrap_or_default()
    }

    fn next(
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
        let mut gate = self.gate.borrow_mut();
        gate.next(&tenant.name, progress, &candidates, now, &mut rand::rng())
    }

    /// Asks the limiters one after the other; the next one also where one takes long.
    async fn ask_in_turn(
        &self,
        wanted: &Wanted<'_>,
        group: GroupId,
        order: &[&Replica],
    ) -> Result<(), Denials> {
        let mut denials = Denials::default();
        let mut order = order.iter();
        let mut asked = FuturesUnordered::new();
        let mut patience = pin!(tokio::time::sleep(NEXT_PATIENCE));
        let mut next = order.next();
        loop {
            if let Some(limiter) = next.take() {
                asked.push(self.ask(wanted, group, limiter));
                let alone = std::slice::from_ref(*limiter);
                let wait = self.paths.patience(alone, NEXT_PATIENCE);
                patience.as_mut().reset(Instant::now() + wait);
            }
            let (from, reply) = tokio::select! {
                answer = asked.next() => match answer {
                    Some(answer) => answer,
                    None => return Err(denials),
                },
                () = patience.as_mut(), if order.len() > 0 => {
                    next = order.next();
                    continue;
                }
            };
            if self.take_reply(wanted, from, reply, &mut denials) {
                return Ok(());
            }
            next = order.next();
        }
    }

    async fn ask(&self, wanted: &Wanted<'_>, group: GroupId, limiter: &Replica) -> Reply {
        let request = ReplicaRequest::Admit(Admission {
            group,
            tenant: wanted.tenant.name.clone(),
            may_start_program: wanted.progress == ProgramProgress::Beginning,
            per_ks: wanted.limit.per_ks,
            burst: wanted.limit.burst,
            version: wanted.version,
        });
        let reply = self.paths.ask(limiter, request, LIMITER_TIMEOUT).await;
        (LimiterKey(limiter.id.0), reply)
    }

    /// Takes an answer in; says whether it is a grant.
    fn take_reply(
        &self,
        wanted: &Wanted<'_>,
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
                let mut gate = self.gate.borrow_mut();
                let Wanted {
                    tenant, progress, ..
                } = wanted;
                gate.on_exhausted(&tenant.name, *progress, from, next, retry, now);
                denials.answered += 1;
                denials.retry = Some(denials.retry.map_or(retry, |known| known.min(retry)));
            }
            Ok(_) | Err(_) => denials.silent += 1,
        }
        false
    }

    fn refuse(&self, wanted: &Wanted<'_>, denials: &Denials) -> Refusal {
        let reason = match denials.retry {
            Some(_) => RefusalReason::RateExceeded,
            None => RefusalReason::RateUnknown,
        };
        let after = denials.retry.unwrap_or_default().max(COME_BACK);
        log::info!(
            target: "request",
            request = wanted.request,
            tenant = wanted.tenant.name.as_str(),
            reason = reason.name(),
            progress:? = wanted.progress,
            per_ks = wanted.limit.per_ks,
            burst = wanted.limit.burst,
            version = wanted.version,
            exhausted = denials.answered,
            silent = denials.silent,
            retry_ms = whole_ms(after);
            "no grant for a request of a tenant"
        );
        Refusal::retry_later(reason, after)
    }
}
