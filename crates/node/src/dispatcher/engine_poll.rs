//! Polls back ends for what they publish: health, load and cache events. A thread for each.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use ridgeworks_domain::objects::Backend;
use ridgeworks_domain::safeguard::{Safeguard, is_disabled};
use ridgeworks_domain::{BackendName, RunId, ServiceKind, ServiceName};
use ridgeworks_scheduling::{CacheChange, CacheEvent, CacheListing, CachedContext, LoadReport};
use ridgeworks_worker_pool::spawn_detached;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use ureq::Agent;

use crate::mailbox::Mailbox;
use crate::thread_message::ThreadMessage;

const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Every so many polls the whole cache is listed, for events that were lost and runs that ended unnoticed.
const POLLS_PER_LISTING: u32 = 8;
const POLL_TIMEOUT: Duration = Duration::from_secs(1);
const THREAD_STACK_BYTES: usize = 256 * 1024;
const TOKENS_PER_BLOCK: u64 = 16;

/// What a poll brought.
#[derive(Debug)]
pub enum EngineNews {
    /// Load of an engine.
    Load(LoadReport),
    /// A change in an engine's cache.
    Cache(CacheEvent),
    /// Everything that an engine's cache holds.
    Listing(CacheListing),
    /// The back end says itself that it is leaving.
    Leaving(BackendName),
    /// The back end was asked for the first time, whether it answered or not.
    Checked {
        /// The back end.
        backend: BackendName,
        /// Its load, if it told any. Calls that are let in with the back end are held to what its memory holds.
        load: Option<LoadReport>,
    },
    /// Which start of the back end answers.
    Instance {
        /// The back end.
        backend: BackendName,
        /// Number of the start.
        instance: u64,
    },
}

/// What a poll brought, for the dispatcher of a service.
#[derive(Debug)]
pub struct EngineReport {
    /// The service.
    pub service: ServiceName,
    /// The news.
    pub news: EngineNews,
}

#[derive(Deserialize)]
struct Health {
    status: HealthStatus,
    instance: Option<u64>,
}

#[derive(Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
enum HealthStatus {
    Leaving,
    #[serde(other)]
    Serving,
}

#[derive(Deserialize)]
struct Load {
    running: u32,
    #[serde(default)]
    queued: u32,
    #[serde(default)]
    total_blocks: u64,
}

#[derive(Deserialize)]
struct EventPage {
    events: Vec<PublishedEvent>,
    next: u64,
}

#[derive(Deserialize)]
struct PublishedEvent {
    number: u64,
    kind: PublishedChange,
    run: RunId,
    tokens: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum PublishedChange {
    Stored,
    Evicted,
}

#[derive(Deserialize)]
struct ListedContext {
    run: RunId,
    tokens: u64,
}

/// The polls that run.
pub struct EnginePolls {
    mailbox: Mailbox<ThreadMessage>,
    running: BTreeMap<BackendName, Arc<AtomicBool>>,
}

impl EnginePolls {
    /// No polls; reports go to `mailbox`.
    pub fn new(mailbox: Mailbox<ThreadMessage>) -> Self {
        Self {
            mailbox,
            running: BTreeMap::new(),
        }
    }

    /// Starts to poll a back end, unless it is polled already.
    pub fn start(&mut self, backend: &Backend, kind: ServiceKind) {
        if self.running.contains_key(&backend.name) {
            return;
        }
        let stopped = Arc::new(AtomicBool::new(false));
        let poll = self.poll(backend, kind, stopped.clone());
        let started = spawn_detached("engine-poll", THREAD_STACK_BYTES, move || poll.run());
        if started.is_ok() {
            self.running.insert(backend.name.clone(), stopped);
        }
    }

    /// Stops the poll of a back end that is gone.
    pub fn stop(&mut self, backend: &BackendName) {
        if let Some(stopped) = self.running.remove(backend) {
            stopped.store(true, Ordering::Relaxed);
        }
    }

    /// Reads what an engine's cache holds, on a thread of its own.
    pub fn list_cache(&self, backend: &Backend) {
        let poll = self.poll(backend, ServiceKind::Model, Arc::default());
        // A listing that fails is asked for again at the next gap.
        let _ = spawn_detached("engine-list", THREAD_STACK_BYTES, move || poll.list());
    }

    fn poll(&self, backend: &Backend, kind: ServiceKind, stopped: Arc<AtomicBool>) -> Poll {
        Poll {
            agent: agent(),
            backend: backend.clone(),
            kind,
            mailbox: self.mailbox.clone(),
            stopped,
        }
    }
}

fn agent() -> Agent {
    Agent::config_builder()
        .timeout_global(Some(POLL_TIMEOUT))
        .build()
        .new_agent()
}

struct Poll {
    agent: Agent,
    backend: Backend,
    kind: ServiceKind,
    mailbox: Mailbox<ThreadMessage>,
    stopped: Arc<AtomicBool>,
}

impl Poll {
    fn run(&self) {
        let mut next_event = 1;
        for polls in 0_u32.. {
            if self.stopped.load(Ordering::Relaxed) {
                return;
            }
            self.poll_health();
            let load = self.poll_load();
            if polls == 0 {
                let backend = self.backend.name.clone();
                self.report(EngineNews::Checked { backend, load });
            } else if let Some(load) = load {
                self.report(EngineNews::Load(load));
            }
            if self.kind == ServiceKind::Model {
                next_event = self.poll_events(next_event);
                if polls % POLLS_PER_LISTING == 0 {
                    self.list();
                }
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn poll_health(&self) {
        let Some(health) = self.get::<Health>("/health") else {
            return;
        };
        let backend = self.backend.name.clone();
        if let Some(instance) = health.instance {
            let backend = backend.clone();
            self.report(EngineNews::Instance { backend, instance });
        }
        if health.status == HealthStatus::Leaving && !is_disabled(Safeguard::Leaving) {
            self.report(EngineNews::Leaving(backend));
        }
    }

    /// What an engine says of its load; nothing where the back end is no engine or does not answer.
    fn poll_load(&self) -> Option<LoadReport> {
        if self.kind != ServiceKind::Model {
            return None;
        }
        let load = self.get::<Load>("/load")?;
        Some(LoadReport {
            backend: self.backend.name.clone(),
            running: load.running,
            waiting: load.queued,
            cache_capacity_tokens: load.total_blocks * TOKENS_PER_BLOCK,
        })
    }

    fn poll_events(&self, from: u64) -> u64 {
        let Some(page) = self.get::<EventPage>(&format!("/cache/events?from={from}")) else {
            return from;
        };
        for event in page.events {
            self.report(EngineNews::Cache(CacheEvent {
                backend: self.backend.name.clone(),
                number: event.number,
                change: match event.kind {
                    PublishedChange::Stored => CacheChange::Stored,
                    PublishedChange::Evicted => CacheChange::Evicted,
                },
                run: event.run,
                tokens: event.tokens,
            }));
        }
        page.next
    }

    fn list(&self) {
        // The number is read first: events after it may be in the listing too, which does no harm.
        let Some(page) = self.get::<EventPage>(&format!("/cache/events?from={}", u64::MAX)) else {
            return;
        };
        let Some(contexts) = self.get::<Vec<ListedContext>>("/contexts") else {
            return;
        };
        let contexts = contexts.into_iter().map(|context| CachedContext {
            run: context.run,
            tokens: context.tokens,
        });
        self.report(EngineNews::Listing(CacheListing {
            backend: self.backend.name.clone(),
            number: page.next.saturating_sub(1),
            contexts: contexts.collect(),
        }));
    }

    fn get<T: DeserializeOwned>(&self, path: &str) -> Option<T> {
        let url = format!("http://{}{path}", self.backend.address);
        let mut response = self.agent.get(&url).call().ok()?;
        response.body_mut().read_json().ok()
    }

    fn report(&self, news: EngineNews) {
        let service = self.backend.service.clone();
        self.mailbox
            .post(ThreadMessage::Engine(EngineReport { service, news }));
    }
}
