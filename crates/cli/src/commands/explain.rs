//! `explain`: puts the log lines of all nodes about one request into one timeline, the cause first.

use std::fs;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::arguments::{ExplainArguments, OutputFormat};
use crate::error::CliError;
use crate::output::{Columns, Output};

const REQUEST_TARGETS: [&str; 3] = ["request", "attempt", "records"];
const SURROUNDING_TARGETS: [&str; 3] = ["belief", "dependency", "process"];
/// How long before the request's first line its surroundings are shown, in milliseconds.
const BEFORE_MS: i64 = 3_000;

/// One line of a node's log, as far as it is needed.
#[derive(Debug, Clone, Deserialize)]
struct LogLine {
    time: String,
    target: String,
    message: String,
    #[serde(default)]
    attributes: Map<String, Value>,
    #[serde(default)]
    mdc: LineContext,
}

/// What a line says of the process that wrote it.
#[derive(Debug, Clone, Default, Deserialize)]
struct LineContext {
    node: Option<String>,
}

/// One entry of the timeline.
#[derive(Debug, Clone, Serialize)]
struct Entry {
    time: String,
    node: String,
    what: String,
    details: String,
    #[serde(skip)]
    at_ms: i64,
    #[serde(skip)]
    line: LogLineKind,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LogLineKind {
    Request,
    Surrounding,
}

/// What came of a request, and why.
#[derive(Debug, Serialize)]
struct Explanation {
    request: String,
    outcome: String,
    reason: String,
    meaning: &'static str,
    timeline: Vec<Entry>,
}

/// Prints the explanation.
pub fn run(arguments: &ExplainArguments, format: OutputFormat) -> Result<(), CliError> {
    let mut entries = Vec::new();
    for path in &arguments.logs {
        entries.extend(read_entries(path, &arguments.request)?);
    }
    entries.sort_by_key(|(entry, _)| entry.at_ms);
    let explanation = explain(&arguments.request, entries)?;
    let output = Output::new(format);
    if output.is_json() {
        return output.json(&explanation);
    }
    let Explanation {
        request,
        outcome,
        reason,
        meaning,
        timeline,
    } = explanation;
    output.line(&format!("{request}: {outcome} {reason}\n{meaning}\n"))?;
    output.columns(&columns(&timeline))
}

fn columns(timeline: &[Entry]) -> Columns<4> {
    Columns::of(["TIME", "NODE", "WHAT", "DETAILS"], timeline, |entry| {
        [
            entry.time.clone(),
            entry.node.clone(),
            entry.what.clone(),
            entry.details.clone(),
        ]
    })
}

fn read_entries(path: &Path, request: &str) -> Result<Vec<(Entry, LogLine)>, CliError> {
    let bytes = fs::read(path).map_err(|error| CliError::UnreadableFile {
        path: PathBuf::from(path),
        kind: error.kind(),
    })?;
    let file_name = path.file_stem().unwrap_or_default().to_string_lossy();
    let text = String::from_utf8_lossy(&bytes);
    let entries = text.lines().filter_map(|line| {
        let begin = line.find("{\"time\"")?;
        let parsed: LogLine = serde_json::from_str(&line[begin..]).ok()?;
        // Lines of before say nothing of their node; then what gathered them may, or the file's name.
        let before = line[..begin].split_whitespace().last();
        let node = parsed.mdc.node.as_deref().or(before);
        let node = node.unwrap_or(&file_name).to_owned();
        Some((entry(&parsed, node, request)?, parsed))
    });
    Ok(entries.collect())
}

/// A line about the request, or about what its node believed; `None` for any other line.
fn entry(line: &LogLine, node: String, request: &str) -> Option<Entry> {
    let is_about = line
        .attributes
        .get("request")
        .is_some_and(|id| id == request);
    let kind = if is_about && REQUEST_TARGETS.contains(&line.target.as_str()) {
        LogLineKind::Request
    } else if SURROUNDING_TARGETS.contains(&line.target.as_str()) {
        LogLineKind::Surrounding
    } else {
        return None;
    };
    let details = line.attributes.iter().filter(|(key, _)| *key != "request");
    let details: Vec<String> = details
        .map(|(key, value)| format!("{key}={}", plain(value)))
        .collect();
    Some(Entry {
        time: line.time.clone(),
        node,
        what: line.message.clone(),
        details: details.join(" "),
        at_ms: milliseconds(&line.time)?,
        line: kind,
    })
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Milliseconds of the day and of some days before, for ordering; times are RFC 3339 of one zone.
fn milliseconds(time: &str) -> Option<i64> {
    let (date, clock) = time.split_once('T')?;
    let mut date = date.split('-').filter_map(|part| part.parse::<i64>().ok());
    let (year, month, day) = (date.next()?, date.next()?, date.next()?);
    let clock = clock.get(..12)?;
    let mut parts = clock.split(':');
    let hours: i64 = parts.next()?.parse().ok()?;
    let minutes: i64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    let days = (year * 12 + month) * 31 + day;
    let of_day = (hours * 60 + minutes) * 60_000 + (seconds * 1_000.0) as i64;
    Some(days * 86_400_000 + of_day)
}

fn explain(request: &str, entries: Vec<(Entry, LogLine)>) -> Result<Explanation, CliError> {
    let own: Vec<&(Entry, LogLine)> = entries
        .iter()
        .filter(|(entry, _)| entry.line == LogLineKind::Request)
        .collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Err(CliError::UnknownRequest);
    };
    let begin = first.0.at_ms - taken_ms(&last.1) - BEFORE_MS;
    let end = last.0.at_ms;
    let nodes: Vec<String> = own.iter().map(|(entry, _)| entry.node.clone()).collect();
    let text = |key: &str| last.1.attributes.get(key).map(plain).unwrap_or_default();
    let (outcome, reason) = (text("outcome"), text("reason"));
    let meaning = meaning(&outcome, &reason);
    let timeline = entries.into_iter().map(|(entry, _)| entry).filter(|entry| {
        entry.line == LogLineKind::Request
            || (nodes.contains(&entry.node) && (begin..=end).contains(&entry.at_ms))
    });
    Ok(Explanation {
        request: request.to_owned(),
        timeline: timeline.collect(),
        outcome,
        reason,
        meaning,
    })
}

fn taken_ms(line: &LogLine) -> i64 {
    let taken = line.attributes.get("took_ms").map(plain);
    taken
        .and_then(|taken| taken.parse().ok())
        .unwrap_or_default()
}

/// What on-call should make of an outcome.
fn meaning(outcome: &str, reason: &str) -> &'static str {
    match (outcome, reason) {
        ("answered", _) => "An engine's answer was passed on; its status is the engine's own.",
        ("client_gone", _) => "The client went away before the answer was over.",
        ("broken_off", "engine_failed") => {
            "The engine broke the stream off, and no other engine may take it up on this route. See the failed attempt."
        }
        ("broken_off", "turn_not_recorded") => {
            "The turn could not be made durable at a majority of the replicas in time. See the replicas' lines and epoch."
        }
        ("broken_off", _) => "The stream outlasted its route's time-out or the client's deadline.",
        (_, "budget_spent") => {
            "The program's ledger does not hold the turn at its most. See budget, most and charged_to_others."
        }
        (_, "ledger_unavailable" | "turns_unavailable") => {
            "Too few replicas answered in time. See the replica set's epoch and the replicas' logs."
        }
        (_, "no_engine") => {
            "No engine of the service was listed as ready, or none could be reached."
        }
        (_, "engines_full") => {
            "All engines that were asked refused to run it. See the failed attempts."
        }
        (_, "engine_failed") => {
            "An engine may have run it and gave no answer that can be passed on. See the failed attempt."
        }
        (_, "timed_out") => "Time was up while an engine had it.",
        (_, "timed_out_unsent") => "Time was up before any engine had it.",
        (_, "no_route") => {
            "The configuration in force has no route for it. See version and version_age_ms."
        }
        (_, "no_configuration" | "configuration_stale") => {
            "The node had no configuration that it could be certain of. See the platform store's lines."
        }
        (_, "overloaded") => "The node held as many requests as it can.",
        (_, "bad_request" | "body_too_large" | "used_identifier") => {
            "The request itself was at fault."
        }
        _ => "No meaning is known for this outcome.",
    }
}
