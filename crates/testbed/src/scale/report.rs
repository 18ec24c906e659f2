//! Prints what was measured: tables for people, then one JSON line.

use std::collections::BTreeMap;

use serde::Serialize;

use super::arguments::ScaleArguments;
use super::cluster_processes::FULL_NODES;
use super::figures::{ChangeFigures, CutFigures, Learned, SizeFigures};
use super::growth::{Growth, growth_of_all};
use super::protocol::NodeReport;
use super::usage::WindowFigures;

/// Nodes shown when a cluster does not come together.
const SHOWN_NODES: usize = 10;

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
            growth: growth_of_all(&sizes),
            sizes,
            cuts,
        }
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
