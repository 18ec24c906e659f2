//! Which limiter a gateway asks for a tenant's next request.

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;

use crate::limiter::ProgramProgress;

/// Limiters that are asked for one request before it is turned away: with one of five empty by chance, as a limiter of a tenant of one request in
/// two seconds is now and then, fewer than one in a thousand is turned away below the limit.
const MAX_ASKED: usize = 3;
/// How long a grant that reached no engine serves another request of the tenant. It adds to a window what was granted so long before it.
const RETURNED_TIME: Duration = Duration::from_millis(400);
/// Part of the time until a request may come back for which its limiter is not asked again: the longer its queue, the
/// less often it is asked in vain.
const CLOSED_SHARE: f64 = 0.25;

/// Which limiter: the identity of its replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LimiterKey(pub u64);

/// A limiter that may be asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimiterCandidate {
    /// Which.
    pub key: LimiterKey,
    /// Whether it has not answered lately: it is asked last.
    pub is_unresponsive: bool,
}

#[derive(Debug, Default)]
struct TenantGate {
    /// Until when limiters have nothing to give, by how far the program has come.
    closed: HashMap<(LimiterKey, ProgramProgress), Duration>,
    /// When grants that were not used lapse.
    returned: Vec<Duration>,
}

impl TenantGate {
    /// When the first limiter has something again for requests of programs that have come so far.
    fn opens_at(&self, progress: ProgramProgress) -> Option<Duration> {
        let closed = self.closed.iter().filter(|((_, of), _)| *of == progress);
        closed.map(|(_, until)| *until).min()
    }
}

/// What a gateway knows of a tenant's limiters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LimiterSelection {
    /// These are to be asked, in this order.
    Ask(Vec<LimiterKey>),
    /// A grant that reached no engine serves this request.
    Granted,
    /// None has anything to give before this time is over.
    Closed(Duration),
}

/// What a gateway knows of the limiters. Times are since the start of the process.
#[derive(Debug, Default)]
pub struct LimiterSelector {
    tenants: HashMap<String, TenantGate>,
}

impl LimiterSelector {
    /// What is to be done for a tenant's next request.
    pub fn next(
        &mut self,
        tenant: &str,
        progress: ProgramProgress,
        limiters: &[LimiterCandidate],
        now: Duration,
        random: &mut impl Rng,
    ) -> LimiterSelection {
        let own = match self.tenants.get_mut(tenant) {
            Some(own) => own,
            None => self.tenants.entry(tenant.to_owned()).or_default(),
        };
        own.returned.retain(|until| *until > now);
        if own.returned.pop().is_some() {
            return LimiterSelection::Granted;
        }
        own.closed.retain(|_, until| *until > now);
        let mut open: Vec<LimiterCandidate> = limiters
            .iter()
            .copied()
            .filter(|limiter| !own.closed.contains_key(&(limiter.key, progress)))
            .collect();
        if open.is_empty()
            && let Some(until) = own.opens_at(progress)
        {
            return LimiterSelection::Closed(until - now);
        }
        // Evenly, whatever their zones: a limiter that is asked less keeps a part of the limit that nobody gets.
        open.shuffle(random);
        open.sort_by_key(|limiter| limiter.is_unresponsive);
        open.truncate(MAX_ASKED);
        LimiterSelection::Ask(open.into_iter().map(|limiter| limiter.key).collect())
    }

    /// A limiter had nothing to give.
    pub fn on_exhausted(
        &mut self,
        tenant: &str,
        progress: ProgramProgress,
        limiter: LimiterKey,
        next: Duration,
        retry: Duration,
        now: Duration,
    ) {
        let closed = next.max(retry.mul_f64(CLOSED_SHARE));
        if let Some(own) = self.tenants.get_mut(tenant) {
            own.closed.insert((limiter, progress), now + closed);
        }
    }

    /// A grant reached no engine.
    pub fn return_grant(&mut self, tenant: &str, now: Duration) {
        let own = self.tenants.entry(tenant.to_owned()).or_default();
        own.returned.push(now + RETURNED_TIME);
    }

    /// Lets go of what lies in the past.
    pub fn clean_up(&mut self, now: Duration) {
        self.tenants.retain(|_, own| {
            own.returned.retain(|until| *until > now);
            own.closed.retain(|_, until| *until > now);
            !own.returned.is_empty() || !own.closed.is_empty()
        });
    }
}
