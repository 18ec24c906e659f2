//! Settings of a dispatcher and the policies that can be compared.

use std::time::Duration;

use ridgeworks_domain::PartnerName;

/// Parts and weights of one partner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartnerSettings {
    /// The partner.
    pub partner: PartnerName,
    /// Its part of the pool's slots, in thousandths.
    pub permille: u16,
    /// Weight of latency against wasted cache, 0 to 100.
    pub latency_weight: u8,
}

/// Order of the calls of one partner and rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueOrder {
    /// By time of arrival.
    FirstComeFirstServed,
    /// Shortest call first, by its own tokens.
    ShortestCall,
    /// Least service attained by the whole run first, with ageing.
    LeastAttainedService,
}

/// How a back end is chosen for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementRule {
    /// One after the other.
    RoundRobin,
    /// The back end with the fewest calls by its last, late load report.
    LeastReportedLoad,
    /// The better of two drawn at random, by their last, late load reports.
    TwoChoicesReportedLoad,
    /// The back end with the fewest grants in flight.
    LeastLoaded,
    /// Always where the longest prefix is; least loaded when there is none.
    PrefixSticky,
    /// Least expected wait plus rebuild of the missing prefix.
    ExpectedCost,
}

/// Which parts of the decision logic are on. The default is the whole; the others are baselines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Policy {
    /// Order in the queue.
    pub order: QueueOrder,
    /// Choice of the back end.
    pub placement: PlacementRule,
    /// Whether urgent calls go first.
    pub urgent_first: bool,
    /// Whether routine calls are cancelled in favour of urgent ones.
    pub preemption: bool,
    /// Whether slots are divided by the partners' shares.
    pub shares: bool,
    /// Whether contexts are retained through pauses and released at the end of the run.
    pub retention: bool,
    /// Whether calls with deadlines go before others of their partner, the earliest first.
    pub deadline_order: bool,
    /// Whether calls that cannot meet their deadline are refused.
    pub deadline_refusal: bool,
    /// Whether runs whose context is not cached wait until it fits beside those in use.
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

    /// Baseline: first come first served, back ends in turn.
    pub const fn round_robin() -> Self {
        Self::baseline(QueueOrder::FirstComeFirstServed, PlacementRule::RoundRobin)
    }

    /// Baseline: first come first served, least loaded back end.
    pub const fn least_loaded() -> Self {
        Self::baseline(QueueOrder::FirstComeFirstServed, PlacementRule::LeastLoaded)
    }

    /// Baseline: shortest call first, always where the prefix is.
    pub const fn prefix_sticky() -> Self {
        Self::baseline(QueueOrder::ShortestCall, PlacementRule::PrefixSticky)
    }

    /// Baseline: least attained service per program, without retention.
    pub const fn least_attained_service() -> Self {
        Self::baseline(
            QueueOrder::LeastAttainedService,
            PlacementRule::PrefixSticky,
        )
    }
}

/// When moving a context between engines is considered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ContextMoveSettings {
    /// Time that any move takes, in microseconds.
    pub base_micros: u64,
    /// Time for each token, in nanoseconds.
    pub nanos_per_token: u64,
    /// Longest wait for the answer of a move.
    pub timeout: Duration,
}

/// Settings of a dispatcher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatcherSettings {
    /// Which parts of the logic are on.
    pub policy: Policy,
    /// Parts and weights of the partners. A partner that is not listed gets what the others leave.
    pub partners: Vec<PartnerSettings>,
    /// Most routine calls that may wait for one partner; urgent calls have as much of their own.
    pub max_queued_per_partner: usize,
    /// Slots of each back end that only urgent calls take, where it has at least
    /// [`DispatcherSettings::MIN_SLOTS_FOR_RESERVE`].
    pub urgent_reserve: u32,
    /// Interval at which [`crate::Event::Tick`] is expected.
    pub tick: Duration,
    /// A grant must be confirmed within this time.
    pub grant_timeout: Duration,
    /// Slots of attempts that never end are given back after this time.
    pub attempt_timeout: Duration,
    /// Ageing: one attained token makes a call wait as if it had come this much later, in
    /// microseconds.
    pub ageing_micros_per_token: u64,
    /// The most that attained service makes a call wait behind younger ones.
    pub max_ageing_penalty: Duration,
    /// A call is due at the latest this long before its deadline, however much its run has used;
    /// calls with deadlines so go before most others, the earliest deadline first.
    pub deadline_lead: Duration,
    /// Failures in a row after which a back end is ejected.
    pub ejection_failures: u32,
    /// First time of an ejection; doubles with each further one.
    pub ejection_base: Duration,
    /// Longest time of an ejection.
    pub ejection_max: Duration,
    /// Part of an engine's cache that may be under retention leases, in thousandths.
    pub retained_permille: u64,
    /// Part of an engine's cache that contexts under lease and calls in flight may take together
    /// before a further context has to wait, in thousandths.
    pub working_set_permille: u64,
    /// Longest retention lease.
    pub max_retention: Duration,
    /// Cache capacity of an engine that has not reported one, in tokens.
    pub default_cache_tokens: u64,
    /// Moving contexts; `None` turns it off.
    pub context_move: Option<ContextMoveSettings>,
    /// Seed of the random choices.
    pub seed: u64,
}

impl DispatcherSettings {
    /// Back ends with fewer slots keep none back for urgent calls.
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
