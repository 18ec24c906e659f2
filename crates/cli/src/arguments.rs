//! Arguments of the command line.

use std::num::NonZeroU32;
use std::path::PathBuf;
use std::sync::LazyLock;

use clap::{Args, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use ridgeworks_api::v1;

use crate::object_kind::KindArgument;

/// Version of the program and the commit that it was built from, if the build was told.
fn version() -> &'static str {
    static VERSION: LazyLock<String> = LazyLock::new(|| {
        let commit = option_env!("RIDGEWORKS_COMMIT").unwrap_or("unknown");
        format!("{}, commit {commit}", env!("CARGO_PKG_VERSION"))
    });
    VERSION.as_str()
}

/// Operates ridgeworks: programs, services, priority classes, shares and nodes.
#[derive(Debug, Parser)]
#[command(name = "ridgeworks", version = version(), after_help = crate::exit_status::HELP)]
pub struct Arguments {
    /// Where to send requests and as whom.
    #[command(flatten)]
    pub connection: ConnectionArguments,
    /// Form of the output.
    #[arg(long, global = true, value_enum, default_value_t = OutputFormat::Table)]
    pub output: OutputFormat,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// Where to send requests and as whom.
#[derive(Debug, Args)]
pub struct ConnectionArguments {
    /// Address of a node, as in 10.0.0.1:7000; repeat it to name further nodes, which are asked in turn
    #[arg(
        long = "server",
        value_name = "ADDRESS",
        global = true,
        env = "RIDGEWORKS_SERVER",
        value_delimiter = ','
    )]
    pub servers: Vec<String>,
    /// The partner's token; a file or the environment keeps it out of the list of processes
    #[arg(long, global = true, env = "RIDGEWORKS_TOKEN", hide_env_values = true)]
    pub token: Option<String>,
    /// File that holds the partner's token; goes before a token
    #[arg(
        long,
        value_name = "FILE",
        global = true,
        env = "RIDGEWORKS_TOKEN_FILE"
    )]
    pub token_file: Option<PathBuf>,
    /// Longest time to wait for one answer of one node
    #[arg(
        long,
        value_name = "MILLISECONDS",
        global = true,
        default_value_t = 10_000
    )]
    pub timeout_ms: u64,
}

/// Form of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum OutputFormat {
    /// Columns for a human reader.
    Table,
    /// The messages of the schema in JSON.
    Json,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Creates or replaces the objects of a file
    Apply(ApplyArguments),
    /// Shows the objects of a kind, or one of them
    Get(GetArguments),
    /// Deletes an object
    Delete(DeleteArguments),
    /// Shows changes of the configuration as they come
    Watch(WatchArguments),
    /// Shows nodes, engines, runs, queues and lag
    Status,
    /// Tells a node to stop as planned
    Drain(DrainArguments),
    /// Shows runs and their history
    #[command(subcommand)]
    Runs(RunsCommand),
    /// Changes the split of the shared pool
    #[command(subcommand)]
    Shares(SharesCommand),
    /// Explains one request from the logs of nodes, without asking any node
    Explain(ExplainArguments),
    /// Shows what the logs of nodes say, interval by interval, without asking any node
    Timeline(TimelineArguments),
    /// Prints the completions of a shell
    Completions(CompletionsArguments),
}

/// Arguments of `explain`.
#[derive(Debug, Args)]
pub struct ExplainArguments {
    /// Identifier of the client's attempt
    pub request: String,
    /// Logs of nodes, one JSON object a line; several nodes may share a file
    #[arg(long, value_name = "FILE", num_args = 1.., required = true)]
    pub logs: Vec<PathBuf>,
}

/// Arguments of `timeline`.
#[derive(Debug, Args)]
pub struct TimelineArguments {
    /// Logs of nodes, one JSON object a line; several nodes may share a file
    #[arg(long, value_name = "FILE", num_args = 1.., required = true)]
    pub logs: Vec<PathBuf>,
    /// Length of an interval, in seconds
    #[arg(long, default_value = "2")]
    pub seconds: NonZeroU32,
}

/// Arguments of `apply`.
#[derive(Debug, Args)]
pub struct ApplyArguments {
    /// File in TOML (.toml) or JSON (.json), with one object or a list named "objects"
    #[arg(short, long = "file", value_name = "FILE")]
    pub file: PathBuf,
    /// Fail when an object exists already
    #[arg(long)]
    pub create: bool,
    /// Identifier of an earlier try whose outcome is unknown
    #[arg(long, value_name = "ID")]
    pub operation_id: Option<String>,
}

/// Arguments of `get`.
#[derive(Debug, Args)]
pub struct GetArguments {
    /// Kind of the objects
    #[arg(value_enum)]
    pub kind: KindArgument,
    /// Name of one object
    pub name: Option<String>,
}

/// Arguments of `delete`.
#[derive(Debug, Args)]
pub struct DeleteArguments {
    /// Kind of the object
    #[arg(value_enum)]
    pub kind: KindArgument,
    /// Name of the object
    pub name: String,
    /// Version that the object must have; the present one when absent
    #[arg(long, value_name = "VERSION")]
    pub expected_version: Option<u64>,
    /// Identifier of an earlier try whose outcome is unknown
    #[arg(long, value_name = "ID")]
    pub operation_id: Option<String>,
}

/// Arguments of `watch`.
#[derive(Debug, Args)]
pub struct WatchArguments {
    /// Only changes after this revision; all objects come first when it is 0
    #[arg(long, value_name = "REVISION", default_value_t = 0)]
    pub after: u64,
    /// Only objects of this kind
    #[arg(long, value_enum)]
    pub kind: Option<KindArgument>,
    /// End once everything up to this revision was shown
    #[arg(long, value_name = "REVISION")]
    pub until: Option<u64>,
}

/// Arguments of `drain`.
#[derive(Debug, Args)]
pub struct DrainArguments {
    /// Configured name of the node
    pub node: String,
}

/// Subcommands of `runs`.
#[derive(Debug, Subcommand)]
pub enum RunsCommand {
    /// Shows the partner's runs
    List(RunsListArguments),
    /// Shows the calls of a run
    History(RunsHistoryArguments),
}

/// Arguments of `runs list`.
#[derive(Debug, Args)]
pub struct RunsListArguments {
    /// Only runs of this program
    #[arg(long)]
    pub program: Option<String>,
    /// Only runs in this state
    #[arg(long, value_enum)]
    pub state: Option<RunStateArgument>,
    /// Most runs to show
    #[arg(long, default_value_t = 100)]
    pub limit: u32,
}

/// State of a run, as an argument.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum RunStateArgument {
    /// Takes calls.
    Open,
    /// Takes no more calls.
    Closed,
}

impl From<RunStateArgument> for v1::RunState {
    fn from(state: RunStateArgument) -> Self {
        match state {
            RunStateArgument::Open => Self::Open,
            RunStateArgument::Closed => Self::Closed,
        }
    }
}

/// Arguments of `runs history`.
#[derive(Debug, Args)]
pub struct RunsHistoryArguments {
    /// Identifier of the run
    pub run: String,
}

/// Subcommands of `shares`.
#[derive(Debug, Subcommand)]
pub enum SharesCommand {
    /// Proposes a split; it is in force once every partner consented
    Propose(SharesProposeArguments),
    /// Consents to a proposed split
    Consent(SharesConsentArguments),
}

/// Arguments of `shares propose`.
#[derive(Debug, Args)]
pub struct SharesProposeArguments {
    /// Parts in thousandths that sum to 1000, as in north=400 south=600
    #[arg(required = true, value_name = "PARTNER=PERMILLE")]
    pub shares: Vec<ShareArgument>,
    /// Version that the split must have; the present one when absent
    #[arg(long, value_name = "VERSION")]
    pub expected_version: Option<u64>,
    /// Identifier of an earlier try whose outcome is unknown
    #[arg(long, value_name = "ID")]
    pub operation_id: Option<String>,
}

/// Arguments of `shares consent`.
#[derive(Debug, Args)]
pub struct SharesConsentArguments {
    /// Version of the split that holds the proposal, as `shares propose` or `get pool-split` shows it
    pub proposal_version: u64,
    /// Identifier of an earlier try whose outcome is unknown
    #[arg(long, value_name = "ID")]
    pub operation_id: Option<String>,
}

/// One partner's part of the pool, as an argument.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareArgument {
    partner: String,
    permille: u32,
}

/// Why an argument is not a part of the pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareArgumentError {
    /// There is no `=`.
    NoEqualsSign,
    /// What follows the `=` is no number.
    NoNumber,
}

impl std::fmt::Display for ShareArgumentError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NoEqualsSign => write!(formatter, "expected PARTNER=PERMILLE"),
            Self::NoNumber => write!(formatter, "PERMILLE is not a whole number"),
        }
    }
}

impl std::error::Error for ShareArgumentError {}

impl std::str::FromStr for ShareArgument {
    type Err = ShareArgumentError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (partner, permille) = text
            .split_once('=')
            .ok_or(ShareArgumentError::NoEqualsSign)?;
        let permille = permille.parse().map_err(|_| ShareArgumentError::NoNumber)?;
        Ok(Self {
            partner: partner.to_owned(),
            permille,
        })
    }
}

impl From<&ShareArgument> for v1::Share {
    fn from(share: &ShareArgument) -> Self {
        Self {
            partner: share.partner.clone(),
            permille: share.permille,
        }
    }
}

/// Arguments of `completions`.
#[derive(Debug, Args)]
pub struct CompletionsArguments {
    /// The shell
    #[arg(value_enum)]
    pub shell: Shell,
}
