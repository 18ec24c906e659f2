//! Prints what was measured: tables for people, then one JSON line.

use std::collections::BTreeMap;

use serde::Serialize;

use super::arguments::ScaleArguments;
use super::cluster_processes::FULL_NODES;
use super::protocol::NodeReport;
use super::slope::{Line, Point, fit};
use super::trial::{ChangeFigures, CutFigures, Learned, SizeFigures};
use super::usage::WindowFigures;
use crate::measures::rounded;

/// Most processor time of a node for control, in percent of a core.
const CPU_BOUND_PERCENT: f64 = 1.6;
/// Most memory of a node for control, in MB.
const MEMORY_BOUND_MB: f64 = 256.0;
/// Most bytes a second of a node for control, 11 KB, both directions together.
const BYTES_BOUND: f64 = 11_000.0;
/// Nodes shown when a cluster does not come together.
const SHOWN_NODES: usize = 10;

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

/// The whole run, printed as one JSON line.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ScaleReport {
    engines: usize,
    runs: usize,
    processes: usize,
    compression: u32,
    sizes: Vec<SizeFigures>,
    cuts: Vec<CutFigures>,
    growth: Vec<Growth>,
}

impl ScaleReport {
    /// Puts all sizes together.
    pub fn new(arguments: &ScaleArguments, sizes: Vec<SizeFigures>, cuts: Vec<CutFigures>) -> Self {
        Self {
            engines: arguments.engines,
            runs: arguments.runs,
            processes: arguments.processes,
            compression: arguments.compression,
            growth: MEASURES
                .iter()
                .map(|measure| growth(measure, &sizes))
                .collect(),
            sizes,
            cuts,
        }
    }
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

/// Prints the cuts, the table of growth and the JSON line.
pub fn print(report: &ScaleReport) {
    for cut in &report.cuts {
        println!("\n{} cut off: {} hollow nodes inside", cut.what, cut.nodes);
        print_learned("  seen Dead outside", &cut.lost);
        print_learned("  seen Alive again after the mending", &cut.back);
        println!(
            "  all agree {:.0} ms after the mending; {:?}",
            cut.healed_ms, cut.verdicts
        );
    }
    print_growth(report);
    let line = serde_json::to_string(report).expect("the report holds plain values");
    println!("{line}");
}

fn print_growth(report: &ScaleReport) {
    let sizes = report.sizes.iter().map(|size| format!(" {} |", size.nodes));
    println!(
        "\n| measure |{} per node added | at 0 | R² | bound | kept |",
        sizes.collect::<String>()
    );
    println!(
        "|---|{}---|---|---|---|---|",
        "---|".repeat(report.sizes.len())
    );
    for growth in &report.growth {
        let values = growth
            .points
            .iter()
            .map(|point| format!(" {} |", point.value));
        let line = growth.line.map_or_else(
            || " - | - | - |".to_owned(),
            |line| {
                format!(
                    " {:.5} | {:.3} | {:.2} |",
                    line.slope, line.intercept, line.determination
                )
            },
        );
        let bound = growth
            .bound
            .map_or("-".to_owned(), |bound| bound.to_string());
        let kept = match growth.keeps_bound {
            None => "-",
            Some(true) => "yes",
            Some(false) => "NO",
        };
        println!(
            "| {} |{}{line} {bound} | {kept} |",
            growth.name,
            values.collect::<String>()
        );
    }
}

/// Prints one size as soon as it is measured.
pub fn print_size(size: &SizeFigures) {
    println!(
        "\n{} nodes, {FULL_NODES} of them full processes",
        size.nodes
    );
    println!(
        "  {} joined at once: all agree after {:.0} ms at most",
        size.joined_at_once, size.join_ms
    );
    print_window("  quiet", &size.quiet);
    print_window("  compressed day", &size.day);
    print_learned("  failures seen Dead", &size.failures);
    print_learned("  departures seen Left", &size.departures);
    print_learned("  new lives seen Alive", &size.joins);
    print_changes("  changes", &size.changes);
    print_changes("  burst of 50 changes", &size.burst);
    print_learned("  rack lost, seen Dead", &size.rack_lost);
    print_learned("  rack replaced, seen Alive", &size.rack_back);
    println!(
        "  {:?}, suspicions {}, own pauses {}, leases lapsed {}",
        size.verdicts, size.suspicions, size.own_pauses, size.leases_lapsed
    );
    println!(
        "  platform watchers {}, machines listed {}, run heads on the busiest node {}",
        size.platform_watchers, size.machines, size.run_heads
    );
}

fn print_window(name: &str, window: &WindowFigures) {
    println!(
        "{name} ({:.1} s): hollow node {:.3}% of a core (busiest process {:.3}%), {:.1} MB (largest \
         {:.1}); bytes/s mean {:.0}, p99 {:.0}, busiest {:.0}, of these sent {:.0}, p99 {:.0}, busiest {:.0}; \
         messages/s mean {:.0}, p99 {:.0}, busiest {:.0}",
        window.seconds,
        window.cpu_percent,
        window.cpu_percent_busiest,
        window.memory_mb,
        window.memory_mb_largest,
        window.bytes.mean,
        window.bytes.p99,
        window.bytes.busiest,
        window.sent_bytes.mean,
        window.sent_bytes.p99,
        window.sent_bytes.busiest,
        window.messages.mean,
        window.messages.p99,
        window.messages.busiest,
    );
    println!(
        "{name}: full process {:.3}% of a core (busiest {:.3}%), largest {:.1} MB; bytes/s mean {:.0}, \
         busiest {:.0}; messages/s mean {:.0}, busiest {:.0}; dropped messages {}",
        window.full_cpu_percent,
        window.full_cpu_percent_busiest,
        window.full_memory_mb_largest,
        window.full_bytes.mean,
        window.full_bytes.busiest,
        window.full_messages.mean,
        window.full_messages.busiest,
        window.dropped_messages,
    );
}

fn print_learned(name: &str, learned: &Learned) {
    println!(
        "{name}: {} causes, {} pairs with an observer, p95 {:.0} ms, all {:.0} ms, never {}",
        learned.causes, learned.pairs, learned.p95_ms, learned.all_ms, learned.missing
    );
}

fn print_changes(name: &str, changes: &ChangeFigures) {
    println!("{name}: longest answer {:.0} ms", changes.answer_ms);
    print_learned(
        &format!("{name} in force after the answer"),
        &changes.in_force,
    );
}

/// Says which nodes keep a cluster from coming together.
pub fn print_unjoined(members: usize, nodes: &BTreeMap<usize, NodeReport>) {
    println!(
        "not joined: {members} members wanted, {} hollow nodes report",
        nodes.len()
    );
    let behind = nodes
        .values()
        .filter(|node| node.present != members || !node.is_ready);
    for node in behind.take(SHOWN_NODES) {
        println!("  {node:?}");
    }
}
