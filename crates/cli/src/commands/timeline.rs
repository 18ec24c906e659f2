//! `timeline`: what the logs of all nodes say of a deployment, interval by interval.
//!
//! Which interval is the bad one, and whether requests, replicas, links or the replica set changed first, is what on-call
//! has to know before any single request (`docs/OPERATIONS.md`).

use std::collections::{BTreeMap, BTreeSet};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::log_line::{LogLine, read_log};
use crate::arguments::{OutputFormat, TimelineArguments};
use crate::error::CliError;
use crate::output::{Columns, Output};

/// Longest time that is told apart, in milliseconds; requests end sooner.
const MOST_MS: u64 = 600_000;
/// Digits that times are kept with.
const DIGITS: u8 = 3;

/// Times of one kind in one interval.
struct Times(Histogram<u64>);

impl Times {
    fn new() -> Self {
        let times = Histogram::new_with_max(MOST_MS, DIGITS);
        Self(times.expect("the bounds are valid"))
    }

    fn add(&mut self, ms: Option<i64>) {
        let known = ms.and_then(|ms| u64::try_from(ms).ok());
        // Zero says that the request had no such part.
        if let Some(ms) = known.filter(|ms| *ms > 0) {
            self.0.saturating_record(ms);
        }
    }

    fn middle_and_slow(&self) -> [u64; 2] {
        [0.5, 0.9].map(|share| self.0.value_at_quantile(share))
    }
}

/// What happened in one interval.
struct Interval {
    first: String,
    outcomes: BTreeMap<String, u64>,
    reserve: Times,
    first_event: Times,
    no_quorum: u64,
    silent_links: u64,
    late_links: u64,
    late_replicas: BTreeSet<String>,
    set_changes: u64,
    store_losses: u64,
    /// Groups of replicas whose set changed or whose majority did not answer: one of them, or all, tells different causes.
    groups: BTreeSet<i64>,
}

impl Interval {
    fn new(first: String) -> Self {
        Self {
            first,
            outcomes: BTreeMap::new(),
            reserve: Times::new(),
            first_event: Times::new(),
            no_quorum: 0,
            silent_links: 0,
            late_links: 0,
            late_replicas: BTreeSet::new(),
            set_changes: 0,
            store_losses: 0,
            groups: BTreeSet::new(),
        }
    }

    fn take(&mut self, node: String, line: &LogLine) {
        match line.message.as_str() {
            "request ended" => self.take_request(line),
            "no quorum in time" => {
                self.no_quorum += 1;
                self.groups.extend(line.number("group"));
            }
            "majority of the replicas lost" => self.groups.extend(line.number("group")),
            "silent link to a node replaced" => self.silent_links += 1,
            "late link to a node kept" => self.late_links += 1,
            "replica answers late" => {
                self.late_replicas.insert(node);
            }
            "replica set changed" => {
                self.set_changes += 1;
                self.groups.extend(line.number("group"));
            }
            "platform store lost" => self.store_losses += 1,
            _ => {}
        }
    }

    fn take_request(&mut self, line: &LogLine) {
        *self.outcomes.entry(line.text("outcome")).or_default() += 1;
        self.reserve.add(line.number("reserve_ms"));
        self.first_event.add(line.number("first_event_ms"));
    }

    fn row(self) -> Row {
        let outcome = |name: &str| self.outcomes.get(name).copied().unwrap_or_default();
        let [reserve_p50_ms, reserve_p90_ms] = self.reserve.middle_and_slow();
        let [first_event_p50_ms, first_event_p90_ms] = self.first_event.middle_and_slow();
        Row {
            time: self.first,
            answered: outcome("answered"),
            refused: outcome("refused"),
            broken_off: outcome("broken_off"),
            client_gone: outcome("client_gone"),
            reserve_p50_ms,
            reserve_p90_ms,
            first_event_p50_ms,
            first_event_p90_ms,
            no_quorum: self.no_quorum,
            silent_links: self.silent_links,
            late_links: self.late_links,
            late_replicas: self.late_replicas.len(),
            set_changes: self.set_changes,
            store_losses: self.store_losses,
            groups: self.groups.into_iter().collect(),
        }
    }
}

/// One interval as it is told.
#[derive(Debug, Serialize)]
struct Row {
    time: String,
    answered: u64,
    refused: u64,
    broken_off: u64,
    client_gone: u64,
    reserve_p50_ms: u64,
    reserve_p90_ms: u64,
    first_event_p50_ms: u64,
    first_event_p90_ms: u64,
    no_quorum: u64,
    silent_links: u64,
    late_links: u64,
    late_replicas: usize,
    set_changes: u64,
    store_losses: u64,
    groups: Vec<i64>,
}

/// Prints the timeline.
pub fn run(arguments: &TimelineArguments, format: OutputFormat) -> Result<(), CliError> {
    let length_ms = i64::from(arguments.seconds.get()) * 1_000;
    let mut intervals = BTreeMap::new();
    for path in &arguments.logs {
        read_log(path, |node, line| {
            let Some(at_ms) = line.at_ms() else {
                return;
            };
            let new = || Interval::new(line.time.clone());
            let interval = intervals
                .entry(at_ms.div_euclid(length_ms))
                .or_insert_with(new);
            interval.take(node, &line);
        })?;
    }
    let rows: Vec<Row> = intervals.into_values().map(Interval::row).collect();
    let output = Output::new(format);
    if output.is_json() {
        return output.json(&rows);
    }
    output.columns(&columns(&rows))
}

fn columns(rows: &[Row]) -> Columns<12> {
    let headings = [
        "FROM",
        "ANSWERED",
        "REFUSED",
        "BROKEN OFF",
        "CLIENT GONE",
        "RESERVE MS P50/P90",
        "FIRST EVENT MS P50/P90",
        "NO QUORUM",
        "LINKS SILENT/LATE",
        "LATE REPLICAS",
        "SET CHANGES/STORE LOST",
        "GROUPS",
    ];
    Columns::of(headings, rows, |row| {
        [
            row.time.clone(),
            row.answered.to_string(),
            row.refused.to_string(),
            row.broken_off.to_string(),
            row.client_gone.to_string(),
            format!("{}/{}", row.reserve_p50_ms, row.reserve_p90_ms),
            format!("{}/{}", row.first_event_p50_ms, row.first_event_p90_ms),
            row.no_quorum.to_string(),
            format!("{}/{}", row.silent_links, row.late_links),
            row.late_replicas.to_string(),
            format!("{}/{}", row.set_changes, row.store_losses),
            named(&row.groups),
        ]
    })
}

fn named(groups: &[i64]) -> String {
    if groups.is_empty() {
        return "-".to_owned();
    }
    let numbers: Vec<String> = groups.iter().map(i64::to_string).collect();
    numbers.join(",")
}
