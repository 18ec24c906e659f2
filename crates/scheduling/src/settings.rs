//! Settings of a dispatcher, and the scheduling policies used as baselines.

use std::time::Duration;

use ridgeworks_domain::PartnerName;

/// Share and latency weight of one partner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartnerSettings {
    /// Partner that the settings apply to.
    pub partner: PartnerName,
    /// Share of the group's slots, in thousandths.
    pub permille: u16,
    /// Weight of latency against cache use, 0 to 100; 50 is neutral.
    pub latency_weight: u8,
}

/// Queue order of the calls of one partner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueOrder {
    /// Earliest arrival first.
    FirstComeFirstServed,
    /// Fewest tokens of prompt and output first.
    ShortestCall,
    /// Least service attained by the whole run first, with ageing.
    LeastAttainedService,
}

/// Rule by which a backend is chosen for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementRule {
    /// Backends in turn.
    RoundRobin,
    /// Fewest calls according to the last load report, which may be outdated.
    LeastReportedLoad,
    /// The less loaded of two random backends according to their last load reports, which may be
    /// outdated.
    TwoChoicesReportedLoad,
    /// Fewest grants in flight.
    LeastLoaded,
    /// The backend with the longest cached prefix; the least loaded if none has a prefix.
    PrefixSticky,
    /// Least expected cost of waiting and of prefilling tokens that are not cached.
    ExpectedCost,
}

/// Parts of the decision logic that are enabled. The default enables all of them; the constructors
/// of this type are baselines for comparison.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Policy {
    /// Order of routine calls within a partner's queue.
    pub order: QueueOrder,
    /// Rule for choosing a backend.
    pub placement: PlacementRule,
    /// Whether urgent calls go first and have reserved slots, and whether ranks affect the queue order.
    /// Ranks never affect [`QueueOrder::ShortestCall`].
    pub urgent_first: bool,
    /// Whether running routine calls are cancelled to make room for urgent ones.
    pub preemption: bool,
    /// Whether slots are divided by the partners' shares.
    pub shares: bool,
    /// Whether contexts are retained through pauses and released at the end of the run.
    pub retention: bool,
    /// Whether a call with a deadline is ordered no later than if it had arrived
    /// [`DispatcherSettings::deadline_lead`] before the deadline. No effect on
    /// [`QueueOrder::ShortestCall`].
    pub deadline_order: bool,
    /// Whether calls that cannot meet their deadline are refused.
    pub deadline_refusal: bool,
    /// Whether a call waits until its context fits into an engine's cache together with the contexts
    /// in use. Urgent calls, calls with a deadline, and calls with more than half of their prompt
    /// cached at the engine do not wait; an idle engine accepts any context.
    pub working_set: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            order: QueueOrder::LeastAttainedService,
            placement: PlacementRule::ExpectedCost,
            urgent_first: true,
            preemption: true,
            shares: true,
            retention: true,
            deadline_order: true,
            deadline_refusal: true,
            working_set: true,
        }
    }
}

impl Policy {
    const fn baseline(order: QueueOrder, placement: PlacementRule) -> Self {
        Self {
            order,
            placement,
            urgent_first: false,
            preemption: false,
            shares: false,
            retention: false,
            deadline_order: false,
            deadline_refusal: false,
            working_set: false,
        }
    }

    /// Baseline: first come first served, round-robin placement.
    pub const fn round_robin() -> Self {
        Self::baseline(QueueOrder::FirstComeFirstServed, PlacementRule::RoundRobin)
    }

    /// Baseline: first come first served, least-loaded placement.
    pub const fn least_loaded() -> Self {
        Self::baseline(QueueOrder::FirstComeFirstServed, PlacementRule::LeastLoaded)
    }

    /// Baseline: shortest call first, prefix-sticky placement.
    pub const fn prefix_sticky() -> Self {
        Self::baseline(QueueOrder::ShortestCall, PlacementRule::PrefixSticky)
    }

    /// Baseline: least attained service of the run first, prefix-sticky placement, no retention.
    pub const fn least_attained_service() -> Self {
        Self::baseline(
            QueueOrder::LeastAttainedService,
            PlacementRule::PrefixSticky,
        )
    }
}

/// Cost model of moving a context between engines. A context is moved only if that is faster than
/// prefilling it again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ContextMoveSettings {
    /// Fixed time of a move, in microseconds.
    pub base_micros: u64,
    /// Additional time per token, in nanoseconds.
    pub nanos_per_token: u64,
    /// Time after which a call is granted without its context having been moved.
    pub timeout: Duration,
}

/// Settings of a dispatcher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatcherSettings {
    /// Enabled parts of the decision logic.
    pub policy: Policy,
    /// Shares and weights of the partners. A partner that is not listed has no share and gets the
    /// slots that the others leave free.
    pub partners: Vec<PartnerSettings>,
    /// Maximum number of waiting routine calls of one partner; of all partners together if
    /// [`Policy::shares`] is off. The queue of urgent calls, which all partners share, has the same
    /// limit.
    pub max_queued_per_partner: usize,
    /// Slots reserved for urgent calls at each backend that has at least
    /// [`DispatcherSettings::MIN_SLOTS_FOR_RESERVE`] slots.
    pub urgent_reserve: u32,
    /// Interval at which [`crate::Event::Tick`] is expected.
    pub tick: Duration,
    /// Time after which the slot of an unconfirmed grant is freed.
    pub grant_timeout: Duration,
    /// Time after the start of an attempt at which its slot is freed if its end has not been reported.
    /// For an attempt that an earlier dispatcher granted, the time counts from the report that it runs.
    pub attempt_timeout: Duration,
    /// Penalty for attained service: a call's queue position is later by this much for each token that
    /// its run has used, in microseconds. Calls that wait longer overcome it (ageing).
    pub ageing_micros_per_token: u64,
    /// Upper bound of the delay that attained service adds to a call's position.
    pub max_ageing_penalty: Duration,
    /// A call is ordered no later than if it had arrived this long before its deadline, whatever its
    /// run has used. Calls whose deadline is nearer than this therefore precede most calls that arrive
    /// at the same time, earliest deadline first.
    pub deadline_lead: Duration,
    /// Consecutive failures after which a backend is ejected.
    pub ejection_failures: u32,
    /// Duration of the first ejection; doubles with each consecutive one.
    pub ejection_base: Duration,
    /// Maximum duration of an ejection.
    pub ejection_max: Duration,
    /// Fraction of an engine's cache that may be under retention leases, in thousandths.
    pub retained_permille: u64,
    /// Fraction of an engine's cache that leased contexts and calls in flight may occupy together
    /// before a further uncached context has to wait, in thousandths.
    pub working_set_permille: u64,
    /// Maximum duration of a retention lease.
    pub max_retention: Duration,
    /// Assumed cache capacity of an engine that has not reported one, in tokens.
    pub default_cache_tokens: u64,
    /// Cost model for moving contexts between engines; `None` disables moves.
    pub context_move: Option<ContextMoveSettings>,
    /// Seed of the random number generator for two-choices placement.
    pub seed: u64,
}

impl DispatcherSettings {
    /// Backends with fewer slots reserve none for urgent calls.
    pub const MIN_SLOTS_FOR_RESERVE: u32 = 4;
}

impl Default for DispatcherSettings {
    fn default() -> Self {
        Self {
            policy: Policy::default(),
            partners: Vec::new(),
            max_queued_per_partner: 5_000,
            urgent_reserve: 1,
            tick: Duration::from_millis(20),
            grant_timeout: Duration::from_secs(2),
            attempt_timeout: Duration::from_secs(600),
            ageing_micros_per_token: 5_000,
            max_ageing_penalty: Duration::from_secs(60),
            deadline_lead: Duration::from_secs(200),
            ejection_failures: 3,
            ejection_base: Duration::from_secs(1),
            ejection_max: Duration::from_secs(60),
            retained_permille: 900,
            working_set_permille: 750,
            max_retention: Duration::from_secs(60),
            default_cache_tokens: 200_000,
            context_move: None,
            seed: 0,
        }
    }
}
