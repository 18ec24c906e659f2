//! Why a request gets no answer of an engine.

use std::fmt;
use std::time::Duration;

/// The reason, and with it what the client may conclude.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The request lacks something or contradicts itself.
    BadRequest,
    /// An earlier request had the same identifier.
    DuplicateRequestId,
    /// No route has this host and path.
    NoRoute,
    /// No tenant holds the key that it brings.
    UnknownKey,
    /// The turn that it goes on from does not exist.
    NoSuchTurn,
    /// The program's budget does not hold the turn at its most.
    BudgetSpent,
    /// The body is longer than allowed.
    BodyTooLarge,
    /// No configuration is known yet.
    NoConfiguration,
    /// The gateway has not heard of the newest configuration for too long to be certain.
    ConfigurationStale,
    /// The gateway has not heard for so long that keys are still in force that this one may have been taken away.
    KeyStateStale,
    /// The tenant has made as many requests as it may.
    RateExceeded,
    /// Nobody who counts the tenant's requests answered.
    RateUnknown,
    /// The gateway holds as many requests as it can.
    Overloaded,
    /// No engine takes requests of the service.
    NoEngine,
    /// All engines of the service stand in drained zones.
    ZonesDrained,
    /// No engine takes requests of the service where this one may be served.
    NoAllowedRegion,
    /// The turns of the route may be kept in fewer regions than there are replicas in.
    ReplicasOutsideResidency,
    /// All engines that were asked refused to run it.
    EnginesFull,
    /// All engines of the service warm up and have what they bear.
    EnginesWarmUp,
    /// Not enough replicas answered to reserve tokens.
    LedgerUnavailable,
    /// Not enough replicas answered to read the earlier turns.
    TurnsUnavailable,
    /// The engine broke off or answered with something else; the request may have run.
    EngineFailed,
    /// Time is up; the request may have run.
    TimedOut,
    /// Time is up and no engine got the request.
    TimedOutUnsent,
}

impl RefusalReason {
    /// Whether the request has certainly not run and never will.
    pub fn is_not_run(self) -> bool {
        !matches!(self, Self::EngineFailed | Self::TimedOut)
    }

    /// Whether the cause is this gateway's alone, so that the client is better off with another one.
    pub fn is_gateway_local(self) -> bool {
        matches!(
            self,
            Self::NoConfiguration
                | Self::ConfigurationStale
                | Self::KeyStateStale
                | Self::RateUnknown
                | Self::LedgerUnavailable
                | Self::TurnsUnavailable
        )
    }

    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::DuplicateRequestId => "used_identifier",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::NoSuchTurn => "no_such_turn",
            Self::BudgetSpent => "budget_spent",
            Self::BodyTooLarge => "body_too_large",
            Self::NoConfiguration => "no_configuration",
            Self::ConfigurationStale => "configuration_stale",
            Self::KeyStateStale => "keys_unproven",
            Self::RateExceeded => "rate_exceeded",
            Self::RateUnknown => "rate_unknown",
            Self::Overloaded => "overloaded",
            Self::NoEngine => "no_engine",
            Self::ZonesDrained => "zones_drained",
            Self::NoAllowedRegion => "no_allowed_region",
            Self::ReplicasOutsideResidency => "kept_outside",
            Self::EnginesFull => "engines_full",
            Self::EnginesWarmUp => "engines_warm_up",
            Self::LedgerUnavailable => "ledger_unavailable",
            Self::TurnsUnavailable => "turns_unavailable",
            Self::EngineFailed => "engine_failed",
            Self::TimedOut => "timed_out",
            Self::TimedOutUnsent => "timed_out_unsent",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// A final answer without an engine's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When the client may come back.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal after which coming back does not help.
    pub fn last(reason: RefusalReason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// A refusal after which the client may come back.
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
