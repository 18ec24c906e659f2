//! Polls the health, load and cache events of back ends, with one thread for each back end.

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
/// Number of polls per listing of the whole cache. Listings recover from lost events and find
/// contexts of ended runs.
const POLLS_PER_LISTING: u32 = 8;
const POLL_TIMEOUT: Duration = Duration::from_secs(1);
const THREAD_STACK_BYTES: usize = 256 * 1024;
const TOKENS_PER_BLOCK: u64 = 16;

/// A result of polling one back end.
#[derive(Debug)]
pub enum EngineUpdate {
    /// Current load of an engine, from every poll but the first.
    Load(LoadReport),
    /// A context was stored in or evicted from an engine's cache.
    Cache(CacheEvent),
    /// Complete contents of an engine's cache.
    Listing(CacheListing),
    /// The back end's health response says that it is leaving.
    Leaving(BackendName),
    /// The first poll of the back end finished, successfully or not.
    Probed {
        /// Name of the polled back end.
        backend: BackendName,
        /// Load of the engine; `None` if the back end is no engine or did not answer. It must reach
        /// the scheduler before the held calls, which have to fit into the engine's memory.
        load: Option<LoadReport>,
    },
    /// Identifies the process of the back end that answered.
    Instance {
        /// Name of the polled back end.
        backend: BackendName,
        /// Changes when the back end restarts.
        instance: u64,
    },
}

/// An update and the service whose dispatcher it is for.
#[derive(Debug)]
pub struct EngineReport {
    /// Service of the polled back end.
    pub service: ServiceName,
    /// One of the results of a poll.
    pub update: EngineUpdate,
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

/// Running poll threads, by back end.
pub struct EnginePolls {
    mailbox: Mailbox<ThreadMessage>,
    running: BTreeMap<BackendName, Arc<AtomicBool>>,
}

impl EnginePolls {
    /// Starts no thread yet; reports of later polls are posted to `mailbox`.
    pub fn new(mailbox: Mailbox<ThreadMessage>) -> Self {
        Self {
            mailbox,
            running: BTreeMap::new(),
        }
    }

    /// Starts polling a back end. Does nothing if it is already polled; if the thread cannot be
    /// started, a later call tries again.
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

    /// Stops polling a back end; its thread exits before its next poll.
    pub fn stop(&mut self, backend: &BackendName) {
        if let Some(stopped) = self.running.remove(backend) {
            stopped.store(true, Ordering::Relaxed);
        }
    }

    /// Lists an engine's cache once, on a separate thread.
    pub fn list_cache(&self, backend: &Backend) {
        let poll = self.poll(backend, ServiceKind::Model, Arc::default());
        // A failure is ignored: the poll thread lists the cache every `POLLS_PER_LISTING` polls.
        let _ = spawn_detached("engine-list", THREAD_STACK_BYTES, move || poll.list_cache());
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
                self.report(EngineUpdate::Probed { backend, load });
            } else if let Some(load) = load {
                self.report(EngineUpdate::Load(load));
            }
            if self.kind == ServiceKind::Model {
                next_event = self.poll_events(next_event);
                if polls % POLLS_PER_LISTING == 0 {
                    self.list_cache();
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
            self.report(EngineUpdate::Instance { backend, instance });
        }
        if health.status == HealthStatus::Leaving && !is_disabled(Safeguard::Leaving) {
            self.report(EngineUpdate::Leaving(backend));
        }
    }

    /// Returns `None` if the back end is no engine or does not answer.
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
            self.report(EngineUpdate::Cache(CacheEvent {
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

    fn list_cache(&self) {
        // The event number is read before the contexts: the listing may then include later events,
        // which is harmless, but misses none.
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
        self.report(EngineUpdate::Listing(CacheListing {
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

    fn report(&self, update: EngineUpdate) {
        let service = self.backend.service.clone();
        self.mailbox
            .post(ThreadMessage::Engine(EngineReport { service, update }));
    }
}
