//! Selects the limiters that a gateway asks for a tenant's next request.

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;

use crate::limiter::ProgramProgress;

/// Limiters asked for one request before it is refused. With three, fewer than one in a thousand requests of
/// a tenant below its limit is refused, even at one request in two seconds, where one of five limiters may be
/// empty by chance.
const MAX_LIMITERS_ASKED: usize = 3;
/// How long a grant that reached no engine may serve another request of the tenant. The window of the limit
/// is effectively longer by this time.
const RETURNED_GRANT_LIFETIME: Duration = Duration::from_millis(400);
/// Fraction of the time until a request may retry for which its limiter is not asked again. The longer a
/// limiter's queue, the less often it is asked in vain.
const EXHAUSTED_FRACTION: f64 = 0.25;

/// Identity of the limiter's replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LimiterKey(pub u64);

/// A limiter that may be asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimiterCandidate {
    /// Identity of the limiter.
    pub key: LimiterKey,
    /// Whether the limiter has not answered recently, so that it is asked last.
    pub is_unresponsive: bool,
}

#[derive(Debug, Default)]
struct TenantState {
    /// Until when limiters have no token, by progress of the program.
    exhausted_until: HashMap<(LimiterKey, ProgramProgress), Duration>,
    /// Expiry times of grants that were not used.
    returned_grants: Vec<Duration>,
}

impl TenantState {
    /// When the first limiter has a token again; `None` if none is known to be exhausted.
    fn next_available_at(&self, progress: ProgramProgress) -> Option<Duration> {
        let exhausted = self
            .exhausted_until
            .iter()
            .filter(|((_, of), _)| *of == progress);
        exhausted.map(|(_, until)| *until).min()
    }
}

/// How to handle a tenant's next request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LimiterSelection {
    /// Ask these limiters in this order.
    Ask(Vec<LimiterKey>),
    /// A returned grant serves the request.
    Granted,
    /// No limiter has a token for this long.
    Exhausted(Duration),
}

/// A gateway's knowledge of the limiters. Times are since the start of the process.
#[derive(Debug, Default)]
pub struct LimiterSelector {
    tenants: HashMap<String, TenantState>,
}

impl LimiterSelector {
    /// Selects limiters for a tenant's next request, or uses a returned grant.
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
        let mut available: Vec<LimiterCandidate> = limiters
            .iter()
            .copied()
            .filter(|limiter| !state.exhausted_until.contains_key(&(limiter.key, progress)))
            .collect();
        if available.is_empty()
            && let Some(until) = state.next_available_at(progress)
        {
            return LimiterSelection::Exhausted(until - now);
        }
        // Shuffled regardless of zones: the share of a limiter that is asked less would go unused.
        available.shuffle(random);
        available.sort_by_key(|limiter| limiter.is_unresponsive);
        available.truncate(MAX_LIMITERS_ASKED);
        LimiterSelection::Ask(available.into_iter().map(|limiter| limiter.key).collect())
    }

    /// A limiter had no token; `next` and `retry` are those of
    /// [`LimiterDecision::Exhausted`](crate::LimiterDecision::Exhausted).
    pub fn on_exhausted(
        &mut self,
        tenant: &str,
        progress: ProgramProgress,
        limiter: LimiterKey,
        next: Duration,
        retry: Duration,
        now: Duration,
    ) {
        let exhausted_for = next.max(retry.mul_f64(EXHAUSTED_FRACTION));
        if let Some(state) = self.tenants.get_mut(tenant) {
            state
                .exhausted_until
                .insert((limiter, progress), now + exhausted_for);
        }
    }

    /// Returns a grant whose request reached no engine.
    pub fn return_grant(&mut self, tenant: &str, now: Duration) {
        let state = self.tenants.entry(tenant.to_owned()).or_default();
        state.returned_grants.push(now + RETURNED_GRANT_LIFETIME);
    }

    /// Drops expired state.
    pub fn clean_up(&mut self, now: Duration) {
        self.tenants.retain(|_, state| {
            state.returned_grants.retain(|until| *until > now);
            state.exhausted_until.retain(|_, until| *until > now);
            !state.returned_grants.is_empty() || !state.exhausted_until.is_empty()
        });
    }
}
