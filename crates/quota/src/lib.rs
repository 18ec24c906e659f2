//! Distributed rate limits without I/O: of tenants over all gateways, and of engines that are warming up.
//!
//! A tenant's limit is split evenly among a few *limiters*, the voters of the replica group to which the
//! tenant's name maps. Each limiter hands out its [`Share`] from a token bucket without coordination
//! ([`Limiter`]), and a gateway asks any of them before a request reaches an engine ([`LimiterSelector`]).
//! The shares add up to the limit, so no consensus is needed, and no partition, frozen process or message
//! loss lets more requests through (`docs/design/quotas.md` compares the alternatives).

mod bucket;
mod limiter;
mod limiter_selector;
mod share;
mod warm_up;

pub use limiter::{Limiter, LimiterDecision, ProgramProgress};
pub use limiter_selector::{LimiterCandidate, LimiterKey, LimiterSelection, LimiterSelector};
pub use share::{QuotaBounds, Share};
pub use warm_up::{
    GRANT_LIFETIME, Grant, GrantDelay, GrantLimiter, GrantPool, GrantSelection, WarmUpBounds,
};
