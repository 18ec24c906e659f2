//! A stand-in of a model engine: OpenAI-style chat with continuous batching, a prefix cache in
//! limited memory, resumable and cancellable attempts, and fenced orders.

pub mod answer;
pub mod batching;
pub mod cache_events;
pub mod chat;
pub mod lagging_load;
pub mod memory;
pub mod orders;
pub mod prefix_cache;
pub mod queue;
mod recording;
pub mod routes;
pub mod token_blocks;

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::attempts::AttemptRegistry;
use crate::engine::batching::{Batch, StepCosts};
use crate::engine::chat::ChatPlan;
use crate::engine::lagging_load::LaggingLoad;
use crate::engine::memory::EngineMemory;
use crate::engine::orders::LoadedModels;
use crate::engine::queue::AttemptQueue;
use crate::fencing::Fence;
use crate::history::Recorder;
use crate::http::HttpServer;
use crate::metrics::BackendMetrics;

/// Settings of an engine.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Where to listen; port 0 chooses a free one.
    pub listen: SocketAddr,
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where to record the history.
    pub history: Option<PathBuf>,
    /// How fast it is.
    pub costs: StepCosts,
    /// Most sequences at a time.
    pub max_batch: usize,
    /// Memory in blocks of 16 tokens.
    pub blocks: u64,
    /// Most waiting attempts.
    pub queue_limit: usize,
    /// Mean length of an answer without a limit, in tokens.
    pub answer_tokens: usize,
    /// How late cache events are published.
    pub cache_event_lag: Duration,
    /// Drops each cache event whose number divides by this.
    pub cache_event_gap_every: Option<u64>,
    /// How late the load is reported.
    pub load_lag: Duration,
    /// Time that exporting or importing takes for each token.
    pub transfer_per_token: Duration,
    /// Models loaded at the start; when there are none, every model is served.
    pub models: Vec<String>,
    /// Address of the platform, for its weight store.
    pub platform: Option<SocketAddr>,
}

impl EngineOptions {
    /// A fast engine on a free port of the loopback interface.
    pub fn local(name: &str) -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            name: name.to_owned(),
            zone: "local".to_owned(),
            history: None,
            costs: StepCosts {
                base: Duration::from_millis(1),
                per_sequence: Duration::from_micros(20),
                per_prefill_token: Duration::from_micros(2),
            },
            max_batch: 32,
            blocks: 65_536,
            queue_limit: 1_024,
            answer_tokens: 64,
            cache_event_lag: Duration::ZERO,
            cache_event_gap_every: None,
            load_lag: Duration::ZERO,
            transfer_per_token: Duration::ZERO,
            models: Vec::new(),
            platform: None,
        }
    }
}

/// What the engine's threads share.
pub struct EngineState {
    /// Its settings.
    pub options: EngineOptions,
    /// The attempts it knows.
    pub attempts: AttemptRegistry<ChatPlan>,
    /// The attempts that wait.
    pub queue: Arc<AttemptQueue>,
    /// Its memory.
    pub memory: Arc<EngineMemory>,
    /// Its recorded history.
    pub history: Arc<Recorder>,
    /// Its reported load.
    pub load: Arc<LaggingLoad>,
    /// The highest dispatcher token seen.
    pub fence: Fence,
    /// Its models, adapters and role.
    pub models: LoadedModels,
    /// Its counters.
    pub metrics: BackendMetrics,
    is_leaving: AtomicBool,
}

impl EngineState {
    /// Whether it takes no further work.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::SeqCst)
    }
}

/// A running engine.
pub struct Engine {
    state: Arc<EngineState>,
    server: HttpServer,
    scheduler: Option<JoinHandle<()>>,
}

impl Engine {
    /// Starts an engine.
    pub fn start(options: EngineOptions) -> io::Result<Self> {
        let history = Recorder::open(&options.name, options.history.as_deref())?;
        let lag = options.cache_event_lag;
        let gap_every = options.cache_event_gap_every;
        let state = Arc::new(EngineState {
            attempts: AttemptRegistry::default(),
            queue: Arc::default(),
            memory: Arc::new(EngineMemory::new(options.blocks, lag, gap_every)),
            history: Arc::new(history),
            load: Arc::new(LaggingLoad::new(options.blocks, options.load_lag)),
            fence: Fence::default(),
            models: LoadedModels::new(&options.models),
            metrics: BackendMetrics::default(),
            is_leaving: AtomicBool::new(false),
            options,
        });
        let scheduler = thread::spawn({
            let batch = new_batch(&state);
            move || batch.run()
        });
        let server = HttpServer::start(state.options.listen, {
            let state = Arc::clone(&state);
            move |incoming| routes::handle(&state, incoming)
        })?;
        Ok(Self {
            state,
            server,
            scheduler: Some(scheduler),
        })
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Takes no further work, finishes what it has and ends its threads.
    pub fn stop(&mut self) {
        self.state.is_leaving.store(true, Ordering::SeqCst);
        self.state.queue.close();
        if let Some(scheduler) = self.scheduler.take() {
            let _ = scheduler.join();
        }
        self.server.stop();
    }
}

fn new_batch(state: &EngineState) -> Batch {
    Batch::new(
        Arc::clone(&state.queue),
        Arc::clone(&state.memory),
        Arc::clone(&state.history),
        Arc::clone(&state.load),
        state.options.costs,
        state.options.max_batch,
    )
}
