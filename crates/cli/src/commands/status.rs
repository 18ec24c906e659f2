//! `status`: shows nodes, engines, runs, queues and lag as the asked node sees them.

use ridgeworks_api::v1;

use crate::error::CliError;
use crate::output::{Columns, number_or_dash, state_name, yes_or_no};
use crate::session::Session;

const NODE_HEADINGS: [&str; 9] = [
    "NODE",
    "ZONE",
    "STATE",
    "INCARNATION",
    "READY",
    "REVISION",
    "DISK",
    "RUNS",
    "STREAMS",
];
const ENGINE_HEADINGS: [&str; 7] = [
    "ENGINE", "SERVICE", "ZONE", "STATE", "RUNNING", "QUEUED", "SLOTS",
];
const RUN_HEADINGS: [&str; 2] = ["RUNS", "COUNT"];
const QUEUE_HEADINGS: [&str; 5] = ["QUEUE", "PARTNER", "CLASS", "LENGTH", "OLDEST_MS"];
const LAG_HEADINGS: [&str; 2] = ["LAG", "MS"];

/// Shows the state of the system.
pub fn run(session: &Session) -> Result<(), CliError> {
    let request = v1::StatusRequest {};
    let status = session.client.status(&request).map_err(CliError::Read)?;
    let output = &session.output;
    if output.is_json() {
        return output.json(&status);
    }
    output.columns(&Columns::of(NODE_HEADINGS, &status.nodes, node_row))?;
    output.line("")?;
    output.columns(&Columns::of(ENGINE_HEADINGS, &status.engines, engine_row))?;
    output.line("")?;
    output.columns(&Columns::of(RUN_HEADINGS, &status.runs, run_row))?;
    output.line("")?;
    output.columns(&Columns::of(QUEUE_HEADINGS, &status.queues, queue_row))?;
    output.line("")?;
    output.columns(&lag_columns(&status.lag.unwrap_or_default()))
}

fn node_row(node: &v1::NodeSummary) -> [String; 9] {
    [
        node.name.clone(),
        node.zone.clone(),
        state_name(node.state().as_str_name(), "NODE_STATE_"),
        node.incarnation.to_string(),
        yes_or_no(node.ready),
        number_or_dash(node.configuration_revision),
        yes_or_no(node.has_disk),
        node.open_runs.to_string(),
        node.open_streams.to_string(),
    ]
}

fn engine_row(engine: &v1::EngineSummary) -> [String; 7] {
    [
        engine.name.clone(),
        engine.service.clone(),
        engine.zone.clone(),
        state_name(engine.state().as_str_name(), "ENGINE_STATE_"),
        engine.running.to_string(),
        engine.queued.to_string(),
        engine.slots.to_string(),
    ]
}

fn run_row(count: &v1::RunCount) -> [String; 2] {
    [
        state_name(count.state().as_str_name(), "RUN_STATE_"),
        count.count.to_string(),
    ]
}

fn queue_row(queue: &v1::QueueSummary) -> [String; 5] {
    [
        queue.service.clone(),
        queue.partner.clone(),
        queue.class.clone(),
        queue.length.to_string(),
        queue.oldest_age_ms.to_string(),
    ]
}

fn lag_columns(lag: &v1::LagSummary) -> Columns<2> {
    let ages = [
        ("cache events", lag.cache_events_ms),
        ("load", lag.load_ms),
        ("platform list", lag.platform_list_ms),
    ];
    Columns::of(LAG_HEADINGS, &ages, |(name, age)| {
        [(*name).to_owned(), number_or_dash(*age)]
    })
}
