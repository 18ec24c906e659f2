//! What nodes used during a window: processor time, memory, bytes and messages.

use std::collections::BTreeMap;
use std::fs;
use std::time::{Duration, Instant};

use serde::Serialize;

use super::cluster_processes::{LinkTotals, Processes};
use super::error::ScaleError;
use super::protocol::NodeReport;
use crate::bench::NodeProcess;

const PERCENT: f64 = 100.0;
const BYTES_PER_MEGABYTE: f64 = 1_048_576.0;
const BYTES_PER_KIBIBYTE: u64 = 1_024;
const MOST_NODES: f64 = 0.99;
const MEMORY_FILE: &str = "/proc/meminfo";
const MEMORY_KEY: &str = "MemTotal:";

/// The state of all counters at one time.
#[derive(Debug)]
pub struct Sample {
    at: Instant,
    hosts: Vec<ProcessSample>,
    full: Vec<ProcessSample>,
    full_links: Vec<LinkTotals>,
    nodes: BTreeMap<usize, NodeReport>,
}

#[derive(Debug, Clone, Copy)]
struct ProcessSample {
    cpu: Duration,
    resident_bytes: u64,
}

impl Sample {
    /// Reads all counters. `nodes` are the reports of the hollow nodes that run.
    pub fn take(
        processes: &Processes,
        nodes: BTreeMap<usize, NodeReport>,
    ) -> Result<Self, ScaleError> {
        let hosts = processes.hosts().iter();
        let hosts = hosts.map(|host| NodeProcess { id: host.id() });
        Ok(Self {
            at: Instant::now(),
            hosts: hosts.map(process_sample).collect::<Result<_, _>>()?,
            full: processes
                .full_processes()
                .into_iter()
                .map(process_sample)
                .collect::<Result<_, _>>()?,
            full_links: processes.full_links()?,
            nodes,
        })
    }

    /// Memory of all nodes together, in bytes.
    pub fn resident_bytes(&self) -> u64 {
        let processes = self.hosts.iter().chain(&self.full);
        processes.map(|process| process.resident_bytes).sum()
    }
}

fn process_sample(process: NodeProcess) -> Result<ProcessSample, ScaleError> {
    Ok(ProcessSample {
        cpu: process.cpu_time().map_err(ScaleError::ProcessFigures)?,
        resident_bytes: process
            .resident_bytes()
            .map_err(ScaleError::ProcessFigures)?,
    })
}

/// Mean, 99th percentile and greatest of all nodes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Rates {
    /// Mean.
    pub mean: f64,
    /// What 99% of the nodes do not exceed.
    pub p99: f64,
    /// The busiest node.
    pub busiest: f64,
}

impl Rates {
    fn of(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        let count = values.len();
        let position = ((count as f64 * MOST_NODES).ceil() as usize).saturating_sub(1);
        Self {
            mean: values.iter().sum::<f64>() / count.max(1) as f64,
            p99: values.get(position).copied().unwrap_or(0.0),
            busiest: values.last().copied().unwrap_or(0.0),
        }
    }
}

/// Figures of a window. Processor time is in percent of one core.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct WindowFigures {
    /// Length of the window.
    pub seconds: f64,
    /// Processor time of a hollow node, mean of all processes.
    pub cpu_percent: f64,
    /// Processor time of a hollow node, mean of the busiest process.
    pub cpu_percent_busiest: f64,
    /// Processor time of a full process, mean.
    pub full_cpu_percent: f64,
    /// Processor time of the busiest full process.
    pub full_cpu_percent_busiest: f64,
    /// Memory of a hollow node, mean of all processes, in MB.
    pub memory_mb: f64,
    /// Memory of a hollow node, mean of the largest process, in MB.
    pub memory_mb_largest: f64,
    /// Memory of the largest full process, in MB.
    pub full_memory_mb_largest: f64,
    /// Bytes a second that a hollow node sent.
    pub sent_bytes: Rates,
    /// Bytes a second that it sent and received.
    pub bytes: Rates,
    /// Messages a second that it sent and received.
    pub messages: Rates,
    /// Bytes a second that a full process sent and received.
    pub full_bytes: Rates,
    /// Messages a second that a full process sent and received.
    pub full_messages: Rates,
    /// Connections that a hollow node dialled, mean over its lives since the start.
    pub dialled: f64,
    /// Messages that all hollow nodes dropped.
    pub dropped_messages: u64,
}

impl WindowFigures {
    /// What was used between two samples.
    pub fn between(before: &Sample, after: &Sample) -> Self {
        let seconds = after.at.duration_since(before.at).as_secs_f64();
        let count = after.nodes.len().max(1) as f64;
        let in_process = count / after.hosts.len().max(1) as f64;
        let hosts = cpu_percent(&before.hosts, &after.hosts, seconds, in_process);
        let full = cpu_percent(&before.full, &after.full, seconds, 1.0);
        let memory = memory_mb(&after.hosts, in_process);
        let rate = |value: fn(&NodeReport) -> u64| node_rates(before, after, seconds, value);
        let full_rate = |value: fn(&LinkTotals) -> u64| full_rates(before, after, seconds, value);
        let total = |sample: &Sample, value: fn(&NodeReport) -> u64| -> u64 {
            sample.nodes.values().map(value).sum()
        };
        let dropped = |node: &NodeReport| node.dropped_messages;
        Self {
            seconds,
            cpu_percent: hosts.mean,
            cpu_percent_busiest: hosts.busiest,
            full_cpu_percent: full.mean,
            full_cpu_percent_busiest: full.busiest,
            memory_mb: memory.mean,
            memory_mb_largest: memory.busiest,
            full_memory_mb_largest: memory_mb(&after.full, 1.0).busiest,
            sent_bytes: rate(|node| node.sent_bytes),
            bytes: rate(|node| node.sent_bytes + node.received_bytes),
            messages: rate(|node| node.sent_messages + node.received_messages),
            full_bytes: full_rate(|links| links.bytes),
            full_messages: full_rate(|links| links.messages),
            dialled: total(after, |node| node.dialled) as f64 / count,
            dropped_messages: total(after, dropped).saturating_sub(total(before, dropped)),
        }
    }
}

/// Processor time of each node, in percent of a core, where `nodes` share a process.
fn cpu_percent(
    before: &[ProcessSample],
    after: &[ProcessSample],
    seconds: f64,
    nodes: f64,
) -> Rates {
    let used = before.iter().zip(after).map(|(before, after)| {
        let used = after.cpu.saturating_sub(before.cpu);
        used.as_secs_f64() / seconds / nodes * PERCENT
    });
    Rates::of(used.collect())
}

/// Growth of a counter of the hollow nodes, a second.
fn node_rates(
    before: &Sample,
    after: &Sample,
    seconds: f64,
    value: fn(&NodeReport) -> u64,
) -> Rates {
    let grown = after.nodes.iter().map(|(index, node)| {
        let earlier = before.nodes.get(index).map_or(0, value);
        value(node).saturating_sub(earlier) as f64 / seconds
    });
    Rates::of(grown.collect())
}

/// Growth of a counter of the full processes, a second.
fn full_rates(
    before: &Sample,
    after: &Sample,
    seconds: f64,
    value: fn(&LinkTotals) -> u64,
) -> Rates {
    let pairs = before.full_links.iter().zip(&after.full_links);
    let grown =
        pairs.map(|(before, after)| value(after).saturating_sub(value(before)) as f64 / seconds);
    Rates::of(grown.collect())
}

/// Memory of each node, where `nodes` share a process.
fn memory_mb(processes: &[ProcessSample], nodes: f64) -> Rates {
    let memory = processes.iter();
    let memory = memory.map(|process| process.resident_bytes as f64 / BYTES_PER_MEGABYTE / nodes);
    Rates::of(memory.collect())
}

/// Memory of the machine, in bytes; `None` where the system does not say.
pub fn machine_memory_bytes() -> Option<u64> {
    let text = fs::read_to_string(MEMORY_FILE).ok()?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(MEMORY_KEY))?;
    let kibibytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kibibytes * BYTES_PER_KIBIBYTE)
}
