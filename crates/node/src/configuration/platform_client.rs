//! HTTP client of the platform's objects and list of machines. Each operation runs on its own
//! thread; a watch uses two.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ridgeworks_configuration::effect::DOCUMENT_KEY;
use ridgeworks_configuration::{
    Machine, MachineState, PlatformAnswer, PlatformOperation, PlatformVersion, RequestId,
    WatchEvent,
};
use ridgeworks_domain::objects::Backend;
use ridgeworks_domain::{BackendName, ServiceName, ZoneName};
use ridgeworks_worker_pool::spawn_detached;
use serde::Deserialize;
use serde_json::value::RawValue;
use ureq::Agent;

use super::platform_watch;
use crate::mailbox::Mailbox;
use crate::thread_message::ThreadMessage;

pub(super) const OBJECT_KIND: &str = "configuration";
const THREAD_STACK_BYTES: usize = 256 * 1024;
const OPERATION_TIMEOUT: Duration = Duration::from_secs(2);
const HTTP_NOT_FOUND: u16 = 404;
const HTTP_CONFLICT: u16 = 409;
const HTTP_TOO_MANY_REQUESTS: u16 = 429;
const HTTP_SERVICE_UNAVAILABLE: u16 = 503;

/// Results of platform operations and watch events, posted to the actor thread.
#[derive(Debug)]
pub enum PlatformEvent {
    /// Result of an operation started with [`PlatformClient::perform`].
    Answer {
        /// Id that was passed to [`PlatformClient::perform`].
        request: RequestId,
        /// Result; `Lost` if it is unknown whether the operation took or will take effect.
        answer: PlatformAnswer,
    },
    /// An event of the current watch.
    Watch(WatchEvent),
}

#[derive(Deserialize)]
struct ObjectAnswer {
    version: u64,
    document: Box<RawValue>,
}

#[derive(Deserialize)]
struct VersionAnswer {
    version: u64,
}

#[derive(Deserialize)]
struct MachinesAnswer {
    version: u64,
    machines: Vec<ListedMachine>,
}

#[derive(Deserialize)]
struct ListedMachine {
    name: String,
    #[serde(default)]
    incarnation: u64,
    address: SocketAddr,
    service: ServiceName,
    zone: ZoneName,
    slots: u32,
    state: ListedState,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum ListedState {
    Live,
    Leaving,
    Gone,
}

/// The platform's list of machines at one version.
pub(super) struct MachineListing {
    pub(super) version: u64,
    pub(super) machines: Vec<Machine>,
}

/// Client of the platform's HTTP API. Cheap to clone. The clones have one current watch in common:
/// a watch started on any of them replaces it.
#[derive(Clone)]
pub struct PlatformClient {
    agent: Agent,
    address: SocketAddr,
    mailbox: Mailbox<ThreadMessage>,
    watch_generation: Arc<AtomicU64>,
}

impl PlatformClient {
    /// Creates a client that posts results and watch events to `mailbox`.
    pub fn new(address: SocketAddr, mailbox: Mailbox<ThreadMessage>) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .build()
            .new_agent();
        Self {
            agent,
            address,
            mailbox,
            watch_generation: Arc::default(),
        }
    }

    /// Runs an operation on a new thread and posts its result to the mailbox. A watch replaces the
    /// previous watch and posts events instead of a result. If the thread cannot be started, posts
    /// the answer `Unavailable`, also for a watch.
    pub fn perform(&self, request: RequestId, operation: PlatformOperation) {
        let client = self.clone();
        let started = spawn_detached("platform-call", THREAD_STACK_BYTES, move || {
            if operation == PlatformOperation::Watch {
                client.start_watch();
                return;
            }
            let answer = client.answer(operation);
            client.post(PlatformEvent::Answer { request, answer });
        });
        if started.is_err() {
            let answer = PlatformAnswer::Unavailable;
            self.post(PlatformEvent::Answer { request, answer });
        }
    }

    pub(super) fn post(&self, event: PlatformEvent) {
        self.mailbox.post(ThreadMessage::Platform(event));
    }

    pub(super) fn agent(&self) -> &Agent {
        &self.agent
    }

    pub(super) fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// False once a later watch has started.
    pub(super) fn is_current_watch(&self, generation: u64) -> bool {
        self.watch_generation.load(Ordering::SeqCst) == generation
    }

    fn start_watch(&self) {
        let generation = self.watch_generation.fetch_add(1, Ordering::SeqCst) + 1;
        platform_watch::run(self, generation);
    }

    fn answer(&self, operation: PlatformOperation) -> PlatformAnswer {
        match operation {
            PlatformOperation::Read => self.read(),
            PlatformOperation::CompareAndSwap {
                expected, document, ..
            } => self.compare_and_swap(expected, &document),
            PlatformOperation::ListMachines => match self.list_machines() {
                Some(listing) => PlatformAnswer::Machines {
                    version: listing.version,
                    machines: listing.machines,
                },
                None => PlatformAnswer::Unavailable,
            },
            PlatformOperation::Watch => PlatformAnswer::Unavailable,
        }
    }

    fn read(&self) -> PlatformAnswer {
        let url = self.url(&format!("/objects/{OBJECT_KIND}/{DOCUMENT_KEY}"));
        let request = self.agent.get(&url).config();
        let request = request.timeout_global(Some(OPERATION_TIMEOUT)).build();
        let Ok(mut response) = request.call() else {
            return PlatformAnswer::Unavailable;
        };
        if response.status().as_u16() == HTTP_NOT_FOUND {
            return PlatformAnswer::Document {
                version: PlatformVersion(0),
                document: Vec::new(),
            };
        }
        if !response.status().is_success() {
            return PlatformAnswer::Unavailable;
        }
        match response.body_mut().read_json::<ObjectAnswer>() {
            Ok(object) => PlatformAnswer::Document {
                version: PlatformVersion(object.version),
                document: object.document.get().as_bytes().to_vec(),
            },
            Err(_) => PlatformAnswer::Unavailable,
        }
    }

    fn compare_and_swap(&self, expected: PlatformVersion, document: &[u8]) -> PlatformAnswer {
        let url = self.url(&format!("/objects/{OBJECT_KIND}/{DOCUMENT_KEY}"));
        let request = self
            .agent
            .put(&url)
            .header("if-match", expected.0.to_string())
            .header("content-type", "application/json")
            .config()
            .timeout_global(Some(OPERATION_TIMEOUT))
            .build();
        let mut response = match request.send(document) {
            Ok(response) => response,
            Err(error) => return answer_for_failed_swap(&error),
        };
        match response.status().as_u16() {
            HTTP_CONFLICT => PlatformAnswer::VersionMismatch,
            HTTP_TOO_MANY_REQUESTS | HTTP_SERVICE_UNAVAILABLE => PlatformAnswer::Unavailable,
            status if (400..500).contains(&status) => PlatformAnswer::Unavailable,
            status if (200..300).contains(&status) => {
                match response.body_mut().read_json::<VersionAnswer>() {
                    Ok(answer) => PlatformAnswer::Swapped {
                        version: PlatformVersion(answer.version),
                    },
                    Err(_) => PlatformAnswer::Lost,
                }
            }
            _ => PlatformAnswer::Lost,
        }
    }

    fn list_machines(&self) -> Option<MachineListing> {
        parse_machines(&self.read_machines()?)
    }

    /// Returns the list of machines, or `None` if the request fails, the response cannot be parsed
    /// or its version equals `known`. Parses the version first, which is cheaper than parsing an
    /// unchanged list.
    pub(super) fn list_machines_unless(&self, known: Option<u64>) -> Option<MachineListing> {
        let body = self.read_machines()?;
        let found: VersionAnswer = serde_json::from_slice(&body).ok()?;
        match known == Some(found.version) {
            true => None,
            false => parse_machines(&body),
        }
    }

    fn read_machines(&self) -> Option<Vec<u8>> {
        let request = self.agent.get(self.url("/machines")).config();
        let request = request.timeout_global(Some(OPERATION_TIMEOUT)).build();
        let mut response = request.call().ok()?;
        if !response.status().is_success() {
            return None;
        }
        response.body_mut().read_to_vec().ok()
    }
}

fn parse_machines(body: &[u8]) -> Option<MachineListing> {
    let answer: MachinesAnswer = serde_json::from_slice(body).ok()?;
    Some(MachineListing {
        version: answer.version,
        machines: answer.machines.into_iter().filter_map(machine).collect(),
    })
}

fn answer_for_failed_swap(error: &ureq::Error) -> PlatformAnswer {
    match error {
        ureq::Error::ConnectionFailed => PlatformAnswer::Unavailable,
        ureq::Error::Io(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            PlatformAnswer::Unavailable
        }
        _ => PlatformAnswer::Lost,
    }
}

/// Converts a listed machine. Returns `None` if its name is not a valid back-end name.
fn machine(listed: ListedMachine) -> Option<Machine> {
    let backend = Backend {
        name: BackendName::new(listed.name.clone()).ok()?,
        service: listed.service,
        address: listed.address,
        zone: listed.zone,
        slots: listed.slots,
    };
    Some(Machine {
        name: listed.name,
        incarnation: listed.incarnation,
        state: match listed.state {
            ListedState::Live => MachineState::Live,
            ListedState::Leaving => MachineState::Leaving,
            ListedState::Gone => MachineState::Gone,
        },
        backend: Some(backend),
    })
}
