//! `explain`: puts the log lines of all nodes about one request into one timeline, the cause first.

use std::path::Path;

use serde::Serialize;

use super::log_line::{LogLine, plain, read_log};
use crate::arguments::{ExplainArguments, OutputFormat};
use crate::error::CliError;
use crate::output::{Columns, Output};

const REQUEST_TARGETS: [&str; 3] = ["request", "attempt", "records"];
const SURROUNDING_TARGETS: [&str; 3] = ["belief", "dependency", "process"];
/// How long before the request's first line its surroundings are shown, in milliseconds.
const BEFORE_MS: i64 = 3_000;

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
    /// About another try of the same client's request.
    OtherTry,
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
    let mut digest = None;
    for path in &arguments.logs {
        digest = digest.or(read_digest(path, &arguments.request)?);
    }
    let subject = Subject {
        request: &arguments.request,
        digest,
    };
    let mut entries = Vec::new();
    for path in &arguments.logs {
        entries.extend(read_entries(path, &subject)?);
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

/// What is explained.
struct Subject<'a> {
    request: &'a str,
    /// What all tries of the client have in common, if a line of the request names it.
    digest: Option<String>,
}

impl Subject<'_> {
    fn is_own(&self, line: &LogLine) -> bool {
        names(line, "request", self.request)
    }

    fn is_other_try(&self, line: &LogLine) -> bool {
        let digest = self.digest.as_ref();
        digest.is_some_and(|digest| names(line, "digest", digest)) && !self.is_own(line)
    }
}

fn names(line: &LogLine, attribute: &str, value: &str) -> bool {
    let named = line.attributes.get(attribute);
    named.is_some_and(|named| named == value)
}

/// The digest that a line of the request names.
fn read_digest(path: &Path, request: &str) -> Result<Option<String>, CliError> {
    let mut digest = None;
    read_log(path, |_, line| {
        if names(&line, "request", request) && line.attributes.contains_key("digest") {
            digest = Some(line.text("digest"));
        }
    })?;
    Ok(digest)
}

fn read_entries(path: &Path, subject: &Subject<'_>) -> Result<Vec<(Entry, LogLine)>, CliError> {
    let mut entries = Vec::new();
    read_log(path, |node, line| {
        let entry = entry(&line, node, subject);
        entries.extend(entry.map(|entry| (entry, line)));
    })?;
    Ok(entries)
}

/// A line about the request, or about what its node believed; `None` for any other line.
fn entry(line: &LogLine, node: String, subject: &Subject<'_>) -> Option<Entry> {
    let is_request_line = REQUEST_TARGETS.contains(&line.target.as_str());
    let kind = if is_request_line && subject.is_own(line) {
        LogLineKind::Request
    } else if is_request_line && subject.is_other_try(line) {
        LogLineKind::OtherTry
    } else if SURROUNDING_TARGETS.contains(&line.target.as_str()) {
        LogLineKind::Surrounding
    } else {
        return None;
    };
    let is_named = kind == LogLineKind::OtherTry;
    let details = line
        .attributes
        .iter()
        .filter(|(key, _)| is_named || *key != "request");
    let details: Vec<String> = details
        .map(|(key, value)| format!("{key}={}", plain(value)))
        .collect();
    Some(Entry {
        time: line.time.clone(),
        node,
        what: line.message.clone(),
        details: details.join(" "),
        at_ms: line.at_ms()?,
        line: kind,
    })
}

fn explain(request: &str, entries: Vec<(Entry, LogLine)>) -> Result<Explanation, CliError> {
    let own: Vec<&(Entry, LogLine)> = entries
        .iter()
        .filter(|(entry, _)| entry.line == LogLineKind::Request)
        .collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Err(CliError::UnknownRequest);
    };
    let begin = first.0.at_ms - last.1.number("took_ms").unwrap_or_default() - BEFORE_MS;
    let end = last.0.at_ms;
    let nodes: Vec<String> = own.iter().map(|(entry, _)| entry.node.clone()).collect();
    let (outcome, reason) = (last.1.text("outcome"), last.1.text("reason"));
    let meaning = meaning(&outcome, &reason);
    let timeline = entries.into_iter().map(|(entry, _)| entry).filter(|entry| {
        entry.line != LogLineKind::Surrounding
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

/// What on-call should make of an outcome.
fn meaning(outcome: &str, reason: &str) -> &'static str {
    match (outcome, reason) {
        ("answered", _) => "An engine's answer was passed on; its status is the engine's own.",
        ("client_gone", _) => "The client went away before the answer was over.",
        ("broken_off", "engine_failed") => {
            "The engine broke the stream off, and no other engine may take it up: by its route, or since none of its software version is left. See the failed attempt."
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
        (_, "software_gone") => {
            "No engine of the software version that began the stream is ready. See the line origin of a resumed stream, and the engines' software."
        }
        (_, "origin_unknown") => {
            "It resumes a stream of which no record was found, and several software versions may have begun it. Search for the id in resumes."
        }
        (_, "events_unknown") => {
            "It resumes the stream of a turn that is kept, whose first events no gateway has. Its client has to begin it anew."
        }
        (_, "zones_drained") => {
            "All ready engines of the service stand in drained zones. See the lines zone drained; docs/operations/zones.md."
        }
        (_, "engines_full") => {
            "All engines that were asked refused to run it. See the failed attempts."
        }
        (_, "engines_warm_up") => {
            "All engines of the service warm up and have what they bear. See the engines that were passed over; docs/operations/warm-up.md."
        }
        (_, "engine_failed") => {
            "An engine may have run it and gave no answer that can be passed on. See the failed attempt."
        }
        (_, "ends_engines") => {
            "Engines ended under this client's request, in this try or earlier ones, so it is sent to none and its client is told for good. See the lines engine ended under a request, which have the same digest; docs/operations/engine-ends.md."
        }
        (_, "tries_unsettled") => {
            "Three other tries of the same request have no outcome yet: they are at engines, or their gateways are gone. Search for its digest; docs/operations/engine-ends.md."
        }
        (_, "timed_out") => "Time was up while an engine had it.",
        (_, "timed_out_unsent") => "Time was up before any engine had it.",
        (_, "stopping") => "Its gateway was stopping, and no engine had it.",
        (_, "stopped") => "Its gateway stopped while an engine had it.",
        (_, "no_route") => {
            "The configuration in force has no route for it. See version and version_age_ms."
        }
        (_, "no_such_turn") => {
            "The turn that it goes on from is not kept for its tenant. See the turn's own lines and the route's retention."
        }
        (_, "unknown_key") => {
            "No tenant of the configuration in force holds its key. See version and version_age_ms."
        }
        (_, "keys_unproven") => {
            "The node had not heard for too long that keys are still in force. See version_age_ms and the platform store's lines."
        }
        (_, "rate_exceeded") => {
            "Its tenant had made as many requests as it may. See per_ks, burst, exhausted and silent; docs/operations/tenants.md."
        }
        (_, "rate_unknown") => {
            "No limiter of its tenant answered in time. See silent, and the replicas' logs."
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
