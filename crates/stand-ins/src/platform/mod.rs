//! A stand-in of the platform: objects with versions and watches, the lagging list of machines, the
//! rate-limited weight store, and switches for its faults.

pub mod faults;
pub mod machines;
pub mod routes;
pub mod store;
pub mod weights;

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::history::Recorder;
use crate::http::HttpServer;
use crate::platform::faults::Faults;
use crate::platform::machines::MachineRegistry;
use crate::platform::store::ObjectStore;
use crate::platform::weights::WeightStore;
use crate::relay::link::{Link, THREAD_STACK_BYTES};
use ridgeworks_worker_pool::WorkerPool;

/// Settings of a platform.
#[derive(Debug, Clone)]
pub struct PlatformOptions {
    /// Where to listen; port 0 chooses a free one.
    pub listen: SocketAddr,
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where to record the history.
    pub history: Option<PathBuf>,
    /// Where to keep objects over a restart.
    pub data_file: Option<PathBuf>,
    /// Most watches at a time.
    pub max_watchers: usize,
    /// How late the list of machines is.
    pub machine_list_lag: Duration,
    /// Rate of the weight store.
    pub weights_bytes_per_second: u64,
    /// Size of a model's weights where the request names none.
    pub weights_bytes: u64,
}

impl PlatformOptions {
    /// A platform on a free port of the loopback interface.
    pub fn local(name: &str) -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            name: name.to_owned(),
            zone: "local".to_owned(),
            history: None,
            data_file: None,
            max_watchers: 4,
            machine_list_lag: Duration::ZERO,
            weights_bytes_per_second: 1 << 30,
            weights_bytes: 64 << 20,
        }
    }
}

/// What the platform's threads share.
pub struct PlatformState {
    /// Its settings.
    pub options: PlatformOptions,
    /// Its objects.
    pub store: ObjectStore,
    /// The machines.
    pub machines: MachineRegistry,
    /// The weight store.
    pub weights: WeightStore,
    /// The faults that are on.
    pub faults: Faults,
    /// Number of open watches.
    pub watchers: AtomicUsize,
    history: Recorder,
    is_stopping: AtomicBool,
    /// Carries all connections, since the HTTP library can't close one without an answer.
    link: OnceLock<Arc<Link>>,
}

impl PlatformState {
    /// Closes a connection without an answer.
    pub fn close_connection(&self, peer: Option<SocketAddr>) {
        if let (Some(link), Some(peer)) = (self.link.get(), peer) {
            link.reset_connection(peer);
        }
    }

    /// Whether the process is about to end.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::SeqCst)
    }
}

/// A running platform.
pub struct Platform {
    state: Arc<PlatformState>,
    server: HttpServer,
    link: Arc<Link>,
    publisher: Option<JoinHandle<()>>,
}

impl Platform {
    /// Starts a platform.
    pub fn start(options: PlatformOptions) -> io::Result<Self> {
        let state = Arc::new(PlatformState {
            store: ObjectStore::open(options.data_file.as_deref())?,
            machines: MachineRegistry::new(options.machine_list_lag),
            weights: WeightStore::new(options.weights_bytes_per_second),
            faults: Faults::default(),
            watchers: AtomicUsize::new(0),
            history: Recorder::open(&options.name, options.history.as_deref())?,
            is_stopping: AtomicBool::new(false),
            link: OnceLock::new(),
            options,
        });
        let publisher = thread::spawn({
            let state = Arc::clone(&state);
            move || state.machines.record_publications(&state.history)
        });
        let inner_listen = SocketAddr::new(state.options.listen.ip(), 0);
        let server = HttpServer::start(inner_listen, {
            let state = Arc::clone(&state);
            move |incoming| routes::handle(&state, incoming)
        })?;
        let name = &state.options.name;
        let pool = Arc::new(WorkerPool::new("platform", THREAD_STACK_BYTES));
        let link = Link::start(name, state.options.listen, server.address(), pool)?;
        let link = Arc::clone(state.link.get_or_init(|| link));
        Ok(Self {
            state,
            server,
            link,
            publisher: Some(publisher),
        })
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.link.listen
    }

    /// Ends watches, answers what is open and ends the threads.
    pub fn stop(&mut self) {
        self.state.is_stopping.store(true, Ordering::SeqCst);
        self.state.machines.close();
        if let Some(publisher) = self.publisher.take() {
            let _ = publisher.join();
        }
        self.server.stop();
        self.link.close();
    }
}
