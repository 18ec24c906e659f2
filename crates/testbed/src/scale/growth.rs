//! The values that are followed over the sizes, the bounds of some, and how each grows.

use serde::Serialize;

use super::figures::SizeFigures;
use super::slope::{Line, Point, fit};
use crate::measures::rounded;

/// Most processor time of a node for control, in percent of a core.
const CPU_BOUND_PERCENT: f64 = 1.6;
/// Most memory of a node for control, in MB.
const MEMORY_BOUND_MB: f64 = 256.0;
/// Most bytes a second of a node for control, 11 KB, both directions together.
const BYTES_BOUND: f64 = 11_000.0;

/// A value that is measured at each size.
struct Measure {
    name: &'static str,
    read: fn(&SizeFigures) -> f64,
    bound: Option<f64>,
}

const MEASURES: &[Measure] = &[
    bounded(
        "cpu_percent",
        |size| size.quiet.cpu_percent,
        CPU_BOUND_PERCENT,
    ),
    bounded(
        "cpu_percent_busiest_process",
        |size| size.quiet.cpu_percent_busiest,
        CPU_BOUND_PERCENT,
    ),
    bounded(
        "cpu_percent_day",
        |size| size.day.cpu_percent,
        CPU_BOUND_PERCENT,
    ),
    bounded(
        "full_cpu_percent",
        |size| size.quiet.full_cpu_percent,
        CPU_BOUND_PERCENT,
    ),
    bounded(
        "full_cpu_percent_busiest",
        |size| size.quiet.full_cpu_percent_busiest,
        CPU_BOUND_PERCENT,
    ),
    bounded("memory_mb", |size| size.quiet.memory_mb, MEMORY_BOUND_MB),
    bounded(
        "full_memory_mb_largest",
        |size| size.quiet.full_memory_mb_largest,
        MEMORY_BOUND_MB,
    ),
    bounded(
        "bytes_per_second",
        |size| size.quiet.bytes.mean,
        BYTES_BOUND,
    ),
    bounded(
        "bytes_per_second_p99",
        |size| size.quiet.bytes.p99,
        BYTES_BOUND,
    ),
    bounded(
        "bytes_per_second_busiest",
        |size| size.quiet.bytes.busiest,
        BYTES_BOUND,
    ),
    bounded(
        "bytes_per_second_day",
        |size| size.day.bytes.mean,
        BYTES_BOUND,
    ),
    bounded(
        "full_bytes_per_second_busiest",
        |size| size.quiet.full_bytes.busiest,
        BYTES_BOUND,
    ),
    unbounded("messages_per_second", |size| size.quiet.messages.mean),
    unbounded("messages_per_second_busiest", |size| {
        size.quiet.messages.busiest
    }),
    unbounded("full_messages_per_second_busiest", |size| {
        size.quiet.full_messages.busiest
    }),
    unbounded("dialled_per_node", |size| size.quiet.dialled),
    unbounded("join_ms", |size| size.join_ms),
    unbounded("failure_p95_ms", |size| size.failures.p95_ms),
    unbounded("failure_all_ms", |size| size.failures.all_ms),
    unbounded("rack_lost_p95_ms", |size| size.rack_lost.p95_ms),
    unbounded("rack_lost_all_ms", |size| size.rack_lost.all_ms),
    unbounded("change_all_ms", |size| size.changes.in_force.all_ms),
    unbounded("burst_all_ms", |size| size.burst.in_force.all_ms),
    unbounded("platform_watchers", |size| size.platform_watchers as f64),
    unbounded("false_dead", |size| size.verdicts.false_dead as f64),
];

const fn bounded(name: &'static str, read: fn(&SizeFigures) -> f64, bound: f64) -> Measure {
    Measure {
        name,
        read,
        bound: Some(bound),
    }
}

const fn unbounded(name: &'static str, read: fn(&SizeFigures) -> f64) -> Measure {
    Measure {
        name,
        read,
        bound: None,
    }
}

/// How a value grows with the nodes.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Growth {
    /// The value.
    pub name: &'static str,
    /// At each size.
    pub points: Vec<Point>,
    /// The line through them; none with one size.
    pub line: Option<Line>,
    /// What a node may use.
    pub bound: Option<f64>,
    /// Whether the largest size keeps it.
    pub keeps_bound: Option<bool>,
}

/// How each measured value grows over the sizes.
pub(super) fn growth_of_all(sizes: &[SizeFigures]) -> Vec<Growth> {
    MEASURES
        .iter()
        .map(|measure| growth(measure, sizes))
        .collect()
}

fn growth(measure: &Measure, sizes: &[SizeFigures]) -> Growth {
    let points: Vec<Point> = sizes
        .iter()
        .map(|size| Point {
            nodes: size.nodes as f64,
            value: rounded((measure.read)(size)),
        })
        .collect();
    let largest = points.last().map(|point| point.value);
    let keeps = |bound: f64| largest.is_some_and(|value| value <= bound);
    Growth {
        name: measure.name,
        line: fit(&points),
        bound: measure.bound,
        keeps_bound: measure.bound.map(keeps),
        points,
    }
}
