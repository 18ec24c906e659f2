//! Rate limits of tenants that hold over all gateways together, and of engines that warm up, without I/O.
//!
//! A tenant's limit is split evenly among a few *limiters*, the voters of the replica group that the tenant belongs to by its name. Each gives out
//! its [`Share`] by itself from a token bucket ([`Limiter`]), and a gateway asks any of them before a request reaches an engine ([`LimiterSelector`]). The shares
//! add up to the limit, so that nothing has to be agreed on, and no cut, frozen process or loss of messages lets more through
//! (`docs/design/quotas.md` has the other ways that were weighed, and their figures).

mod bucket;
mod limiter;
mod limiter_selector;
mod share;
mod warm_up;

pub use limiter::{Limiter, LimiterDecision, ProgramProgress};
pub use limiter_selector::{LimiterCandidate, LimiterKey, LimiterSelection, LimiterSelector};
pub use share::{QuotaBounds, Share};
pub use warm_up::{
    GRANT_LIFETIME, Grant, GrantDelay, GrantLimiter, GrantPool, GrantState, WarmUpBounds,
};
