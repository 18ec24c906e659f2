//! Why a request ends without an engine's answer.

use std::fmt;
use std::time::Duration;

use crate::denial::{Denial, DenialReason};

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The request itself is wrong.
    Denied(Denial),
    /// The request's body did not arrive in time, or its connection failed before its end.
    BodyIncomplete,
    /// The gateway has not received a configuration yet.
    NoConfiguration,
    /// The gateway's configuration has not been confirmed as the newest one for too long.
    ConfigurationStale,
    /// The gateway's list of keys has not been confirmed for so long that the request's key may have been
    /// revoked.
    KeyStateStale,
    /// The tenant is over its rate limit.
    RateExceeded,
    /// No limiter of the tenant answered.
    RateUnknown,
    /// The gateway holds its maximum number of requests.
    Overloaded,
    /// No engine of the service accepts requests.
    NoEngine,
    /// No engine has the software version at which the resumed stream began.
    SoftwareGone,
    /// The software version at which the resumed stream began is not known, and it may be any of several.
    OriginUnknown,
    /// The resumed stream belongs to a turn that is kept, and the events of its earlier attempts are not known.
    EventsUnknown,
    /// All engines of the service are in drained zones.
    ZonesDrained,
    /// No engine of the service is in a region where the request may be served.
    NoAllowedRegion,
    /// The route's residency does not allow all the regions that hold replicas of its turns.
    ReplicasOutsideResidency,
    /// All engines that were tried refused the request because they were full.
    EnginesFull,
    /// All engines of the service are warming up and at their rate limit.
    EnginesWarmUp,
    /// Other turns of the program, whose outcome is not known, have reserved what the budget has left.
    TokensReserved,
    /// Too few replicas answered to reserve tokens.
    LedgerUnavailable,
    /// Too few replicas answered to read the earlier turns.
    TurnsUnavailable,
    /// The engine broke the connection or sent an invalid answer; the request may have run.
    EngineFailed,
    /// Too many other tries of the request have no outcome yet.
    TriesUnsettled,
    /// The deadline passed after the request was sent; it may have run.
    TimedOut,
    /// The deadline passed before the request was sent to an engine.
    TimedOutUnsent,
    /// The gateway stops, and the request was sent to no engine.
    Stopping,
    /// The gateway stopped while an engine had the request, which may have run.
    Stopped,
}

impl RefusalReason {
    /// Whether the request has not run and never will.
    pub fn is_not_run(self) -> bool {
        match self {
            Self::Denied(denial) => denial.is_not_run(),
            Self::EngineFailed | Self::TimedOut | Self::Stopped => false,
            _ => true,
        }
    }

    /// Whether only this gateway is affected, so that a retry at another gateway may succeed.
    pub fn is_gateway_local(self) -> bool {
        matches!(
            self,
            Self::NoConfiguration
                | Self::ConfigurationStale
                | Self::KeyStateStale
                | Self::RateUnknown
                | Self::LedgerUnavailable
                | Self::TurnsUnavailable
                | Self::Stopping
        )
    }

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Denied(denial) => denial.reason().name(),
            Self::BodyIncomplete => "body_incomplete",
            Self::NoConfiguration => "no_configuration",
            Self::ConfigurationStale => "configuration_stale",
            Self::KeyStateStale => "keys_unproven",
            Self::RateExceeded => "rate_exceeded",
            Self::RateUnknown => "rate_unknown",
            Self::Overloaded => "overloaded",
            Self::NoEngine => "no_engine",
            Self::SoftwareGone => "software_gone",
            Self::OriginUnknown => "origin_unknown",
            Self::EventsUnknown => "events_unknown",
            Self::ZonesDrained => "zones_drained",
            Self::NoAllowedRegion => "no_allowed_region",
            Self::ReplicasOutsideResidency => "kept_outside",
            Self::EnginesFull => "engines_full",
            Self::EnginesWarmUp => "engines_warm_up",
            Self::TokensReserved => "tokens_reserved",
            Self::LedgerUnavailable => "ledger_unavailable",
            Self::TurnsUnavailable => "turns_unavailable",
            Self::EngineFailed => "engine_failed",
            Self::TriesUnsettled => "tries_unsettled",
            Self::TimedOut => "timed_out",
            Self::TimedOutUnsent => "timed_out_unsent",
            Self::Stopping => "stopping",
            Self::Stopped => "stopped",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// The final answer of a request that no engine answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    pub reason: RefusalReason,
    /// How long the client should wait before a retry; `None` where a retry does not help.
    pub retry_after: Option<Duration>,
}

impl From<Denial> for Refusal {
    fn from(denial: Denial) -> Self {
        Self::without_retry(RefusalReason::Denied(denial))
    }
}

impl Refusal {
    /// A refusal that a retry does not change.
    pub fn without_retry(reason: RefusalReason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// Whether the request is denied for this reason.
    pub fn is_denied_for(&self, reason: DenialReason) -> bool {
        matches!(self.reason, RefusalReason::Denied(denial) if denial.reason() == reason)
    }

    /// A refusal after which the client may retry.
    pub fn retry_later(reason: RefusalReason, after: Duration) -> Self {
        Self {
            reason,
            retry_after: Some(after),
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.reason.fmt(formatter)
    }
}

impl std::error::Error for Refusal {}
