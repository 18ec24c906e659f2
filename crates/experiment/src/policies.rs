//! The policies that can be compared, by name: the whole, the baselines, and the whole with one
//! part changed.

use std::time::Duration;

use ridgeworks_scheduling::{
    ContextMoveSettings, DispatcherSettings, PlacementRule, Policy, QueueOrder,
};

use crate::behaviour::{MOVE_BASE_MICROS, MOVE_NANOS_PER_TOKEN};
use crate::error::ExperimentError;

/// The whole.
pub const WHOLE: &str = "ridgeworks";
/// Baseline whose wasted cache is the measure.
pub const PREFIX_STICKY: &str = "prefix-sticky";
/// The baselines whose best latency is the measure.
pub const BASELINES: [&str; 3] = ["round-robin", "least-loaded", PREFIX_STICKY];
/// The whole with neutral weights for all partners.
pub const WITHOUT_WEIGHTS: &str = "without-weights";
const WITHOUT_CONTEXT_MOVE: &str = "without-context-move";
const WITHOUT_RESERVE: &str = "without-reserve";
const WITHOUT_RESERVE_AND_PREEMPTION: &str = "without-reserve-and-preemption";
/// All policies, in the order of the tables.
pub const ALL: [&str; 20] = [
    WHOLE,
    "round-robin",
    "least-loaded",
    PREFIX_STICKY,
    "least-attained",
    "without-retention",
    "without-locality",
    "without-attained-service",
    "without-shares",
    "without-urgency",
    "without-preemption",
    WITHOUT_RESERVE,
    WITHOUT_RESERVE_AND_PREEMPTION,
    WITHOUT_WEIGHTS,
    "without-deadline-order",
    "without-deadline-refusal",
    "without-working-set",
    WITHOUT_CONTEXT_MOVE,
    "least-reported-load",
    "two-choices-reported-load",
];

const MOVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Settings of the policy of this name.
pub fn settings(name: &str) -> Result<DispatcherSettings, ExperimentError> {
    let policy = policy(name).ok_or_else(|| ExperimentError::UnknownPolicy(name.to_owned()))?;
    let context_move = ContextMoveSettings {
        base_micros: MOVE_BASE_MICROS,
        nanos_per_token: MOVE_NANOS_PER_TOKEN,
        timeout: MOVE_TIMEOUT,
    };
    let mut settings = DispatcherSettings {
        policy,
        context_move: (name != WITHOUT_CONTEXT_MOVE).then_some(context_move),
        ..DispatcherSettings::default()
    };
    if matches!(name, WITHOUT_RESERVE | WITHOUT_RESERVE_AND_PREEMPTION) {
        settings.urgent_reserve = 0;
    }
    Ok(settings)
}

/// The rules of the policy of this name. Those that differ from the whole in other settings have its rules.
fn policy(name: &str) -> Option<Policy> {
    let whole = Policy::default();
    let policy = match name {
        WHOLE | WITHOUT_WEIGHTS | WITHOUT_CONTEXT_MOVE | WITHOUT_RESERVE => whole,
        "round-robin" => Policy::round_robin(),
        "least-loaded" => Policy::least_loaded(),
        PREFIX_STICKY => Policy::prefix_sticky(),
        "least-attained" => Policy::least_attained_service(),
        "without-retention" => Policy {
            retention: false,
            ..whole
        },
        "without-locality" => Policy {
            placement: PlacementRule::LeastLoaded,
            ..whole
        },
        "without-attained-service" => Policy {
            order: QueueOrder::FirstComeFirstServed,
            ..whole
        },
        "without-shares" => Policy {
            shares: false,
            ..whole
        },
        "without-urgency" => Policy {
            urgent_first: false,
            ..whole
        },
        "without-preemption" => Policy {
            preemption: false,
            ..whole
        },
        WITHOUT_RESERVE_AND_PREEMPTION => Policy {
            preemption: false,
            ..whole
        },
        "without-deadline-order" => Policy {
            deadline_order: false,
            ..whole
        },
        "without-deadline-refusal" => Policy {
            deadline_refusal: false,
            ..whole
        },
        "without-working-set" => Policy {
            working_set: false,
            ..whole
        },
        "least-reported-load" => Policy {
            placement: PlacementRule::LeastReportedLoad,
            ..whole
        },
        "two-choices-reported-load" => Policy {
            placement: PlacementRule::TwoChoicesReportedLoad,
            ..whole
        },
        _ => return None,
    };
    Some(policy)
}
