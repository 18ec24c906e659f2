//! `ridgeworks-testbed demo`: a small deployment and two conversations through the public interfaces.

use std::fmt;
use std::io::{self, Write};
use std::time::{Duration, Instant};

use clap::Args;
use ridgeworks_api::caller::RunHistoryResponse;
use ridgeworks_domain::{ProgramName, ServiceName};
use serde::Serialize;
use serde_json::Value;

use crate::client::{CallFailure, CallerClient, ClientSettings, RunClient};
use crate::cluster::{
    Binaries, Cluster, ClusterError, ClusterOptions, PresetName, RelayUse, exit_on_signal,
};
use crate::cluster_command::WorkingFolder;
use crate::conversation::{Conversation, Observer, Script, Step, carry_out};
use crate::load::{DirectTarget, LoadPlan, LoadResult, SystemTarget, run_load};
use crate::measures::{Distribution, rounded};

const STOP_TIMEOUT: Duration = Duration::from_secs(10);
const OVERHEAD_TEXT: &str = "what is open near here";
const OVERHEAD_ROUNDS: usize = 4;
const OVERHEAD_REQUESTS: usize = 10;
const OVERHEAD_TOKENS: u64 = 4;
const SHOWN_RESULT_CHARACTERS: usize = 100;

/// Flags of the demo.
#[derive(Debug, Clone, Args)]
pub struct DemoArguments {
    /// What to start.
    #[arg(long, value_enum, default_value = "kalahari-small")]
    pub preset: PresetName,
}

/// Why the demo failed.
#[derive(Debug)]
pub enum DemoError {
    /// The deployment could not be started or stopped.
    Cluster(ClusterError),
    /// The script of the crate cannot be read.
    Script(toml::de::Error),
    /// A request has no answer.
    Call(CallFailure),
    /// The script asks no model.
    NothingToMeasure,
    /// The summary could not be printed.
    Output(io::Error),
}

impl fmt::Display for DemoError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Cluster(error) => write!(formatter, "{error}"),
            Self::Script(error) => write!(formatter, "{error}"),
            Self::Call(failure) => write!(formatter, "{failure}"),
            Self::NothingToMeasure => write!(formatter, "the script asks no model"),
            Self::Output(error) => write!(formatter, "cannot print: {error}"),
        }
    }
}

impl std::error::Error for DemoError {}

impl From<ClusterError> for DemoError {
    fn from(error: ClusterError) -> Self {
        Self::Cluster(error)
    }
}

impl From<CallFailure> for DemoError {
    fn from(failure: CallFailure) -> Self {
        Self::Call(failure)
    }
}

/// The last line of the demo.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DemoLine {
    /// Calls made in the conversations.
    pub calls: u64,
    /// Calls with a whole answer.
    pub ok: u64,
    /// Median time of a call.
    pub p50_ms: f64,
    /// 95th percentile of the time of a call.
    pub p95_ms: f64,
    /// 95th percentile of the time to the first token, less the same of the engine asked directly.
    pub overhead_p95_ms: f64,
}

/// Runs the demo.
pub fn run(arguments: &DemoArguments) -> Result<(), DemoError> {
    exit_on_signal()?;
    let started = Instant::now();
    let folder = WorkingFolder::make(None)?;
    let cluster = Cluster::start(ClusterOptions {
        preset: arguments.preset.load().map_err(ClusterError::from)?,
        binaries: Binaries::beside_this_one()?,
        folder: folder.path().to_owned(),
        relay: RelayUse::BetweenZones,
        history: false,
    })?;
    let summary = cluster.summary();
    println!("{summary}");
    println!("ready after {:.1} s\n", started.elapsed().as_secs_f64());
    let script = Script::demo().map_err(DemoError::Script)?;
    let mut printer = Printer::default();
    for conversation in &script.conversations {
        println!("== {} ==", conversation.title);
        let client = client_of(&cluster, conversation)?;
        carry_out(&client, conversation, &mut printer)?;
    }
    let first = script
        .conversations
        .first()
        .ok_or(DemoError::NothingToMeasure)?;
    let overhead = measure_overhead(&cluster, first)?;
    cluster.shut_down(STOP_TIMEOUT)?;
    print_summary(&printer, &overhead, started.elapsed())
}

fn client_of(cluster: &Cluster, conversation: &Conversation) -> Result<CallerClient, ClusterError> {
    let token = cluster.token_of(&conversation.partner)?;
    let settings = ClientSettings::new(cluster.node_addresses(), &token.token);
    Ok(CallerClient::new(settings))
}

/// Times to the first token, from the engines themselves and through the system.
struct Overhead {
    direct: LoadResult,
    system: LoadResult,
}

impl Overhead {
    fn first_failure(&self) -> Option<CallFailure> {
        let failures = self.direct.failures.iter();
        failures.chain(&self.system.failures).next().cloned()
    }

    fn added_ms(&self, quantile: f64) -> f64 {
        let system = self.system.first_token.quantile_ms(quantile);
        system - self.direct.first_token.quantile_ms(quantile)
    }
}

/// Asks both ways in turn, so that what else the machine does burdens both alike.
fn measure_overhead(cluster: &Cluster, conversation: &Conversation) -> Result<Overhead, DemoError> {
    let service = first_model(conversation).ok_or(DemoError::NothingToMeasure)?;
    let engines = cluster
        .backends()
        .filter(|backend| backend.machine.service == service.as_str())
        .map(|backend| backend.machine.address);
    let direct = DirectTarget::new(engines.collect(), service.clone());
    let program: ProgramName = conversation.program.clone();
    let system = SystemTarget {
        client: client_of(cluster, conversation)?,
        program,
        service,
    };
    let plan = LoadPlan {
        workers: 1,
        requests_per_worker: OVERHEAD_REQUESTS,
        text: OVERHEAD_TEXT.to_owned(),
        max_tokens: OVERHEAD_TOKENS,
        max_pause: Duration::ZERO,
    };
    let mut overhead = Overhead {
        direct: LoadResult::default(),
        system: LoadResult::default(),
    };
    for _ in 0..OVERHEAD_ROUNDS {
        overhead.direct.add(run_load(&direct, &plan));
        overhead.system.add(run_load(&system, &plan));
    }
    match overhead.first_failure() {
        Some(failure) => Err(failure.into()),
        None => Ok(overhead),
    }
}

fn first_model(conversation: &Conversation) -> Option<ServiceName> {
    conversation.steps.iter().find_map(|step| match step {
        Step::Ask { service, .. } => Some(service.clone()),
        _ => None,
    })
}

fn print_summary(
    printer: &Printer,
    overhead: &Overhead,
    elapsed: Duration,
) -> Result<(), DemoError> {
    println!("== Summary ==");
    println!("{} calls, {} with an answer", printer.calls, printer.ok);
    println!(
        "time of a call: p50 {:.1} ms, p95 {:.1} ms",
        printer.latency.p50_ms(),
        printer.latency.p95_ms()
    );
    println!(
        "time to the first token over {} requests each: direct p50 {:.1} ms p95 {:.1} ms, \
         through the system p50 {:.1} ms p95 {:.1} ms",
        overhead.direct.ok,
        overhead.direct.first_token.p50_ms(),
        overhead.direct.first_token.p95_ms(),
        overhead.system.first_token.p50_ms(),
        overhead.system.first_token.p95_ms()
    );
    println!("took {:.1} s", elapsed.as_secs_f64());
    let line = DemoLine {
        calls: printer.calls,
        ok: printer.ok,
        p50_ms: printer.latency.p50_ms(),
        p95_ms: printer.latency.p95_ms(),
        overhead_p95_ms: rounded(overhead.added_ms(0.95)),
    };
    let line = serde_json::to_string(&line).expect("the line holds plain values");
    let mut output = io::stdout();
    writeln!(output, "{line}")
        .and_then(|()| output.flush())
        .map_err(DemoError::Output)
}

/// Prints a conversation and counts its calls.
#[derive(Default)]
struct Printer {
    latency: Distribution,
    calls: u64,
    ok: u64,
}

impl Observer for Printer {
    fn opened(&mut self, run: &RunClient<'_>, depth: usize) {
        let who = if depth == 0 { "run" } else { "sub-agent's run" };
        println!("{who} {} with a budget of {}", run.id(), run.budget());
    }

    fn asked(&mut self, service: &ServiceName, text: &str) {
        print!("-> {service}: {text}\n<- ");
    }

    fn text(&mut self, piece: &str) {
        print!("{piece}");
        // The pieces are shown as they come; a closed output shows at the last line.
        let _ = io::stdout().flush();
    }

    fn called(&mut self, service: &ServiceName, arguments: &Value) {
        print!("-> {service}: {arguments}\n<- ");
    }

    fn result(&mut self, result: &str) {
        let shown: String = result.chars().take(SHOWN_RESULT_CHARACTERS).collect();
        print!("{shown}");
    }

    fn ended(&mut self, latency: Duration, failure: Option<&CallFailure>) {
        self.calls += 1;
        self.ok += u64::from(failure.is_none());
        self.latency.record(latency);
        println!(" [{:.1} ms]", latency.as_secs_f64() * 1_000.0);
    }

    fn history(&mut self, history: &RunHistoryResponse, depth: usize) {
        println!(
            "history of {} (depth {depth}): spent {} of {}",
            history.run, history.spent, history.budget
        );
        for call in &history.calls {
            println!(
                "  {:>2} {:22} {:?}, cost {}",
                call.sequence, call.service, call.outcome, call.cost
            );
        }
        println!();
    }
}
