//! `ridgeworks-testbed load`: a load on a deployment that runs already.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use clap::Args;
use ridgeworks_domain::{ProgramName, ServiceName};
use serde::Serialize;

use super::target::SystemTarget;
use super::workers::{LoadPlan, run_load};
use crate::client::{CallerClient, ClientSettings};
use crate::measures::rounded;

const TEXT: &str = "what is open near here";

/// Flags of a load.
#[derive(Debug, Clone, Args)]
pub struct LoadArguments {
    /// A node, IP number and port; repeatable.
    #[arg(long = "node", required = true)]
    nodes: Vec<SocketAddr>,
    /// Token of the partner.
    #[arg(long)]
    token: String,
    /// Program that runs are opened from.
    #[arg(long)]
    program: ProgramName,
    /// Model service that is asked.
    #[arg(long)]
    service: ServiceName,
    /// Workers at a time.
    #[arg(long, default_value_t = 8)]
    workers: usize,
    /// Answers that each worker streams.
    #[arg(long, default_value_t = 20)]
    requests: usize,
    /// Most tokens of an answer.
    #[arg(long, default_value_t = 16)]
    max_tokens: u64,
    /// Longest pause before a request, in milliseconds.
    #[arg(long, default_value_t = 0)]
    max_pause_ms: u64,
}

/// Why a load failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadError {
    /// This many requests have no answer.
    Unanswered(usize),
}

impl fmt::Display for LoadError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unanswered(count) => write!(formatter, "{count} requests have no answer"),
        }
    }
}

impl std::error::Error for LoadError {}

#[derive(Serialize)]
struct LoadLine {
    ok: u64,
    failed: usize,
    requests_per_second: f64,
    first_token_p50_ms: f64,
    first_token_p95_ms: f64,
    token_gap_p95_ms: f64,
}

/// Runs the load and prints what it measured as one JSON object.
pub fn run(arguments: &LoadArguments) -> Result<(), LoadError> {
    let settings = ClientSettings::new(arguments.nodes.clone(), &arguments.token);
    let target = SystemTarget {
        client: CallerClient::new(settings),
        program: arguments.program.clone(),
        service: arguments.service.clone(),
    };
    let plan = LoadPlan {
        workers: arguments.workers,
        requests_per_worker: arguments.requests,
        text: TEXT.to_owned(),
        max_tokens: arguments.max_tokens,
        max_pause: Duration::from_millis(arguments.max_pause_ms),
    };
    let result = run_load(&target, &plan);
    for failure in &result.failures {
        eprintln!("{failure}");
    }
    let line = LoadLine {
        ok: result.ok,
        failed: result.failures.len(),
        requests_per_second: rounded(result.ok as f64 / result.elapsed.as_secs_f64()),
        first_token_p50_ms: result.first_token.p50_ms(),
        first_token_p95_ms: result.first_token.p95_ms(),
        token_gap_p95_ms: result.token_gap.p95_ms(),
    };
    let line = serde_json::to_string(&line).expect("the line holds plain values");
    println!("{line}");
    match result.failures.len() {
        0 => Ok(()),
        count => Err(LoadError::Unanswered(count)),
    }
}
