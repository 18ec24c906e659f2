//! `ridgeworks-testbed engine`: a model engine.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use clap::Args;
use ridgeworks_stand_ins::engine::batching::StepCosts;
use ridgeworks_stand_ins::engine::{Engine, EngineOptions};

use crate::serving::{ServingArguments, serve_until_signal};

/// Flags of an engine.
#[derive(Debug, Clone, Args)]
pub struct EngineArguments {
    #[command(flatten)]
    serving: ServingArguments,
    /// Time of an empty step, in microseconds.
    #[arg(long, default_value_t = 8_000)]
    step_base_us: u64,
    /// Time that each decoding sequence adds to a step, in microseconds.
    #[arg(long, default_value_t = 50)]
    token_us: u64,
    /// Time that each prompt token computed adds to a step, in microseconds.
    #[arg(long, default_value_t = 50)]
    prefill_us_per_token: u64,
    /// Most sequences at a time.
    #[arg(long, default_value_t = 32)]
    max_batch: usize,
    /// Memory in blocks of 16 tokens.
    #[arg(long, default_value_t = 8_192)]
    blocks: u64,
    /// Most waiting attempts.
    #[arg(long, default_value_t = 256)]
    queue_limit: usize,
    /// Mean length of an answer without a limit, in tokens.
    #[arg(long, default_value_t = 64)]
    answer_tokens: usize,
    /// How late cache events are published, in milliseconds.
    #[arg(long, default_value_t = 100)]
    cache_event_lag_ms: u64,
    /// Drop each cache event whose number divides by this.
    #[arg(long)]
    cache_event_gap_every: Option<u64>,
    /// How late the load is reported, in milliseconds.
    #[arg(long, default_value_t = 100)]
    load_lag_ms: u64,
    /// Time that exporting or importing a context takes for each token, in microseconds.
    #[arg(long, default_value_t = 1)]
    transfer_us_per_token: u64,
    /// A model loaded at the start (repeatable); without any, every model is served.
    #[arg(long = "model")]
    models: Vec<String>,
    /// Address of the platform, for its weight store.
    #[arg(long)]
    platform: Option<SocketAddr>,
}

impl From<EngineArguments> for EngineOptions {
    fn from(arguments: EngineArguments) -> Self {
        Self {
            listen: arguments.serving.listen,
            name: arguments.serving.name,
            zone: arguments.serving.zone,
            history: arguments.serving.history,
            costs: StepCosts {
                base: Duration::from_micros(arguments.step_base_us),
                per_sequence: Duration::from_micros(arguments.token_us),
                per_prefill_token: Duration::from_micros(arguments.prefill_us_per_token),
            },
            max_batch: arguments.max_batch,
            blocks: arguments.blocks,
            queue_limit: arguments.queue_limit,
            answer_tokens: arguments.answer_tokens,
            cache_event_lag: Duration::from_millis(arguments.cache_event_lag_ms),
            cache_event_gap_every: arguments.cache_event_gap_every,
            load_lag: Duration::from_millis(arguments.load_lag_ms),
            transfer_per_token: Duration::from_micros(arguments.transfer_us_per_token),
            models: arguments.models,
            platform: arguments.platform,
        }
    }
}

/// Serves until SIGTERM, then finishes what is in progress.
pub fn run(arguments: EngineArguments) -> io::Result<()> {
    let mut engine = Engine::start(arguments.into())?;
    serve_until_signal(engine.address())?;
    engine.stop();
    Ok(())
}
