//! Which limiter a gateway asks for a tenant's next request.

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;

use crate::limiter::ProgramProgress;

/// Limiters that are asked for one request before it is turned away: with one of five empty by chance, as a limiter of a tenant of one request in
/// two seconds is now and then, fewer than one in a thousand is turned away below the limit.
const MAX_LIMITERS_ASKED: usize = 3;
/// How long a grant that reached no engine serves another request of the tenant. It adds to a window what was granted so long before it.
const RETURNED_GRANT_LIFETIME: Duration = Duration::from_millis(400);
/// Part of the time until a request may come back for which its limiter is not asked again: the longer its queue, the
/// less often it is asked in vain.
const EXHAUSTED_FRACTION: f64 = 0.25;

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
struct TenantState {
    /// Until when limiters have nothing to give, by how far the program has come.
    exhausted_until: HashMap<(LimiterKey, ProgramProgress), Duration>,
    /// When grants that were not used lapse.
    returned_grants: Vec<Duration>,
}

impl TenantState {
    /// When the first limiter has something again for requests of programs that have come so far.
    fn next_available_at(&self, progress: ProgramProgress) -> Option<Duration> {
        let exhausted_until = self
            .exhausted_until
            .iter()
            .filter(|((_, of), _)| *of == progress);
        exhausted_until.map(|(_, until)| *until).min()
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
    tenants: HashMap<String, TenantState>,
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
        let state = match self.tenants.get_mut(tenant) {
            Some(state) => state,
            None => self.tenants.entry(tenant.to_owned()).or_default(),
        };
        state.returned_grants.retain(|until| *until > now);
        if state.returned_grants.pop().is_some() {
            return LimiterSelection::Granted;
        }
        state.exhausted_until.retain(|_, until| *until > now);
        let mut open: Vec<LimiterCandidate> = limiters
            .iter()
            .copied()
            .filter(|limiter| !state.exhausted_until.contains_key(&(limiter.key, progress)))
            .collect();
        if open.is_empty()
            && let Some(until) = state.next_available_at(progress)
        {
            return LimiterSelection::Closed(until - now);
        }
        // Evenly, whatever their zones: a limiter that is asked less keeps a part of the limit that nobody gets.
        open.shuffle(random);
        open.sort_by_key(|limiter| limiter.is_unresponsive);
        open.truncate(MAX_LIMITERS_ASKED);
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
        let exhausted_until = next.max(retry.mul_f64(EXHAUSTED_FRACTION));
        if let Some(state) = self.tenants.get_mut(tenant) {
            state
                .exhausted_until
                .insert((limiter, progress), now + exhausted_until);
        }
    }

    /// A grant reached no engine.
    pub fn return_grant(&mut self, tenant: &str, now: Duration) {
        let state = self.tenants.entry(tenant.to_owned()).or_default();
        state.returned_grants.push(now + RETURNED_GRANT_LIFETIME);
    }

    /// Lets go of what lies in the past.
    pub fn clean_up(&mut self, now: Duration) {
        self.tenants.retain(|_, state| {
            state.returned_grants.retain(|until| *until > now);
            state.exhausted_until.retain(|_, until| *until > now);
            !state.returned_grants.is_empty() || !state.exhausted_until.is_empty()
        });
    }
}
