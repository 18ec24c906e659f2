//! A stand-in of a tool or notice service: calls with a latency law, which take effect in one
//! instant, and some of which hang.

pub mod executions;
pub mod routes;

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ridgeworks_domain::{Cost, Sequence};
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::attempts::{AttemptKey, AttemptRegistry};
use crate::history::Recorder;
use crate::http::HttpServer;
use crate::metrics::BackendMetrics;
use crate::tool::executions::Executions;

/// Settings of a tool service.
#[derive(Debug, Clone)]
pub struct ToolOptions {
    /// Where to listen; port 0 chooses a free one.
    pub listen: SocketAddr,
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where to record the history.
    pub history: Option<PathBuf>,
    /// Price of a call.
    pub price: Cost,
    /// Shortest time until a call takes effect.
    pub latency: Duration,
    /// Most that a call takes beyond that; evenly distributed.
    pub latency_jitter: Duration,
    /// Lets every so many-th call hang: the first of these before its effect, the next after it, and
    /// so on in turn.
    pub hang_every: Option<u64>,
    /// Seed of latencies and results.
    pub seed: u64,
}

impl ToolOptions {
    /// A fast tool service on a free port of the loopback interface.
    pub fn local(name: &str) -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            name: name.to_owned(),
            zone: "local".to_owned(),
            history: None,
            price: Cost(1),
            latency: Duration::from_millis(1),
            latency_jitter: Duration::ZERO,
            hang_every: None,
            seed: 0,
        }
    }
}

/// What a tool service will do for one attempt.
#[derive(Debug)]
pub struct ToolPlan {
    /// The attempt.
    pub key: AttemptKey,
    /// The call's position in its run.
    pub sequence: Option<Sequence>,
    /// The service asked for.
    pub service: String,
    /// The arguments.
    pub arguments: Value,
}

/// Whether and where a call hangs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hang {
    /// It doesn't.
    No,
    /// Before its effect, until it is fenced.
    BeforeEffect,
    /// After its effect: the answer never comes.
    AfterEffect,
}

/// What the tool service's threads share.
pub struct ToolState {
    /// Its settings.
    pub options: ToolOptions,
    /// The attempts it knows.
    pub attempts: AttemptRegistry<ToolPlan>,
    /// What took effect.
    pub executions: Executions,
    /// Its recorded history.
    pub history: Recorder,
    /// Its counters.
    pub metrics: BackendMetrics,
    calls: AtomicU64,
    is_leaving: AtomicBool,
}

impl ToolState {
    /// Whether it takes no further work.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::SeqCst)
    }

    /// Counts a new call and says whether it hangs.
    pub fn next_hang(&self) -> Hang {
        let number = self.calls.fetch_add(1, Ordering::SeqCst) + 1;
        match self.options.hang_every {
            Some(every) if every > 0 && number.is_multiple_of(every) => {
                if (number / every).is_multiple_of(2) {
                    Hang::AfterEffect
                } else {
                    Hang::BeforeEffect
                }
            }
            _ => Hang::No,
        }
    }

    /// How long an attempt takes: always the same for one seed.
    pub fn latency(&self, key: &AttemptKey) -> Duration {
        let name = format!("{}/{}/{}", key.run, key.call, key.attempt);
        let seed = xxh3_64_with_seed(name.as_bytes(), self.options.seed);
        let share: f64 = ChaCha8Rng::seed_from_u64(seed).random();
        self.options.latency + self.options.latency_jitter.mul_f64(share)
    }
}

/// A running tool service.
pub struct Tool {
    state: Arc<ToolState>,
    server: HttpServer,
}

impl Tool {
    /// Starts a tool service.
    pub fn start(options: ToolOptions) -> io::Result<Self> {
        let state = Arc::new(ToolState {
            attempts: AttemptRegistry::default(),
            executions: Executions::default(),
            history: Recorder::open(&options.name, options.history.as_deref())?,
            metrics: BackendMetrics::default(),
            calls: AtomicU64::new(0),
            is_leaving: AtomicBool::new(false),
            options,
        });
        let server = HttpServer::start(state.options.listen, {
            let state = Arc::clone(&state);
            move |incoming| routes::handle(&state, incoming)
        })?;
        Ok(Self { state, server })
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Takes no further work and answers what is open; calls that hang end without an answer.
    pub fn stop(&mut self) {
        self.state.is_leaving.store(true, Ordering::SeqCst);
        self.server.stop();
    }
}
